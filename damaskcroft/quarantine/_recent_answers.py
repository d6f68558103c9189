"""Requests that have lately run to their end.

The same request comes again and again from many callers, as one that reads a
status does; it then runs on most targets that crash for other reasons. That it
was answered shortly before speaks against it as their cause.
"""

import collections

from damaskcroft.clock import now_s

__all__ = ["MOST_NOTED_BYTES", "RecentAnswers"]

# Hashing a larger body for each answer costs too much; what many callers send
# alike is short.
MOST_NOTED_BYTES = 64 * 1024

# Later the weights, or what a target keeps, may have changed.
_KEPT_S = 60.0
_MOST = 4096


class RecentAnswers:
    """Fingerprints of requests with the time of their last whole answer."""

    __slots__ = ("_answered_at",)

    def __init__(self) -> None:
        """Starts without any."""
        # The latest is the last.
        self._answered_at: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )

    def note(self, fingerprint: bytes) -> None:
        """Takes note of a whole answer that is no failure."""
        self._answered_at[fingerprint] = now_s()
        self._answered_at.move_to_end(fingerprint)
        if len(self._answered_at) > _MOST:
            self._answered_at.popitem(last=False)

    def has(self, fingerprint: bytes) -> bool:
        """Whether a request was answered shortly before."""
        at = self._answered_at.get(fingerprint)
        return at is not None and now_s() - at < _KEPT_S
