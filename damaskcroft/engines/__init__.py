"""Interfaces and HTTP clients of targets: model engines and plain services."""

from damaskcroft._lazy_imports import lazy_imports
from damaskcroft.engines._base import (
    CallFailed,
    CallNotSent,
    CallStarted,
    Engine,
    EngineState,
    EngineUnreachable,
    LoadOrder,
    OrderAccepted,
    OrderFailed,
    OrderOutcome,
    OrderRefused,
    TargetCall,
)
from damaskcroft.engines._staged import EngineReport, StagedEngine

__all__ = [
    "CallFailed",
    "CallNotSent",
    "CallStarted",
    "Engine",
    "EngineReport",
    "EngineState",
    "EngineUnreachable",
    "FencingEngine",
    "LoadOrder",
    "OrderAccepted",
    "OrderFailed",
    "OrderOutcome",
    "OrderRefused",
    "PlainService",
    "StagedEngine",
    "TargetCall",
    "UnfencedEngine",
]

__getattr__ = lazy_imports(
    __name__,
    dict.fromkeys(("FencingEngine", "PlainService", "UnfencedEngine"), "_http"),
)
