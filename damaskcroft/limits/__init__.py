"""Rate limits that targets announce for all senders together."""

from damaskcroft.limits._book import LimitBook
from damaskcroft.limits._bucket import TokenBucket
from damaskcroft.limits._named import (
    LimitWord,
    Named,
    Unnamed,
    Unreadable,
    limit_named,
)
from damaskcroft.limits._paced import RateLimits
from damaskcroft.limits._shares import sending_share

__all__ = [
    "LimitBook",
    "LimitWord",
    "Named",
    "RateLimits",
    "TokenBucket",
    "Unnamed",
    "Unreadable",
    "limit_named",
    "sending_share",
]
