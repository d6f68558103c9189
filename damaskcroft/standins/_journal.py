"""A target's own journal of what it ran: the oracle of every proof."""

import json
import os
import pathlib
import time


class Journal:
    """Appends one JSON object a line; a kill loses nothing written."""

    def __init__(self, path: pathlib.Path):
        """Opens the journal for appending."""
        path.parent.mkdir(parents=True, exist_ok=True)
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self._handle = os.open(path, flags, 0o600)

    def write(self, event: str, **fields: object) -> None:
        """Writes one event with its time."""
        line = json.dumps({"event": event, "at": time.time(), **fields})
        os.write(self._handle, line.encode() + b"\n")


def read_journal(path: pathlib.Path) -> list[dict]:
    """All events of a journal; a line cut off by a kill is left out."""
    if not path.exists():
        return []
    events = []
    for line in path.read_text(encoding="utf-8").splitlines():
        try:
            events.append(json.loads(line))
        except ValueError:
            continue
    return events
