"""Which chunks of a version are on their way to this machine right now.

A chunk may be asked for at several places, so that whoever has it first gives
it; but only one transfer of it should use the link, or chunks come twice. A
transfer that lasts long may come from behind a narrow link: then another one
may begin beside it, so that the last chunks don't wait for that link.
"""

import contextlib
from collections.abc import Callable, Iterator

from damaskcroft.clock import now_s

__all__ = ["Arrivals"]

# What a chunk takes beside a full window of others.
_USUAL_S = 1.0
# What it takes when few others are left, and so many are few: half of what may
# be on its way at once.
_LAST_S = 0.3
_FEW_CHUNKS = 6


class Arrivals:
    """Chunks that are being transferred.

    Args:
        missing: how many chunks are still to come.
    """

    __slots__ = ("_began_by_index", "_missing")

    def __init__(self, missing: Callable[[], int]):
        """Nothing is on its way."""
        self._missing = missing
        self._began_by_index: dict[int, float] = {}

    def __contains__(self, index: int) -> bool:
        """Whether a chunk is on its way, and may soon be here."""
        began_at = self._began_by_index.get(index)
        if began_at is None:
            return False
        patience_s = _LAST_S if self._missing() <= _FEW_CHUNKS else _USUAL_S
        return now_s() - began_at < patience_s

    @contextlib.contextmanager
    def transfer(self, index: int) -> Iterator[bool]:
        """One transfer, for as long as the block lasts.

        Yields:
            Whether it may begin: no other one will soon have the chunk here.
        """
        if index in self:
            yield False
            return
        began_at = self._began_by_index[index] = now_s()
        try:
            yield True
        finally:
            if self._began_by_index.get(index) == began_at:
                del self._began_by_index[index]
