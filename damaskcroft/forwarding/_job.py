"""Jobs, which are admitted requests, with their progress and endings."""

import dataclasses
import enum

from damaskcroft._generated import fleet_pb2
from damaskcroft.clock import now_s
from damaskcroft.forwarding._attempt import Lost, NotRun, NotSent
from damaskcroft.forwarding._call import Call
from damaskcroft.quarantine import RequestTraits, fingerprint, part_key
from damaskcroft.routing import SpentRetry

__all__ = [
    "DEADLINE",
    "SERVER_ERROR",
    "Delivered",
    "EndedBy",
    "Ending",
    "Interrupted",
    "Job",
    "Pace",
    "Progress",
    "Ran",
    "Refused",
    "failed_ending",
    "interrupted_ending",
]


# Reason of a request whose deadline has passed.
DEADLINE = "deadline"
# Maximum number of attempts that don't count towards the route's maximum; the
# retry budget bounds them as well.
_MAX_UNCOUNTED = 2
# Maximum number of parts of one prompt that are suspects when it is lost.
_MAX_SUSPECT_PARTS = 32
# HTTP statuses from here on are server errors (RFC 9110).
SERVER_ERROR = 500


class Ran(enum.Enum):
    """Whether an unanswered request may have run."""

    NO = "no"
    MAYBE = "maybe"


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request ends with an answer that the entry itself gives.

    Attributes:
        reason: a fixed word, also a counter's label.
        ran: whether it may have run at a target.
        detail: the cause in more detail, for the log.
        expected_wait_s: predicted time until a slot is free; 0 if unknown.
        retry_after_s: known Retry-After; None to derive it from
            `expected_wait_s`.
    """

    reason: str
    ran: Ran
    detail: str = ""
    expected_wait_s: float = 0.0
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Delivered:
    """The caller has received a target's complete answer.

    Attributes:
        status: status of the answer.
        ended_by_close: whether only the close of the target's connection marked
            the end of the answer.
    """

    status: int
    ended_by_close: bool = False

    @property
    def is_failure(self) -> bool:
        """Whether the status is a server error of the target."""
        return self.status >= SERVER_ERROR


class EndedBy(enum.Enum):
    """Who ended a caller's connection before its answer was complete."""

    CALLER = "caller"
    TARGET = "target"
    ENTRY = "entry"


@dataclasses.dataclass(frozen=True, slots=True)
class Interrupted:
    """A target's answer had begun and could not be completed.

    Attributes:
        reason: a fixed word, or the error of the target's connection.
        ended_by: the target or this entry.
    """

    reason: str
    ended_by: EndedBy


Ending = Delivered | Refused | Interrupted


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """An admitted request with the decisions made before it is sent.

    Attributes:
        call: the caller's request.
        route: its route.
        service: the service chosen from the route's shares.
        customer: customer of the request; empty on public routes.
        priority: 0 is the most urgent.
        deadline_at: loop time at which it gets its final answer.
        configuration: version of the configuration that was applied.
        allowed_regions: regions whose targets may serve it; None for all.
    """

    call: Call
    route: fleet_pb2.Route
    service: str
    customer: str
    priority: int
    deadline_at: float
    configuration: int
    allowed_regions: frozenset[str] | None = None

    def fingerprint(self) -> bytes:
        """Fingerprint shared by copies of the request; hashes the body."""
        call = self.call
        return fingerprint(
            self.customer, call.host, call.method, call.target, call.body
        )

    def traits(self) -> RequestTraits:
        """What the request shares with others: customer and prompt parts."""
        call = self.call
        part_ids = call.shared_part_ids[:_MAX_SUSPECT_PARTS]
        keys = (part_key(self.service, call.model, p) for p in part_ids)
        return RequestTraits(self.customer, frozenset(keys))

    @property
    def is_repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.idempotent or self.route.resumable

    def has_attempt_after(self, progress: "Progress") -> bool:
        """Whether its route allows another attempt."""
        uncounted = min(progress.uncounted, _MAX_UNCOUNTED)
        return progress.sent - uncounted < max(1, self.route.max_attempts)

    @property
    def left_s(self) -> float:
        """Time until the deadline; negative after it."""
        return self.deadline_at - now_s()


class Pace:
    """Latency of an answer and the gaps between its events.

    Attributes:
        queued_s: wait for a target's slot.
        first_s: time from arrival of the request to the first event; None
            before that event.
        longest_gap_s: longest pause between two events.
    """

    __slots__ = ("_arrived_at", "_last_at", "first_s", "longest_gap_s",
                 "queued_s")  # fmt: skip

    def __init__(self, arrived_at: float):
        """Starts before the first output.

        Args:
            arrived_at: loop time at which the request was read.
        """
        self._arrived_at = arrived_at
        self._last_at = arrived_at
        self.queued_s = 0.0
        self.first_s: float | None = None
        self.longest_gap_s = 0.0

    def record_output(self, now: float) -> None:
        """Records the output of an event, or of a complete answer."""
        if self.first_s is None:
            self.first_s = now - self._arrived_at
        else:
            self.longest_gap_s = max(self.longest_gap_s, now - self._last_at)
        self._last_at = now

    def misses_objective(self, route: fleet_pb2.Route) -> bool:
        """Whether a latency objective was missed; unset ones are met."""
        objective_s = route.latency_goal_ms / 1000
        gap_objective_s = route.gap_goal_ms / 1000
        if (
            objective_s
            and self.first_s is not None
            and self.first_s > objective_s
        ):
            return True
        return bool(gap_objective_s) and self.longest_gap_s > gap_objective_s


class Progress:
    """State of a job across its attempts.

    Attributes:
        sent: number of targets that it was sent to.
        unsent: number of targets to which connecting timed out, or that it
            was withheld from after connecting.
        refused: number of targets that refused its connection.
        retries: what was taken from the retry budget for it.
        uncounted: number of attempts that don't count towards the route's
            maximum: at targets that crashed, are another target than the
            addressed one, or lack the weights.
        excluded: ids of targets that it was sent to; none of them is chosen
            again while another can serve it.
        last_failure: how the last attempt failed.
        runs: number of targets that may have run it.
        begun: whether the caller has received the head of an answer.
        is_bound_to_target: whether only the target that has begun the answer
            can complete it.
        events: number of events of a stream that the caller has received.
        target_id: the target that it was sent to last; empty before.
        last_event_id: the last event that the caller has received.
        pace: latency of the answer.
        connect_s: duration of connecting for the last attempt; None where an
            idle connection was reused.
        fingerprint: fingerprint shared by copies of the request; None until
            it is first computed.
        traits: what it shares with other requests; None until it is first
            computed.
        chain: number of consecutive crashes known when it was sent.
        chain_by_part: the same of each part of its prompt, by key.
    """

    __slots__ = (
        "begun",
        "chain",
        "chain_by_part",
        "connect_s",
        "events",
        "excluded",
        "fingerprint",
        "is_bound_to_target",
        "last_failure",
        "last_event_id",
        "pace",
        "refused",
        "retries",
        "runs",
        "sent",
        "target_id",
        "traits",
        "uncounted",
        "unsent",
    )

    def __init__(self, call: Call):
        """Starts before the first attempt.

        Args:
            call: the caller's request.
        """
        self.sent = 0
        self.unsent = 0
        self.refused = 0
        self.retries: list[SpentRetry] = []
        self.uncounted = 0
        self.excluded: set[str] = set()
        self.last_failure: NotSent | NotRun | Lost | None = None
        self.runs = 0
        self.begun = False
        self.is_bound_to_target = False
        self.events = 0
        self.target_id = ""
        self.last_event_id = call.last_event_id
        self.pace = Pace(call.arrived_at)
        self.connect_s: float | None = None
        self.fingerprint: bytes | None = None
        self.traits: RequestTraits | None = None
        self.chain = 0
        self.chain_by_part: dict[bytes, int] = {}

    @property
    def may_have_run(self) -> bool:
        """Whether any target may have run the request."""
        return self.runs > 0


def failed_ending(
    reason: str, progress: Progress, retry_after_s: float | None = None
) -> Ending:
    """Ending of a job that no target has answered completely."""
    if progress.begun:
        return Interrupted(reason, _ended_by(reason, progress.last_failure))
    ran = Ran.MAYBE if progress.may_have_run else Ran.NO
    return Refused(
        reason, ran, str(progress.last_failure), retry_after_s=retry_after_s
    )


def interrupted_ending(lost: Lost) -> Interrupted:
    """Ending of a job whose interrupted answer can't be resumed."""
    return Interrupted(lost.reason, _ended_by(lost.reason, lost))


def _ended_by(
    reason: str, last_failure: NotSent | NotRun | Lost | None
) -> EndedBy:
    if reason == DEADLINE or last_failure is None:
        return EndedBy.ENTRY
    if isinstance(last_failure, Lost) and last_failure.given_up:
        return EndedBy.ENTRY
    return EndedBy.TARGET
