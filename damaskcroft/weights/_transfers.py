"""Tracks which chunks are being transferred to this machine.

A chunk may be requested from several agents, so that the first one that holds
it can send it; but only one transfer should use the link, or its bytes would be
sent twice. If a transfer takes long, its sender may be behind a narrow link:
another transfer may then begin beside it, so that the last chunks don't wait
for that link.
"""

import contextlib
from collections.abc import Callable, Iterator

from damaskcroft.clock import now_s

__all__ = ["ActiveTransfers"]

# Transfer time of a chunk beside a full window of others.
_USUAL_TRANSFER_S = 1.0
# Transfer time when few other chunks are missing, and how many count as few:
# half of what may be in flight at once.
_FINAL_TRANSFER_S = 0.3
_MAX_FINAL_CHUNKS = 6


class ActiveTransfers:
    """Chunks that are being transferred.

    Args:
        missing: returns how many chunks are missing.
    """

    __slots__ = ("_began_by_index", "_missing")

    def __init__(self, missing: Callable[[], int]):
        """No transfer is active at first."""
        self._missing = missing
        self._began_by_index: dict[int, float] = {}

    def __contains__(self, index: int) -> bool:
        """Whether a transfer is active and likely to complete soon."""
        began_at = self._began_by_index.get(index)
        if began_at is None:
            return False
        expected_s = (
            _FINAL_TRANSFER_S
            if self._missing() <= _MAX_FINAL_CHUNKS
            else _USUAL_TRANSFER_S
        )
        return now_s() - began_at < expected_s

    @contextlib.contextmanager
    def transfer(self, index: int) -> Iterator[bool]:
        """Registers a transfer for as long as the block lasts.

        Yields:
            Whether the transfer may begin, because no other one is likely to
            complete soon.
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
