"""An event loop whose clock jumps ahead when nothing is left to do.

Tests run hours of timeouts in moments, in the same order on every run.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

_T = TypeVar("_T")


class _JumpingSelector(selectors.DefaultSelector):  # type: ignore[misc,valid-type]
    """Never sleeps; moves its loop's clock on instead."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError("every task waits for something outside")
        self.now_s += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """A loop for code that touches no real sockets and no threads."""

    def __init__(self) -> None:
        """Starts the clock at 0."""
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """The virtual time in seconds."""
        return self._jumping.now_s

    def run(self, work: Coroutine[Any, Any, _T]) -> _T:
        """Runs a coroutine to its end."""
        return self.run_until_complete(work)

    def pass_time(self, seconds: float) -> None:
        """Lets everything run for some virtual time."""
        self.run_until_complete(asyncio.sleep(seconds))
