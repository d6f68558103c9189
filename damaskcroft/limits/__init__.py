"""Rate limits that targets announce for all senders together."""

from damaskcroft.limits._bucket import TokenBucket
from damaskcroft.limits._cold_targets import ColdTargets
from damaskcroft.limits._header import (
    LimitHeader,
    Named,
    Unnamed,
    Unreadable,
    parse_limit,
)
from damaskcroft.limits._rate_limits import RateLimits
from damaskcroft.limits._registry import LimitRegistry
from damaskcroft.limits._senders import Senders, Standing
from damaskcroft.limits._shares import sending_share, whole_share

__all__ = [
    "ColdTargets",
    "LimitHeader",
    "LimitRegistry",
    "Named",
    "RateLimits",
    "Senders",
    "Standing",
    "TokenBucket",
    "Unnamed",
    "Unreadable",
    "parse_limit",
    "sending_share",
    "whole_share",
]
