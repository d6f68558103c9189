"""Logging under a flood of events and with a stalled reader."""

import os
import subprocess
import sys
import threading
import time

from damaskcroft.ctl._log_lines import parsed
from damaskcroft.observe._budget import LineBudget
from damaskcroft.observe._writer import LineWriter


class Clock:
    now = 0.0

    def __call__(self):
        return self.now


def test_flood_of_refusals_keeps_log_volume_bounded():
    clock = Clock()
    budget = LineBudget(100, clock)
    written, suppressed = 0, 0
    for _ in range(10):
        for number in range(5000):
            reason = "overloaded" if number % 2 else "no_target"
            written += budget.admit("refused", reason)
        # Each event has its own limit.
        assert budget.admit("configuration_applied", "")
        clock.now += 1.0
        reports = list(budget.take_summaries())
        assert {(event, reason) for event, reason, _ in reports} == {
            ("refused", "overloaded"),
            ("refused", "no_target"),
        }
        suppressed += sum(count for _, _, count in reports)
    assert written == 1000
    assert written + suppressed == 50_000


def test_suppressed_lines_are_reported_once():
    clock = Clock()
    budget = LineBudget(1, clock)
    assert budget.admit("refused", "a")
    assert not budget.admit("refused", "a")
    assert list(budget.take_summaries()) == []
    clock.now += 1.0
    assert list(budget.take_summaries()) == [("refused", "a", 1)]
    clock.now += 1.0
    assert list(budget.take_summaries()) == []
    assert budget.admit("refused", "a")


def test_stalled_reader_does_not_block_logging():
    """A full pipe holds 64 KiB; further lines are dropped and counted."""
    read_fd, write_fd = os.pipe()
    with os.fdopen(write_fd, "w") as stream:
        writer = LineWriter(stream, max_lines=50)
        line = "x" * 1000
        for _ in range(70):
            writer.write(line)
        while writer._lines:
            time.sleep(0.01)
        # The writer thread blocks on the full pipe; callers must not.
        for _ in range(1000):
            writer.write(line)
        assert len(writer._lines) <= 50
        received = []

        def read_all():
            with os.fdopen(read_fd) as source:
                received.extend(source)

        reader = threading.Thread(target=read_all)
        reader.start()
        writer.close()
    reader.join()
    dropped = [r for r in received if "event=log_lines_dropped" in r]
    assert dropped
    dropped_count = sum(int(r.rpartition("=")[2]) for r in dropped)
    whole = sum(r == line + "\n" for r in received)
    assert whole + dropped_count == 1070


# Writes more than the pipe and the buffer hold, then waits on its input.
FLOODING = """
import sys
from damaskcroft.observe import log_warning, start_logs
start_logs("p-1")
for number in range(20_000):
    log_warning("flood", number=number)
print("written", file=sys.stderr, flush=True)
sys.stdin.read()
"""


def test_dropped_lines_are_reported_in_the_usual_format():
    process = subprocess.Popen(
        [sys.executable, "-c", FLOODING],
        stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=subprocess.PIPE,
        text=True,
    )  # fmt: skip
    assert process.stderr.readline() == "written\n"
    written, _ = process.communicate(timeout=30)
    lines = list(parsed(written.splitlines()))
    reports = [line for line in lines if line.event == "log_lines_dropped"]
    assert {line.process for line in reports} == {"p-1"}
    flood_count = sum(line.event == "flood" for line in lines)
    assert flood_count + sum(line.number("count") for line in reports) == 20_000


def test_stalled_reader_does_not_delay_process_exit():
    # Guards against a process that waits for a stalled reader at exit until its
    # platform kills it.
    process = subprocess.Popen(
        [sys.executable, "-c", FLOODING],
        stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=subprocess.PIPE,
        text=True,
    )  # fmt: skip
    with process:
        assert process.stderr.readline() == "written\n"
        closed_at = time.monotonic()
        process.stdin.close()
        process.wait(10)
        assert time.monotonic() - closed_at < 0.95
