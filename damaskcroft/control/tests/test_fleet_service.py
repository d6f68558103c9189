"""Updates that a control node sends to watchers: ages, batches, merging."""

import asyncio

import pytest

from damaskcroft._generated import fleet_pb2, limits_pb2, quarantine_pb2
from damaskcroft.consensus import Committed
from damaskcroft.control import FleetControl, FleetService, FleetState
from damaskcroft.fleet import FleetView

WEIGHTS_S = 8.0


class WatchStream:
    """Stream of one watcher, which applies each update to a view."""

    def __init__(self, view, name="e"):
        self.view = view
        self.name = name

    async def recv_message(self):
        return fleet_pb2.WatchRequest(name=self.name, is_entry=True)

    async def send_message(self, update):
        self.view.apply_update(update)


class FrozenStream(WatchStream):
    """Stream of a watcher that reads nothing until it resumes."""

    def __init__(self, view):
        super().__init__(view)
        self.unread = []

    async def send_message(self, update):
        if self.unread is None:
            await super().send_message(update)
        else:
            self.unread.append(update)

    def resume(self):
        for update in self.unread:
            self.view.apply_update(update)
        self.unread = None


class Leader:
    """A replica that commits every proposal at once."""

    def __init__(self, state):
        self._state = state

    def member_addresses(self):
        return []

    async def propose(self, command, condition=None):
        assert condition is None
        return Committed(1, self._state.apply(1, command))


class Node:
    """State and service of a control node, without consensus."""

    def __init__(self):
        self.state = FleetState()
        replica = Leader(self.state)
        self.view = FleetView()
        self.control = FleetControl(replica, self.state, self.view, None)
        self.service = FleetService(
            replica, self.state, self.view, self.control
        )

    def name_weights(self, version):
        goal = fleet_pb2.WeightGoal(model="m", version=version)
        command = fleet_pb2.FleetCommand(name_weights=goal)
        self.state.apply(1, command.SerializeToString())

    async def accept_weights(self, version):
        goal = fleet_pb2.WeightGoal(model="m", version=version)
        await self.control.log.commit_here(
            fleet_pb2.FleetCommand(name_weights=goal)
        )

    def watch(self, stream):
        """Starts to watch on a stream, until the task is cancelled."""
        return asyncio.create_task(self.service.Watch(stream))


def image(version):
    goal = fleet_pb2.WeightGoal(model="m", version=version)
    return fleet_pb2.FleetImage(goals=[goal]).SerializeToString()


@pytest.fixture
def run_scenario(loop):
    """Runs a scenario with a control node started a minute before."""

    def run(scenario):
        async def started():
            node = Node()
            await asyncio.sleep(60)
            await scenario(node)

        loop.run(started())

    return run


def test_a_version_from_a_snapshot_does_not_get_an_earlier_age(run_scenario):
    """Guards against a new version sent with the age of the one before.

    A partitioned control node got version 3 by a snapshot, and `restore` left
    the time of the desired version as it was, which was that of version 2.
    Because the earliest time counts, every entry took version 3 to be due at
    once, while no target could serve it yet.
    """

    async def scenario(node):
        node.name_weights(2)
        await asyncio.sleep(20)
        node.state.restore(image(3))
        view = FleetView()
        aged = fleet_pb2.WeightGoal(model="m", version=3, age_ms=1000)
        view.apply_update(fleet_pb2.FleetUpdate(goals=[aged]))
        watching = node.watch(WatchStream(view))
        await asyncio.sleep(0.01)
        watching.cancel()
        assert view.version_desired_for("m", WEIGHTS_S) < 3

    run_scenario(scenario)


def test_an_entry_that_starts_late_knows_when_older_versions_are_due(
    run_scenario,
):
    """Guards against a new entry that uses weights 3 s too long.

    Versions 2 and 3 were set 3 s apart, and the entry began to watch a second
    later. The control node kept and sent the time of the newest version only,
    so the entry began requests on version 1 until version 3 was due, although
    version 2 forbids that 3 s earlier.
    """

    async def scenario(node):
        node.name_weights(2)
        await asyncio.sleep(3)
        node.name_weights(3)
        await asyncio.sleep(1)
        view = FleetView()
        watching = node.watch(WatchStream(view))
        await asyncio.sleep(0.01)
        watching.cancel()
        assert view.desired_version_by_model["m"].version == 3
        assert view.version_desired_for("m", WEIGHTS_S) == 0
        await asyncio.sleep(4.1)
        assert view.version_desired_for("m", WEIGHTS_S) == 2
        await asyncio.sleep(3)
        assert view.version_desired_for("m", WEIGHTS_S) == 3

    run_scenario(scenario)


def test_a_frozen_entry_learns_the_age_of_a_version_when_it_resumes(
    run_scenario,
):
    """Guards against a frozen entry that uses old weights too long.

    Version 2 was set while the entry was frozen for 1.5 s. The update waited in
    the connection and stated an age of 0 when it was read. The stream stayed
    open, because silence is tolerated for 2 s, and each desired version was
    sent once per stream: the entry took version 2 to be due 9.5 s after its
    acceptance. A link that loses packets for a moment has the same effect.
    """

    async def scenario(node):
        view = FleetView()
        stream = FrozenStream(view)
        watching = node.watch(stream)
        await asyncio.sleep(0.01)
        node.name_weights(2)
        await asyncio.sleep(1.5)
        stream.resume()
        await asyncio.sleep(WEIGHTS_S - 1.4)
        assert view.version_desired_for("m", WEIGHTS_S) == 2
        watching.cancel()

    run_scenario(scenario)


def test_a_node_that_applied_a_version_late_sends_the_age_of_others(
    run_scenario,
):
    """Guards against a partitioned control node that sends too small an age.

    A node sent its own times only. It applied version 2 from the log 5 s after
    its acceptance and sent an age of 0, although the other nodes, which it
    watches as entries do, had sent the right one. An entry that started then
    and reached this node first or alone used old weights for 5 s too long. A
    restarted node sent no age at all, and the entry stopped using old weights
    at once.
    """

    async def scenario(node):
        aged = fleet_pb2.WeightGoal(model="m", version=2, age_ms=5000)
        node.name_weights(2)
        node.view.apply_update(fleet_pb2.FleetUpdate(goals=[aged]))
        assert await due_version_after(node, 2.9) == 0
        assert await due_version_after(node, 0.2) == 2
        aged = fleet_pb2.WeightGoal(model="m", version=3, age_ms=1000)
        node.state.restore(image(3))
        node.view.apply_update(fleet_pb2.FleetUpdate(goals=[aged]))
        assert await due_version_after(node, 6.9) == 2
        assert await due_version_after(node, 0.2) == 3

    run_scenario(scenario)


async def due_version_after(node, seconds):
    """The version due for an entry that starts to watch after a delay."""
    await asyncio.sleep(seconds)
    view = FleetView()
    watching = node.watch(WatchStream(view))
    await asyncio.sleep(0.01)
    watching.cancel()
    return view.version_desired_for("m", WEIGHTS_S)


def test_a_version_accepted_soon_after_a_start_has_its_age(loop):
    """Guards against entries that send no requests after control restarts.

    All control nodes had been killed, and version 2 was set within 3 s of their
    restart. A command applied that early may be replayed from the log, so no
    node sent an age, not even the leader, which knows the time because it
    accepted the version. Entries took version 2 to be due at once, while no
    target could serve it yet, and used no target for some seconds.
    """

    async def scenario():
        node = Node()
        await asyncio.sleep(1)
        node.name_weights(1)
        await node.accept_weights(2)
        await asyncio.sleep(1)
        view = FleetView()
        watching = node.watch(WatchStream(view))
        await asyncio.sleep(0.01)
        watching.cancel()
        assert view.version_desired_for("m", WEIGHTS_S) == 1
        assert view.version_desired_for("m", 0.9) == 2

    loop.run(scenario())


class CountingStream(WatchStream):
    """Stream that counts the updates sent to it."""

    def __init__(self, view):
        super().__init__(view)
        self.sent = 0

    async def send_message(self, update):
        self.sent += 1
        await super().send_message(update)


def agent_state(number, sequence, **fields):
    return fleet_pb2.AgentState(
        address=f"10.0.0.{number}:1",
        incarnation="one",
        sequence=sequence,
        **fields,
    )


def test_renewals_are_sent_in_few_updates(run_scenario):
    """Guards against one update for each agent's renewal: 56 a second.

    During a change of version each agent announces every second that it still
    guards its target. With 55 agents, 96 watchers and five control nodes these
    were 26,000 updates a second to encode and to decode.
    """

    async def scenario(node):
        watcher = CountingStream(FleetView())
        node.watch(watcher)
        for number in range(55):
            node.view.merge([], [agent_state(number, 1)])
        await asyncio.sleep(1.0)
        before = watcher.sent
        for number in range(55):
            node.view.merge([], [agent_state(number, 2)])
            await asyncio.sleep(1.0 / 55)
        await asyncio.sleep(0.3)
        assert watcher.sent - before <= 8
        known = watcher.view.agents_by_address.values()
        assert {agent.sequence for agent in known} == {2}

    run_scenario(scenario)


def test_a_change_of_an_agent_is_sent_at_once(run_scenario):
    async def scenario(node):
        watcher = CountingStream(FleetView())
        node.watch(watcher)
        node.view.merge([], [agent_state(1, 1)])
        await asyncio.sleep(0.3)
        node.view.merge([], [agent_state(1, 2)])
        switching = agent_state(1, 3, phase=fleet_pb2.AGENT_SWITCHING)
        node.view.merge([], [switching])
        await asyncio.sleep(0.01)
        known = watcher.view.agents_by_address["10.0.0.1:1"]
        assert known.phase == fleet_pb2.AGENT_SWITCHING

    run_scenario(scenario)


def test_changes_of_many_agents_are_sent_in_few_updates(run_scenario):
    """Guards against one update for almost every announcement: 123 here."""

    async def scenario(node):
        watcher = CountingStream(FleetView())
        node.watch(watcher)
        await asyncio.sleep(0.3)
        before = watcher.sent
        for sequence in range(1, 4):
            for number in range(41):
                held = fleet_pb2.HeldLayers(model="m", version=sequence)
                node.view.merge(
                    [], [agent_state(number, sequence, held=[held])]
                )
                await asyncio.sleep(1.0 / 123)
        await asyncio.sleep(0.06)
        assert watcher.sent - before <= 25
        known = watcher.view.agents_by_address.values()
        assert {agent.sequence for agent in known} == {3}

    run_scenario(scenario)


def test_a_target_taken_out_is_sent_at_once_among_other_changes(run_scenario):
    """Guards against a delay of up to 50 ms.

    The target may be ordered to load 30 ms later.
    """

    async def scenario(node):
        watcher = CountingStream(FleetView())
        node.watch(watcher)
        await asyncio.sleep(0.3)
        for number in range(9):
            node.view.merge([], [agent_state(number, 1)])
            await asyncio.sleep(0.006)
            node.view.merge([], [agent_state(number, 2)])
            switching = agent_state(number, 3, phase=fleet_pb2.AGENT_SWITCHING)
            node.view.merge([], [switching])
            await asyncio.sleep(0.01)
            known = watcher.view.agents_by_address[switching.address]
            assert known.phase == fleet_pb2.AGENT_SWITCHING

    run_scenario(scenario)


class ConfigurationStream:
    """Stream of a call that requests the configuration."""

    def __init__(self, **fields):
        self.fields = fields
        self.reply = None

    async def recv_message(self):
        return fleet_pb2.ConfigurationRequest(**self.fields)

    async def send_message(self, reply):
        self.reply = reply


def test_each_watcher_gets_the_newest_configuration_it_requests(run_scenario):
    def configured(node, version):
        configuration = fleet_pb2.Configuration(
            version=version,
            routes=[fleet_pb2.Route(name=f"r{version}", host="h")],
            services=[fleet_pb2.Service(name="s")],
            source=b"source",
        )
        command = fleet_pb2.FleetCommand(configure=configuration)
        node.state.apply(1, command.SerializeToString())

    async def fetch(node, **fields):
        stream = ConfigurationStream(**fields)
        await node.service.GetConfiguration(stream)
        return stream.reply.configuration

    async def scenario(node):
        for version in (3, 4):
            configured(node, version)
            for _ in range(2):
                whole = await fetch(node)
                assert whole.version == version
                assert [r.name for r in whole.routes] == [f"r{version}"]
                assert whole.source == b""
                without = await fetch(node, without_routes=True)
                assert [s.name for s in without.services] == ["s"]
                assert not without.routes
            assert not (await fetch(node, above_version=version)).version

    run_scenario(scenario)


def test_crash_reports_of_several_entries_reach_each_watcher_whole(
    run_scenario,
):
    """Twelve entries each lose one request when the same target crashes."""
    names = [b"lost at %d" % n for n in range(12)]

    async def scenario(node):
        view = FleetView()
        watching = node.watch(WatchStream(view))
        await asyncio.sleep(0.01)
        for name in names:
            report = quarantine_pb2.TargetCrash(
                start_id="t@1",
                suspects=[quarantine_pb2.Suspect(fingerprint=name, chain=1)],
            )
            node.view.merge([], crashes=[report])
            await asyncio.sleep(0.002)
        await asyncio.sleep(0.2)
        watching.cancel()
        assert [n for n in names if not view.crashes.is_suspect(n)] == []

    run_scenario(scenario)


def test_entries_learn_which_entries_joined_and_left(run_scenario):
    async def scenario(node):
        view = FleetView()
        watching = node.watch(WatchStream(view, "a"))
        other = node.watch(WatchStream(FleetView(), "b"))
        await asyncio.sleep(0.2)
        assert view.entry_names.names() == {"a", "b"}
        other.cancel()
        await asyncio.sleep(5)
        assert view.entry_names.names() == {"a"}
        watching.cancel()

    run_scenario(scenario)


def test_a_rate_limit_reported_by_one_entry_reaches_the_others(run_scenario):
    async def scenario(node):
        view, later = FleetView(), FleetView()
        watching = node.watch(WatchStream(view, "a"))
        await asyncio.sleep(0.01)
        limit = limits_pb2.NamedLimit(start_id="t@1", rate_s=2, revision=1)
        node.view.merge([], limits=[limit])
        await asyncio.sleep(0.1)
        assert view.limits.rate_s("t@1") == 2
        joining = node.watch(WatchStream(later, "b"))
        await asyncio.sleep(0.1)
        assert later.limits.rate_s("t@1") == 2
        watching.cancel()
        joining.cancel()

    run_scenario(scenario)
