"""An entry's own queue and placer, connected to models of engines."""

import asyncio
import random

from damaskcroft.clock import now_s
from damaskcroft.experiments._engine import EngineFullError, ModelEngine
from damaskcroft.experiments._parameters import FleetParameters
from damaskcroft.experiments._policies import Policy
from damaskcroft.experiments._results import Outcome
from damaskcroft.routing import (
    Candidate,
    Overloaded,
    Placement,
    QueueTicket,
    Slot,
    SlotTaken,
)

__all__ = ["Answer", "ModelEntry", "make_ticket"]

_SERVICE = "s"
# Entries and engines are assigned to the failure domains round robin.
_DOMAINS = 3
# The interval of the loop of an actual entry.
_QUEUE_CHECK_INTERVAL_S = 0.1


class Answer:
    """Result of one attempt.

    Attributes:
        outcome: in time, late or refused.
        first_s: time from sending to the first event, or to the refusal.
        retry_in_s: the Retry-After of a refusal.
        work_s: engine time that the attempt took.
    """

    __slots__ = ("first_s", "outcome", "retry_in_s", "work_s")

    def __init__(self, outcome: Outcome, first_s: float):
        """Starts without Retry-After and engine time."""
        self.outcome = outcome
        self.first_s = first_s
        self.retry_in_s = 0.0
        self.work_s = 0.0


class ModelEntry:
    """One entry.

    Args:
        number: index of the entry, which also selects its failure domain.
        fleet: sizes of the fleet.
        engines_by_id: all engines.
        policy: how the entry queues and places requests.
        rng: random numbers of this entry alone.
    """

    def __init__(
        self,
        number: int,
        fleet: FleetParameters,
        engines_by_id: dict[str, ModelEngine],
        policy: Policy,
        rng: random.Random,
    ):
        """Builds queue and placer; the class describes the arguments."""
        self._fleet = fleet
        self._engines_by_id = engines_by_id
        self._policy = policy
        self._rng = rng
        self._placer = policy.placer(_failure_domain(number), rng)
        self._placer.entries = fleet.entries
        self._queue = policy.queue(self._choose, self._take_slot)
        self._candidates = [
            Candidate(
                engine_id,
                engine_id,
                _failure_domain(index),
                _failure_domain(index),
                fleet.engine.slots,
                fleet.engine.prefill_tokens_per_s,
            )
            for index, engine_id in enumerate(engines_by_id)
        ]

    async def run(self) -> None:
        """Serves the queue periodically, until cancelled."""
        while True:
            await asyncio.sleep(_QUEUE_CHECK_INTERVAL_S)
            self._queue.serve()

    async def submit(self, ticket: QueueTicket, events: int) -> Answer:
        """Runs one attempt; returns after its last event or its refusal."""
        granted = await self._queue.take_slot(ticket)
        if isinstance(granted, Overloaded):
            return self._make_refusal(ticket, granted.expected_wait_s)
        try:
            return await self._run_at_engine(ticket, events, granted)
        except EngineFullError:
            return self._make_refusal(ticket, 0.0)
        finally:
            granted.slot.give_back()
            self._queue.serve()

    async def _run_at_engine(
        self, ticket: QueueTicket, events: int, granted: SlotTaken
    ) -> Answer:
        engine = self._engines_by_id[granted.candidate.id]
        sent_at = now_s()
        await asyncio.sleep(self._fleet.delay_s)
        run = engine.start_request(ticket.prompt_tokens, events)
        await run.first
        load, pace = engine.load, engine.pace
        await asyncio.sleep(self._fleet.delay_s)
        first_event_s = now_s() - sent_at
        self._queue.record_first_answer(ticket.service, first_event_s)
        self._placer.record_first_answer(
            first_event_s, ticket.latency_objective_s
        )
        self._placer.record_load(granted.candidate.id, load, pace)
        if granted.slot.read():
            self._queue.serve()
        first_s = now_s() - ticket.arrived_at
        is_late = first_s > ticket.latency_objective_s
        answer = Answer(Outcome.LATE if is_late else Outcome.IN_TIME, first_s)
        await run.ended
        answer.work_s = run.work_s
        return answer

    def _make_refusal(
        self, ticket: QueueTicket, expected_wait_s: float
    ) -> Answer:
        answer = Answer(Outcome.REFUSED, now_s() - ticket.arrived_at)
        answer.retry_in_s = self._policy.draw_retry_after_s(
            expected_wait_s, self._rng
        )
        return answer

    def _choose(self, ticket: QueueTicket) -> Placement | None:
        return self._placer.choose(self._candidates, (), ticket.prompt_tokens)

    def _take_slot(self, candidate: Candidate, ticket: QueueTicket) -> Slot:
        return self._placer.take(candidate, ticket.prompt_tokens)


def _failure_domain(number: int) -> str:
    return f"d{number % _DOMAINS}"


def make_ticket(
    priority: int,
    latency_objective_s: float,
    deadline_s: float,
    prompt_tokens: int,
) -> QueueTicket:
    """Returns the ticket of a request that arrives now."""
    now = now_s()
    return QueueTicket(
        service=_SERVICE,
        model="",
        priority=priority,
        arrived_at=now,
        latency_objective_s=latency_objective_s,
        deadline_at=now + deadline_s,
        prompt_tokens=prompt_tokens,
    )
