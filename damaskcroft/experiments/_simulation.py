"""Simulation of a fleet, its callers and a policy for one seed."""

import asyncio
import math
import random
from collections.abc import Sequence

from damaskcroft.clock import now_s
from damaskcroft.experiments._engine import ModelEngine
from damaskcroft.experiments._entry import ModelEntry, make_ticket
from damaskcroft.experiments._parameters import (
    FleetParameters,
    LoadParameters,
    RequestKind,
    saturation_per_s,
)
from damaskcroft.experiments._policies import Policy
from damaskcroft.experiments._results import Attempt, Outcome, Results
from damaskcroft.standins.virtual_time import VirtualTimeLoop
from damaskcroft.tasks import cancel_all

__all__ = ["simulate"]

# Sizes are log-normal with a standard deviation equal to the mean, and capped.
_LOG_SIGMA = math.sqrt(math.log(2))
_MAX_TIMES_MEAN = 3.0


def simulate(
    policy: Policy, fleet: FleetParameters, load: LoadParameters, seed: int
) -> Results:
    """Runs one simulation; the policy does not influence the arrivals."""
    loop = VirtualTimeLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run(_Simulation(policy, fleet, load, seed).run())
    finally:
        asyncio.set_event_loop(None)
        loop.close()


class _Simulation:
    def __init__(
        self,
        policy: Policy,
        fleet: FleetParameters,
        load: LoadParameters,
        seed: int,
    ):
        self._policy = policy
        self._fleet = fleet
        self._load = load
        self._seed = seed
        # Used for arrivals alone, so that no decision of a policy shifts them.
        self._rng = random.Random(seed)
        self._results = Results()
        self._entries: list[ModelEntry] = []

    async def run(self) -> Results:
        """Runs all callers to their end."""
        engines_by_id = {
            f"e{n}": ModelEngine(
                self._fleet.engine, random.Random(f"{self._seed}/engine/{n}")
            )
            for n in range(self._fleet.engines)
        }
        self._entries = [
            ModelEntry(
                number,
                self._fleet,
                engines_by_id,
                self._policy,
                random.Random(f"{self._seed}/{number}"),
            )
            for number in range(self._fleet.entries)
        ]
        workers = [
            asyncio.create_task(work())
            for work in (
                *(engine.run for engine in engines_by_id.values()),
                *(entry.run for entry in self._entries),
            )
        ]
        try:
            async with asyncio.TaskGroup() as callers:
                await self._generate_arrivals(callers)
        finally:
            await cancel_all(workers)
        return self._results

    async def _generate_arrivals(self, callers: asyncio.TaskGroup) -> None:
        saturation_rate_per_s = saturation_per_s(self._fleet, self._load)
        weights = self._weigh_entries()
        while now_s() < self._load.ends_s:
            load_factor = _load_factor_at(self._load.steps, now_s())
            await asyncio.sleep(
                self._rng.expovariate(saturation_rate_per_s * load_factor)
            )
            (kind,) = self._rng.choices(
                self._load.kinds, [kind.weight for kind in self._load.kinds]
            )
            (entry,) = self._rng.choices(range(self._fleet.entries), weights)
            caller = _Caller(
                kind,
                _draw_lognormal(self._rng, kind.prompt_tokens),
                _draw_lognormal(self._rng, kind.events),
                entry,
                # The entry of its retries.
                self._rng.randrange(self._fleet.entries),
            )
            callers.create_task(self._call(caller))

    def _weigh_entries(self) -> list[float]:
        """Returns the relative number of callers of each entry."""
        skew = self._load.skew
        last_index = max(1, self._fleet.entries - 1)
        return [skew ** (n / last_index) for n in range(self._fleet.entries)]

    async def _call(self, caller: "_Caller") -> None:
        for attempt_index in range(1 + self._load.max_retries):
            entry = caller.retry_entry if attempt_index else caller.entry
            sent_at = now_s()
            answer = await self._entries[entry].submit(
                make_ticket(
                    caller.kind.priority,
                    caller.kind.latency_objective_s
                    or self._load.latency_objective_s,
                    self._load.deadline_s,
                    caller.prompt_tokens,
                ),
                caller.events,
            )
            self._results.attempts.append(
                Attempt(
                    sent_at,
                    caller.kind.name,
                    entry,
                    answer.outcome,
                    answer.first_s,
                    answer.work_s,
                    is_retry=bool(attempt_index),
                )
            )
            if answer.outcome is not Outcome.REFUSED:
                return
            await asyncio.sleep(answer.retry_in_s)


class _Caller:
    __slots__ = ("entry", "events", "kind", "prompt_tokens", "retry_entry")

    def __init__(
        self,
        kind: RequestKind,
        prompt_tokens: int,
        events: int,
        entry: int,
        retry_entry: int,
    ):
        self.kind = kind
        self.prompt_tokens = prompt_tokens
        self.events = events
        self.entry = entry
        self.retry_entry = retry_entry


def _load_factor_at(steps: Sequence[tuple[float, float]], now: float) -> float:
    return next(
        load_factor for since, load_factor in reversed(steps) if now >= since
    )


def _draw_lognormal(rng: random.Random, mean: float) -> int:
    """Draws a log-normal integer with about this mean, at least 1."""
    drawn = rng.lognormvariate(math.log(mean) - _LOG_SIGMA**2 / 2, _LOG_SIGMA)
    return max(1, round(min(drawn, _MAX_TIMES_MEAN * mean)))
