"""Admission, fair sharing, choice of target and retries, at an entry."""

from damaskcroft._lazy_imports import lazy_imports
from damaskcroft.routing._back_pressure import BackPressure
from damaskcroft.routing._delays import AnswerDelays
from damaskcroft.routing._outliers import Outliers
from damaskcroft.routing._partitioned_targets import PartitionedTargets
from damaskcroft.routing._placement import Candidate, Placement, Placer, Slot
from damaskcroft.routing._queue import RequestQueue
from damaskcroft.routing._retry_after import draw_retry_after_s
from damaskcroft.routing._retry_budget import (
    FleetRetryBudget,
    RetryKind,
    SpentRetry,
)
from damaskcroft.routing._retry_window import RetryWindow
from damaskcroft.routing._silence import SilenceWatch
from damaskcroft.routing._tickets import (
    LongWait,
    Overloaded,
    QueueTicket,
    SlotTaken,
    TargetsUnavailable,
)
from damaskcroft.routing._unread_bound import UnreadBound

__all__ = [
    "Admission",
    "AnswerDelays",
    "BackPressure",
    "Candidate",
    "FleetRetryBudget",
    "Granted",
    "LongWait",
    "NotGranted",
    "Outliers",
    "Overloaded",
    "PartitionedTargets",
    "Placement",
    "Placer",
    "Pool",
    "PoolTable",
    "QueueTicket",
    "RequestQueue",
    "RetryBudget",
    "RetryKind",
    "RetryWindow",
    "SilenceWatch",
    "Slot",
    "SlotTaken",
    "SpentRetry",
    "Target",
    "TargetChooser",
    "TargetsUnavailable",
    "Ticket",
    "UnreadBound",
    "draw_retry_after_s",
]

# Imported on first use: only entries with the product's own interface use them.
__getattr__ = lazy_imports(
    __name__,
    {
        "Admission": "_admission",
        "Granted": "_admission",
        "NotGranted": "_admission",
        "Pool": "_pools",
        "PoolTable": "_pools",
        "RetryBudget": "_retries",
        "Target": "_pools",
        "TargetChooser": "_choice",
        "Ticket": "_admission",
    },
)
