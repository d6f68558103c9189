"""The one clock that decisions are made by."""

import asyncio

__all__ = ["now_s"]


def now_s() -> float:
    """The running loop's monotonic clock, in seconds.

    A test may run the loop in virtual time; wall clocks are never asked.
    """
    return asyncio.get_running_loop().time()
