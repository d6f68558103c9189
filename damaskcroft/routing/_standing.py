"""Whether a queue stands: more come than targets carry, and it won't pass."""

import math

__all__ = ["LateSpan"]

# A queue in which some are late for so long, without a pause of as long,
# doesn't end by itself.
_STANDS_AFTER_S = 1.0


class LateSpan:
    """The time in which some waited who couldn't be in time any more."""

    __slots__ = ("_seen_at", "_since")

    def __init__(self) -> None:
        """Nobody has waited in vain."""
        self._since = self._seen_at = -math.inf

    def note(self, now: float) -> None:
        """Somebody waits in vain now."""
        if now - self._seen_at > _STANDS_AFTER_S:
            self._since = now
        self._seen_at = now

    def stands(self, now: float) -> bool:
        """Whether that lasts, and has lasted for some time."""
        lasts = now - self._seen_at <= _STANDS_AFTER_S
        return lasts and now - self._since >= _STANDS_AFTER_S
