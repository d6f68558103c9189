"""What a request's place in the queue depends on, and what becomes of it."""

import dataclasses

from damaskcroft.routing._placement import Candidate, Slot

__all__ = ["Closed", "LongWait", "Overloaded", "QueueTicket", "SlotTaken"]

# Share of its time that a request waits here at most. A caller comes back
# within a third of what it has left, and must then still be served.
_WAIT_SHARE = 0.33


@dataclasses.dataclass(frozen=True, slots=True)
class QueueTicket:
    """What a request's place in the queue depends on.

    Attributes:
        service: whose targets it needs.
        model: which model, or empty.
        priority: 0 is the most urgent.
        arrived_at: loop time of its arrival.
        goal_s: an answer within this time is in time; 0 for no goal.
        deadline_at: loop time of its final answer.
        prompt_tokens: length of its prompt.
        request_id: whose place it is, for logs.
        is_suspect: whether a target has crashed under it.
        has_begun: whether its caller has part of the answer already.
        tried_ids: targets that it was sent to, taken only where no other can
            serve it.
    """

    service: str
    model: str
    priority: int
    arrived_at: float
    goal_s: float
    deadline_at: float
    prompt_tokens: int = 0
    request_id: str = ""
    is_suspect: bool = False
    has_begun: bool = False
    tried_ids: frozenset[str] = frozenset()

    @property
    def waits_until(self) -> float:
        """When it is told to come back."""
        if self.has_begun:
            # Its caller can't come back for the rest.
            return self.deadline_at
        time_s = self.deadline_at - self.arrived_at
        return self.arrived_at + time_s * _WAIT_SHARE


@dataclasses.dataclass(frozen=True, slots=True)
class SlotTaken:
    """A slot was taken at a target for the request."""

    candidate: Candidate
    slot: Slot


@dataclasses.dataclass(frozen=True, slots=True)
class Closed:
    """No target that could serve a request takes one now.

    Attributes:
        reason: "resting" if they asked for that, "rate_limited" if they get as
            many a second as they take.
        room_s: until one takes the request from here; infinite where only
            other entries send.
        returns_s: when its caller should come back, to whichever entry.
    """

    reason: str
    room_s: float
    returns_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Overloaded:
    """No slot in time; the request was sent to nobody.

    Attributes:
        reason: "overloaded" if all that could serve it were full, "no_target"
            if none could serve it, or as `Closed` has it.
        waiting: how many waited for the service.
        foreseen_s: how long the queue is at its present rate; 0 if unknown.
        returns_s: when its caller should come back; 0 if unknown.
    """

    reason: str
    waiting: int
    foreseen_s: float = 0.0
    returns_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class LongWait:
    """A request that has waited for a notable time, and waits on.

    Attributes:
        ticket: its place.
        reason: what it waits for, in the words of `Overloaded`.
        waiting: how many wait for the service.
    """

    ticket: QueueTicket
    reason: str
    waiting: int
