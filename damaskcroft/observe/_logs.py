"""Logs each event as one line of key=value pairs, through absl.logging.

Lines go to standard output. `_writer` keeps a slow reader of the output from
blocking the process, and `_budget` bounds the volume of the log.
"""

import atexit
import json
import logging as standard_logging

from absl import flags, logging

from damaskcroft.observe._budget import LineBudget
from damaskcroft.observe._writer import LineWriter

_NEEDS_QUOTES = frozenset(' "=\n\t')
_budget = LineBudget()
# None until `start_logs` is called.
_writer: LineWriter | None = None


class _Handler(standard_logging.Handler):
    """Passes formatted lines to the writer."""

    def __init__(self, writer: LineWriter):
        super().__init__()
        self._writer = writer

    def emit(self, record: standard_logging.LogRecord) -> None:
        self._writer.write(self.format(record))


def start_logs(process: str) -> None:
    """Starts logging to standard output, with the process name in each line."""
    global _writer
    # absl.logging expects parsed flags, but settings come from INI files.
    flags.FLAGS.mark_as_parsed()
    logging.set_verbosity(logging.INFO)
    formatter = standard_logging.Formatter(
        f"time=%(asctime)s.%(msecs)03d process={process} %(message)s",
        datefmt="%Y-%m-%dT%H:%M:%S",
    )
    writer = LineWriter(
        format_dropped=lambda count: _format_dropped(formatter, count)
    )
    _writer = writer
    atexit.register(writer.close)
    handler = _Handler(writer)
    handler.setFormatter(formatter)
    root = standard_logging.getLogger()
    for existing in list(root.handlers):
        root.removeHandler(existing)
    root.addHandler(handler)
    # Libraries log free text; only their errors matter to operators.
    for name in ("uvicorn", "grpclib", "transitions", "asyncio", "h2", "hpack"):
        standard_logging.getLogger(name).setLevel(standard_logging.ERROR)


def end_logs(timeout_s: float) -> None:
    """Writes the remaining lines, for a process that ends without `atexit`.

    Args:
        timeout_s: longest wait.
    """
    if _writer is not None:
        _writer.close(timeout_s)


def log_event(event: str, **fields: object) -> None:
    """Logs one event.

    The number of lines per event and second is limited. Suppressed lines are
    counted by the field `reason` and reported a second later.

    Args:
        event: fixed name of the event.
        **fields: details; text with special characters is quoted as JSON.
    """
    for name, reason, count in _budget.take_summaries():
        summary = {"of": name, "reason": reason, "count": count}
        logging.info("%s", _format_line("log_lines_summed", summary))
    if _budget.admit(event, fields.get("reason", "")):
        logging.info("%s", _format_line(event, fields))


def log_warning(event: str, **fields: object) -> None:
    """Logs an event that may need action by an operator, without a limit."""
    logging.warning("%s", _format_line(event, fields))


def _format_dropped(formatter: standard_logging.Formatter, count: int) -> str:
    """Formats the report of dropped lines like any logged line."""
    message = _format_line("log_lines_dropped", {"count": count})
    return formatter.format(standard_logging.makeLogRecord({"msg": message}))


def _format_line(event: str, fields: dict[str, object]) -> str:
    pairs = [f"event={event}"]
    pairs += [f"{key}={_quote(value)}" for key, value in fields.items()]
    return " ".join(pairs)


def _quote(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if not text or _NEEDS_QUOTES.intersection(text):
        return json.dumps(text)
    return text
