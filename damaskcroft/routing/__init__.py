"""Admission, fair share, choice of target and retries, at an entry."""

from damaskcroft.routing._admission import (
    Admission,
    Granted,
    NotGranted,
    Ticket,
)
from damaskcroft.routing._choice import TargetChooser
from damaskcroft.routing._outliers import Outliers
from damaskcroft.routing._pools import Pool, PoolTable, Target
from damaskcroft.routing._retries import RetryBudget

__all__ = [
    "Admission",
    "Granted",
    "NotGranted",
    "Outliers",
    "Pool",
    "PoolTable",
    "RetryBudget",
    "Target",
    "TargetChooser",
    "Ticket",
]
