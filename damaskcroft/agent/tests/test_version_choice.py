"""Choice of the version to stage, for targets with and without layers."""

import hashlib

import pytest

from damaskcroft._generated import fleet_pb2
from damaskcroft.agent._version_choice import ModelVersion, VersionChoice
from damaskcroft.fleet import FleetView
from damaskcroft.weights import MemoryStore, manifest_of_digests

WEIGHTS_S = 10.0
LINK_BYTES_S = 100.0
CHUNKS = [bytes([number]) * 50 for number in range(8)]


class FakeOwn:
    def __init__(self, *held):
        self.state = fleet_pb2.AgentState(service="s", held=held)


@pytest.mark.parametrize("layers", [0, 4])
def test_no_version_older_than_the_served_one_is_staged(loop, layers):
    """Targets that report no layers were once assumed to hold nothing."""
    view = FleetView()
    engine = fleet_pb2.EngineProfile(models=[fleet_pb2.EngineModel(name="m")])
    service = fleet_pb2.Service(name="s", engine=engine)
    view.apply_configuration(
        fleet_pb2.Configuration(version=1, services=[service])
    )
    store = MemoryStore(10**6)
    digests = [hashlib.sha256(data).digest() for data in CHUNKS]
    manifest = manifest_of_digests("m", "2", 50, digests)
    partial = store.open_version(
        manifest.SerializeToString(deterministic=True), set()
    )
    for index, data in enumerate(CHUNKS):
        partial.write_chunk(index, data)
    held = fleet_pb2.HeldLayers(model="m", version=3, end_layer=layers)
    choice = VersionChoice(FakeOwn(held), view, store, LINK_BYTES_S, WEIGHTS_S)

    async def scenario():
        for version in (2, 3, 4):
            goal = fleet_pb2.WeightGoal(model="m", version=version, age_ms=0)
            view.apply_update(fleet_pb2.FleetUpdate(goals=[goal]))
        assert choice.version_to_stage() == ModelVersion("m", 4)

    loop.run(scenario())
