"""Admission, fair sharing, choice of target and retries, at an entry."""

from damaskcroft._later import imported_later
from damaskcroft.routing._back_pressure import BackPressure
from damaskcroft.routing._delays import AnswerDelays
from damaskcroft.routing._outliers import Outliers
from damaskcroft.routing._parted_targets import PartedTargets
from damaskcroft.routing._placement import Candidate, Placement, Placer, Slot
from damaskcroft.routing._queue import RequestQueue
from damaskcroft.routing._retry_window import RetryWindow
from damaskcroft.routing._return_times import return_after_s
from damaskcroft.routing._silence import SilenceWatch
from damaskcroft.routing._tickets import (
    Closed,
    LongWait,
    Overloaded,
    QueueTicket,
    SlotTaken,
)
from damaskcroft.routing._unread_bound import UnreadBound

__all__ = [
    "Admission",
    "AnswerDelays",
    "BackPressure",
    "Candidate",
    "Closed",
    "Granted",
    "RequestQueue",
    "QueueTicket",
    "LongWait",
    "NotGranted",
    "Outliers",
    "Overloaded",
    "PartedTargets",
    "Placement",
    "Placer",
    "Pool",
    "PoolTable",
    "RetryBudget",
    "RetryWindow",
    "SilenceWatch",
    "Slot",
    "Target",
    "TargetChooser",
    "Ticket",
    "SlotTaken",
    "UnreadBound",
    "return_after_s",
]

# Imported on first use: only entries with the product's own interface use them.
__getattr__ = imported_later(
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
