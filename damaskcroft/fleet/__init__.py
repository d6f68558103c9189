"""Fleet state: announced targets, configured routes and known agents."""

from damaskcroft.fleet._announcements import (
    InvalidAnnouncement,
    checked,
    record_invalid_announcement,
)
from damaskcroft.fleet._evacuations import Evacuations
from damaskcroft.fleet._held import (
    agents_by_target_address,
    complete_versions,
    held_layers,
    holds_servable_layers,
    version_in_service,
)
from damaskcroft.fleet._relaying import relay
from damaskcroft.fleet._reporter import Reporter
from damaskcroft.fleet._residency import allowed_regions
from damaskcroft.fleet._routes import RouteTable, mark_interruptible
from damaskcroft.fleet._settings import Bounds, NodeSettings
from damaskcroft.fleet._targets import TargetRegistry, start_id
from damaskcroft.fleet._turns import TurnClient
from damaskcroft.fleet._validation import configuration_faults
from damaskcroft.fleet._view import (
    GUARD_RENEWED_S,
    RENEWALS_GATHERED_S,
    FleetView,
)
from damaskcroft.fleet._watch import UPDATE_EVERY_S, Watcher

__all__ = [
    "GUARD_RENEWED_S",
    "RENEWALS_GATHERED_S",
    "UPDATE_EVERY_S",
    "Bounds",
    "Evacuations",
    "FleetView",
    "InvalidAnnouncement",
    "NodeSettings",
    "Reporter",
    "RouteTable",
    "TargetRegistry",
    "TurnClient",
    "Watcher",
    "agents_by_target_address",
    "allowed_regions",
    "checked",
    "complete_versions",
    "configuration_faults",
    "held_layers",
    "holds_servable_layers",
    "mark_interruptible",
    "record_invalid_announcement",
    "relay",
    "start_id",
    "version_in_service",
]
