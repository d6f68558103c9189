"""State of a control node after HTTP calls of targets, valid and malformed."""

import asyncio
import json
import math

import pytest
from starlette.applications import Starlette

from damaskcroft._generated import fleet_pb2
from damaskcroft.control import FleetControl, FleetState
from damaskcroft.fleet import FleetView
from damaskcroft.platform.control_face import control_routes
from damaskcroft.rpc._callers import ARRIVED_AFTER_S

BORN_MS = 1_764_000_000_000
ANNOUNCEMENT = {
    "service": "s", "address": "10.0.0.1:80", "zone": "z", "slots": 16,
    "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "models": [],
}  # fmt: skip


class SingleReplica:
    """A replica of a cluster of one, which is its own majority."""

    address = "c:1"

    def member_addresses(self):
        return [self.address]


class Node:
    """HTTP API of a control node, called without a network."""

    def __init__(self):
        self.state = FleetState()
        self.view = FleetView()
        control = FleetControl(SingleReplica(), self.state, self.view, None)
        self._app = Starlette(routes=control_routes(control))

    def configure(self, *services):
        configuration = fleet_pb2.Configuration(
            version=self.state.version + 1,
            services=[fleet_pb2.Service(name=name) for name in services],
        )
        command = fleet_pb2.FleetCommand(configure=configuration)
        self.state.apply(1, command.SerializeToString())

    def announce(self, target_id, **changes):
        """Posts an announcement, without fields of None; returns the status."""
        values = {
            k: v for k, v in (ANNOUNCEMENT | changes).items() if v is not None
        }
        return self.post(target_id, "heartbeat", json.dumps(values).encode())

    def leave(self, target_id, body=b"", arrived_after_s=math.inf):
        return self.post(target_id, "leave", body, arrived_after_s)

    def post(self, target_id, call, body, arrived_after_s=math.inf):
        statuses = []

        async def receive():
            return {"type": "http.request", "body": body, "more_body": False}

        async def send(message):
            if message["type"] == "http.response.start":
                statuses.append(message["status"])

        scope = {
            "type": "http", "method": "POST", "headers": [],
            "path": f"/api/instances/{target_id}/{call}",
            "query_string": b"", "raw_path": b"", "root_path": "",
            "http_version": "1.1", "scheme": "http",
            "state": {ARRIVED_AFTER_S: arrived_after_s},
        }  # fmt: skip
        asyncio.run(self._app(scope, receive, send))
        return statuses[0]

    def list_targets(self):
        return [
            (state.id, state.address, state.slots, state.phase)
            for state in self.view.targets.address_holders()
        ]


TARGET = ("i", "10.0.0.1:80", 16, fleet_pb2.TARGET_READY)


@pytest.fixture
def node():
    made = Node()
    made.configure("s")
    return made


def test_restarted_target_with_same_id_is_accepted_at_once(node):
    assert node.announce("i", sequence=50, born=BORN_MS, slots=4) == 200
    assert node.announce("i", sequence=1, born=BORN_MS + 5000) == 200
    assert node.list_targets() == [TARGET]
    # A delayed announcement of the earlier start does not replace the newer.
    assert node.announce("i", sequence=51, born=BORN_MS, slots=4) == 200
    assert node.list_targets() == [TARGET]


def test_an_old_leave_without_its_start_does_not_end_the_next_start(node):
    """Guards against a leave that a suspended node reads after a restart."""
    node.announce("i", sequence=1, born=BORN_MS + 5000)
    assert node.leave("i", arrived_after_s=-math.inf) == 503
    assert node.list_targets() == [TARGET]


def test_an_old_leave_that_names_its_start_takes_effect(node):
    node.announce("i", sequence=1, born=BORN_MS)
    body = json.dumps({"born": BORN_MS}).encode()
    assert node.leave("i", body, arrived_after_s=-math.inf) == 200
    assert node.list_targets() == []


@pytest.mark.parametrize("states_start", [True, False])
def test_target_that_left_may_restart_with_same_id(node, states_start):
    """The leave message states the start, or comes from an older sender."""
    node.announce("i", sequence=50, born=BORN_MS)
    last = json.dumps({"born": BORN_MS}).encode() if states_start else b""
    assert node.leave("i", last) == 200
    assert node.list_targets() == []
    node.announce("i", sequence=51, born=BORN_MS)
    assert node.list_targets() == []
    node.announce("i", sequence=1, born=BORN_MS + 5000)
    assert node.list_targets() == [TARGET]


@pytest.mark.parametrize("is_unknown_first", [True, False])
def test_announcement_of_unknown_service_does_not_take_an_address(
    node, is_unknown_first
):
    calls = [
        lambda: node.announce("x", service="unknown", sequence=9),
        lambda: node.announce("i"),
    ]
    for call in reversed(calls) if not is_unknown_first else calls:
        call()
    assert node.list_targets() == [TARGET]


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "sleeping"},
        {"state": 3},
        {"state": {"ready": True}},
        {"address": "none"},
        {"address": "10.0.0.1"},
        {"slots": -1},
        {"slots": "16"},
        {"cold_remaining_ms": -5},
        {"layers": "all"},
        {"layers": 3},
        {"service": None},
        {"sequence": "2"},
    ],
)
def test_malformed_announcement_changes_no_state(node, changes):
    """Holds for a known target and for a new one."""
    assert node.announce("i") == 200
    for target_id in ("i", "x"):
        assert node.announce(target_id, **({"sequence": 7} | changes)) == 400
        assert node.list_targets() == [TARGET]


@pytest.mark.parametrize("body", [b"", b"\xff\xfe", b"[", b"5"])
def test_undecodable_bytes_change_no_state(node, body):
    node.announce("i")
    assert node.post("i", "heartbeat", body) == 400
    assert node.post("i", "leave", body or b"\x00") == 400
    assert node.list_targets() == [TARGET]
