"""Agent process beside each target: admission, orders and weight staging."""

from damaskcroft.agent._chunk_service import ChunkService
from damaskcroft.agent._chunks import ChunkServer
from damaskcroft.agent._fleet_agent import FleetAgent
from damaskcroft.agent._fleet_stager import FleetStager
from damaskcroft.agent._fleet_switcher import FleetSwitcher
from damaskcroft.agent._weights_guard import guarded_versions

__all__ = [
    "ChunkServer",
    "ChunkService",
    "FleetAgent",
    "FleetStager",
    "FleetSwitcher",
    "guarded_versions",
]
