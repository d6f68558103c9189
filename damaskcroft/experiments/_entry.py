"""An entry's own queue and placing, before models of engines."""

import asyncio
import random

from damaskcroft.clock import now_s
from damaskcroft.experiments._engine import EngineFullError, ModelEngine
from damaskcroft.experiments._figures import Outcome
from damaskcroft.experiments._policies import Policy
from damaskcroft.experiments._shapes import FleetShape
from damaskcroft.routing import (
    Candidate,
    Overloaded,
    Placement,
    QueueTicket,
    Slot,
    SlotTaken,
)

__all__ = ["Answer", "ModelEntry", "ticket_of"]

_SERVICE = "s"
# Entries and engines stand in so many failure domains, one after another.
_DOMAINS = 3
# As the entry's own loop does.
_LOOK_EVERY_S = 0.1


class Answer:
    """What a try got.

    Attributes:
        outcome: in time, late or refused.
        first_s: from sending to the first event, or to the refusal.
        returns_s: when a refused caller is to come back.
        work_s: the engines' time that was spent on it.
    """

    __slots__ = ("first_s", "outcome", "returns_s", "work_s")

    def __init__(self, outcome: Outcome, first_s: float):
        """An answer that has cost nothing yet."""
        self.outcome = outcome
        self.first_s = first_s
        self.returns_s = 0.0
        self.work_s = 0.0


class ModelEntry:
    """One entry.

    Args:
        number: which.
        fleet: its sizes.
        engines_by_id: all of them.
        policy: how it decides.
        rng: its own choices.
    """

    def __init__(
        self,
        number: int,
        fleet: FleetShape,
        engines_by_id: dict[str, ModelEngine],
        policy: Policy,
        rng: random.Random,
    ):
        """See the class."""
        self._fleet = fleet
        self._engines_by_id = engines_by_id
        self._policy = policy
        self._rng = rng
        self._placer = policy.placer(_domain(number), rng)
        self._placer.entries = fleet.entries
        self._queue = policy.queue(self._choose, self._take)
        self._candidates = [
            Candidate(
                engine_id,
                engine_id,
                _domain(place),
                _domain(place),
                fleet.engine.slots,
                fleet.engine.read_tokens_s,
            )
            for place, engine_id in enumerate(engines_by_id)
        ]

    async def run(self) -> None:
        """Looks at who waits in the queue."""
        while True:
            await asyncio.sleep(_LOOK_EVERY_S)
            self._queue.serve()

    async def ask(self, ticket: QueueTicket, events: int) -> Answer:
        """Answers one try, after its last event."""
        taken = await self._queue.take_slot(ticket)
        if isinstance(taken, Overloaded):
            return self._refused(ticket, taken.foreseen_s)
        try:
            return await self._run(ticket, events, taken)
        except EngineFullError:
            return self._refused(ticket, 0.0)
        finally:
            taken.slot.give_back()
            self._queue.serve()

    async def _run(
        self, ticket: QueueTicket, events: int, taken: SlotTaken
    ) -> Answer:
        engine = self._engines_by_id[taken.candidate.id]
        sent_at = now_s()
        await asyncio.sleep(self._fleet.delay_s)
        run = engine.begin(ticket.prompt_tokens, events)
        await run.first
        load = engine.load
        await asyncio.sleep(self._fleet.delay_s)
        took_s = now_s() - sent_at
        self._queue.first_answered(ticket.service, took_s)
        self._placer.first_answered(took_s, ticket.goal_s)
        self._placer.told(taken.candidate.id, load)
        if taken.slot.read():
            self._queue.serve()
        first_s = now_s() - ticket.arrived_at
        is_late = first_s > ticket.goal_s
        answer = Answer(Outcome.LATE if is_late else Outcome.IN_TIME, first_s)
        await run.ended
        answer.work_s = run.work_s
        return answer

    def _refused(self, ticket: QueueTicket, foreseen_s: float) -> Answer:
        answer = Answer(Outcome.REFUSED, now_s() - ticket.arrived_at)
        answer.returns_s = self._policy.return_after_s(foreseen_s, self._rng)
        return answer

    def _choose(self, ticket: QueueTicket) -> Placement | None:
        return self._placer.choose(self._candidates, (), ticket.prompt_tokens)

    def _take(self, candidate: Candidate, ticket: QueueTicket) -> Slot:
        return self._placer.take(candidate, ticket.prompt_tokens)


def _domain(number: int) -> str:
    return f"d{number % _DOMAINS}"


def ticket_of(
    priority: int, goal_s: float, deadline_s: float, prompt_tokens: int
) -> QueueTicket:
    """A request that arrives now."""
    now = now_s()
    return QueueTicket(
        service=_SERVICE,
        model="",
        priority=priority,
        arrived_at=now,
        goal_s=goal_s,
        deadline_at=now + deadline_s,
        prompt_tokens=prompt_tokens,
    )
