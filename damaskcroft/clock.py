"""Event loop with the clock on which all decisions are based."""

import asyncio
import collections
import selectors
import time
from collections.abc import Coroutine
from typing import Any, TypeVar

__all__ = ["arrived_after_s", "now_s", "run"]

_T = TypeVar("_T")


# Maximum rounds of callbacks between two polls of the sockets: enough to pass a
# message through a few tasks, and well under a millisecond in total.
_MAX_ROUNDS_PER_POLL = 8
# A request on a new connection is read by the poll after the one that reports
# the connection, or the second after it if more connections waited than are
# accepted in one step. It arrived after the poll before those.
_POLLS_FOR_A_REQUEST = 4


def _boottime_s() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class _ThrottledSelector(selectors.DefaultSelector):
    """Polls the kernel less often while callbacks are ready.

    The loop polls before each round of callbacks, and a message that passes
    through several tasks takes several rounds. A system call for each round
    would cost more than the rounds themselves.
    """

    def __init__(self) -> None:
        super().__init__()
        self._rounds = 0
        self._polled_at = collections.deque(
            [_boottime_s()], maxlen=_POLLS_FOR_A_REQUEST
        )

    @property
    def arrived_after_s(self) -> float:
        """See the function of that name."""
        return self._polled_at[0]

    def select(self, timeout=None):
        """Skips up to `_MAX_ROUNDS_PER_POLL` polls that would not block."""
        is_poll = timeout is not None and timeout <= 0
        if is_poll and self._rounds < _MAX_ROUNDS_PER_POLL:
            self._rounds += 1
            return []
        self._rounds = 0
        self._polled_at.append(_boottime_s())
        return super().select(timeout)


class _BoottimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock includes time in which the machine is suspended.

    Leases and deadlines of other processes continue to run during a
    suspension, so that all code sees it as a freeze. The selector's own wait
    doesn't include it: a timer may fire late by the length of the suspension,
    unless something else wakes the loop.
    """

    def __init__(self) -> None:
        self._polls = _ThrottledSelector()
        super().__init__(self._polls)

    @property
    def arrived_after_s(self) -> float:
        """See the function of that name."""
        return self._polls.arrived_after_s

    def time(self) -> float:
        """Returns seconds since the machine's boot, including suspensions."""
        return _boottime_s()


def now_s() -> float:
    """Returns the time of the running loop in seconds; it is monotonic.

    In a program the time includes suspensions, see `run`. A test may run the
    loop in virtual time, therefore no wall clock is read.
    """
    return asyncio.get_running_loop().time()


def arrived_after_s() -> float:
    """Returns the earliest time at which a request just read can have arrived.

    A request that waits in the kernel while the process is suspended is read at
    once when the process continues, like one that arrives then; the polls
    before tell how long it may have waited. On another loop than that of `run`
    it is the present time.
    """
    loop = asyncio.get_running_loop()
    if not isinstance(loop, _BoottimeLoop):
        return loop.time()
    return loop.arrived_after_s


def run(work: Coroutine[Any, Any, _T]) -> _T:
    """Runs a coroutine to its end, on a clock that includes suspensions."""
    with asyncio.Runner(loop_factory=_BoottimeLoop) as runner:
        return runner.run(work)
