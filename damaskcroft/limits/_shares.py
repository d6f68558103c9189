"""Split of a target's rate limit among entries, without communication.

A limit of some requests a second is split among few entries, which every entry
determines alike (rendezvous hashing; Thaler and Ravishankar, "Using name-based
mappings to increase hit rates", 1998). If it were split among all entries of a
large fleet, each share would be one request in minutes, and the tokens that all
of them keep would together be a burst. The other entries send to other targets.
"""

import hashlib
from collections.abc import Collection

__all__ = ["MIN_RATE_S", "sending_share", "whole_share"]

# A target with a lower limit still gets requests at this rate, because
# otherwise the end of its limit would never be noticed.
MIN_RATE_S = 0.25
# Senders per request a second, and additional ones. Each sender may hold a
# token: with these values the tokens are at most half of what a limit allows in
# four seconds, plus two.
_SENDERS_PER_RATE = 2.0
_EXTRA_SENDERS = 2
_DIGEST_BYTES = 8


def sending_share(
    start_id: str, rate_s: float, own_name: str, entries: Collection[str]
) -> float:
    """Returns one entry's share of a target's rate limit.

    Args:
        start_id: id of the target's start.
        rate_s: its limit for all entries together, in requests a second.
        own_name: name of the entry.
        entries: names of all entries.

    Returns:
        Requests a second; 0 if only other entries send.
    """
    names = {own_name, *entries}
    sender_count = min(len(names), _max_senders(rate_s))
    if _count_ahead(start_id, own_name, names) >= sender_count:
        return 0.0
    return max(rate_s, MIN_RATE_S) / sender_count


def whole_share(
    start_id: str, requests: int, own_name: str, entries: Collection[str]
) -> int:
    """Returns one entry's part of a number of requests to a target.

    The parts of all entries together are at most `requests`, also where some
    entries know names that others don't: each further name only lowers a part.
    """
    names = {own_name, *entries}
    ahead = _count_ahead(start_id, own_name, names)
    return max(0, -((ahead - requests) // len(names)))


def _count_ahead(start_id: str, own_name: str, names: Collection[str]) -> int:
    """Returns how many entries precede one in the order for a target."""
    own_weight = _weight(start_id, own_name)
    return sum(_weight(start_id, name) > own_weight for name in names)


def _max_senders(rate_s: float) -> int:
    if rate_s <= MIN_RATE_S:
        return 1
    return int(_SENDERS_PER_RATE * rate_s) + _EXTRA_SENDERS


def _weight(start_id: str, name: str) -> bytes:
    content = f"{start_id}/{name}".encode()
    return hashlib.blake2b(content, digest_size=_DIGEST_BYTES).digest()
