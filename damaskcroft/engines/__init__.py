"""Orders and calls to a target: model engines of two kinds, plain services."""

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
from damaskcroft.engines._http import (
    FencingEngine,
    PlainService,
    UnfencedEngine,
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
