"""What is to be sent to a target, how far it has come, and how it ends."""

import dataclasses
import enum

from damaskcroft._generated import fleet_pb2
from damaskcroft.clock import now_s
from damaskcroft.forwarding._attempt import Lost, NotRun, NotSent
from damaskcroft.forwarding._call import Call
from damaskcroft.quarantine import fingerprint

__all__ = [
    "DEADLINE",
    "SERVER_ERROR",
    "BrokenOff",
    "EndedBy",
    "Ending",
    "Gave",
    "Job",
    "Pace",
    "Progress",
    "Ran",
    "Refused",
    "broken_off",
    "given_up",
]


# The request's time is over.
DEADLINE = "deadline"
# So many attempts of a request don't use up those of its route; its share of
# the retry budget bounds them too.
_MAX_UNCOUNTED = 2
# HTTP statuses from here on are failures of whoever answers (RFC 9110).
SERVER_ERROR = 500


class Ran(enum.Enum):
    """Whether a request that got no answer may have run."""

    NO = "no"
    MAYBE = "maybe"


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request ends with an answer of our own.

    Attributes:
        reason: a fixed word, also a counter's label.
        ran: whether it may have run at a target.
        detail: what decided it, for the log.
        foreseen_s: when there should be room for it; 0 if unknown.
        returns_s: when it is worth coming back, where that is known; None to
            tell by `foreseen_s`.
    """

    reason: str
    ran: Ran
    detail: str = ""
    foreseen_s: float = 0.0
    returns_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Gave:
    """A target's answer went to the caller, whole."""

    status: int

    @property
    def is_failure(self) -> bool:
        """Whether the answer says that the target failed."""
        return self.status >= SERVER_ERROR


class EndedBy(enum.Enum):
    """Who ended a caller's connection before its answer was whole."""

    CALLER = "caller"
    TARGET = "target"
    ENTRY = "entry"


@dataclasses.dataclass(frozen=True, slots=True)
class BrokenOff:
    """A target's answer had begun and could not be finished.

    Attributes:
        reason: a fixed word, or what the target's connection told.
        ended_by: whether it was the target or this entry.
    """

    reason: str
    ended_by: EndedBy


Ending = Gave | Refused | BrokenOff


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A call with all that was decided before it is sent.

    Attributes:
        call: the caller's request.
        route: its route.
        service: which of the route's services takes it.
        customer: whose it is; empty on public routes.
        priority: 0 is the most urgent.
        deadline_at: loop time at which it gets its final answer.
        configuration: version that all this was decided by.
    """

    call: Call
    route: fleet_pb2.Route
    service: str
    customer: str
    priority: int
    deadline_at: float
    configuration: int

    def fingerprint(self) -> bytes:
        """What it has in common with its copies; hashes the whole body."""
        call = self.call
        return fingerprint(
            self.customer, call.host, call.method, call.target, call.body
        )

    @property
    def is_repeatable(self) -> bool:
        """Whether it may run more than once."""
        return self.route.idempotent or self.route.resumable

    def has_attempt_after(self, progress: "Progress") -> bool:
        """Whether its route lets it be sent to one more target."""
        uncounted = min(progress.uncounted, _MAX_UNCOUNTED)
        return progress.sent - uncounted < max(1, self.route.max_attempts)

    @property
    def left_s(self) -> float:
        """How long it may still take; below 0 when its time is over."""
        return self.deadline_at - now_s()


class Pace:
    """How soon and how evenly a caller gets its answer.

    Attributes:
        queued_s: wait for a target's slot.
        first_s: arrival of the request to the first event; None before it.
        longest_gap_s: longest pause between two events.
    """

    __slots__ = ("_arrived_at", "_last_at", "first_s", "longest_gap_s",
                 "queued_s")  # fmt: skip

    def __init__(self, arrived_at: float):
        """Nothing has been given yet."""
        self._arrived_at = arrived_at
        self._last_at = arrived_at
        self.queued_s = 0.0
        self.first_s: float | None = None
        self.longest_gap_s = 0.0

    def given(self, now: float) -> None:
        """Takes note of an event, or of a whole answer."""
        if self.first_s is None:
            self.first_s = now - self._arrived_at
        else:
            self.longest_gap_s = max(self.longest_gap_s, now - self._last_at)
        self._last_at = now

    def is_late(self, route: fleet_pb2.Route) -> bool:
        """Whether the caller's goals were missed; an unset goal is met."""
        goal_s = route.latency_goal_ms / 1000
        gap_goal_s = route.gap_goal_ms / 1000
        if goal_s and self.first_s is not None and self.first_s > goal_s:
            return True
        return bool(gap_goal_s) and self.longest_gap_s > gap_goal_s


class Progress:
    """What became of a job so far.

    Attributes:
        sent: targets that it was sent to.
        unsent: targets that it was not sent to, after some time.
        refused: targets that refused its connection at once.
        uncounted: attempts at targets that have ended since, or that said to
            be another one or to lack the weights.
        excluded: ids of targets that it was sent to; none of them is chosen
            again while another can serve it.
        last: how the last attempt failed.
        runs: targets that may have run it.
        begun: whether the caller has got the head of an answer.
        is_tied: whether only the target that has begun the answer can end it.
        events: how many events of a stream the caller has got.
        target_id: the target that it was sent to last; empty before.
        last_event_id: the last event that the caller has.
        pace: how soon and how evenly the answer came.
        connect_s: what connecting for the last attempt took; None where a
            kept connection was used.
        fingerprint: what it has in common with its copies, once it was asked
            for; None before.
        chain: how many crashes in a row were known of it when it was sent.
    """

    __slots__ = (
        "begun",
        "chain",
        "connect_s",
        "events",
        "excluded",
        "fingerprint",
        "is_tied",
        "last",
        "last_event_id",
        "pace",
        "refused",
        "runs",
        "sent",
        "target_id",
        "uncounted",
        "unsent",
    )

    def __init__(self, call: Call):
        """Nothing was tried yet."""
        self.sent = 0
        self.unsent = 0
        self.refused = 0
        self.uncounted = 0
        self.excluded: set[str] = set()
        self.last: NotSent | NotRun | Lost | None = None
        self.runs = 0
        self.begun = False
        self.is_tied = False
        self.events = 0
        self.target_id = ""
        self.last_event_id = call.last_event_id
        self.pace = Pace(call.arrived_at)
        self.connect_s: float | None = None
        self.fingerprint: bytes | None = None
        self.chain = 0

    @property
    def may_have_run(self) -> bool:
        """Whether any target may have run it."""
        return self.runs > 0


def given_up(
    reason: str, progress: Progress, returns_s: float | None = None
) -> Ending:
    """How a job ends that no target answered, or not to the end."""
    if progress.begun:
        return BrokenOff(reason, _ended_by(reason, progress.last))
    ran = Ran.MAYBE if progress.may_have_run else Ran.NO
    return Refused(reason, ran, str(progress.last), returns_s=returns_s)


def broken_off(lost: Lost) -> BrokenOff:
    """How a job ends whose answer can't be asked for again."""
    return BrokenOff(lost.reason, _ended_by(lost.reason, lost))


def _ended_by(reason: str, last: NotSent | NotRun | Lost | None) -> EndedBy:
    if reason == DEADLINE or last is None:
        return EndedBy.ENTRY
    if isinstance(last, Lost) and last.given_up:
        return EndedBy.ENTRY
    return EndedBy.TARGET
