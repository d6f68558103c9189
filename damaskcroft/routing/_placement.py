"""Which target of a service a request is sent to.

Written for targets that many entries share: each entry knows what it has
sent itself, and what the others have sent only from the load that targets
tell in their answers. Both together estimate how full a target is.
"""

import asyncio
import dataclasses
import random
from collections.abc import Collection, Iterable

from damaskcroft.routing._outliers import Outliers

__all__ = ["Candidate", "Placement", "Placer"]

# What a target told of its load holds for a while, since whoever ends is
# replaced while a target is full: counted for less at once, each of four
# entries sent a third too much to full targets. Held for a whole second, as
# long as requests last, free slots were missed below that load.
_REPORT_HOLDS_S = 0.75
# Later it counts for half as much with each such time.
_REPORT_HALF_LIFE_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A target that could run a request.

    Attributes:
        id: the target's id.
        address: where it listens.
        failure_domain: where it stands.
        region: region of its failure domain.
        slots: requests that it runs at once.
    """

    id: str
    address: str
    failure_domain: str
    region: str
    slots: int


class _Load:
    """What this entry knows of one target's load."""

    __slots__ = ("others", "outstanding", "told_at")

    def __init__(self) -> None:
        self.outstanding = 0
        self.others = 0.0
        self.told_at = float("-inf")


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """A chosen target.

    Attributes:
        candidate: the target.
        fullness: its estimated load in slots; 1 means that all are taken.
    """

    candidate: Candidate
    fullness: float


class Placer:
    """Chooses the target that is emptiest for its size, nearest first."""

    def __init__(
        self,
        failure_domain: str,
        region: str,
        outliers: Outliers,
        rng: random.Random | None = None,
    ):
        """Chooses for an entry in a failure domain of a region."""
        self._failure_domain = failure_domain
        self._region = region
        self._outliers = outliers
        self._rng = rng or random.Random()
        self._loads_by_id: dict[str, _Load] = {}

    def choose(
        self, candidates: Iterable[Candidate], excluded: Collection[str]
    ) -> Placement | None:
        """The best target, or None if every one is excluded.

        Targets that are put aside after failures come last.
        """
        best = None
        best_rank: tuple[float, ...] = ()
        for candidate in candidates:
            if candidate.id in excluded:
                continue
            rank = self._rank(candidate)
            if best is None or rank < best_rank:
                best, best_rank = candidate, rank
        if best is None:
            return None
        return Placement(best, self.fullness(best))

    def fullness(self, candidate: Candidate) -> float:
        """Estimated requests at a target for each of its slots."""
        load = self._loads_by_id.get(candidate.id)
        if load is None:
            return 0.0
        age_s = asyncio.get_running_loop().time() - load.told_at
        stale_s = max(0.0, age_s - _REPORT_HOLDS_S)
        others = load.others * 0.5 ** (stale_s / _REPORT_HALF_LIFE_S)
        return (load.outstanding + others) / max(1, candidate.slots)

    def sent(self, target_id: str) -> None:
        """Takes note of a request on its way to a target."""
        self._load(target_id).outstanding += 1

    def ended(self, target_id: str) -> None:
        """Takes note that a request has left a target."""
        load = self._load(target_id)
        load.outstanding = max(0, load.outstanding - 1)

    def told(self, target_id: str, requests: int) -> None:
        """Takes a target's own word on how many requests it has."""
        load = self._load(target_id)
        load.others = max(0, requests - load.outstanding)
        load.told_at = asyncio.get_running_loop().time()

    def forget_all_but(self, target_ids: Collection[str]) -> None:
        """Drops what is known of targets that are gone."""
        for target_id in list(self._loads_by_id):
            if target_id not in target_ids:
                del self._loads_by_id[target_id]

    def _load(self, target_id: str) -> _Load:
        return self._loads_by_id.setdefault(target_id, _Load())

    def _rank(self, candidate: Candidate) -> tuple[float, ...]:
        aside = self._outliers.is_aside(candidate.id)
        # Steps of a tenth, so that distance decides between equals.
        fullness = round(self.fullness(candidate), 1)
        return (aside, fullness, self._distance(candidate), self._rng.random())

    def _distance(self, candidate: Candidate) -> int:
        if candidate.failure_domain == self._failure_domain:
            return 0
        return 1 if candidate.region == self._region else 2
