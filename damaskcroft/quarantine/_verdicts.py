"""Which requests explain the crashes of targets, and which may be chance."""

import collections
import math
from collections.abc import Iterable, Mapping

__all__ = ["CRASHES", "Crash", "Verdicts", "longest_chain", "starts_by_suspect"]

# Starts that crash under a request before it is refused.
CRASHES = 3
# Where targets crash for no known reason, chance may have led it to three: by
# how many such crashes there were, so many more are needed.
_MORE_BY_OTHERS = ((12, 2), (3, 1), (0, 0))
# So many of them under no other request make those count too that another
# request explains.
_ALONE = 2
# More for a request that was answered shortly before any of its crashes, since
# most of them are then others' doing.
_MORE_IF_ANSWERED = 5
# Others count that crashed so long before one of its own, or less.
_OTHERS_WITHIN_S = 30.0


class Crash:
    """One start of a target that crashed.

    Attributes:
        answered: those of its suspects that had run to their end elsewhere
            shortly before.
        at: when, on this process's clock.
        suspects: by the fingerprint of each request that ran there, its chain:
            how many crashes followed one another up to this one.
        cleared: those of them that it no longer speaks against.
        service: which the target ran for; empty if unknown.
    """

    __slots__ = ("answered", "at", "cleared", "service", "suspects")

    def __init__(self, at: float):
        """A crash of which no suspect is known yet."""
        self.at = at
        self.service = ""
        self.suspects: dict[bytes, int] = {}
        self.answered: set[bytes] = set()
        self.cleared: set[bytes] = set()

    @property
    def open_suspects(self) -> list[bytes]:
        """Those that it still speaks against."""
        return [s for s in self.suspects if s not in self.cleared]


class Verdicts:
    """What some crashes say of the requests that ran there.

    Args:
        crashes_by_start: all that is known.
    """

    __slots__ = ("_crashes_by_start", "_open_by_start")

    def __init__(self, crashes_by_start: Mapping[str, Crash]):
        """See the class."""
        self._crashes_by_start = crashes_by_start
        self._open_by_start = {
            start: crash.open_suspects
            for start, crash in crashes_by_start.items()
        }

    def starts_by_suspect(self) -> dict[bytes, list[str]]:
        """What crashed under each request that nothing has cleared."""
        return starts_by_suspect(self._open_by_start)

    def guilty(self) -> set[bytes]:
        """Requests that explain crashes; the first to be known goes first."""
        guilty: set[bytes] = set()
        unexplained = dict(self._open_by_start)
        while True:
            found_by_suspect = starts_by_suspect(unexplained)
            self._add_shared(found_by_suspect, unexplained, guilty)
            by_chance = unexplained.keys() - self._of_repeaters(
                found_by_suspect
            )
            since = {
                fingerprint: self._guilty_since(fingerprint, starts, by_chance)
                for fingerprint, starts in found_by_suspect.items()
            }
            first = min(since.values(), default=math.inf)
            if math.isinf(first):
                return guilty
            found = {f for f, at in since.items() if at == first}
            guilty |= found
            unexplained = {
                start: suspects
                for start, suspects in unexplained.items()
                if found.isdisjoint(suspects)
            }

    def _add_shared(
        self,
        found_by_suspect: dict[bytes, list[str]],
        unexplained: dict[str, list[bytes]],
        guilty: set[bytes],
    ) -> None:
        """Adds crashes under a request that another one explains already.

        Two requests that crash targets and met there have both done so. It
        takes crashes under which nothing else ran to know such a request.
        """
        alone = collections.Counter(
            suspects[0]
            for suspects in unexplained.values()
            if len(suspects) == 1
        )
        for start, suspects in self._open_by_start.items():
            if start in unexplained:
                continue
            for suspect in suspects:
                if suspect not in guilty and alone[suspect] >= _ALONE:
                    found_by_suspect[suspect].append(start)

    def _of_repeaters(
        self, found_by_suspect: dict[bytes, list[str]]
    ) -> set[str]:
        """Starts under each request that has crashed enough in a row.

        Several requests that crash targets must not pass for each other's
        chance.
        """
        return {
            start
            for fingerprint, starts in found_by_suspect.items()
            if len(starts) >= CRASHES
            and longest_chain(self._crashes_by_start, fingerprint, starts)
            >= CRASHES
            for start in starts
        }

    def _longest_chain(self, fingerprint: bytes, starts: list[str]) -> int:
        return longest_chain(self._crashes_by_start, fingerprint, starts)

    def _guilty_since(
        self, fingerprint: bytes, starts: list[str], by_chance: set[str]
    ) -> float:
        """When chance no longer explained the crashes; infinite while it may.

        Args:
            fingerprint: the request.
            starts: what crashed under the request.
            by_chance: all that crashed for no reason known yet.
        """
        if len(starts) < CRASHES:
            return math.inf
        crashes = sorted(
            (self._crashes_by_start[start] for start in starts),
            key=lambda crash: crash.at,
        )
        times = [crash.at for crash in crashes]
        others = [
            self._crashes_by_start[start].at
            for start in by_chance
            if start not in starts
        ]
        was_answered = any(fingerprint in crash.answered for crash in crashes)
        least = CRASHES + (_MORE_IF_ANSWERED if was_answered else 0)
        longest = 0
        for count, crash in enumerate(crashes, 1):
            longest = max(longest, crash.suspects[fingerprint])
            if min(count, longest) < least:
                continue
            near = _count_near(times[:count], others)
            more = next(m for most, m in _MORE_BY_OTHERS if near >= most)
            if min(count, longest) >= least + more:
                return crash.at
        return math.inf


def longest_chain(
    crashes_by_start: Mapping[str, Crash],
    fingerprint: bytes,
    starts: Iterable[str],
) -> int:
    """How many of some crashes under a request followed one another.

    Args:
        crashes_by_start: all that is known.
        fingerprint: the request.
        starts: what crashed under it.
    """
    return max(
        (crashes_by_start[start].suspects[fingerprint] for start in starts),
        default=0,
    )


def starts_by_suspect(
    suspects_by_start: dict[str, list[bytes]],
) -> dict[bytes, list[str]]:
    """Turns suspects by the start that crashed into starts by suspect."""
    found: dict[bytes, list[str]] = collections.defaultdict(list)
    for start, suspects in suspects_by_start.items():
        for suspect in suspects:
            found[suspect].append(start)
    return dict(found)


def _count_near(times: list[float], others: list[float]) -> int:
    """How many others crashed shortly before any of some times."""
    return sum(
        any(0 <= at - other <= _OTHERS_WITHIN_S for at in times)
        for other in others
    )
