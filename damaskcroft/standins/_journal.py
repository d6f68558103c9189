"""A target's own journal of the requests that it ran.

Tests take it as the oracle: it shows how often each request really ran.
"""

import json
import os
import pathlib
import time


class Journal:
    """Appends one JSON object per line, unbuffered.

    Events written before a SIGKILL are kept.
    """

    def __init__(self, path: pathlib.Path):
        """Opens the journal for appending."""
        path.parent.mkdir(parents=True, exist_ok=True)
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self._handle = os.open(path, flags, 0o600)

    def write(self, event: str, **fields: object) -> None:
        """Writes one event with the current time."""
        line = json.dumps({"event": event, "at": time.time(), **fields})
        os.write(self._handle, line.encode() + b"\n")


def read_journal(path: pathlib.Path) -> list[dict]:
    """Returns all events; skips a line truncated by a kill."""
    if not path.exists():
        return []
    events = []
    for line in path.read_text(encoding="utf-8").splitlines():
        try:
            events.append(json.loads(line))
        except ValueError:
            continue
    return events
