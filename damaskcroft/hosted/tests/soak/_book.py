"""What callers, targets and the operator saw, and which promises it breaks."""

import collections
import dataclasses
import re

from damaskcroft.hosted.tests.soak._target import EVENTS

_NOT_RUN = (408, 421, 429, 503)
_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")


@dataclasses.dataclass(slots=True)
class Asked:
    """One request as its caller saw it.

    Attributes:
        kind: once, safe, or stream.
        status: 0 if the connection gave no answer.
        body: what came of it.
        complete: whether the answer ended as complete.
    """

    kind: str
    status: int = 0
    body: bytes = b""
    complete: bool = False


class Book:
    """Gathers, and checks while a run goes on and at its end."""

    def __init__(self):
        self.asked_by_id = {}
        self.runs_by_id = collections.defaultdict(list)
        self.acknowledged = 0
        self.broken = []
        self._seen_version_by_boot = collections.Counter()

    def body(self, request_id):
        return f"answer to {request_id}, whole".encode()

    def ran(self, request_id, target_id):
        """Called by a target that begins to work on a request."""
        self.runs_by_id[request_id].append(target_id)
        asked = self.asked_by_id.get(request_id)
        if asked is None:
            self._break(f"{request_id} ran and nobody asked it")
        elif asked.kind == "once" and len(self.runs_by_id[request_id]) > 1:
            self._break(f"{request_id} runs once, and ran again")
        elif asked.kind == "once" and asked.status in _NOT_RUN:
            self._break(f"{request_id} ran after {asked.status}")

    def answered(self, request_id):
        """Called once a caller has all that it will get."""
        asked = self.asked_by_id[request_id]
        runs = self.runs_by_id.get(request_id, [])
        if asked.kind == "once" and asked.status in _NOT_RUN and runs:
            self._break(f"{request_id} got {asked.status} and ran at {runs}")
        if asked.status != 200:
            return
        if asked.kind == "stream":
            self._check_stream(request_id, asked)
        elif asked.complete and asked.body != self.body(request_id):
            self._break(f"{request_id} got another answer: {asked.body!r}")

    def _check_stream(self, request_id, asked):
        events = _EVENT.findall(asked.body)
        numbers = [int(number) for number, _ in events]
        if numbers != list(range(1, len(numbers) + 1)):
            self._break(f"{request_id}: events {numbers}")
        if any(data.decode() != request_id for _, data in events):
            self._break(f"{request_id}: another request's events")
        if asked.complete and len(numbers) != EVENTS:
            self._break(f"{request_id}: complete after {len(numbers)}")

    def saw_version(self, boot, version, status):
        """What an entry's process said on a route that a version added.

        Args:
            boot: the entry and which start of it.
            version: the version; later ones keep the route.
            status: what it answered.
        """
        if status == 404:
            if version <= self._seen_version_by_boot[boot]:
                self._break(f"{boot} went back before version {version}")
        elif status in (200, 502, 504):
            seen = self._seen_version_by_boot[boot]
            self._seen_version_by_boot[boot] = max(seen, version)

    def read_back(self, version, *, at_end=False):
        """What control said is the newest version."""
        if version < self.acknowledged:
            when = "at the end" if at_end else "while running"
            self._break(f"{when} {version} was read after {self.acknowledged}")

    def _break(self, what):
        self.broken.append(what)

    def summary(self):
        """Requests by status, for the report."""
        counts = collections.Counter(
            asked.status for asked in self.asked_by_id.values()
        )
        return " ".join(f"{s}:{n}" for s, n in sorted(counts.items()))
