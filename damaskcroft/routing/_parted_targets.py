"""Which targets an entry sends suspect requests to first.

Entries that each choose the emptiest target choose the same one. Should one
of two suspects there crash it, the other has lost its last attempt. So each
target belongs to one of the entries, by its id: no message is needed, and two
entries that know different names only choose as if there were no parts.
"""

import hashlib
from collections.abc import Callable

__all__ = ["PartedTargets"]

_DIGEST_BYTES = 8


class PartedTargets:
    """The targets of a fleet, parted among its entries.

    Args:
        own_name: the entry's.
        names: of all entries; may lack its own.
    """

    __slots__ = ("_count", "_names", "_own_name", "_place", "_told_names")

    def __init__(self, own_name: str, names: Callable[[], frozenset[str]]):
        """See the class."""
        self._own_name = own_name
        self._names = names
        self._told_names: frozenset[str] = frozenset()
        # How many entries there are, and the place of this one among them.
        self._count, self._place = 1, 0

    def is_own(self, target_id: str) -> bool:
        """Whether a target is this entry's to send suspects to."""
        names = self._names()
        # Asked for each target; the same names are usually the same object.
        if names is not self._told_names:
            self._told_names = names
            everyone = sorted(names | {self._own_name})
            self._count = len(everyone)
            self._place = everyone.index(self._own_name)
        return _number(target_id) % self._count == self._place


def _number(target_id: str) -> int:
    """The same one everywhere; ids that differ by a digit fall apart."""
    digest = hashlib.blake2b(target_id.encode(), digest_size=_DIGEST_BYTES)
    return int.from_bytes(digest.digest())
