"""Interfaces and HTTP clients of targets: model engines and plain services."""

import typing

from damaskcroft._lazy_imports import lazy_imports
from damaskcroft.engines._orders import (
    EngineUnreachable,
    OrderAccepted,
    OrderExpired,
    OrderFailed,
    OrderOutcome,
    OrderRefused,
)
from damaskcroft.engines._staged import EngineReport, StagedEngine

if typing.TYPE_CHECKING:
    from damaskcroft.engines._base import (
        CallFailed,
        CallNotSent,
        CallStarted,
        Engine,
        EngineState,
        LoadOrder,
        TargetCall,
    )

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
    "OrderExpired",
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
    {
        "CallFailed": "_base",
        "CallNotSent": "_base",
        "CallStarted": "_base",
        "Engine": "_base",
        "EngineState": "_base",
        "FencingEngine": "_http",
        "LoadOrder": "_base",
        "PlainService": "_http",
        "TargetCall": "_base",
        "UnfencedEngine": "_http",
    },
)
