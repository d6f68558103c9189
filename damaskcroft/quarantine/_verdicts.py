"""Verdicts: the requests and the parts of prompts that explain crashes.

A request is held responsible when chance no longer explains that so many
targets crashed under it. A part of prompts is held responsible when that many
different requests with it crashed targets.
"""

import collections
import math
from collections.abc import Iterable, Mapping

from damaskcroft.quarantine._crashes import (
    Crash,
    longest_chain,
    starts_by_suspect,
)
from damaskcroft.quarantine._part_evidence import (
    PartPattern,
    common_pattern,
    distinct_request_crashes,
)

__all__ = ["MIN_CRASHES", "Verdicts"]

# Number of starts that crash under a request before it is refused; for a part
# of prompts, under different requests.
MIN_CRASHES = 3
# The same for a part if another one explains the same crashes.
_MIN_CRASHES_IF_AMBIGUOUS = 5
# Pairs of a number of nearby crashes without a known reason, and the number of
# additional crashes that are then required, because chance may have led a
# request to three.
_EXTRA_BY_NEARBY_CRASHES = ((12, 2), (3, 1), (0, 0))
# From this number of crashes under no other request, crashes that another
# request explains count as well.
_MIN_SOLE_SUSPECT_CRASHES = 2
# Additional crashes required of a request or a part that was answered shortly
# before any of its crashes, because most of its crashes then have other causes.
_EXTRA_IF_ANSWERED = 5
# Other crashes count as nearby if they precede one of the request's by at most
# this time.
_NEARBY_WITHIN_S = 30.0


class Verdicts:
    """Derives from the known crashes what causes them.

    The request that became a culprit first is found first, unless a part became
    one earlier or explains more crashes. The crashes that a culprit explains no
    longer count against others.

    Args:
        crashes_by_start: all known crashes.

    Attributes:
        culprits: fingerprints of requests that explain crashes.
        patterns: parts of prompts that explain crashes, each with the starts
            that crashed under requests with them.
    """

    __slots__ = (
        "_crashes_by_start",
        "_requests_by_start",
        "_starts_by_repeated_part",
        "_starts_by_suspect",
        "culprits",
        "patterns",
    )

    def __init__(self, crashes_by_start: Mapping[str, Crash]):
        """Finds the culprits among the suspects that are not cleared."""
        self._crashes_by_start = crashes_by_start
        self._requests_by_start = {
            start: crash.uncleared_requests
            for start, crash in crashes_by_start.items()
        }
        starts_by_part = starts_by_suspect(
            {
                start: crash.uncleared_parts
                for start, crash in crashes_by_start.items()
            }
        )
        self._starts_by_suspect = (
            starts_by_suspect(self._requests_by_start) | starts_by_part
        )
        # All others can't be culprits, and there are many of them.
        self._starts_by_repeated_part = {
            part: starts
            for part, starts in starts_by_part.items()
            if self._has_repeated_crashes(part, starts)
        }
        self.culprits: set[bytes] = set()
        self.patterns: dict[PartPattern, list[str]] = {}
        while self._find_next():
            pass

    def starts_by_suspect(self) -> dict[bytes, list[str]]:
        """The starts that crashed under each suspect that is not cleared."""
        return self._starts_by_suspect

    def _find_next(self) -> bool:
        """Adds what became a culprit next; whether there was any."""
        unexplained = {
            start: requests
            for start, requests in self._requests_by_start.items()
            if not self._is_explained(start)
        }
        starts_by_request = starts_by_suspect(unexplained)
        self._add_shared_crashes(starts_by_request, unexplained)
        starts_by_part = self._starts_by_part()
        by_chance = unexplained.keys() - self._starts_of_repeaters(
            starts_by_request | starts_by_part
        )
        since_by_part = {
            part: self._part_culprit_since(part, starts, by_chance)
            for part, starts in starts_by_part.items()
        }
        requests, requests_since = _earliest(
            {
                request: self._culprit_since(
                    request, self._crashes_of(starts), starts, by_chance
                )
                for request, starts in starts_by_request.items()
            }
        )
        if requests:
            explained = max(len(starts_by_request[r]) for r in requests)
            since_by_part = {
                part: at
                for part, at in since_by_part.items()
                if at < requests_since or len(starts_by_part[part]) > explained
            }
        if self._find_patterns(since_by_part, starts_by_part):
            return True
        self.culprits |= requests
        return bool(requests)

    def _find_patterns(
        self,
        since_by_part: dict[bytes, float],
        starts_by_part: dict[bytes, list[str]],
    ) -> bool:
        """Adds the pattern that explains most crashes; whether there is one.

        Parts that were never answered come first. Among patterns that explain
        the same crashes, the one with the most parts is chosen, because it
        matches the fewest requests.
        """
        patterns = {
            part: common_pattern(
                self._crashes_by_start, part, starts_by_part[part]
            )
            for part, since in since_by_part.items()
            if math.isfinite(since)
        }
        if not patterns:
            return False

        def rank(part: bytes) -> tuple[bool, int, int]:
            starts = starts_by_part[part]
            is_new = not self._was_answered(part, self._crashes_of(starts))
            return is_new, len(starts), len(patterns[part].parts)

        best = max(map(rank, patterns))
        found = {
            pattern: starts_by_part[part]
            for part, pattern in patterns.items()
            if rank(part) == best
        }
        if len(found) > 1 and best[1] < _MIN_CRASHES_IF_AMBIGUOUS:
            return False
        for pattern, starts in found.items():
            self.patterns[pattern] = [*self.patterns.get(pattern, ()), *starts]
        # Requests that were lost beside those with the parts may have been
        # taken for culprits.
        self.culprits.clear()
        return True

    def _is_explained(self, start: str) -> bool:
        """Whether a culprit ran on a start."""
        if not self.culprits.isdisjoint(self._requests_by_start[start]):
            return True
        return any(start in starts for starts in self.patterns.values())

    # --- Parts of prompts -----------------------------------------------------

    def _starts_by_part(self) -> dict[bytes, list[str]]:
        """The starts that count against each part that may be a culprit.

        A crash that a request explains counts only if that request has the part
        or explains fewer crashes: it may be innocent and have been lost beside
        requests with the part.
        """
        count_by_culprit = collections.Counter(
            request
            for requests in self._requests_by_start.values()
            for request in self.culprits.intersection(requests)
        )

        def counts(part: bytes, start: str, total: int) -> bool:
            crash = self._crashes_by_start[start]
            return all(
                part in crash.traits_by_request[request].parts
                or count_by_culprit[request] < total
                for request in self.culprits.intersection(crash.requests)
            )

        explained = set().union(*self.patterns.values())
        unexplained = {
            part: [start for start in starts if start not in explained]
            for part, starts in self._starts_by_repeated_part.items()
        }
        return {
            part: [
                start for start in starts if counts(part, start, len(starts))
            ]
            for part, starts in unexplained.items()
        }

    def _part_culprit_since(
        self, part: bytes, starts: list[str], by_chance: set[str]
    ) -> float:
        """The same as `_culprit_since`, for different requests with a part."""
        crashes = distinct_request_crashes(self._crashes_of(starts), part)
        return self._culprit_since(part, crashes, starts, by_chance)

    # --- Requests and parts ---------------------------------------------------

    def _crashes_of(self, starts: Iterable[str]) -> list[Crash]:
        """The crashes of some starts, in order of time."""
        return sorted(
            (self._crashes_by_start[start] for start in starts),
            key=lambda crash: crash.occurred_at,
        )

    @staticmethod
    def _was_answered(suspect: bytes, crashes: Iterable[Crash]) -> bool:
        """Whether it had run to its end shortly before any of some crashes."""
        return any(suspect in crash.answered for crash in crashes)

    def _add_shared_crashes(
        self,
        starts_by_uncleared: dict[bytes, list[str]],
        unexplained: dict[str, list[bytes]],
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
        for start, suspects in self._requests_by_start.items():
            if start in unexplained:
                continue
            for suspect in suspects:
                if (
                    suspect not in self.culprits
                    and sole_suspect_counts[suspect]
                    >= _MIN_SOLE_SUSPECT_CRASHES
                ):
                    starts_by_uncleared[suspect].append(start)

    def _starts_of_repeaters(
        self, starts_by_uncleared: dict[bytes, list[str]]
    ) -> set[str]:
        """Starts under each suspect with enough crashes in sequence.

        They are not counted as chance, so that several requests that crash
        targets do not raise the number of crashes required of each other.
        """
        return {
            start
            for suspect, starts in starts_by_uncleared.items()
            if self._has_repeated_crashes(suspect, starts)
            for start in starts
        }

    def _has_repeated_crashes(self, suspect: bytes, starts: list[str]) -> bool:
        """Whether enough targets crashed in sequence for a verdict."""
        if len(starts) < MIN_CRASHES:
            return False
        longest = longest_chain(self._crashes_by_start, suspect, starts)
        return longest >= MIN_CRASHES

    def _culprit_since(
        self,
        suspect: bytes,
        crashes: list[Crash],
        starts: list[str],
        by_chance: set[str],
    ) -> float:
        """The loop time from which chance no longer explains the crashes.

        Args:
            suspect: fingerprint of the request, or key of the part.
            crashes: crashes that count against it, in order of time.
            starts: starts that crashed under it.
            by_chance: all starts that crashed for no known reason.

        Returns:
            Infinity if chance may still explain them.
        """
        if len(crashes) < MIN_CRASHES:
            return math.inf
        times = [crash.occurred_at for crash in crashes]
        others = [
            self._crashes_by_start[start].occurred_at
            for start in by_chance
            if start not in starts
        ]
        was_answered = self._was_answered(suspect, crashes)
        required = MIN_CRASHES + (_EXTRA_IF_ANSWERED if was_answered else 0)
        longest = 0
        for count, crash in enumerate(crashes, 1):
            longest = max(longest, crash.chain(suspect))
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


def _earliest(since: dict[bytes, float]) -> tuple[set[bytes], float]:
    """The suspects that became culprits first, and when."""
    first = min(since.values(), default=math.inf)
    if math.isinf(first):
        return set(), first
    return {suspect for suspect, at in since.items() if at == first}, first


def _count_nearby(times: list[float], others: list[float]) -> int:
    """The number of other crashes shortly before any of the given times."""
    return sum(
        any(0 <= at - other <= _NEARBY_WITHIN_S for at in times)
        for other in others
    )
