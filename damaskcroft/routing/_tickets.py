"""Tickets of queued requests, and the outcomes of queueing."""

import dataclasses

from damaskcroft.routing._placement import Candidate, Slot

__all__ = [
    "LongWait",
    "Overloaded",
    "QueueTicket",
    "SlotTaken",
    "TargetsUnavailable",
]

# Maximum share of its time that a request waits here. A refused caller retries
# within a third of its remaining time, and must then still be served.
_MAX_WAIT_SHARE = 0.33


@dataclasses.dataclass(frozen=True, slots=True)
class QueueTicket:
    """The properties of a request that decide its position in the queue.

    Attributes:
        service: name of the service whose targets can serve it.
        model: name of the model, or empty.
        priority: 0 is the most urgent.
        arrived_at: loop time of its arrival.
        latency_objective_s: an answer that begins within this time is in time;
            0 for none.
        deadline_at: loop time at which its answer must be complete.
        prompt_tokens: length of its prompt.
        request_id: the request's id, for logs.
        is_suspect: whether it ran on a target that crashed.
        has_begun: whether its caller has received part of the answer.
        tried_ids: ids of targets that it was sent to, which are chosen only if
            no other target can serve it.
        customer: customer of the request; empty on public routes.
        allowed_regions: regions whose targets may serve it; None for all.
    """

    service: str
    model: str
    priority: int
    arrived_at: float
    latency_objective_s: float
    deadline_at: float
    prompt_tokens: int = 0
    request_id: str = ""
    is_suspect: bool = False
    has_begun: bool = False
    tried_ids: frozenset[str] = frozenset()
    customer: str = ""
    allowed_regions: frozenset[str] | None = None

    @property
    def wait_deadline(self) -> float:
        """Loop time at which it is refused with a Retry-After."""
        if self.has_begun:
            # A retry of its caller cannot continue a partial answer.
            return self.deadline_at
        time_s = self.deadline_at - self.arrived_at
        return self.arrived_at + time_s * _MAX_WAIT_SHARE


@dataclasses.dataclass(frozen=True, slots=True)
class SlotTaken:
    """Outcome of a request that has a slot at a target."""

    candidate: Candidate
    slot: Slot


@dataclasses.dataclass(frozen=True, slots=True)
class TargetsUnavailable:
    """State in which no target that could serve a request accepts one now.

    Attributes:
        reason: "resting" if all of them are in back-off, "rate_limited" if the
            rate limits of the others are used up.
        available_in_s: time until a target accepts the request from this entry;
            infinite if only other entries send to these targets.
        retry_in_s: Retry-After for the caller, which may use any entry.
    """

    reason: str
    available_in_s: float
    retry_in_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Overloaded:
    """Outcome of a request that got no slot in time and was not sent.

    Attributes:
        reason: "overloaded" if all targets that could serve it were full,
            "no_target" if none could serve it, or the reason of `Closed`.
        waiting: number of requests that waited for the service.
        expected_wait_s: predicted wait in the queue at its present rate; 0 if
            unknown.
        retry_in_s: Retry-After for the caller; 0 if unknown.
    """

    reason: str
    waiting: int
    expected_wait_s: float = 0.0
    retry_in_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class LongWait:
    """A request that has waited for a long time and still waits.

    Attributes:
        ticket: its ticket.
        reason: why it waits, one of the reasons of `Overloaded`.
        waiting: number of requests that wait for the service.
    """

    ticket: QueueTicket
    reason: str
    waiting: int
