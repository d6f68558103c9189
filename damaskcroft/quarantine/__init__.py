"""Detection and fleet-wide refusal of requests that crash their targets."""

from damaskcroft.quarantine._copies import HoldTurn, SerialCopies
from damaskcroft.quarantine._crash_detection import (
    CrashDetector,
    LostPart,
    LostRequest,
    is_gone,
)
from damaskcroft.quarantine._crash_registry import CrashRegistry, Quarantined
from damaskcroft.quarantine._crashes import RequestTraits
from damaskcroft.quarantine._fingerprint import (
    fingerprint,
    parse_suspect,
    part_key,
    part_names,
)
from damaskcroft.quarantine._part_evidence import PartPattern
from damaskcroft.quarantine._recent_answers import (
    MAX_RECORDED_BODY_BYTES,
    RecentAnswers,
)
from damaskcroft.quarantine._suspect_parts import SuspectParts
from damaskcroft.quarantine._turns import Turns

__all__ = [
    "MAX_RECORDED_BODY_BYTES",
    "CrashDetector",
    "CrashRegistry",
    "HoldTurn",
    "LostPart",
    "LostRequest",
    "PartPattern",
    "Quarantined",
    "RecentAnswers",
    "RequestTraits",
    "SerialCopies",
    "SuspectParts",
    "Turns",
    "fingerprint",
    "is_gone",
    "parse_suspect",
    "part_key",
    "part_names",
]
