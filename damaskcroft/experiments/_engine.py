"""A model of an engine that reads prompts between the tokens that it writes."""

import asyncio
import collections
from collections.abc import Iterable

from damaskcroft.experiments._shapes import EngineShape

__all__ = ["EngineFullError", "EngineRun", "ModelEngine"]


class EngineFullError(Exception):
    """An engine takes no more requests now."""


class EngineRun:
    """A request at an engine.

    Attributes:
        first: done when its first event is written.
        ended: done when its last one is.
        work_s: the engine's time that was spent on it alone.
    """

    __slots__ = ("ended", "events_left", "first", "unread_tokens", "work_s")

    def __init__(self, prompt_tokens: int, events: int):
        """Nothing of it is read."""
        loop = asyncio.get_running_loop()
        self.unread_tokens = prompt_tokens
        self.events_left = events
        self.first: asyncio.Future[None] = loop.create_future()
        self.ended: asyncio.Future[None] = loop.create_future()
        self.work_s = 0.0


class ModelEngine:
    """One engine; `run` works until cancelled.

    Args:
        shape: how fast it works.
    """

    __slots__ = ("_arrived", "_running", "_shape", "_waiting")

    def __init__(self, shape: EngineShape):
        """See the class."""
        self._shape = shape
        self._waiting: collections.deque[EngineRun] = collections.deque()
        self._running: list[EngineRun] = []
        self._arrived = asyncio.Event()

    @property
    def load(self) -> int:
        """Requests that it has."""
        return len(self._waiting) + len(self._running)

    def begin(self, prompt_tokens: int, events: int) -> EngineRun:
        """Takes a request.

        Raises:
            EngineFullError: it has too many.
        """
        if self.load >= self._shape.slots + self._shape.queued:
            raise EngineFullError
        run = EngineRun(prompt_tokens, events)
        self._waiting.append(run)
        self._arrived.set()
        return run

    async def run(self) -> None:
        """Makes one pass after another."""
        while True:
            if not self.load:
                self._arrived.clear()
                await self._arrived.wait()
            while self._waiting and len(self._running) < self._shape.slots:
                self._running.append(self._waiting.popleft())
            await self._pass()

    async def _pass(self) -> None:
        writing = [run for run in self._running if not run.unread_tokens]
        reading = [run for run in self._running if run.unread_tokens]
        steps = self._shape.tokens_per_event if writing else 1
        takes_s = self._read(reading, steps * self._shape.read_tokens_per_step)
        if writing:
            writes_s = self._shape.writing_s(len(writing))
            takes_s += writes_s
            for run in writing:
                run.work_s += writes_s / len(writing)
        await asyncio.sleep(takes_s)
        self._write(writing)

    def _read(self, reading: Iterable[EngineRun], most_tokens: int) -> float:
        """Reads on, first come first; returns the seconds that it takes."""
        whole_s = 0.0
        for run in reading:
            tokens = min(run.unread_tokens, most_tokens)
            most_tokens -= tokens
            run.unread_tokens -= tokens
            reads_s = tokens / self._shape.read_tokens_s
            run.work_s += reads_s
            whole_s += reads_s
        return whole_s

    def _write(self, writing: Iterable[EngineRun]) -> None:
        for run in writing:
            run.events_left -= 1
            if not run.first.done():
                run.first.set_result(None)
            if run.events_left <= 0:
                run.ended.set_result(None)
                self._running.remove(run)
