"""Control nodes: replicated state machines and their gRPC services."""

from damaskcroft.control._answers import Accepted, Invalid, Unavailable
from damaskcroft.control._fleet_control import FleetControl
from damaskcroft.control._fleet_service import FleetService
from damaskcroft.control._fleet_state import FleetState
from damaskcroft.control._limits_service import LimitsService
from damaskcroft.control._quarantine_service import QuarantineService
from damaskcroft.control._service_recorder import ServiceRecorder
from damaskcroft.control._turns_service import TurnsService

__all__ = [
    "Accepted",
    "FleetControl",
    "FleetService",
    "FleetState",
    "Invalid",
    "LimitsService",
    "QuarantineService",
    "ServiceRecorder",
    "TurnsService",
    "Unavailable",
]
