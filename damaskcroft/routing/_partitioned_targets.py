"""Partition of targets among entries, for sending suspect requests.

Entries that each choose the emptiest target choose the same one. If one of two
suspect requests there crashes it, the other has lost its last attempt. So each
target is assigned to one of the entries, by its id. This needs no message, and
entries that know different names only choose as if there were no partition.
"""

import hashlib
from collections.abc import Callable

__all__ = ["PartitionedTargets"]

_DIGEST_BYTES = 8


class PartitionedTargets:
    """Assigns each target of a fleet to one of its entries.

    Args:
        own_name: name of this entry.
        names: returns the names of all entries; its own may be missing.
    """

    __slots__ = ("_count", "_names", "_own_name", "_index", "_last_names")

    def __init__(self, own_name: str, names: Callable[[], frozenset[str]]):
        """Starts with this entry as the only one."""
        self._own_name = own_name
        self._names = names
        self._last_names: frozenset[str] = frozenset()
        # Number of entries, and the index of this one among them.
        self._count, self._index = 1, 0

    def is_assigned(self, target_id: str) -> bool:
        """Whether a target is assigned to this entry for suspect requests."""
        names = self._names()
        # An identity check is enough and cheap: this runs for each target, and
        # unchanged names are usually the same object.
        if names is not self._last_names:
            self._last_names = names
            all_names = sorted(names | {self._own_name})
            self._count = len(all_names)
            self._index = all_names.index(self._own_name)
        return _hash(target_id) % self._count == self._index


def _hash(target_id: str) -> int:
    """Hashes an id, equally at all entries and unrelated for similar ids."""
    digest = hashlib.blake2b(target_id.encode(), digest_size=_DIGEST_BYTES)
    return int.from_bytes(digest.digest())
