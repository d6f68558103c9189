"""One line of key=value pairs for each event, by absl.logging."""

import json
import logging as standard_logging

from absl import flags, logging

_NEEDS_QUOTES = frozenset(' "=\n\t')


def start_logs(process: str) -> None:
    """Sends events to standard error, each with the process's name."""
    # Settings come from INI files; the library waits for flags otherwise.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold(logging.INFO)
    handler = logging.get_absl_handler()
    handler.setFormatter(
        standard_logging.Formatter(
            f"time=%(asctime)s.%(msecs)03d process={process} %(message)s",
            datefmt="%Y-%m-%dT%H:%M:%S",
        )
    )
    # Libraries log in prose; only their warnings matter to operators.
    for name in ("uvicorn", "grpclib", "transitions", "asyncio", "h2", "hpack"):
        standard_logging.getLogger(name).setLevel(standard_logging.ERROR)


def log_event(event: str, **fields: object) -> None:
    """Logs one event.

    Args:
        event: the event's fixed name.
        **fields: its details; text that needs it is quoted as JSON.
    """
    logging.info("%s", _line(event, fields))


def log_warning(event: str, **fields: object) -> None:
    """Logs one event that an operator may have to act on."""
    logging.warning("%s", _line(event, fields))


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
