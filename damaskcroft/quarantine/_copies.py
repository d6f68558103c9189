"""Copies of one suspect request run one after another at an entry.

Should it crash targets, it crashes one at a time; should it be innocent, the
first copy that ends clears it, and the others go on at once.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from damaskcroft.quarantine._book import CrashBook

__all__ = ["Copies"]


class Copies:
    """Which suspects have a copy under way here.

    Args:
        book: who is a suspect.
    """

    __slots__ = ("_book", "_ended_by_fingerprint")

    def __init__(self, book: CrashBook):
        """See the class."""
        self._book = book
        self._ended_by_fingerprint: dict[bytes, asyncio.Event] = {}

    @contextlib.asynccontextmanager
    async def one_at_a_time(
        self, fingerprint: bytes, until: float
    ) -> AsyncIterator[None]:
        """Waits while another copy of a suspect is under way.

        Args:
            fingerprint: of the request.
            until: loop time at which the request's own time is over.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(until):
                await self._wait_for_others(fingerprint)
        if not self._book.is_suspect(fingerprint):
            yield
            return
        ended = self._ended_by_fingerprint[fingerprint] = asyncio.Event()
        try:
            yield
        finally:
            if self._ended_by_fingerprint.get(fingerprint) is ended:
                del self._ended_by_fingerprint[fingerprint]
            ended.set()

    async def _wait_for_others(self, fingerprint: bytes) -> None:
        while self._book.is_suspect(fingerprint):
            other = self._ended_by_fingerprint.get(fingerprint)
            if other is None:
                return
            await other.wait()
