"""Choice of the version to fetch first where several have been announced.

A version that is announced while an older one is being fetched ends the use of
that one some time after its own announcement, not at once. Where the older one
is almost complete and the newer one can't be complete before the weights in
service expire, fetching the older one first avoids a gap without weights.
"""

import dataclasses
import math
from collections.abc import Sequence

__all__ = ["CandidateVersion", "version_to_fetch"]

# From the last chunk's arrival until the target serves: the wait for its place
# in the rolling update, and the load.
_LOAD_S = 1.0
# A sequence of versions replaces another only if it saves more than this,
# because the pieces have to be staged beside the target again.
_MIN_GAIN_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class CandidateVersion:
    """An announced version that is newer than the one in service.

    Attributes:
        version: its number.
        missing_bytes: bytes of it that have not been received.
        superseded_in_s: time until requests may begin on newer versions only;
            infinite for the newest.
    """

    version: int
    missing_bytes: int
    superseded_in_s: float = math.inf


def version_to_fetch(
    candidates: Sequence[CandidateVersion],
    served_ends_in_s: float,
    rate_bytes_s: float,
) -> int:
    """Returns the version to fetch now: the newest, unless an older one helps.

    Args:
        candidates: versions newer than the one in service, oldest first; at
            least one.
        served_ends_in_s: time until requests may no longer begin on the
            version in service.
        rate_bytes_s: rate at which one agent receives chunks.
    """
    newest = candidates[-1]
    unserved_s = _unserved_s([newest], served_ends_in_s, rate_bytes_s)
    best = newest.version
    for older in candidates[:-1]:
        both_s = _unserved_s([older, newest], served_ends_in_s, rate_bytes_s)
        if both_s < unserved_s - _MIN_GAIN_S:
            unserved_s, best = both_s, older.version
    return best


def _unserved_s(
    order: Sequence[CandidateVersion],
    served_ends_in_s: float,
    rate_bytes_s: float,
) -> float:
    """Returns how long nothing may be served with this order of versions."""
    unserved_s = 0.0
    serves_until_s = max(0.0, served_ends_in_s)
    complete_in_s = 0.0
    for candidate in order:
        complete_in_s += candidate.missing_bytes / rate_bytes_s
        begins_in_s = complete_in_s + _LOAD_S
        unserved_s += max(0.0, begins_in_s - serves_until_s)
        serves_until_s = max(
            serves_until_s, begins_in_s, candidate.superseded_in_s
        )
    return unserved_s
