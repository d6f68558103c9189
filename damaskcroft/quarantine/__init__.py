"""Detection and fleet-wide refusal of requests that crash their targets."""

from damaskcroft.quarantine._copies import Copies, HoldTurn
from damaskcroft.quarantine._crash_detection import CrashWatch, Loss, is_gone
from damaskcroft.quarantine._crash_registry import CrashBook, Quarantined
from damaskcroft.quarantine._fingerprint import fingerprint
from damaskcroft.quarantine._recent_answers import (
    MOST_NOTED_BYTES,
    RecentAnswers,
)
from damaskcroft.quarantine._turns import Turns

__all__ = [
    "Copies",
    "CrashBook",
    "CrashWatch",
    "HoldTurn",
    "Loss",
    "MOST_NOTED_BYTES",
    "Quarantined",
    "RecentAnswers",
    "Turns",
    "fingerprint",
    "is_gone",
]
