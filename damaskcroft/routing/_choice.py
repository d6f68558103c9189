"""Selection of the target of a pool that gets a request.

Targets of the caller's district come first. Among them the less loaded of two
drawn at random is chosen (Mitzenmacher, "The Power of Two Choices in Randomized
Load Balancing", 2001), unless a target that likely holds the prompt's prefix in
its cache is not much busier (consistent hashing with bounded loads, Mirrokni et
al., 2018).
"""

import hashlib
import random
from collections.abc import Collection

from damaskcroft.clock import now_s
from damaskcroft.routing._outliers import Outliers
from damaskcroft.routing._pools import Pool, Target

_LOAD_BOUND = 1.25


class TargetChooser:
    """Chooses by requests under way from here and loads reported in replies.

    Args:
        outliers: targets that are ejected for a time.
        rng: draws the two targets that are compared.
    """

    def __init__(self, outliers: Outliers, rng: random.Random | None = None):
        """Starts without requests under way and without reported loads."""
        self._outliers = outliers
        self._rng = rng or random.Random()
        self._outstanding_by_id: dict[str, int] = {}
        self._reported_by_id: dict[str, int] = {}
        self._paused_until: dict[str, float] = {}

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
            excluded: ids of targets that were tried already.
            manifest: the required version; empty for any.
        """
        capable = [
            target
            for target in pool.targets
            if target.id not in excluded
            and (not manifest or target.manifest == manifest)
        ]
        available = [
            target
            for target in capable
            if not self._outliers.is_ejected(target.id)
            and now_s() >= self._paused_until.get(target.id, 0.0)
        ]
        # If every target is ejected or paused, an attempt is better than a
        # refusal.
        candidates = available or capable
        near = [t for t in candidates if t.region == region]
        free_near = [t for t in near if self._load(t) < t.slots]
        candidates = free_near or self._free(candidates) or near or candidates
        if not candidates:
            return None
        preferred = self._preferred(candidates, prefix)
        if preferred is not None:
            return preferred
        drawn = self._rng.sample(candidates, min(2, len(candidates)))
        return min(drawn, key=self._relative_load)

    def pause_for(self, target_id: str, for_s: float) -> None:
        """Avoids a target that accepts no request for some seconds."""
        self._paused_until[target_id] = now_s() + for_s

    def started(self, target_id: str) -> None:
        """Counts a request that was sent to a target."""
        self._outstanding_by_id[target_id] = (
            self._outstanding_by_id.get(target_id, 0) + 1
        )

    def ended(self, target_id: str) -> None:
        """Stops counting a request that has ended."""
        self._outstanding_by_id[target_id] -= 1

    def record_load(self, target_id: str, outstanding: int) -> None:
        """Records the load in a reply, less this entry's current requests.

        The record stays until the next reply, while the load of others changes.
        """
        others = outstanding - self._outstanding_by_id.get(target_id, 0)
        self._reported_by_id[target_id] = max(0, others)

    def _load(self, target: Target) -> int:
        own = self._outstanding_by_id.get(target.id, 0)
        return own + self._reported_by_id.get(target.id, 0)

    def _relative_load(self, target: Target) -> float:
        return self._load(target) / target.slots

    def _free(self, targets: list[Target]) -> list[Target]:
        return [t for t in targets if self._load(t) < t.slots]

    def _preferred(
        self, candidates: list[Target], prefix: bytes
    ) -> Target | None:
        """Returns the target that rendezvous hashing selects, unless busy."""
        if not prefix:
            return None

        def weight(target: Target) -> bytes:
            content = target.id.encode() + b"/" + prefix
            return hashlib.blake2b(content, digest_size=8).digest()

        preferred = max(candidates, key=weight)
        mean = sum(self._load(t) for t in candidates) / len(candidates)
        if self._load(preferred) > _LOAD_BOUND * mean + 1:
            return None
        return preferred
