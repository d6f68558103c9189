"""Turns of the entries of a fleet to send copies of a suspect request.

A turn is the permission to send one copy of a suspect request, granted to one
entry at a time. Copies that several entries send at the same moment would crash
a target each, so the entries ask one node, which only keeps the queue of the
entries that ask. Where they cannot reach it, as in a network partition, an
additional copy may run.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator

__all__ = ["Turns"]


class Turns:
    """One turn at a time on each request, in the order of asking."""

    __slots__ = ("_locks_by_fingerprint", "_requester_count_by_fingerprint")

    def __init__(self) -> None:
        """Starts without any turn held or asked for."""
        self._locks_by_fingerprint: dict[bytes, asyncio.Lock] = {}
        # Number of entries that hold a turn or wait for it.
        self._requester_count_by_fingerprint: dict[bytes, int] = {}

    @contextlib.asynccontextmanager
    async def taken(self, fingerprint: bytes) -> AsyncIterator[None]:
        """Waits for a turn, which is held while the block runs."""
        lock = self._locks_by_fingerprint.setdefault(
            fingerprint, asyncio.Lock()
        )
        requester_count = self._requester_count_by_fingerprint.get(
            fingerprint, 0
        )
        self._requester_count_by_fingerprint[fingerprint] = requester_count + 1
        try:
            async with lock:
                yield
        finally:
            self._requester_count_by_fingerprint[fingerprint] -= 1
            if not self._requester_count_by_fingerprint[fingerprint]:
                del self._requester_count_by_fingerprint[fingerprint]
                del self._locks_by_fingerprint[fingerprint]
