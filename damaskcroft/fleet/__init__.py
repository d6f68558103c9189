"""A fleet whose targets announce themselves and whose routes are configured."""

from damaskcroft.fleet._held import (
    held_by,
    version_in_service,
    whole_versions,
)
from damaskcroft.fleet._routes import RouteTable, mark_interruptible
from damaskcroft.fleet._settings import Bounds, NodeSettings
from damaskcroft.fleet._targets import TargetBook
from damaskcroft.fleet._validation import configuration_faults
from damaskcroft.fleet._view import GUARD_RENEWED_S, FleetView
from damaskcroft.fleet._watch import UPDATE_EVERY_S, Watcher

__all__ = [
    "GUARD_RENEWED_S",
    "UPDATE_EVERY_S",
    "Bounds",
    "FleetView",
    "NodeSettings",
    "RouteTable",
    "TargetBook",
    "Watcher",
    "configuration_faults",
    "held_by",
    "mark_interruptible",
    "version_in_service",
    "whole_versions",
]
