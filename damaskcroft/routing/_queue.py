"""Requests that wait at an entry while every target of a service is full.

Written for loads above what the targets can carry for some seconds: many
users at once, targets lost, or new ones still empty. A target's own queue is
first come, first served, so that under such a load every answer comes late.
Here whoever can still be answered in time goes first; those who can't any
more wait for the room that is left, and are told when to come back before
most of their time is gone, or at once where such a queue doesn't pass.
"""

import asyncio
import collections
import enum
from collections.abc import Callable

from damaskcroft.clock import now_s
from damaskcroft.routing._first_answers import FirstAnswers
from damaskcroft.routing._placement import Candidate, Placement, Slot
from damaskcroft.routing._standing import LateSpan
from damaskcroft.routing._tickets import (
    Closed,
    LongWait,
    Overloaded,
    QueueTicket,
    SlotTaken,
)

__all__ = ["RequestQueue"]

# Share of a goal that is kept back for the target at most: where targets take
# longer than the goal, somebody must still go first.
_MAX_FIRST_SHARE = 0.9
# Over which the rate at which slots are given is measured, to foresee how long
# a wait is; a pause of some tenths of a second, as when versions change, is not
# taken for a lower rate.
_RATE_WINDOW_S = 2.0
# Times kept for that: ten times what an entry gives out in that time.
_MAX_GIVEN = 1000
# With fewer of them nothing is known of the rate: right after a pause, or at a
# start, the first few don't tell how many follow.
_MIN_GIVEN = 8
# Slots given at one moment are taken to be spread over this time: what a full
# target's passes take.
_MIN_SPAN_S = 0.1
# Waits above this are told of while they last, since whoever waits when the
# process ends leaves no other line in the log. Well below what a request waits
# before it is refused, and above some steps of a batch, after which a full
# target has room.
_LONG_WAIT_S = 0.25
# Until a target that takes requests again is looked at, at the least: what was
# foreseen may be short by a rounding error.
_LEAST_LOOK_S = 0.01
# What is wanting for one request holds for others of its kind this long, since
# many are refused in one moment: as often as the queue is looked at anyhow.
_SHORTAGE_HOLDS_S = 0.1


class _Waiting:
    __slots__ = ("is_told", "outcome", "ticket")

    def __init__(self, ticket: QueueTicket):
        self.ticket = ticket
        self.is_told = False
        self.outcome: asyncio.Future[SlotTaken | Overloaded] = (
            asyncio.get_running_loop().create_future()
        )


class _Waits(enum.Enum):
    """What the first in the queue waits for."""

    FOR_ROOM = enum.auto()
    # One that may soon take requests again, after which those who are late by
    # it are still to be served.
    FOR_TARGET = enum.auto()


class RequestQueue:
    """Gives out slots of full services.

    Args:
        choose: the best target for a ticket now, or None if there is none.
        take: takes a slot of a target for a ticket's request.
        may_come: whether a target that can't serve a ticket now may soon, as
            when its weights are about to change; worth waiting for.
        closed: why no target that could serve a ticket takes it, given how
            many go before it; None if there is one that does, or none at all.
        refuses_late: whether those who can't be in time are refused at once
            while a queue stands.
    """

    def __init__(
        self,
        choose: Callable[[QueueTicket], Placement | None],
        take: Callable[[Candidate, QueueTicket], Slot],
        may_come: Callable[[QueueTicket], bool] = lambda _: False,
        closed: Callable[
            [QueueTicket, int], Closed | None
        ] = lambda ticket, before: None,
        *,
        refuses_late: bool = True,
    ):
        """Begins with nobody waiting."""
        self._refuses_late = refuses_late
        self._closed = closed
        self._may_come = may_come
        self._choose = choose
        self._take = take
        self._waiting_by_service: dict[str, list[_Waiting]] = {}
        self._given_at_by_service: dict[str, collections.deque[float]] = {}
        self._late_by_service: dict[str, LateSpan] = {}
        self._shortage_by_kind: dict[tuple[str, str], str] = {}
        self._shortage_since = float("-inf")
        self._first_answers = FirstAnswers()
        self._next_look: asyncio.TimerHandle | None = None

    def first_answered(self, service: str, took_s: float) -> None:
        """Takes how long a target took to begin its answer; see FirstAnswers.

        A fixed time would let those go first who are about to be late: the
        more there are, the later all of them come.
        """
        self._first_answers.note(service, took_s)

    async def take_slot(self, ticket: QueueTicket) -> SlotTaken | Overloaded:
        """Takes a slot, at once if one is free and nobody waits."""
        waiting = self._waiting_by_service.get(ticket.service, [])
        if not waiting:
            outcome = self._outcome_now(ticket, 0)
            if not isinstance(outcome, _Waits):
                return outcome
        before = self._count_before(ticket)
        foreseen_s = self._foreseen_wait_s(ticket.service, before)
        closed = self._closed(ticket, before)
        if closed is not None:
            foreseen_s = max(foreseen_s, closed.room_s)
        now = now_s()
        if foreseen_s > self._waits_until(ticket, now) - now:
            return self._refused(ticket, len(waiting))
        joined = _Waiting(ticket)
        waiting = self._waiting_by_service.setdefault(ticket.service, [])
        waiting.append(joined)
        try:
            return await joined.outcome
        except asyncio.CancelledError:
            # The caller left at the moment at which it got its slot.
            self._return_slot(joined)
            raise
        finally:
            if joined in waiting:
                waiting.remove(joined)

    def _return_slot(self, joined: _Waiting) -> None:
        if not joined.outcome.done() or joined.outcome.cancelled():
            return
        outcome = joined.outcome.result()
        if isinstance(outcome, SlotTaken):
            outcome.slot.give_back()

    def serve(self) -> None:
        """Gives free slots to those who wait; to be called when any may be.

        Targets that rest, or that take so many a second, are looked at in time
        without a call.
        """
        for service, waiting in list(self._waiting_by_service.items()):
            self._serve(waiting)
            if not waiting:
                del self._waiting_by_service[service]

    def _look_after(self, room_s: float) -> None:
        """Serves in the moment in which a target takes a request again.

        Who waits was let in by these moments: with each that is missed, one
        more is refused who has waited.
        """
        if room_s <= 0:
            # Something else is wanting; a look now would find the same.
            return
        loop = asyncio.get_running_loop()
        at = loop.time() + max(room_s, _LEAST_LOOK_S)
        if self._next_look is not None:
            if self._next_look.when() <= at:
                return
            self._next_look.cancel()
        self._next_look = loop.call_at(at, self._look)

    def _look(self) -> None:
        self._next_look = None
        self.serve()

    def newly_long(self) -> list[LongWait]:
        """Who has waited for long since this was asked last; each once."""
        since = now_s() - _LONG_WAIT_S
        found = []
        for waiting in self._waiting_by_service.values():
            for joined in waiting:
                if joined.is_told or joined.ticket.arrived_at > since:
                    continue
                joined.is_told = True
                reason = self._shortage(joined.ticket)
                found.append(LongWait(joined.ticket, reason, len(waiting)))
        return found

    def _serve(self, waiting: list[_Waiting]) -> None:
        now = now_s()
        waiting.sort(key=lambda joined: self._rank(joined.ticket, now))
        while waiting:
            joined = waiting[0]
            outcome = self._outcome_now(joined.ticket, len(waiting))
            if outcome is _Waits.FOR_ROOM:
                self._note_late(waiting, now)
            if isinstance(outcome, _Waits):
                break
            waiting.pop(0)
            if not joined.outcome.done():
                joined.outcome.set_result(outcome)
        for joined in list(waiting):
            if now >= self._waits_until(joined.ticket, now):
                waiting.remove(joined)
                if not joined.outcome.done():
                    refused = self._refused(joined.ticket, len(waiting))
                    joined.outcome.set_result(refused)

    def _note_late(self, waiting: list[_Waiting], now: float) -> None:
        """Notes whether some of a service's queue wait in vain."""
        if any(self._is_late(joined.ticket, now) for joined in waiting):
            service = waiting[0].ticket.service
            self._late_by_service.setdefault(service, LateSpan()).note(now)

    def _waits_until(self, ticket: QueueTicket, now: float) -> float:
        """When a ticket is told to come back.

        While more come than targets carry, nobody waits who can't be in time:
        the work on it would make another one late (as CoDel drops what a
        standing queue holds; Nichols and Jacobson, "Controlling Queue Delay",
        2012).
        """
        span = self._late_by_service.get(ticket.service)
        stands = span is not None and span.stands(now)
        if not stands or not self._refuses_late:
            return ticket.waits_until
        return min(ticket.waits_until, self._in_time_until(ticket))

    def _outcome_now(
        self, ticket: QueueTicket, waiting: int
    ) -> SlotTaken | Overloaded | _Waits:
        """What the first in the queue is told now, or what it waits for."""
        placement = self._choose(ticket)
        if placement is not None and placement.has_room:
            return self._given(ticket, placement)
        if placement is not None:
            return _Waits.FOR_ROOM
        closed = self._closed(ticket, 0)
        if closed is None:
            if self._may_come(ticket):
                return _Waits.FOR_TARGET
            return Overloaded("no_target", waiting)
        if closed.room_s <= ticket.waits_until - now_s():
            self._look_after(closed.room_s)
            return _Waits.FOR_TARGET
        return Overloaded(closed.reason, waiting, returns_s=closed.returns_s)

    def _given(self, ticket: QueueTicket, placement: Placement) -> SlotTaken:
        slot = self._take(placement.candidate, ticket)
        given_at = self._given_at_by_service.setdefault(
            ticket.service, collections.deque(maxlen=_MAX_GIVEN)
        )
        given_at.append(now_s())
        return SlotTaken(placement.candidate, slot)

    def _refused(self, ticket: QueueTicket, waiting: int) -> Overloaded:
        before = self._count_before(ticket)
        foreseen_s = self._foreseen_wait_s(ticket.service, before)
        closed = self._closed(ticket, before)
        if closed is not None:
            return Overloaded(
                closed.reason, waiting, foreseen_s, closed.returns_s
            )
        return Overloaded(self._shortage(ticket), waiting, foreseen_s)

    def _shortage(self, ticket: QueueTicket) -> str:
        """Room, a target that takes requests, or one that can serve at all."""
        now = now_s()
        if now - self._shortage_since >= _SHORTAGE_HOLDS_S:
            self._shortage_by_kind.clear()
            self._shortage_since = now
        kind = (ticket.service, ticket.model)
        if kind not in self._shortage_by_kind:
            self._shortage_by_kind[kind] = self._shortage_now(ticket)
        return self._shortage_by_kind[kind]

    def _shortage_now(self, ticket: QueueTicket) -> str:
        if self._choose(ticket) is not None:
            return "overloaded"
        closed = self._closed(ticket, 0)
        return closed.reason if closed is not None else "no_target"

    def _foreseen_wait_s(self, service: str, before: int) -> float:
        """How long those before a ticket will take, at the present rate."""
        now = now_s()
        given_at = self._given_at_by_service.get(service, ())
        recent = [at for at in given_at if at >= now - _RATE_WINDOW_S]
        if len(recent) < _MIN_GIVEN:
            return 0.0
        span_s = max(now - recent[0], _MIN_SPAN_S)
        return before * span_s / len(recent)

    def _count_before(self, ticket: QueueTicket) -> int:
        """How many go before a ticket."""
        now = now_s()
        rank = self._rank(ticket, now)
        return sum(
            self._rank(joined.ticket, now) <= rank
            for joined in self._waiting_by_service.get(ticket.service, [])
        )

    def _rank(self, ticket: QueueTicket, now: float) -> tuple[float, ...]:
        """Urgent kinds, then who may be in time, then who came first."""
        late = self._is_late(ticket, now)
        return (ticket.priority, late, ticket.arrived_at)

    def _is_late(self, ticket: QueueTicket, now: float) -> bool:
        """Whether a ticket's answer would come after its goal."""
        return now > self._in_time_until(ticket)

    def _in_time_until(self, ticket: QueueTicket) -> float:
        """Until when a ticket must be sent to be answered in time."""
        if not ticket.goal_s:
            return ticket.waits_until
        first_answer_s = min(
            self._first_answers.usual_s(ticket.service),
            _MAX_FIRST_SHARE * ticket.goal_s,
        )
        return ticket.arrived_at + ticket.goal_s - first_answer_s
