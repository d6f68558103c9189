"""One line of key=value pairs for each event, by absl.logging.

Lines go to standard output; see `_writer` and `_budget` for how they are kept
from holding anything up and from growing without bound.
"""

import atexit
import json
import logging as standard_logging

from absl import flags, logging

from damaskcroft.observe._budget import LineBudget
from damaskcroft.observe._writer import LineWriter

_NEEDS_QUOTES = frozenset(' "=\n\t')
_budget = LineBudget()
# None until logs are started.
_writer: LineWriter | None = None


class _Handler(standard_logging.Handler):
    """Hands formatted lines to the writer."""

    def __init__(self, writer: LineWriter):
        super().__init__()
        self._writer = writer

    def emit(self, record: standard_logging.LogRecord) -> None:
        self._writer.write(self.format(record))


def start_logs(process: str) -> None:
    """Sends events to standard output, each with the process's name."""
    global _writer
    # Settings come from INI files; the library waits for flags otherwise.
    flags.FLAGS.mark_as_parsed()
    logging.set_verbosity(logging.INFO)
    formatter = standard_logging.Formatter(
        f"time=%(asctime)s.%(msecs)03d process={process} %(message)s",
        datefmt="%Y-%m-%dT%H:%M:%S",
    )
    writer = LineWriter(told_dropped=lambda count: _dropped(formatter, count))
    _writer = writer
    atexit.register(writer.close)
    handler = _Handler(writer)
    handler.setFormatter(formatter)
    root = standard_logging.getLogger()
    for other in list(root.handlers):
        root.removeHandler(other)
    root.addHandler(handler)
    # Libraries log in prose; only their warnings matter to operators.
    for name in ("uvicorn", "grpclib", "transitions", "asyncio", "h2", "hpack"):
        standard_logging.getLogger(name).setLevel(standard_logging.ERROR)


def end_logs(within_s: float) -> None:
    """Waits for the last lines, where the process ends without `atexit`."""
    if _writer is not None:
        _writer.close(within_s)


def log_event(event: str, **fields: object) -> None:
    """Logs one event.

    Of one event no more than some lines a second are written; what is left
    out is counted by the field `reason` and told a second later.

    Args:
        event: the event's fixed name.
        **fields: its details; text that needs it is quoted as JSON.
    """
    for name, reason, count in _budget.over():
        summed = {"of": name, "reason": reason, "count": count}
        logging.info("%s", _line("log_lines_summed", summed))
    if _budget.takes(event, fields.get("reason", "")):
        logging.info("%s", _line(event, fields))


def log_warning(event: str, **fields: object) -> None:
    """Logs one event that an operator may have to act on."""
    logging.warning("%s", _line(event, fields))


def _dropped(formatter: standard_logging.Formatter, count: int) -> str:
    """The line that tells of others, as if it had been logged."""
    message = _line("log_lines_dropped", {"count": count})
    return formatter.format(standard_logging.makeLogRecord({"msg": message}))


def _line(event: str, fields: dict[str, object]) -> str:
    pairs = [f"event={event}"]
    pairs += [f"{key}={_quoted(value)}" for key, value in fields.items()]
    return " ".join(pairs)


def _quoted(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if not text or _NEEDS_QUOTES.intersection(text):
        return json.dumps(text)
    return text
