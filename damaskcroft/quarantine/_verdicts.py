"""Verdicts: the requests that explain the crashes of targets.

A request is held responsible when chance no longer explains that so many
targets crashed under it.
"""

import collections
import math
from collections.abc import Iterable, Mapping

__all__ = [
    "MIN_CRASHES",
    "Crash",
    "Verdicts",
    "longest_chain",
    "starts_by_suspect",
]

# Number of starts that crash under a request before it is refused.
MIN_CRASHES = 3
# Pairs of a number of nearby crashes without a known reason, and the number of
# additional crashes that are then required, because chance may have led a
# request to three.
_EXTRA_BY_NEARBY_CRASHES = ((12, 2), (3, 1), (0, 0))
# From this number of crashes under no other request, crashes that another
# request explains count as well.
_MIN_SOLE_SUSPECT_CRASHES = 2
# Additional crashes required of a request that was answered shortly before any
# of its crashes, because most of its crashes then have other causes.
_EXTRA_IF_ANSWERED = 5
# Other crashes count as nearby if they precede one of the request's by at most
# this time.
_NEARBY_WITHIN_S = 30.0


class Crash:
    """One start of a target that crashed.

    Attributes:
        answered: those of its suspects that had run to their end elsewhere
            shortly before.
        occurred_at: loop time of the crash on this process's clock.
        suspects: by the fingerprint of each request that ran there, its chain:
            the number of crashes in sequence up to this one.
        cleared: those of its suspects that have been cleared since.
        service: service for which the target ran; empty if unknown.
    """

    __slots__ = ("answered", "cleared", "occurred_at", "service", "suspects")

    def __init__(self, at: float):
        """Creates a crash without suspects."""
        self.occurred_at = at
        self.service = ""
        self.suspects: dict[bytes, int] = {}
        self.answered: set[bytes] = set()
        self.cleared: set[bytes] = set()

    @property
    def uncleared_suspects(self) -> list[bytes]:
        """The suspects that have not been cleared."""
        return [s for s in self.suspects if s not in self.cleared]


class Verdicts:
    """Derives from the known crashes which requests cause them.

    Args:
        crashes_by_start: all known crashes.
    """

    __slots__ = ("_crashes_by_start", "_uncleared_by_start")

    def __init__(self, crashes_by_start: Mapping[str, Crash]):
        """Collects the suspects that have not been cleared."""
        self._crashes_by_start = crashes_by_start
        self._uncleared_by_start = {
            start: crash.uncleared_suspects
            for start, crash in crashes_by_start.items()
        }

    def starts_by_suspect(self) -> dict[bytes, list[str]]:
        """The starts that crashed under each request that is not cleared."""
        return starts_by_suspect(self._uncleared_by_start)

    def culprits(self) -> set[bytes]:
        """Requests that explain crashes.

        The request that became a culprit first is found first. The crashes
        under it then count against other requests only where
        `_add_shared_crashes` adds them.
        """
        culprits: set[bytes] = set()
        unexplained = dict(self._uncleared_by_start)
        while True:
            starts_by_uncleared = starts_by_suspect(unexplained)
            self._add_shared_crashes(starts_by_uncleared, unexplained, culprits)
            by_chance = unexplained.keys() - self._starts_of_repeaters(
                starts_by_uncleared
            )
            since = {
                fingerprint: self._culprit_since(fingerprint, starts, by_chance)
                for fingerprint, starts in starts_by_uncleared.items()
            }
            first = min(since.values(), default=math.inf)
            if math.isinf(first):
                return culprits
            found = {f for f, at in since.items() if at == first}
            culprits |= found
            unexplained = {
                start: suspects
                for start, suspects in unexplained.items()
                if found.isdisjoint(suspects)
            }

    def _add_shared_crashes(
        self,
        starts_by_uncleared: dict[bytes, list[str]],
        unexplained: dict[str, list[bytes]],
        culprits: set[bytes],
    ) -> None:
        """Adds crashes under a request that another request explains already.

        If two requests that crash targets ran on the same one, both count as
        its cause. This requires at least `_MIN_SOLE_SUSPECT_CRASHES` crashes of
        such a request under which no other request ran.
        """
        sole_suspect_counts = collections.Counter(
            suspects[0]
            for suspects in unexplained.values()
            if len(suspects) == 1
        )
        for start, suspects in self._uncleared_by_start.items():
            if start in unexplained:
                continue
            for suspect in suspects:
                if (
                    suspect not in culprits
                    and sole_suspect_counts[suspect]
                    >= _MIN_SOLE_SUSPECT_CRASHES
                ):
                    starts_by_uncleared[suspect].append(start)

    def _starts_of_repeaters(
        self, starts_by_uncleared: dict[bytes, list[str]]
    ) -> set[str]:
        """Starts under each request with enough crashes in sequence.

        They are not counted as chance, so that several requests that crash
        targets do not raise the number of crashes required of each other.
        """
        return {
            start
            for fingerprint, starts in starts_by_uncleared.items()
            if len(starts) >= MIN_CRASHES
            and longest_chain(self._crashes_by_start, fingerprint, starts)
            >= MIN_CRASHES
            for start in starts
        }

    def _longest_chain(self, fingerprint: bytes, starts: list[str]) -> int:
        return longest_chain(self._crashes_by_start, fingerprint, starts)

    def _culprit_since(
        self, fingerprint: bytes, starts: list[str], by_chance: set[str]
    ) -> float:
        """The loop time from which chance no longer explains the crashes.

        Args:
            fingerprint: fingerprint of the request.
            starts: starts that crashed under the request.
            by_chance: all starts that crashed for no known reason.

        Returns:
            Infinity if chance may still explain them.
        """
        if len(starts) < MIN_CRASHES:
            return math.inf
        crashes = sorted(
            (self._crashes_by_start[start] for start in starts),
            key=lambda crash: crash.occurred_at,
        )
        times = [crash.occurred_at for crash in crashes]
        others = [
            self._crashes_by_start[start].occurred_at
            for start in by_chance
            if start not in starts
        ]
        was_answered = any(fingerprint in crash.answered for crash in crashes)
        required = MIN_CRASHES + (_EXTRA_IF_ANSWERED if was_answered else 0)
        longest = 0
        for count, crash in enumerate(crashes, 1):
            longest = max(longest, crash.suspects[fingerprint])
            if min(count, longest) < required:
                continue
            nearby = _count_nearby(times[:count], others)
            extra = next(
                m
                for min_nearby, m in _EXTRA_BY_NEARBY_CRASHES
                if nearby >= min_nearby
            )
            if min(count, longest) >= required + extra:
                return crash.occurred_at
        return math.inf


def longest_chain(
    crashes_by_start: Mapping[str, Crash],
    fingerprint: bytes,
    starts: Iterable[str],
) -> int:
    """The longest sequence among some crashes under a request.

    Args:
        crashes_by_start: all known crashes.
        fingerprint: fingerprint of the request.
        starts: the starts that crashed under it.
    """
    return max(
        (crashes_by_start[start].suspects[fingerprint] for start in starts),
        default=0,
    )


def starts_by_suspect(
    suspects_by_start: dict[str, list[bytes]],
) -> dict[bytes, list[str]]:
    """Inverts suspects by start into starts by suspect."""
    found: dict[bytes, list[str]] = collections.defaultdict(list)
    for start, suspects in suspects_by_start.items():
        for suspect in suspects:
            found[suspect].append(start)
    return dict(found)


def _count_nearby(times: list[float], others: list[float]) -> int:
    """The number of other crashes shortly before any of the given times."""
    return sum(
        any(0 <= at - other <= _NEARBY_WITHIN_S for at in times)
        for other in others
    )
