"""Versions of weights that targets hold, as they or their agents announce."""

import collections
from collections.abc import Iterable, Iterator

from damaskcroft._generated import fleet_pb2
from damaskcroft.fleet._view import FleetView

__all__ = [
    "agents_by_target_address",
    "complete_versions",
    "held_layers",
    "holds_servable_layers",
    "version_in_service",
]


def agents_by_target_address(
    view: FleetView,
) -> dict[str, fleet_pb2.AgentState]:
    """Agents whose announcement refers to the current start of their target.

    An agent notices some tenths of a second late that its target has restarted.
    Until then its announcement refers to a start that has ended.
    """
    agents = {
        agent.target_address: agent for agent in view.agents_by_address.values()
    }
    for state in view.targets.address_holders():
        agent = agents.get(state.address)
        if agent is not None and _is_of_earlier_start(agent, state):
            del agents[state.address]
    return agents


def _is_of_earlier_start(
    agent: fleet_pb2.AgentState, state: fleet_pb2.TargetState
) -> bool:
    """Whether the target has restarted since; False if a start is unknown."""
    if not agent.target_born_ms or not state.born_ms:
        return False
    return agent.target_born_ms < state.born_ms


def held_layers(
    state: fleet_pb2.TargetState, agent: fleet_pb2.AgentState | None
) -> Iterable[fleet_pb2.HeldLayers]:
    """What a target holds; its agent's announcement is more recent."""
    return agent.held if agent is not None else state.held


def holds_servable_layers(part: fleet_pb2.HeldLayers) -> bool:
    """Whether more is held than the one layer that a weights guard leaves.

    Targets that load models in one piece announce no layers, which reads as 0
    to 0.
    """
    return part.end_layer - part.first_layer != 1


def complete_versions(
    parts: Iterable[fleet_pb2.HeldLayers], model: str, layers: int
) -> Iterator[int]:
    """Versions of a model of which all layers are held.

    Args:
        parts: what is held.
        model: name of the model.
        layers: number of layers of the model; an end layer of 0 stands for all
            of them.
    """
    for part in parts:
        if part.model != model or part.first_layer:
            continue
        if part.end_layer == 0 or part.end_layer >= layers:
            yield part.version


def version_in_service(
    view: FleetView, services: Iterable[fleet_pb2.Service], model: str
) -> int:
    """The version that more than half of a model's holders hold completely.

    As long as no desired version is set, no version of a single target, not
    even the newest, may cause the other targets to change; the majority
    decides. Targets that hold no version are not counted, because they are
    empty until they are told what to load. Without a majority it cannot be
    determined which version is in service.

    Args:
        view: targets and agents.
        services: the configured services.
        model: name of the model.

    Returns:
        The version; 0 if there is none.
    """
    layers_by_service = {
        service.name: service.engine.layers
        for service in services
        if any(known.name == model for known in service.engine.models)
    }
    agent_by_target = agents_by_target_address(view)
    holders = 0
    holders_by_version: collections.Counter[int] = collections.Counter()
    for state in view.targets.address_holders():
        layers = layers_by_service.get(state.service)
        if layers is None:
            continue
        parts = held_layers(state, agent_by_target.get(state.address))
        versions = {v for v in complete_versions(parts, model, layers) if v}
        holders += bool(versions)
        holders_by_version.update(versions)
    return max(
        (v for v, count in holders_by_version.items() if 2 * count > holders),
        default=0,
    )
