"""The queue of requests at an entry while every target of a service is full.

It is for loads above the capacity of the targets that last some seconds: many
users at once, lost targets, or new targets that hold no weights yet. A target's
own queue is first come, first served, so that under such a load every answer is
late. Here requests that can still be answered in time go first. The others
wait for the remaining capacity, and are refused with a Retry-After before most
of their time has passed, or at once during a standing queue.
"""

import asyncio
import enum
from collections.abc import Callable, Iterable

from damaskcroft.clock import now_s
from damaskcroft.observe import log_event, metrics
from damaskcroft.routing._first_answers import FirstAnswers
from damaskcroft.routing._needs import Need, is_wanted_by, need_of
from damaskcroft.routing._placement import Candidate, Placement, Slot
from damaskcroft.routing._service_room import ServiceRoom
from damaskcroft.routing._tickets import (
    LongWait,
    Overloaded,
    QueueTicket,
    SlotTaken,
    TargetsUnavailable,
)

__all__ = ["RequestQueue"]

# Maximum share of the latency objective that is reserved for the target: if
# targets take longer than the objective, some request must still go first.
_MAX_FIRST_ANSWER_SHARE = 0.9
# A less urgent request that is held back gets a slot only of a target that is
# less full than this; the remainder is left to more urgent ones.
_MAX_FULLNESS_HELD_BACK = 0.9
# Longer waits are logged while they last, because a request that waits when the
# process ends leaves no other line in the log. The value is well below the time
# after which a request is refused, and above some steps of a batch, after which
# a full target has room.
_LONG_WAIT_S = 0.25
# Minimum delay before polling for a target that accepts requests again: the
# predicted time may be too short by a rounding error.
_MIN_POLL_DELAY_S = 0.01
# Time for which the refusal reason of one request is reused for others of the
# same service and model, because many are refused at one moment. It is the
# interval at which the queue is served anyway.
_REASON_CACHE_S = 0.1


class _QueuedRequest:
    __slots__ = ("is_held_back", "is_reported", "outcome", "ticket")

    def __init__(self, ticket: QueueTicket):
        self.ticket = ticket
        self.is_reported = self.is_held_back = False
        self.outcome: asyncio.Future[SlotTaken | Overloaded] = (
            asyncio.get_running_loop().create_future()
        )


def _note_held_back(request: _QueuedRequest) -> None:
    """Logs and counts, once for each request, that others get its room."""
    if request.is_held_back:
        return
    request.is_held_back = True
    ticket = request.ticket
    metrics.HELD_BACK.labels(str(ticket.priority)).inc()
    log_event(
        "held_back",
        request=ticket.request_id,
        service=ticket.service,
        priority=ticket.priority,
    )


class _WaitsFor(enum.Enum):
    """What a request waits for."""

    ROOM = enum.auto()
    # The room is left to more urgent requests.
    MORE_URGENT = enum.auto()
    # A target that may soon accept requests again; requests that are late by
    # then are still served.
    TARGET_AVAILABLE = enum.auto()


class RequestQueue:
    """Grants slots of targets to requests, which wait while targets are full.

    Args:
        choose: returns the best target for a ticket now, or None if there is
            none.
        take: takes a slot of a target for a ticket's request.
        may_become_available: whether a target that cannot serve a ticket now
            may do so soon, as when its weights are about to change, so that the
            request waits for it.
        closed: why no target that could serve a ticket accepts it, given the
            number of requests ahead of it; None if a target accepts it, or if
            no target could serve it.
        refuses_late: whether requests that cannot be in time are refused at
            once during a standing queue.
    """

    def __init__(
        self,
        choose: Callable[[QueueTicket], Placement | None],
        take: Callable[[Candidate, QueueTicket], Slot],
        may_become_available: Callable[[QueueTicket], bool] = lambda _: False,
        closed: Callable[
            [QueueTicket, int], TargetsUnavailable | None
        ] = lambda ticket, count_ahead: None,
        *,
        refuses_late: bool = True,
    ):
        """Starts empty."""
        self._refuses_late = refuses_late
        self._closed = closed
        self._may_become_available = may_become_available
        self._choose = choose
        self._take = take
        self._waiting_by_service: dict[str, list[_QueuedRequest]] = {}
        self._rooms_by_service: dict[str, ServiceRoom] = {}
        self._reasons_by_kind: dict[tuple[str, str], str] = {}
        self._reasons_since = float("-inf")
        self._first_answers = FirstAnswers()
        self._next_poll: asyncio.TimerHandle | None = None

    def record_first_answer(self, service: str, took_s: float) -> None:
        """Records how long a target took to begin its answer.

        With a fixed time instead of `FirstAnswers`, requests that are about to
        be late would go first: the more of them there are, the later the
        answers of all are.
        """
        self._first_answers.record(service, took_s)

    async def take_slot(self, ticket: QueueTicket) -> SlotTaken | Overloaded:
        """Takes a slot, at once if one is free and no request waits."""
        waiting = self._waiting_by_service.get(ticket.service, [])
        room = self._room(ticket.service)
        room.priorities.record_arrival(ticket.priority)
        need = need_of(ticket)
        # Less urgent requests may wait beside free slots; see `_is_held_back`.
        ahead = [
            request.ticket
            for request in waiting
            if not request.is_held_back
            or request.ticket.priority <= ticket.priority
        ]
        outcome = None
        if not any(need_of(other) == need for other in ahead):
            outcome = self._outcome_now(ticket, len(waiting), ahead)
            if not isinstance(outcome, _WaitsFor):
                return outcome
        count_ahead = self._count_ahead(ticket)
        expected_wait_s = room.expected_wait_s(count_ahead)
        closed = self._closed(ticket, count_ahead)
        if closed is not None:
            expected_wait_s = max(expected_wait_s, closed.available_in_s)
        now = now_s()
        if expected_wait_s > self._wait_deadline(ticket, now) - now:
            return self._refuse(ticket, len(waiting))
        request = _QueuedRequest(ticket)
        if outcome is _WaitsFor.MORE_URGENT:
            _note_held_back(request)
        waiting = self._waiting_by_service.setdefault(ticket.service, [])
        waiting.append(request)
        try:
            return await request.outcome
        except asyncio.CancelledError:
            # The caller may have been granted its slot as it was cancelled.
            self._return_slot(request)
            raise
        finally:
            if request in waiting:
                waiting.remove(request)

    def _return_slot(self, request: _QueuedRequest) -> None:
        if not request.outcome.done() or request.outcome.cancelled():
            return
        outcome = request.outcome.result()
        if isinstance(outcome, SlotTaken):
            outcome.slot.give_back()

    def serve(self) -> None:
        """Grants free slots to waiting requests; called when any may be free.

        For targets in back-off or with a rate limit, the queue is served at the
        right time without a call.
        """
        for service, waiting in list(self._waiting_by_service.items()):
            if waiting:
                self._serve(waiting)
            if not waiting:
                del self._waiting_by_service[service]

    def _schedule_poll(self, available_in_s: float) -> None:
        """Serves the queue at the moment at which a target accepts a request.

        Requests are admitted to the queue on the basis of these moments: for
        each one that is missed, one more request is refused after its wait.
        """
        if available_in_s <= 0:
            # There is another shortage, which a poll now would find again.
            return
        loop = asyncio.get_running_loop()
        at = loop.time() + max(available_in_s, _MIN_POLL_DELAY_S)
        if self._next_poll is not None:
            if self._next_poll.when() <= at:
                return
            self._next_poll.cancel()
        self._next_poll = loop.call_at(at, self._poll)

    def _poll(self) -> None:
        self._next_poll = None
        self.serve()

    def has_waiting(self, service: str) -> bool:
        """Whether requests for a service wait."""
        return bool(self._waiting_by_service.get(service))

    def new_long_waits(self) -> list[LongWait]:
        """Returns requests that have begun to wait for long; each only once."""
        since = now_s() - _LONG_WAIT_S
        long_waits = []
        for waiting in self._waiting_by_service.values():
            for request in waiting:
                if request.is_reported or request.ticket.arrived_at > since:
                    continue
                request.is_reported = True
                reason = self._refusal_reason(request.ticket)
                long_waits.append(
                    LongWait(request.ticket, reason, len(waiting))
                )
        return long_waits

    def _room(self, service: str) -> ServiceRoom:
        room = self._rooms_by_service.get(service)
        if room is None:
            room = self._rooms_by_service[service] = ServiceRoom()
        return room

    def _serve(self, waiting: list[_QueuedRequest]) -> None:
        """Grants free slots to a service's requests, in the order of rank.

        A request without room doesn't block those behind it that need other
        targets.
        """
        now = now_s()
        service = waiting[0].ticket.service
        rank = self._rank_of(service, now)
        waiting.sort(key=lambda request: rank(request.ticket))
        blocked_by_need: dict[Need, QueueTicket] = {}
        is_full = False
        for request in list(waiting):
            need = need_of(request.ticket)
            if need in blocked_by_need:
                continue
            outcome = self._outcome_now(
                request.ticket, len(waiting), blocked_by_need.values()
            )
            if isinstance(outcome, _WaitsFor):
                is_full |= outcome is not _WaitsFor.TARGET_AVAILABLE
                if outcome is _WaitsFor.MORE_URGENT:
                    _note_held_back(request)
                blocked_by_need[need] = request.ticket
                continue
            waiting.remove(request)
            if not request.outcome.done():
                request.outcome.set_result(outcome)
        if is_full:
            self._note_late(waiting, now)
        for request in list(waiting):
            if now >= self._wait_deadline(request.ticket, now):
                waiting.remove(request)
                if not request.outcome.done():
                    refused = self._refuse(request.ticket, len(waiting))
                    request.outcome.set_result(refused)

    def _note_late(self, waiting: list[_QueuedRequest], now: float) -> None:
        """Records if some requests of a service's queue cannot be in time."""
        late = [
            request.ticket.priority
            for request in waiting
            if self._is_late(request.ticket, now)
        ]
        if late:
            room = self._room(waiting[0].ticket.service)
            room.priorities.record_pressed(min(late))
            room.late_span.note_late(now)

    def _wait_deadline(self, ticket: QueueTicket, now: float) -> float:
        """Returns the time at which a ticket is refused with a Retry-After.

        While the load exceeds the capacity of the targets, requests that cannot
        be in time don't wait: the work on one would make another one late (as
        CoDel drops packets of a standing queue; Nichols and Jacobson,
        "Controlling Queue Delay", 2012).
        """
        room = self._room(ticket.service)
        is_standing = room.late_span.is_standing(now)
        is_held_back = room.priorities.is_held_back(ticket.priority)
        if not self._refuses_late or not (is_standing or is_held_back):
            return ticket.wait_deadline
        return min(ticket.wait_deadline, self._dispatch_deadline(ticket))

    def _outcome_now(
        self, ticket: QueueTicket, waiting: int, blocked: Iterable[QueueTicket]
    ) -> SlotTaken | Overloaded | _WaitsFor:
        """Outcome of a request, or what it waits for.

        Args:
            ticket: its ticket.
            waiting: number of requests that wait for the service.
            blocked: requests that go first, and for which there is no room.
        """
        placement = self._choose(ticket)
        if placement is not None:
            if not placement.has_room or is_wanted_by(
                placement.candidate, ticket.model, blocked
            ):
                return _WaitsFor.ROOM
            if self._is_held_back(ticket, placement):
                return _WaitsFor.MORE_URGENT
            return self._grant(ticket, placement)
        closed = self._closed(ticket, 0)
        if closed is None:
            if self._may_become_available(ticket):
                return _WaitsFor.TARGET_AVAILABLE
            return Overloaded("no_target", waiting)
        if closed.available_in_s <= ticket.wait_deadline - now_s():
            self._schedule_poll(closed.available_in_s)
            return _WaitsFor.TARGET_AVAILABLE
        return Overloaded(closed.reason, waiting, retry_in_s=closed.retry_in_s)

    def _grant(self, ticket: QueueTicket, placement: Placement) -> SlotTaken:
        slot = self._take(placement.candidate, ticket)
        self._room(ticket.service).record_grant(ticket)
        return SlotTaken(placement.candidate, slot)

    def _is_held_back(self, ticket: QueueTicket, placement: Placement) -> bool:
        """Whether room is left to more urgent requests (trunk reservation)."""
        if ticket.has_begun or placement.fullness < _MAX_FULLNESS_HELD_BACK:
            return False
        priorities = self._room(ticket.service).priorities
        return priorities.is_held_back(ticket.priority)

    def _refuse(self, ticket: QueueTicket, waiting: int) -> Overloaded:
        room = self._room(ticket.service)
        count_ahead = self._count_ahead(ticket)
        expected_wait_s = room.expected_wait_s(count_ahead)
        closed = self._closed(ticket, count_ahead)
        if closed is not None:
            return Overloaded(
                closed.reason, waiting, expected_wait_s, closed.retry_in_s
            )
        reason = self._refusal_reason(ticket)
        if reason == "overloaded":
            room.priorities.record_pressed(ticket.priority)
        return Overloaded(reason, waiting, expected_wait_s)

    def _refusal_reason(self, ticket: QueueTicket) -> str:
        """Returns why a ticket gets no slot now, from the cache if possible."""
        now = now_s()
        if now - self._reasons_since >= _REASON_CACHE_S:
            self._reasons_by_kind.clear()
            self._reasons_since = now
        kind = (ticket.service, ticket.model)
        if kind not in self._reasons_by_kind:
            self._reasons_by_kind[kind] = self._compute_refusal_reason(ticket)
        return self._reasons_by_kind[kind]

    def _compute_refusal_reason(self, ticket: QueueTicket) -> str:
        if self._choose(ticket) is not None:
            return "overloaded"
        closed = self._closed(ticket, 0)
        return closed.reason if closed is not None else "no_target"

    def _count_ahead(self, ticket: QueueTicket) -> int:
        """Returns the number of requests that go before a ticket."""
        rank = self._rank_of(ticket.service, now_s())
        own_rank = rank(ticket)
        return sum(
            rank(request.ticket) <= own_rank
            for request in self._waiting_by_service.get(ticket.service, [])
        )

    def _rank_of(
        self, service: str, now: float
    ) -> Callable[[QueueTicket], tuple[float, ...]]:
        """Returns the sort key of a service's tickets.

        Urgent ones go first, then those that may be in time, then those of
        customers who got few slots while there is too little room, then by
        arrival. Priorities below their floor go before all others.
        """
        room = self._room(service)
        below_floor = room.priorities.below_floor()
        is_pressed = room.priorities.is_pressed

        def rank(ticket: QueueTicket) -> tuple[float, ...]:
            is_late = self._is_late(ticket, now)
            grants = (
                room.customers.recent_grants(ticket.customer)
                if is_pressed
                else 0.0
            )
            return (
                is_late or ticket.priority not in below_floor,
                ticket.priority,
                is_late,
                grants,
                ticket.arrived_at,
            )

        return rank

    def _is_late(self, ticket: QueueTicket, now: float) -> bool:
        """Whether a ticket's answer would miss its latency objective."""
        return now > self._dispatch_deadline(ticket)

    def _dispatch_deadline(self, ticket: QueueTicket) -> float:
        """Returns the latest time of dispatch for an answer in time."""
        if not ticket.latency_objective_s:
            return ticket.wait_deadline
        first_answer_s = min(
            self._first_answers.p90_s(ticket.service),
            _MAX_FIRST_ANSWER_SHARE * ticket.latency_objective_s,
        )
        return ticket.arrived_at + ticket.latency_objective_s - first_answer_s
