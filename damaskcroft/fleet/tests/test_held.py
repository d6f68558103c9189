"""The version in service, derived from what targets hold."""

import pytest

from damaskcroft._generated import fleet_pb2
from damaskcroft.fleet import FleetView, version_in_service

LAYERS = 4
SERVICES = [
    fleet_pb2.Service(
        name="s",
        engine=fleet_pb2.EngineProfile(
            models=[fleet_pb2.EngineModel(name="m")], layers=LAYERS
        ),
    ),
    fleet_pb2.Service(name="plain"),
]


def part(version, first=0, end=LAYERS):
    return fleet_pb2.HeldLayers(
        model="m", version=version, first_layer=first, end_layer=end
    )


def target(name, *held, service="s"):
    return fleet_pb2.TargetState(
        id=name, service=service, address=f"{name}:1", sequence=1, held=held
    )


def agent(name, *held):
    return fleet_pb2.AgentState(
        address=f"{name}:2", target_address=f"{name}:1", incarnation="1",
        sequence=1, held=held,
    )  # fmt: skip


def in_service(targets, agents=()):
    view = FleetView()
    view.merge(targets, agents)
    return version_in_service(view, SERVICES, "m")


def test_no_version_is_in_service_without_holders():
    assert in_service([]) == 0
    assert in_service([target("a"), target("b")]) == 0


@pytest.mark.parametrize(
    ("versions", "answer"),
    [
        ([1], 1),
        ([1, 1, 5], 1),
        ([5, 5, 1], 5),
        ([1, 5], 0),
        ([1, 1, 2, 3], 0),
        ([1, 1, 1, 2, 3], 1),
    ],
)
def test_the_majority_of_the_holders_decides(versions, answer):
    targets = [target(f"t{n}", part(v)) for n, v in enumerate(versions)]
    assert in_service([*targets, target("x"), target("y")]) == answer


@pytest.mark.parametrize(
    "held", [part(2, end=LAYERS - 1), part(2, first=1), part(0)]
)
def test_incomplete_versions_do_not_count(held):
    assert in_service([target("a", held), target("b", held)]) == 0


def test_an_end_layer_of_0_stands_for_all_layers():
    assert in_service([target("a", part(2, end=0))]) == 2


def test_an_agent_takes_precedence_over_its_target():
    targets = [target("a", part(1)), target("b")]
    agents = [agent("a"), agent("b", part(2))]
    assert in_service(targets, agents) == 2


def test_targets_of_other_services_do_not_count():
    other = target("a", part(2), service="plain")
    gone = target("b", part(2), service="not configured")
    assert in_service([other, gone]) == 0
