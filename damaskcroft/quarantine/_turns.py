"""Turns of a fleet's entries to send copies of one suspect request.

Copies that several entries send at the same moment would crash a target each,
so entries ask one node, which keeps no more than who waits. Where they can't,
as in a cut, a copy more may run.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator

__all__ = ["Turns"]


class Turns:
    """One turn at a time on each request, in the order of asking."""

    __slots__ = ("_asking_by_fingerprint", "_locks_by_fingerprint")

    def __init__(self) -> None:
        """Nobody has asked."""
        self._locks_by_fingerprint: dict[bytes, asyncio.Lock] = {}
        # How many hold a turn or wait for it.
        self._asking_by_fingerprint: dict[bytes, int] = {}

    @contextlib.asynccontextmanager
    async def taken(self, fingerprint: bytes) -> AsyncIterator[None]:
        """Waits for a turn, which lasts while the block runs."""
        lock = self._locks_by_fingerprint.setdefault(
            fingerprint, asyncio.Lock()
        )
        asking = self._asking_by_fingerprint.get(fingerprint, 0)
        self._asking_by_fingerprint[fingerprint] = asking + 1
        try:
            async with lock:
                yield
        finally:
            self._asking_by_fingerprint[fingerprint] -= 1
            if not self._asking_by_fingerprint[fingerprint]:
                del self._asking_by_fingerprint[fingerprint]
                del self._locks_by_fingerprint[fingerprint]
