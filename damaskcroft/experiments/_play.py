"""One play: a fleet, its callers, a policy and a seed."""

import asyncio
import math
import random
from collections.abc import Sequence

from damaskcroft.clock import now_s
from damaskcroft.experiments._engine import ModelEngine
from damaskcroft.experiments._entry import ModelEntry, ticket_of
from damaskcroft.experiments._figures import Figures, Outcome, Tried
from damaskcroft.experiments._policies import Policy
from damaskcroft.experiments._shapes import (
    FleetShape,
    Kind,
    LoadShape,
    saturation_per_s,
)
from damaskcroft.standins.virtual_time import VirtualTimeLoop
from damaskcroft.tasks import end_all

__all__ = ["play"]

# Means are drawn with a deviation of as much; longer ones are cut there.
_DEVIATION = math.sqrt(math.log(2))
_MOST_TIMES_MEAN = 3.0


def play(
    policy: Policy, fleet: FleetShape, load: LoadShape, seed: int
) -> Figures:
    """Plays one day; the same arrivals for each policy with the same seed."""
    loop = VirtualTimeLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run(_Day(policy, fleet, load, seed).run())
    finally:
        asyncio.set_event_loop(None)
        loop.close()


class _Day:
    def __init__(
        self, policy: Policy, fleet: FleetShape, load: LoadShape, seed: int
    ):
        self._policy = policy
        self._fleet = fleet
        self._load = load
        self._seed = seed
        # Arrivals alone, so that no decision shifts them.
        self._rng = random.Random(seed)
        self._figures = Figures()
        self._entries: list[ModelEntry] = []

    async def run(self) -> Figures:
        """Lets all callers come, and end."""
        engines_by_id = {
            f"e{n}": ModelEngine(self._fleet.engine)
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
        working = [
            asyncio.create_task(work())
            for work in (
                *(engine.run for engine in engines_by_id.values()),
                *(entry.run for entry in self._entries),
            )
        ]
        try:
            async with asyncio.TaskGroup() as callers:
                await self._let_come(callers)
        finally:
            await end_all(working)
        return self._figures

    async def _let_come(self, callers: asyncio.TaskGroup) -> None:
        full_per_s = saturation_per_s(self._fleet, self._load)
        weights = self._entry_weights()
        while now_s() < self._load.ends_s:
            times = _step_at(self._load.steps, now_s())
            await asyncio.sleep(self._rng.expovariate(full_per_s * times))
            (kind,) = self._rng.choices(
                self._load.kinds, [kind.weight for kind in self._load.kinds]
            )
            (entry,) = self._rng.choices(range(self._fleet.entries), weights)
            caller = _Caller(
                kind,
                _drawn(self._rng, kind.prompt_tokens),
                _drawn(self._rng, kind.events),
                entry,
                # Where it goes when it comes back.
                self._rng.randrange(self._fleet.entries),
            )
            callers.create_task(self._call(caller))

    def _entry_weights(self) -> list[float]:
        """How many callers each entry has, beside the others."""
        skew = self._load.skew
        most = max(1, self._fleet.entries - 1)
        return [skew ** (n / most) for n in range(self._fleet.entries)]

    async def _call(self, caller: "_Caller") -> None:
        for tries in range(1 + self._load.returns):
            entry = caller.next_entry if tries else caller.entry
            at = now_s()
            answer = await self._entries[entry].ask(
                ticket_of(
                    caller.kind.priority,
                    self._load.goal_s,
                    self._load.deadline_s,
                    caller.prompt_tokens,
                ),
                caller.events,
            )
            self._figures.tries.append(
                Tried(
                    at,
                    caller.kind.name,
                    entry,
                    answer.outcome,
                    answer.first_s,
                    answer.work_s,
                    is_return=bool(tries),
                )
            )
            if answer.outcome is not Outcome.REFUSED:
                return
            await asyncio.sleep(answer.returns_s)


class _Caller:
    __slots__ = ("entry", "events", "kind", "next_entry", "prompt_tokens")

    def __init__(
        self,
        kind: Kind,
        prompt_tokens: int,
        events: int,
        entry: int,
        next_entry: int,
    ):
        self.kind = kind
        self.prompt_tokens = prompt_tokens
        self.events = events
        self.entry = entry
        self.next_entry = next_entry


def _step_at(steps: Sequence[tuple[float, float]], now: float) -> float:
    return next(times for since, times in reversed(steps) if now >= since)


def _drawn(rng: random.Random, mean: float) -> int:
    """A whole number of about that mean, at least 1 (log-normal)."""
    drawn = rng.lognormvariate(math.log(mean) - _DEVIATION**2 / 2, _DEVIATION)
    return max(1, round(min(drawn, _MOST_TIMES_MEAN * mean)))
