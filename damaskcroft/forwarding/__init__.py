"""Forwards callers' requests to targets and relays the answers."""

from damaskcroft.forwarding._call import (
    AnswerFacts,
    AttemptMetadata,
    Call,
    TargetLoad,
    Wire,
)
from damaskcroft.forwarding._cold_targets import follow_cold_targets
from damaskcroft.forwarding._forwarder import Forwarder
from damaskcroft.forwarding._gate import EntryGate
from damaskcroft.forwarding._job import (
    Delivered,
    Interrupted,
    Job,
    Ran,
    Refused,
)
from damaskcroft.forwarding._retry_budget import follow_retry_budget
from damaskcroft.forwarding._services import Services
from damaskcroft.forwarding._suspects import Suspects

__all__ = [
    "AnswerFacts",
    "AttemptMetadata",
    "Call",
    "Delivered",
    "EntryGate",
    "Forwarder",
    "Interrupted",
    "Job",
    "Ran",
    "Refused",
    "Services",
    "Suspects",
    "TargetLoad",
    "Wire",
    "follow_cold_targets",
    "follow_retry_budget",
]
