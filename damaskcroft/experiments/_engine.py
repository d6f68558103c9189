"""Model of an engine that interleaves prefill with decoding."""

import asyncio
import collections
from collections.abc import Callable, Iterable

from damaskcroft.experiments._parameters import EngineParameters

__all__ = ["EngineFullError", "EngineRun", "ModelEngine"]


class EngineFullError(Exception):
    """The slots and the queue of an engine are full."""


class EngineRun:
    """A request at an engine.

    Attributes:
        first: done when the first event has been written.
        on_event: called at each event.
        ended: done when the last event has been written.
        work_s: engine time attributed to this request.
    """

    __slots__ = (
        "ended",
        "events_left",
        "first",
        "on_event",
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
        self.on_event: Callable[[], None] = lambda: None
        self.work_s = 0.0


class ModelEngine:
    """One engine; `run` works until cancelled.

    Args:
        parameters: capacity and speed of the engine.
        pace: returns how long work takes now; 1 as usual, 2 for twice as long.
    """

    __slots__ = (
        "_arrival_event",
        "_pace",
        "_parameters",
        "_running",
        "_waiting",
    )

    def __init__(
        self,
        parameters: EngineParameters,
        pace: Callable[[], float] = lambda: 1.0,
    ):
        """Starts without requests; the class describes the arguments."""
        self._parameters = parameters
        self._pace = pace
        self._waiting: collections.deque[EngineRun] = collections.deque()
        self._running: list[EngineRun] = []
        self._arrival_event = asyncio.Event()

    @property
    def load(self) -> int:
        """Number of requests that are queued or running."""
        return len(self._waiting) + len(self._running)

    @property
    def pace(self) -> float:
        """How long work takes now; 1 as usual."""
        return self._pace()

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
        await asyncio.sleep(pass_s * self._pace())
        self._write_events(decoding)

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
            run.on_event()
            if not run.first.done():
                run.first.set_result(None)
            if run.events_left <= 0:
                run.ended.set_result(None)
                self._running.remove(run)
