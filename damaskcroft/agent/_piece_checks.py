"""How recently each staged piece of a version was known to be correct."""

import math

from damaskcroft.clock import now_s

__all__ = ["PieceChecks"]


class PieceChecks:
    """Times of the last check of each piece.

    A check proves nothing about a piece later than the moment at which the
    target reads it, and the agent knows only when it asked for it. A set of
    pieces is as well known as the one checked longest ago.

    Args:
        count: number of pieces; none is checked yet.
    """

    __slots__ = ("_checked_at",)

    def __init__(self, count: int):
        """Starts without any check."""
        self._checked_at = [-math.inf] * count

    def record(self, index: int, asked_at: float) -> None:
        """Records that a piece was correct.

        Args:
            index: the piece.
            asked_at: loop time before the target was asked for it, or was sent
                a correct copy.
        """
        self._checked_at[index] = asked_at

    def older_than(self, age_s: float) -> list[int]:
        """Returns the pieces without a check, or with an older one."""
        since = now_s() - age_s
        return [
            index for index, at in enumerate(self._checked_at) if at < since
        ]

    @property
    def oldest_at(self) -> float:
        """Time of the check of the piece checked longest ago."""
        return min(self._checked_at, default=-math.inf)
