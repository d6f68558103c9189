"""An event loop whose clock advances to the next timer instead of sleeping.

Tests run hours of timeouts in a moment, in the same order on every run.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

_T = TypeVar("_T")


class _TimeAdvancingSelector(selectors.DefaultSelector):  # type: ignore[misc,valid-type]
    """Advances the clock of its loop by the timeout instead of sleeping."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError(
                "deadlock: every task waits for an event and no timer is set"
            )
        self.now_s += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """A loop for code that uses neither real sockets nor threads."""

    def __init__(self) -> None:
        """Sets the clock to 0."""
        self._time_selector = _TimeAdvancingSelector()
        super().__init__(self._time_selector)

    def time(self) -> float:
        """The virtual time in seconds."""
        return self._time_selector.now_s

    def run(self, work: Coroutine[Any, Any, _T]) -> _T:
        """Runs a coroutine to completion."""
        return self.run_until_complete(work)

    def pass_time(self, seconds: float) -> None:
        """Runs all scheduled work for a duration of virtual time."""
        self.run_until_complete(asyncio.sleep(seconds))
