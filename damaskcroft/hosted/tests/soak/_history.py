"""History of a soak run and the checks of its guarantees.

Callers, targets and operators record what they observe; some checks run at
once, the others at the end of the run.
"""

import collections
import contextlib
import dataclasses
import math
import re
import time

from damaskcroft.hosted.tests.soak._answer_checks import (
    GRACE_S,
    AnswerChecker,
    Execution,
)
from damaskcroft.hosted.tests.soak._control_answer_checks import (
    ControlAnswerChecker,
)
from damaskcroft.hosted.tests.soak._limits import AnnouncedLimits
from damaskcroft.hosted.tests.soak._retries import retry_overruns
from damaskcroft.hosted.tests.soak._target import EVENTS

_NOT_RUN_STATUSES = (408, 421, 429, 503)
_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")
# The platform's rules call these `contact_ms` and `drain_ms`. The bounds below
# are what the rules allow.
CONTACT_S = 3.0
DRAIN_S = 2.0
_CRASHES_TO_QUARANTINE = 3
# Name, in `crashes_as`, of the requests that share a crashing prompt part and
# are otherwise different, and the number of crashes for them.
PART = "part"
CRASHES_TO_QUARANTINE_PART = 5
_MAX_ARRIVALS_AFTER_QUARANTINE = 3
_BACK_OFF_BEGINS_S = 0.5
_MAX_IN_BACK_OFF = 2


@dataclasses.dataclass(slots=True)
class RequestRecord:
    """One request as its caller saw it.

    Attributes:
        kind: once, safe, or stream.
        status: status of the answer; 0 for none.
        body: received part of the answer's body.
        complete: whether the answer was complete.
        entry: address of the entry to which it was sent.
        sent_at: time of sending, by `time.monotonic`.
        budget_s: the caller's time budget, and the timeout of its route.
        took_s: time until the caller had received all that it will get.
        crashes_as: name shared by all copies of a request that crashes its
            targets; empty for other requests.
        retry_after: value of the answer's Retry-After header.
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
        """Time when the caller had all that it will get; infinite before."""
        return self.sent_at + self.took_s


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a target.

    Attributes:
        at: time of arrival, by `time.monotonic`.
        request_id: id of the request.
        target: name of the target.
        start: the start of the target that received it.
    """

    at: float
    request_id: str
    target: str
    start: str


@dataclasses.dataclass(frozen=True, slots=True)
class BackOff:
    """A refusal by which a target asked an entry to back off.

    Attributes:
        at: time of the refusal, by `time.monotonic`.
        entry: the entry that was refused.
        start: the start of the target.
        for_s: duration for which the entry should send no request.
    """

    at: float
    entry: str
    start: str
    for_s: float


class History:
    """Observations of one run, and the violations found in them."""

    def __init__(self, retry_extra=0):
        self._retry_extra = retry_extra
        self.requests_by_id = {}
        self.executions_by_id = collections.defaultdict(list)
        self.acknowledged = 0
        self.violations = []
        self.arrivals = []
        self.back_offs = []
        # Time when each start of a target first announced to each entry, in an
        # answer, that it is draining.
        self.leaving_since = {}
        self.limits = AnnouncedLimits(CONTACT_S)
        self.answer_checker = AnswerChecker(CONTACT_S)
        self.control_checker = ControlAnswerChecker(CONTACT_S)
        # Times of crashes by `crashes_as`, one for each crashed start.
        self.crashes = collections.defaultdict(list)
        # Spans of disruptions by party: an entry, a target, control, or all.
        self._disruptions = collections.defaultdict(list)
        self._seen_version_by_boot = collections.Counter()

    # --- Reports of targets -----------------------------------------------

    def arrived(self, request_id, target, start):
        """Called by a target when a request arrives."""
        self.arrivals.append(
            Arrival(time.monotonic(), request_id, target, start)
        )

    def crashed(self, request_id, start):
        """Called by a target that crashes while it executes a request."""
        del start
        request = self.requests_by_id[request_id]
        self.crashes[request.crashes_as].append(time.monotonic())

    def back_off_requested(self, request_id, start, for_s):
        """Called by a target that refuses a request and asks for back-off."""
        entry = self.requests_by_id[request_id].entry
        self.back_offs.append(BackOff(time.monotonic(), entry, start, for_s))

    def leaving_announced(self, request_id, start):
        """Called by a target that announces in an answer that it drains."""
        entry = self.requests_by_id[request_id].entry
        self.leaving_since.setdefault((entry, start), time.monotonic())

    def limit_announced(self, request_id, start, limit):
        """Called by a target with the rate limit in its answer, or None."""
        entry = self.requests_by_id[request_id].entry
        self.limits.announced(start, entry, limit, time.monotonic())

    def record_abort(self, start):
        """Called by a target that crashes and aborts all its answers."""
        self.answer_checker.record_abort(start, time.monotonic())

    @contextlib.contextmanager
    def stopping(self, node):
        """Context from SIGTERM to a node until the end of its process.

        Args:
            node: an entry, or a control node.
        """
        stopped_at = time.monotonic()
        self.answer_checker.add_stop(node, stopped_at)
        yield
        took_s = time.monotonic() - stopped_at
        if took_s > GRACE_S:
            self._add_violation(f"{node} ended {took_s:.2f} s after SIGTERM")

    @contextlib.contextmanager
    def control_disruption(self, nodes, *, planned):
        """Context in which control nodes are stopped or paused.

        Args:
            nodes: IP addresses of the nodes.
            planned: whether their callers must still be answered.
        """
        span = [time.monotonic(), math.inf]
        for node in nodes:
            if planned:
                self.control_checker.add_stop(node, span)
            else:
                self.control_checker.add_disruption(node, span)
        try:
            with self.disruption("control", planned=planned):
                yield
        finally:
            span[1] = time.monotonic()

    @contextlib.contextmanager
    def disruption(self, party, *, planned=False):
        """Context in which a machine or its links are disrupted.

        Args:
            party: an entry, a target, control, or all.
            planned: whether callers must still be answered.
        """
        span = [time.monotonic(), math.inf]
        self._disruptions[party].append(span)
        if not planned:
            self.answer_checker.add_disruption(party, span)
        try:
            yield
        finally:
            span[1] = time.monotonic()

    # --- Bounds on arrivals -----------------------------------------------

    def arrivals_after_crashes(
        self, crashes_as, crash_count=_CRASHES_TO_QUARANTINE
    ):
        """Arrivals of a request after it must be quarantined everywhere.

        Args:
            crashes_as: name of the request.
            crash_count: number of crashes after which it must be quarantined.
        """
        crashes = sorted(self.crashes[crashes_as])
        if len(crashes) < crash_count:
            return []
        quarantined_at = crashes[crash_count - 1] + CONTACT_S
        return [
            arrival
            for arrival in self.arrivals
            if arrival.at > quarantined_at
            and self._request_of(arrival).crashes_as == crashes_as
            and not self._is_disrupted(arrival)
        ]

    def arrivals_in_back_off(self, back_off):
        """Arrivals from an entry during its back-off from a target."""
        return [
            arrival
            for arrival in self.arrivals
            if arrival.start == back_off.start
            and self._request_of(arrival).entry == back_off.entry
            and back_off.at + _BACK_OFF_BEGINS_S
            < arrival.at
            < back_off.at + back_off.for_s
            and not self._is_disrupted(arrival)
        ]

    def arrivals_after_leaving(self, entry, start):
        """Arrivals of requests sent too late after a target's announcement."""
        since = self.leaving_since[entry, start]
        return [
            arrival
            for arrival in self.arrivals
            if arrival.start == start
            and self._request_of(arrival).entry == entry
            and self._request_of(arrival).sent_at > since + DRAIN_S
            and not self._is_disrupted(arrival)
        ]

    def retry_overruns(self):
        """Windows with more retries of all entries than their budget."""
        return list(
            retry_overruns(
                [r.sent_at for r in self.requests_by_id.values()],
                [(a.at, a.request_id) for a in self.arrivals],
                self._retry_extra,
            )
        )

    def overruns(self):
        """Windows in which a target received more than its rate limit."""
        counted = [
            (arrival.at, self._request_of(arrival).entry, arrival.start)
            for arrival in self.arrivals
            if not self._is_disrupted(arrival)
        ]
        return list(self.limits.overruns(counted))

    def check_bounds(self):
        """Checks arrivals and answers at the end of a run."""
        for crashes_as in list(self.crashes):
            crash_count = (
                CRASHES_TO_QUARANTINE_PART
                if crashes_as == PART
                else _CRASHES_TO_QUARANTINE
            )
            late_arrivals = self.arrivals_after_crashes(crashes_as, crash_count)
            if len(late_arrivals) > _MAX_ARRIVALS_AFTER_QUARANTINE:
                self._add_violation(
                    f"{crashes_as} arrived {len(late_arrivals)} times "
                    "after quarantine"
                )
        for back_off in self.back_offs:
            found = self.arrivals_in_back_off(back_off)
            if len(found) > _MAX_IN_BACK_OFF:
                self._add_violation(f"{back_off}: {len(found)} arrivals")
        for entry, start in self.leaving_since:
            found = self.arrivals_after_leaving(entry, start)
            if found:
                self._add_violation(
                    f"{start} was draining, arrivals: {len(found)}"
                )

        for overrun in (*self.overruns(), *self.retry_overruns()[:1]):
            self._add_violation(str(overrun))
        for description in self.answer_checker.find_violations(
            self.requests_by_id, self.executions_by_id
        ):
            self._add_violation(description)
        for description in self.control_checker.find_violations():
            self._add_violation(description)

    def _request_of(self, arrival):
        return self.requests_by_id.get(arrival.request_id) or RequestRecord(
            "safe"
        )

    def _is_disrupted(self, arrival):
        """Whether its path was disrupted at its arrival or shortly before."""
        entry = self._request_of(arrival).entry
        return any(
            since <= arrival.at <= until + CONTACT_S
            for party in ("all", "control", entry, arrival.target)
            for since, until in self._disruptions[party]
        )

    # --- Answers -----------------------------------------------------------

    def body(self, request_id):
        return f"answer to {request_id}, whole".encode()

    @contextlib.contextmanager
    def executing(self, request_id, target, start):
        """Context in which a target executes a request."""
        execution = self.execution_started(request_id, target, start)
        try:
            yield
        finally:
            execution.ended_at = time.monotonic()

    def execution_started(self, request_id, target, start):
        """Called by a target that begins to execute a request."""
        execution = Execution(target, start, time.monotonic())
        self.executions_by_id[request_id].append(execution)
        request = self.requests_by_id.get(request_id)
        if request is None:
            self._add_violation(f"{request_id} ran, but no caller sent it")
        elif request.crashes_as and request.status in _NOT_RUN_STATUSES:
            self._add_violation(f"{request_id} ran after {request.status}")
        elif (
            request.kind == "once"
            and len(self.executions_by_id[request_id]) > 1
        ):
            self._add_violation(f"{request_id} is not repeatable and ran again")
        elif request.kind == "once" and request.status in _NOT_RUN_STATUSES:
            self._add_violation(f"{request_id} ran after {request.status}")
        return execution

    def answered(self, request_id):
        """Called when a caller has received all that it will get."""
        request = self.requests_by_id[request_id]
        request.took_s = time.monotonic() - request.sent_at
        executions = self.executions_by_id.get(request_id, [])
        if (
            request.kind == "once"
            and request.status in _NOT_RUN_STATUSES
            and executions
        ):
            self._add_violation(
                f"{request_id} got {request.status} and ran at {executions}"
            )
        if request.status != 200:
            return
        if request.kind == "stream":
            self._check_stream(request_id, request)
        elif request.complete and request.body != self.body(request_id):
            self._add_violation(
                f"{request_id} got another answer: {request.body!r}"
            )

    def _check_stream(self, request_id, request):
        events = _EVENT.findall(request.body)
        numbers = [int(number) for number, _ in events]
        if numbers != list(range(1, len(numbers) + 1)):
            self._add_violation(f"{request_id}: events {numbers}")
        if any(data.decode() != request_id for _, data in events):
            self._add_violation(f"{request_id}: another request's events")
        if request.complete and len(numbers) != EVENTS:
            self._add_violation(f"{request_id}: complete after {len(numbers)}")

    def version_seen(self, boot, version, status):
        """Checks an entry's answer on a route that a version added.

        Args:
            boot: the entry and the number of its start.
            version: the configuration version; later ones keep the route.
            status: status of the answer.
        """
        if status == 404:
            if version <= self._seen_version_by_boot[boot]:
                self._add_violation(
                    f"{boot} reverted to before version {version}"
                )
        elif status in (200, 502, 504):
            seen = self._seen_version_by_boot[boot]
            self._seen_version_by_boot[boot] = max(seen, version)

    def change_acknowledged(self, version):
        """Called when a change has been acknowledged to its operator."""
        self.acknowledged = max(self.acknowledged, version)

    def version_read(self, version, *, at_end=False):
        """Checks the newest version as read from control."""
        if version < self.acknowledged:
            when = "at the end" if at_end else "while running"
            self._add_violation(
                f"{when} {version} was read after {self.acknowledged}"
            )

    def _add_violation(self, description):
        self.violations.append(description)

    def unexcused_ids(self):
        """Ids of the requests that must have a complete answer."""
        return self.answer_checker.unexcused_ids(
            self.requests_by_id, self.executions_by_id
        )

    def summary(self):
        """Counts of requests by status, of unexcused ones, and of control's."""
        counts = collections.Counter(
            request.status for request in self.requests_by_id.values()
        )
        by_status = " ".join(f"{s}:{n}" for s, n in sorted(counts.items()))
        by_control = self.control_checker.summary()
        return f"{by_status} owed:{len(self.unexcused_ids())} | {by_control}"
