"""Which target of a pool gets a request.

Own district first; there the better of two drawn at random (Mitzenmacher,
"The Power of Two Choices in Randomized Load Balancing", 2001), unless a
target that likely holds the prompt's prefix in its cache is not much busier
(consistent hashing with bounded loads, Mirrokni et al., 2018).
"""

import hashlib
import random
from collections.abc import Collection

from damaskcroft.clock import now_s
from damaskcroft.routing._outliers import Outliers
from damaskcroft.routing._pools import Pool, Target

_BOUND = 1.25


class TargetChooser:
    """Chooses by what this entry has running and what replies have told.

    Args:
        outliers: targets to leave aside.
        rng: draws the two.
    """

    def __init__(self, outliers: Outliers, rng: random.Random | None = None):
        """See the class."""
        self._outliers = outliers
        self._rng = rng or random.Random()
        self._own_by_id: dict[str, int] = {}
        self._told_by_id: dict[str, int] = {}
        self._left_alone_until: dict[str, float] = {}

    def choose(
        self,
        pool: Pool,
        *,
        region: str,
        prefix: bytes,
        excluded: Collection[str],
        manifest: str = "",
    ) -> Target | None:
        """Chooses a target, or None when none is left.

        Args:
            pool: the targets that can answer.
            region: the caller's district.
            prefix: start of the prompt; empty for no affinity.
            excluded: ids that were tried already.
            manifest: the only version that will do; empty for any.
        """
        able = [
            target
            for target in pool.targets
            if target.id not in excluded
            and (not manifest or target.manifest == manifest)
        ]
        sound = [
            target
            for target in able
            if not self._outliers.is_aside(target.id)
            and now_s() >= self._left_alone_until.get(target.id, 0.0)
        ]
        # With all of them aside, trying one is better than refusing.
        candidates = sound or able
        near = [t for t in candidates if t.region == region]
        free_near = [t for t in near if self._load(t) < t.slots]
        candidates = free_near or self._free(candidates) or near or candidates
        if not candidates:
            return None
        favourite = self._favourite(candidates, prefix)
        if favourite is not None:
            return favourite
        drawn = self._rng.sample(candidates, min(2, len(candidates)))
        return min(drawn, key=self._relative_load)

    def leave_alone(self, target_id: str, for_s: float) -> None:
        """Leaves a target aside that takes no request for some seconds."""
        self._left_alone_until[target_id] = now_s() + for_s

    def started(self, target_id: str) -> None:
        """Counts a request sent to a target."""
        self._own_by_id[target_id] = self._own_by_id.get(target_id, 0) + 1

    def ended(self, target_id: str) -> None:
        """Counts a request that is over."""
        self._own_by_id[target_id] -= 1

    def told(self, target_id: str, outstanding: int) -> None:
        """Takes the load that rode on a reply; it ages as own ones change."""
        others = outstanding - self._own_by_id.get(target_id, 0)
        self._told_by_id[target_id] = max(0, others)

    def _load(self, target: Target) -> int:
        own = self._own_by_id.get(target.id, 0)
        return own + self._told_by_id.get(target.id, 0)

    def _relative_load(self, target: Target) -> float:
        return self._load(target) / target.slots

    def _free(self, targets: list[Target]) -> list[Target]:
        return [t for t in targets if self._load(t) < t.slots]

    def _favourite(
        self, candidates: list[Target], prefix: bytes
    ) -> Target | None:
        """The target that rendezvous hashing gives the prefix, if not busy."""
        if not prefix:
            return None

        def weight(target: Target) -> bytes:
            content = target.id.encode() + b"/" + prefix
            return hashlib.blake2b(content, digest_size=8).digest()

        favourite = max(candidates, key=weight)
        mean = sum(self._load(t) for t in candidates) / len(candidates)
        if self._load(favourite) > _BOUND * mean + 1:
            return None
        return favourite
