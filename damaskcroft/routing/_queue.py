"""The queue of requests at an entry while every target of a service is full.

It is for loads above the capacity of the targets that last some seconds: many
users at once, lost targets, or new targets that hold no weights yet. A target's
own queue is first come, first served, so that under such a load every answer is
late. Here requests that can still be answered in time go first. The others
wait for the remaining capacity, and are refused with a Retry-After before most
of their time has passed, or at once during a standing queue.
"""

import asyncio
import collections
import enum
from collections.abc import Callable

from damaskcroft.clock import now_s
from damaskcroft.routing._first_answers import FirstAnswers
from damaskcroft.routing._placement import Candidate, Placement, Slot
from damaskcroft.routing._priority_shares import PriorityShares
from damaskcroft.routing._standing_queue import LateSpan
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
# Window over which the rate of granted slots is measured, to predict waits. It
# is long enough that a pause of some tenths of a second, as when versions
# change, is not taken for a lower rate.
_RATE_WINDOW_S = 2.0
# Maximum number of grant times kept for this: ten times the number of slots
# that an entry grants in the window.
_MAX_GRANT_TIMES = 1000
# With fewer grants in the window the rate is unknown: right after a pause or a
# start, the first few don't show how many follow.
_MIN_GRANT_TIMES = 8
# Slots granted at one moment are assumed to be spread over this time, which is
# how long the passes of a full target take.
_MIN_GRANT_SPAN_S = 0.1
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
    __slots__ = ("is_reported", "outcome", "ticket")

    def __init__(self, ticket: QueueTicket):
        self.ticket = ticket
        self.is_reported = False
        self.outcome: asyncio.Future[SlotTaken | Overloaded] = (
            asyncio.get_running_loop().create_future()
        )


class _WaitsFor(enum.Enum):
    """What the first request of the queue waits for."""

    ROOM = enum.auto()
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
        self._grant_times_by_service: dict[str, collections.deque[float]] = {}
        self._late_spans_by_service: dict[str, LateSpan] = {}
        self._shares_by_service: dict[str, PriorityShares] = {}
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
        shares = self._shares(ticket.service)
        shares.record_arrival(ticket.priority)
        if not waiting and not shares.is_held_back(ticket.priority):
            outcome = self._outcome_now(ticket, 0)
            if not isinstance(outcome, _WaitsFor):
                return outcome
        count_ahead = self._count_ahead(ticket)
        expected_wait_s = self._expected_wait_s(ticket.service, count_ahead)
        closed = self._closed(ticket, count_ahead)
        if closed is not None:
            expected_wait_s = max(expected_wait_s, closed.available_in_s)
        now = now_s()
        if expected_wait_s > self._wait_deadline(ticket, now) - now:
            shares.record_pressed(ticket.priority)
            return self._refuse(ticket, len(waiting))
        request = _QueuedRequest(ticket)
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

    def _shares(self, service: str) -> PriorityShares:
        return self._shares_by_service.setdefault(service, PriorityShares())

    def _serve(self, waiting: list[_QueuedRequest]) -> None:
        now = now_s()
        waiting.sort(key=lambda request: self._rank(request.ticket, now))
        shares = self._shares(waiting[0].ticket.service)
        while waiting:
            request = waiting[0]
            if shares.is_held_back(request.ticket.priority):
                break
            outcome = self._outcome_now(request.ticket, len(waiting))
            if outcome is _WaitsFor.ROOM:
                self._note_late(waiting, now)
            if isinstance(outcome, _WaitsFor):
                break
            waiting.pop(0)
            if not request.outcome.done():
                request.outcome.set_result(outcome)
        for request in list(waiting):
            if now >= self._wait_deadline(request.ticket, now):
                waiting.remove(request)
                if not request.outcome.done():
                    shares.record_pressed(request.ticket.priority)
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
            service = waiting[0].ticket.service
            self._shares(service).record_pressed(min(late))
            self._late_spans_by_service.setdefault(
                service, LateSpan()
            ).note_late(now)

    def _wait_deadline(self, ticket: QueueTicket, now: float) -> float:
        """Returns the time at which a ticket is refused with a Retry-After.

        While the load exceeds the capacity of the targets, requests that cannot
        be in time don't wait: the work on one would make another one late (as
        CoDel drops packets of a standing queue; Nichols and Jacobson,
        "Controlling Queue Delay", 2012).
        """
        span = self._late_spans_by_service.get(ticket.service)
        is_standing = span is not None and span.is_standing(now)
        if not is_standing or not self._refuses_late:
            return ticket.wait_deadline
        return min(ticket.wait_deadline, self._dispatch_deadline(ticket))

    def _outcome_now(
        self, ticket: QueueTicket, waiting: int
    ) -> SlotTaken | Overloaded | _WaitsFor:
        """Outcome of the first request of the queue, or what it waits for."""
        placement = self._choose(ticket)
        if placement is not None and placement.has_room:
            return self._grant(ticket, placement)
        if placement is not None:
            return _WaitsFor.ROOM
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
        grant_times = self._grant_times_by_service.setdefault(
            ticket.service, collections.deque(maxlen=_MAX_GRANT_TIMES)
        )
        grant_times.append(now_s())
        self._shares(ticket.service).record_grant(ticket.priority)
        return SlotTaken(placement.candidate, slot)

    def _refuse(self, ticket: QueueTicket, waiting: int) -> Overloaded:
        count_ahead = self._count_ahead(ticket)
        expected_wait_s = self._expected_wait_s(ticket.service, count_ahead)
        closed = self._closed(ticket, count_ahead)
        if closed is not None:
            return Overloaded(
                closed.reason, waiting, expected_wait_s, closed.retry_in_s
            )
        return Overloaded(
            self._refusal_reason(ticket), waiting, expected_wait_s
        )

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

    def _expected_wait_s(self, service: str, count_ahead: int) -> float:
        """Predicts the wait for the requests ahead, at the present rate."""
        now = now_s()
        grant_times = self._grant_times_by_service.get(service, ())
        recent = [at for at in grant_times if at >= now - _RATE_WINDOW_S]
        if len(recent) < _MIN_GRANT_TIMES:
            return 0.0
        span_s = max(now - recent[0], _MIN_GRANT_SPAN_S)
        return count_ahead * span_s / len(recent)

    def _count_ahead(self, ticket: QueueTicket) -> int:
        """Returns the number of requests that go before a ticket."""
        now = now_s()
        rank = self._rank(ticket, now)
        return sum(
            self._rank(request.ticket, now) <= rank
            for request in self._waiting_by_service.get(ticket.service, [])
        )

    def _rank(self, ticket: QueueTicket, now: float) -> tuple[float, ...]:
        """Sort key: urgent first, then possibly in time, then by arrival."""
        late = self._is_late(ticket, now)
        is_below_floor = self._shares(ticket.service).is_below_floor(
            ticket.priority
        )
        return (not is_below_floor, ticket.priority, late, ticket.arrived_at)

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
