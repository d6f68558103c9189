"""Chunk requests that are open at other agents, and may be abandoned.

While a chunk request is open at one agent, a nearer one may receive the chunk.
One timer checks all open requests: some dozens are open in a burst, and a timer
for each would wake the process some hundred times a second.
"""

import asyncio
import contextlib
from collections.abc import Callable, Iterator

__all__ = ["OpenRequests"]

# How often open requests are compared with what other agents hold by now: twice
# the transfer time of a chunk on a link of 3.65 Mbit/s.
_CHECK_INTERVAL_S = 0.1


class OpenRequests:
    """All requests of one agent that wait for an answer."""

    __slots__ = ("_should_abandon_by_future", "_timer")

    def __init__(self) -> None:
        """No request is open at first."""
        self._should_abandon_by_future: dict[
            asyncio.Future[None], Callable[[], bool]
        ] = {}
        self._timer: asyncio.TimerHandle | None = None

    @contextlib.contextmanager
    def track(
        self, should_abandon: Callable[[], bool]
    ) -> Iterator[asyncio.Future[None]]:
        """Registers a request that is open until the block ends.

        Args:
            should_abandon: whether the request should be sent elsewhere.

        Yields:
            A future that is done once `should_abandon` has returned True.
        """
        abandoned = asyncio.get_running_loop().create_future()
        self._should_abandon_by_future[abandoned] = should_abandon
        self._schedule_check()
        try:
            yield abandoned
        finally:
            del self._should_abandon_by_future[abandoned]
            abandoned.cancel()

    def _schedule_check(self) -> None:
        if self._timer is None and self._should_abandon_by_future:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(_CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._timer = None
        for abandoned, should_abandon in self._should_abandon_by_future.items():
            if not abandoned.done() and should_abandon():
                abandoned.set_result(None)
        self._schedule_check()
