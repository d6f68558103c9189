"""Distribution of target crashes to every entry."""

import asyncio

import pytest
from grpclib import GRPCError

from damaskcroft._generated import fleet_pb2, quarantine_pb2
from damaskcroft.clock import now_s
from damaskcroft.control import QuarantineService, _quarantine_service
from damaskcroft.control.tests.test_fleet_service import Node, WatchStream
from damaskcroft.fleet import FleetView

# After this time an operator asks another node.
OPERATOR_TIMEOUT_S = 6.0


class RequestStream(WatchStream):
    """A stream of any call, which sends one request and keeps the reply."""

    def __init__(self, view, request):
        super().__init__(view)
        self.request = request
        self.reply = None

    async def recv_message(self):
        return self.request

    async def send_message(self, message):
        self.reply = message
        if isinstance(message, fleet_pb2.FleetUpdate):
            self.view.apply_update(message)


def crash(start, *suspects):
    return quarantine_pb2.TargetCrash(
        start_id=start,
        suspects=[
            quarantine_pb2.Suspect(fingerprint=suspect, chain=9)
            for suspect in suspects
        ],
    )


@pytest.fixture
def run_scenario(loop):
    """Runs a scenario with a control node that has just started."""

    def run(scenario):
        async def started():
            await scenario(Node())

        loop.run(started())

    return run


async def relay_crashes(node, *crashes):
    request = fleet_pb2.RelayRequest(crashes=crashes)
    await node.service.Relay(RequestStream(None, request))


def test_a_crash_reported_by_one_entry_reaches_other_entries(run_scenario):
    async def scenario(node):
        entry, agent = FleetView(), FleetView()
        streams = [
            RequestStream(
                entry, fleet_pb2.WatchRequest(name="e", is_entry=True)
            ),
            RequestStream(
                agent,
                fleet_pb2.WatchRequest(
                    name="a", agent=fleet_pb2.AgentState(address="x")
                ),
            ),
        ]
        watching = [node.watch(stream) for stream in streams]
        await asyncio.sleep(1)
        await relay_crashes(node, *(crash(f"t{n}", b"bad") for n in range(3)))
        await asyncio.sleep(0.1)
        assert entry.crashes.quarantined_s(b"bad")
        # Agents send no requests, so crashes are not sent to them.
        assert not entry.crashes.is_suspect(b"other")
        assert not agent.crashes.is_suspect(b"bad")
        for task in watching:
            task.cancel()

    run_scenario(scenario)


def test_a_restarted_node_learns_crashes_from_its_watchers(run_scenario):
    async def scenario(node):
        known = [crash(f"t{n}", b"bad") for n in range(3)]
        request = fleet_pb2.WatchRequest(name="e", is_entry=True, crashes=known)
        watching = node.watch(RequestStream(FleetView(), request))
        await asyncio.sleep(0.1)
        assert node.view.crashes.quarantined_s(b"bad")
        late = FleetView()
        joining = node.watch(
            RequestStream(late, fleet_pb2.WatchRequest(name="l", is_entry=True))
        )
        await asyncio.sleep(0.1)
        assert late.crashes.quarantined_s(b"bad")
        watching.cancel()
        joining.cancel()

    run_scenario(scenario)


def test_a_lift_reaches_entries_and_is_not_undone_by_a_late_report(
    run_scenario,
):
    async def scenario(node):
        entry = FleetView()
        watching = node.watch(
            RequestStream(
                entry, fleet_pb2.WatchRequest(name="e", is_entry=True)
            )
        )
        known = [crash(f"t{n}", b"bad") for n in range(3)]
        await relay_crashes(node, *known)
        call = RequestStream(
            None, quarantine_pb2.QuarantineRequest(lift=[b"bad", b"x"])
        )
        service = QuarantineService(
            node.view.crashes, node.service.publish_crashes
        )
        await service.Review(call)
        assert (call.reply.lifted, len(call.reply.requests)) == (1, 0)
        await relay_crashes(node, *known)
        await asyncio.sleep(0.1)
        assert not entry.crashes.is_suspect(b"bad")
        watching.cancel()

    run_scenario(scenario)


def test_a_lift_that_its_operator_gave_up_releases_nothing(
    run_scenario, monkeypatch
):
    """Guards against a lift that a suspended node reads much later."""
    monkeypatch.setattr(
        _quarantine_service,
        "arrived_after_s",
        lambda: now_s() - OPERATOR_TIMEOUT_S,
    )

    async def scenario(node):
        await relay_crashes(node, *(crash(f"t{n}", b"bad") for n in range(3)))
        lift = quarantine_pb2.QuarantineRequest(lift=[b"bad"])
        service = QuarantineService(
            node.view.crashes, node.service.publish_crashes
        )
        with pytest.raises(GRPCError):
            await service.Review(RequestStream(None, lift))
        assert node.view.crashes.quarantined_s(b"bad")
        # Without a lift, the list is as good as any.
        listing = RequestStream(None, quarantine_pb2.QuarantineRequest())
        await service.Review(listing)
        assert len(listing.reply.requests) == 1

    run_scenario(scenario)
