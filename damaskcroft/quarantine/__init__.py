"""Detection and fleet-wide refusal of requests that crash their targets."""

import typing

from damaskcroft._lazy_imports import lazy_imports

if typing.TYPE_CHECKING:
    from damaskcroft.quarantine._copies import HoldTurn, SerialCopies
    from damaskcroft.quarantine._crash_detection import (
        CrashDetector,
        LostPart,
        LostRequest,
        is_gone,
    )
    from damaskcroft.quarantine._crash_registry import (
        CrashRegistry,
        Quarantined,
    )
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

__getattr__ = lazy_imports(
    __name__,
    {
        "CrashDetector": "_crash_detection",
        "CrashRegistry": "_crash_registry",
        "HoldTurn": "_copies",
        "LostPart": "_crash_detection",
        "LostRequest": "_crash_detection",
        "MAX_RECORDED_BODY_BYTES": "_recent_answers",
        "PartPattern": "_part_evidence",
        "Quarantined": "_crash_registry",
        "RecentAnswers": "_recent_answers",
        "RequestTraits": "_crashes",
        "SerialCopies": "_copies",
        "SuspectParts": "_suspect_parts",
        "Turns": "_turns",
        "fingerprint": "_fingerprint",
        "is_gone": "_crash_detection",
        "parse_suspect": "_fingerprint",
        "part_key": "_fingerprint",
        "part_names": "_fingerprint",
    },
)
