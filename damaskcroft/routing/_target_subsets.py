"""The targets that an entry prefers, so that it hears of each of them often.

Where many entries share many targets, each entry sends to each target once in a
second or two, and knows as much of it. An entry that prefers a few targets of
its own region hears of them several times as often (deterministic subsetting;
Beyer et al., "Site Reliability Engineering", 2016, chapter 20). Rendezvous
hashing selects them, so that the preferences of all entries spread over the
targets, and change little when a target comes or goes.
"""

import hashlib
from collections.abc import Sequence

__all__ = ["TargetSubsets"]

# With fewer, an entry with many callers fills them alone; with more, it hears
# of each too rarely.
_PREFERRED = 8
# Sets of candidates that are remembered: one for each service and model.
_MAX_REMEMBERED = 16
_DIGEST_BYTES = 8


class TargetSubsets:
    """Preferred targets of one entry.

    Args:
        entry_name: name of the entry, different for each.
    """

    __slots__ = ("_entry_name", "_subsets_by_ids")

    def __init__(self, entry_name: str):
        """Starts without subsets."""
        self._entry_name = entry_name
        self._subsets_by_ids: dict[tuple[str, ...], frozenset[str]] = {}

    def preferred(self, near_ids: Sequence[str]) -> frozenset[str]:
        """Returns the ids of the preferred ones among near targets."""
        key = tuple(near_ids)
        subset = self._subsets_by_ids.get(key)
        if subset is None:
            if len(self._subsets_by_ids) >= _MAX_REMEMBERED:
                self._subsets_by_ids.clear()
            ranked = sorted(key, key=self._hash)
            subset = self._subsets_by_ids[key] = frozenset(ranked[:_PREFERRED])
        return subset

    def _hash(self, target_id: str) -> bytes:
        text = f"{self._entry_name}/{target_id}".encode()
        return hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()
