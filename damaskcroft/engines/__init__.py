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
    OrderRefused,
    TargetCall,
)
from damaskcroft.engines._http import (
    FencingEngine,
    PlainService,
    UnfencedEngine,
)

__all__ = [
    "CallFailed",
    "CallNotSent",
    "CallStarted",
    "Engine",
    "EngineState",
    "EngineUnreachable",
    "FencingEngine",
    "LoadOrder",
    "OrderAccepted",
    "OrderFailed",
    "OrderRefused",
    "PlainService",
    "TargetCall",
    "UnfencedEngine",
]
