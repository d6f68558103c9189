"""Fixtures shared by the tests of forwarding."""

import logging

import pytest

from damaskcroft.observe import _logs
from damaskcroft.observe._budget import LineBudget


class Collector(logging.Handler):
    """Log handler that collects lines in the format of a log file."""

    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        time = f"2026-01-01T10:00:00.{len(self.lines):03d}"
        message = record.getMessage()
        self.lines.append(f"time={time} process=entry-1 {message}")


@pytest.fixture
def logs(monkeypatch):
    # A separate budget, because lines that other tests have logged within the
    # same second would count too.
    monkeypatch.setattr(_logs, "_budget", LineBudget())
    collector = Collector()
    logger = logging.getLogger("absl")
    level = logger.level
    logger.addHandler(collector)
    logger.setLevel(logging.INFO)
    yield collector.lines
    logger.removeHandler(collector)
    logger.setLevel(level)
