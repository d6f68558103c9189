"""Rate limits that targets announce for all senders together."""

from damaskcroft.limits._bucket import TokenBucket
from damaskcroft.limits._header import (
    LimitHeader,
    Named,
    Unnamed,
    Unreadable,
    parse_limit,
)
from damaskcroft.limits._rate_limits import RateLimits
from damaskcroft.limits._registry import LimitRegistry
from damaskcroft.limits._shares import sending_share

__all__ = [
    "LimitHeader",
    "LimitRegistry",
    "Named",
    "RateLimits",
    "TokenBucket",
    "Unnamed",
    "Unreadable",
    "parse_limit",
    "sending_share",
]
