"""How entries share a target's limit without asking each other.

A limit of some requests a second is split among few entries, the same ones
wherever it is worked out (rendezvous hashing; Thaler and Ravishankar, "Using
name-based mappings to increase hit rates", 1998). Split among all of a large
fleet, a share would be a request in minutes, and a token kept by each of them
would together be a burst. The others send elsewhere.
"""

import hashlib
from collections.abc import Collection

__all__ = ["LEAST_RATE_S", "sending_share"]

# A target that takes less is still tried so often, or its limit would never be
# known to have ended.
LEAST_RATE_S = 0.25
# Each sender may hold a token: so many of them send that these are no more than
# half a limit brings in four seconds, and two.
_SENDERS_FOR_RATE = 2.0
_SENDERS_BESIDE = 2
_DIGEST_BYTES = 8


def sending_share(
    start_id: str, rate_s: float, own_name: str, entries: Collection[str]
) -> float:
    """What one entry may send to a target that named a limit.

    Args:
        start_id: the target's start.
        rate_s: its limit for all entries together, in requests a second.
        own_name: the entry.
        entries: names of all entries.

    Returns:
        Requests a second; 0 where others send.
    """
    names = {own_name, *entries}
    senders = min(len(names), _senders(rate_s))
    own = _weight(start_id, own_name)
    before = sum(_weight(start_id, name) > own for name in names)
    if before >= senders:
        return 0.0
    return max(rate_s, LEAST_RATE_S) / senders


def _senders(rate_s: float) -> int:
    if rate_s <= LEAST_RATE_S:
        return 1
    return int(_SENDERS_FOR_RATE * rate_s) + _SENDERS_BESIDE


def _weight(start_id: str, name: str) -> bytes:
    content = f"{start_id}/{name}".encode()
    return hashlib.blake2b(content, digest_size=_DIGEST_BYTES).digest()
