"""What callers, targets and the operator saw, and which promises it breaks."""

import collections
import contextlib
import dataclasses
import math
import re
import time

from damaskcroft.hosted.tests.soak._answers import GRACE_S, AnswersOwed, Run
from damaskcroft.hosted.tests.soak._control_answers import ControlAnswersOwed
from damaskcroft.hosted.tests.soak._limits import NamedLimits
from damaskcroft.hosted.tests.soak._target import EVENTS

_NOT_RUN = (408, 421, 429, 503)
_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")
# What the platform's rules call `contact_ms` and `drain_ms`, and what they
# allow of each.
CONTACT_S = 3.0
DRAIN_S = 2.0
_CRASHES_TO_KNOW = 3
_MAX_TRIES_AFTER = 3
_REST_BEGINS_S = 0.5
_MAX_IN_REST = 2


@dataclasses.dataclass(slots=True)
class Asked:
    """One request as its caller saw it.

    Attributes:
        kind: once, safe, or stream.
        status: 0 if the connection gave no answer.
        body: what came of it.
        complete: whether the answer ended as complete.
        entry: address of the entry that it was sent to.
        sent_at: when, by `time.monotonic`.
        budget_s: the caller's time budget, and its route's timeout.
        took_s: until the caller had all that it will get.
        crashes_as: names what crashes its targets, the same for each copy;
            empty for requests that crash none.
        retry_after: that header of the answer.
    """

    kind: str
    status: int = 0
    body: bytes = b""
    complete: bool = False
    entry: str = ""
    sent_at: float = dataclasses.field(default_factory=time.monotonic)
    budget_s: float = math.inf
    took_s: float = math.inf
    crashes_as: str = ""
    retry_after: str = ""

    @property
    def ended_at(self):
        """When the caller had all that it will get; infinite before."""
        return self.sent_at + self.took_s


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a target.

    Attributes:
        at: when, by `time.monotonic`.
        request_id: which.
        target: name of the target.
        start: the start of it that was reached.
    """

    at: float
    request_id: str
    target: str
    start: str


@dataclasses.dataclass(frozen=True, slots=True)
class Rest:
    """A refusal in which a target asked an entry for rest.

    Attributes:
        at: when, by `time.monotonic`.
        entry: whom it refused.
        start: the start of the target.
        for_s: how long it wants nothing.
    """

    at: float
    entry: str
    start: str
    for_s: float


class Book:
    """Gathers, and checks while a run goes on and at its end."""

    def __init__(self):
        self.asked_by_id = {}
        self.runs_by_id = collections.defaultdict(list)
        self.acknowledged = 0
        self.broken = []
        self.arrivals = []
        self.rests = []
        # When each start of a target first said to each entry that it leaves.
        self.leaving_since = {}
        self.limits = NamedLimits(CONTACT_S)
        self.owed = AnswersOwed(CONTACT_S)
        self.control_owed = ControlAnswersOwed(CONTACT_S)
        # By what crashes targets: when, one time for each start.
        self.crashes = collections.defaultdict(list)
        # By whom (an entry, a target, control, or all): spans of disturbance.
        self._disturbed = collections.defaultdict(list)
        self._seen_version_by_boot = collections.Counter()

    # --- What targets tell ------------------------------------------------

    def arrived(self, request_id, target, start):
        """Called by a target that a request has reached."""
        self.arrivals.append(
            Arrival(time.monotonic(), request_id, target, start)
        )

    def crashed(self, request_id, start):
        """Called by a target that crashes under a request."""
        del start
        asked = self.asked_by_id[request_id]
        self.crashes[asked.crashes_as].append(time.monotonic())

    def asked_for_rest(self, request_id, start, for_s):
        """Called by a target that refuses a request and asks for rest."""
        entry = self.asked_by_id[request_id].entry
        self.rests.append(Rest(time.monotonic(), entry, start, for_s))

    def said_leaving(self, request_id, start):
        """Called by a target that says in an answer that it leaves."""
        entry = self.asked_by_id[request_id].entry
        self.leaving_since.setdefault((entry, start), time.monotonic())

    def limit_told(self, request_id, start, limit):
        """Called by a target with what its answer names as its limit."""
        entry = self.asked_by_id[request_id].entry
        self.limits.told(start, entry, limit, time.monotonic())

    def cut_off(self, start):
        """Called by a target that ends and breaks off all its answers."""
        self.owed.cut_off(start, time.monotonic())

    @contextlib.contextmanager
    def stopping(self, node):
        """Held from when a node is asked to end until its process has.

        Args:
            node: an entry, or a control node.
        """
        asked_at = time.monotonic()
        self.owed.stopping(node, asked_at)
        yield
        took_s = time.monotonic() - asked_at
        if took_s > GRACE_S:
            self._break(f"{node} ended {took_s:.2f} s after it was asked to")

    @contextlib.contextmanager
    def control_disturbed(self, nodes, *, planned):
        """Notes that control nodes are ended or paused meanwhile.

        Args:
            nodes: their IP numbers.
            planned: whether their callers are still owed their answers.
        """
        span = [time.monotonic(), math.inf]
        for node in nodes:
            if planned:
                self.control_owed.stopping(node, span)
            else:
                self.control_owed.disturbed(node, span)
        try:
            with self.disturbed("control", planned=planned):
                yield
        finally:
            span[1] = time.monotonic()

    @contextlib.contextmanager
    def disturbed(self, who, *, planned=False):
        """Notes that a machine, or its links, are disturbed meanwhile.

        Args:
            who: which.
            planned: whether callers are still owed their answers.
        """
        span = [time.monotonic(), math.inf]
        self._disturbed[who].append(span)
        if not planned:
            self.owed.disturbed(who, span)
        try:
            yield
        finally:
            span[1] = time.monotonic()

    # --- Bounds on arrivals -----------------------------------------------

    def tries_after_crashes(self, crashes_as):
        """Arrivals of what had crashed three targets before, when known."""
        crashes = sorted(self.crashes[crashes_as])
        if len(crashes) < _CRASHES_TO_KNOW:
            return []
        known_at = crashes[_CRASHES_TO_KNOW - 1] + CONTACT_S
        return [
            arrival
            for arrival in self.arrivals
            if arrival.at > known_at
            and self._of(arrival).crashes_as == crashes_as
            and not self._is_disturbed(arrival)
        ]

    def arrivals_in_rest(self, rest):
        """Arrivals from an entry while a target wanted nothing from it."""
        return [
            arrival
            for arrival in self.arrivals
            if arrival.start == rest.start
            and self._of(arrival).entry == rest.entry
            and rest.at + _REST_BEGINS_S < arrival.at < rest.at + rest.for_s
            and not self._is_disturbed(arrival)
        ]

    def arrivals_after_leaving(self, entry, start):
        """Arrivals that callers sent too late after a target's first word."""
        since = self.leaving_since[entry, start]
        return [
            arrival
            for arrival in self.arrivals
            if arrival.start == start
            and self._of(arrival).entry == entry
            and self._of(arrival).sent_at > since + DRAIN_S
            and not self._is_disturbed(arrival)
        ]

    def overruns(self):
        """Windows in which a target got more than it had named."""
        counted = [
            (arrival.at, self._of(arrival).entry, arrival.start)
            for arrival in self.arrivals
            if not self._is_disturbed(arrival)
        ]
        return list(self.limits.overruns(counted))

    def check_bounds(self):
        """Breaks what arrived too often or got no answer; for the end."""
        for crashes_as in list(self.crashes):
            tries = self.tries_after_crashes(crashes_as)
            if len(tries) > _MAX_TRIES_AFTER:
                self._break(f"{crashes_as} came {len(tries)} times after")
        for rest in self.rests:
            found = self.arrivals_in_rest(rest)
            if len(found) > _MAX_IN_REST:
                self._break(f"{rest}: {len(found)} arrivals")
        for entry, start in self.leaving_since:
            found = self.arrivals_after_leaving(entry, start)
            if found:
                self._break(f"{start} was leaving and got {len(found)}")

        for overrun in self.overruns():
            self._break(str(overrun))
        for what in self.owed.breaches(self.asked_by_id, self.runs_by_id):
            self._break(what)
        for what in self.control_owed.breaches():
            self._break(what)

    def _of(self, arrival):
        return self.asked_by_id.get(arrival.request_id) or Asked("safe")

    def _is_disturbed(self, arrival):
        """Whether what it came by was disturbed, or had just been."""
        entry = self._of(arrival).entry
        return any(
            since <= arrival.at <= until + CONTACT_S
            for who in ("all", "control", entry, arrival.target)
            for since, until in self._disturbed[who]
        )

    # --- What callers get --------------------------------------------------

    def body(self, request_id):
        return f"answer to {request_id}, whole".encode()

    @contextlib.contextmanager
    def running(self, request_id, target, start):
        """Held by a target while it works on a request."""
        run = self.ran(request_id, target, start)
        try:
            yield
        finally:
            run.ended_at = time.monotonic()

    def ran(self, request_id, target, start):
        """Called by a target that begins to work on a request."""
        run = Run(target, start, time.monotonic())
        self.runs_by_id[request_id].append(run)
        asked = self.asked_by_id.get(request_id)
        if asked is None:
            self._break(f"{request_id} ran and nobody asked it")
        elif asked.crashes_as and asked.status in _NOT_RUN:
            self._break(f"{request_id} ran after {asked.status}")
        elif asked.kind == "once" and len(self.runs_by_id[request_id]) > 1:
            self._break(f"{request_id} runs once, and ran again")
        elif asked.kind == "once" and asked.status in _NOT_RUN:
            self._break(f"{request_id} ran after {asked.status}")
        return run

    def answered(self, request_id):
        """Called once a caller has all that it will get."""
        asked = self.asked_by_id[request_id]
        asked.took_s = time.monotonic() - asked.sent_at
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

    def was_acknowledged(self, version):
        """Called once a change has been acknowledged to its operator."""
        self.acknowledged = max(self.acknowledged, version)

    def read_back(self, version, *, at_end=False):
        """What control said is the newest version."""
        if version < self.acknowledged:
            when = "at the end" if at_end else "while running"
            self._break(f"{when} {version} was read after {self.acknowledged}")

    def _break(self, what):
        self.broken.append(what)

    def owed_ids(self):
        """Of the requests that nothing excuses from a whole answer."""
        return self.owed.owed(self.asked_by_id, self.runs_by_id)

    def summary(self):
        """Requests by status, how many were owed, and those to control."""
        counts = collections.Counter(
            asked.status for asked in self.asked_by_id.values()
        )
        by_status = " ".join(f"{s}:{n}" for s, n in sorted(counts.items()))
        by_control = self.control_owed.summary()
        return f"{by_status} owed:{len(self.owed_ids())} | {by_control}"
