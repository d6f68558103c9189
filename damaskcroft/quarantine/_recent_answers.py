"""Record of requests that have recently been answered.

Many callers send the same request repeatedly, for example to read a status, so
that it is running on most targets that crash for other reasons. A recent answer
to it is evidence that it is not the cause.
"""

import collections

from damaskcroft.clock import now_s

__all__ = ["MAX_RECORDED_BODY_BYTES", "RecentAnswers"]

# Hashing a larger body for each answer costs too much, and requests that many
# callers send alike are short.
MAX_RECORDED_BODY_BYTES = 64 * 1024

# After this time the weights, or the state that a target keeps, may have
# changed.
_RETENTION_S = 60.0
_MAX_ENTRIES = 4096


class RecentAnswers:
    """Fingerprints of requests with the time of their last complete answer."""

    __slots__ = ("_answered_at",)

    def __init__(self) -> None:
        """Starts without any recorded answer."""
        # Ordered by time, the latest last.
        self._answered_at: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )

    def record(self, fingerprint: bytes) -> None:
        """Records a complete answer that is not a failure."""
        self._answered_at[fingerprint] = now_s()
        self._answered_at.move_to_end(fingerprint)
        if len(self._answered_at) > _MAX_ENTRIES:
            self._answered_at.popitem(last=False)

    def contains(self, fingerprint: bytes) -> bool:
        """Whether a request was answered shortly before."""
        at = self._answered_at.get(fingerprint)
        return at is not None and now_s() - at < _RETENTION_S
