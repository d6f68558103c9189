"""Forwards callers' requests to targets and relays the answers."""

from damaskcroft.forwarding._call import (
    AnswerFacts,
    AttemptMetadata,
    Call,
    TargetLoad,
    Wire,
)
from damaskcroft.forwarding._forwarder import Forwarder
from damaskcroft.forwarding._gate import EntryGate
from damaskcroft.forwarding._job import (
    Delivered,
    Interrupted,
    Job,
    Ran,
    Refused,
)
from damaskcroft.forwarding._services import Services
from damaskcroft.forwarding._suspects import Suspects

__all__ = [
    "AnswerFacts",
    "Call",
    "Delivered",
    "EntryGate",
    "Forwarder",
    "Interrupted",
    "Job",
    "AttemptMetadata",
    "Ran",
    "Refused",
    "Services",
    "Suspects",
    "TargetLoad",
    "Wire",
]
