"""Model of an engine that interleaves prefill with decoding."""

import asyncio
import collections
import random
from collections.abc import Iterable

from damaskcroft.clock import now_s
from damaskcroft.experiments._parameters import EngineParameters

__all__ = ["EngineFullError", "EngineRun", "ModelEngine"]


class EngineFullError(Exception):
    """The slots and the queue of an engine are full."""


class EngineRun:
    """A request at an engine.

    Attributes:
        first: done when the first event has been written.
        ended: done when the last event has been written.
        work_s: engine time attributed to this request.
    """

    __slots__ = (
        "ended",
        "events_left",
        "first",
        "pending_prompt_tokens",
        "work_s",
    )

    def __init__(self, prompt_tokens: int, events: int):
        """Starts with the whole prompt unread."""
        loop = asyncio.get_running_loop()
        self.pending_prompt_tokens = prompt_tokens
        self.events_left = events
        self.first: asyncio.Future[None] = loop.create_future()
        self.ended: asyncio.Future[None] = loop.create_future()
        self.work_s = 0.0


class ModelEngine:
    """One engine; `run` works until cancelled.

    Args:
        parameters: capacity and speed of the engine.
        rng: draws the periods in which it is slow.
    """

    __slots__ = (
        "_arrival_event",
        "_pace_until",
        "_parameters",
        "_rng",
        "_running",
        "_waiting",
        "pace",
    )

    def __init__(
        self, parameters: EngineParameters, rng: random.Random | None = None
    ):
        """Starts without requests; the class describes the arguments."""
        self._rng = rng or random.Random(0)
        self._pace_until = 0.0
        self.pace = 1.0
        self._parameters = parameters
        self._waiting: collections.deque[EngineRun] = collections.deque()
        self._running: list[EngineRun] = []
        self._arrival_event = asyncio.Event()

    @property
    def load(self) -> int:
        """Number of requests that are queued or running."""
        return len(self._waiting) + len(self._running)

    def start_request(self, prompt_tokens: int, events: int) -> EngineRun:
        """Queues a request.

        Raises:
            EngineFullError: slots and queue are full.
        """
        if self.load >= self._parameters.slots + self._parameters.queued:
            raise EngineFullError
        run = EngineRun(prompt_tokens, events)
        self._waiting.append(run)
        self._arrival_event.set()
        return run

    async def run(self) -> None:
        """Runs passes until cancelled; waits while there are no requests."""
        while True:
            if not self.load:
                self._arrival_event.clear()
                await self._arrival_event.wait()
            while self._waiting and len(self._running) < self._parameters.slots:
                self._running.append(self._waiting.popleft())
            await self._run_pass()

    async def _run_pass(self) -> None:
        decoding = [
            run for run in self._running if not run.pending_prompt_tokens
        ]
        prefilling = [run for run in self._running if run.pending_prompt_tokens]
        steps = self._parameters.tokens_per_event if decoding else 1
        pass_s = self._prefill(
            prefilling, steps * self._parameters.max_prefill_tokens_per_step
        )
        if decoding:
            decode_s = self._parameters.decode_time_s(len(decoding))
            pass_s += decode_s
            for run in decoding:
                run.work_s += decode_s / len(decoding)
        self._update_pace()
        await asyncio.sleep(pass_s * self.pace)
        self._write_events(decoding)

    def _update_pace(self) -> None:
        """Draws whether the engine is slow in the current period."""
        now = now_s()
        if not self._parameters.slow_share or now < self._pace_until:
            return
        is_slow = self._rng.random() < self._parameters.slow_share
        self.pace = self._parameters.slow_factor if is_slow else 1.0
        self._pace_until = now + self._parameters.slow_s

    def _prefill(
        self, prefilling: Iterable[EngineRun], token_budget: int
    ) -> float:
        """Prefills in order of arrival; returns the time taken in seconds."""
        total_s = 0.0
        for run in prefilling:
            tokens = min(run.pending_prompt_tokens, token_budget)
            token_budget -= tokens
            run.pending_prompt_tokens -= tokens
            prefill_s = tokens / self._parameters.prefill_tokens_per_s
            run.work_s += prefill_s
            total_s += prefill_s
        return total_s

    def _write_events(self, decoding: Iterable[EngineRun]) -> None:
        for run in decoding:
            run.events_left -= 1
            if not run.first.done():
                run.first.set_result(None)
            if run.events_left <= 0:
                run.ended.set_result(None)
                self._running.remove(run)
