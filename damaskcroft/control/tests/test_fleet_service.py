"""What a control node tells its watchers of goals and their ages."""

import asyncio

import pytest

from damaskcroft._generated import fleet_pb2, limits_pb2, quarantine_pb2
from damaskcroft.consensus import Committed
from damaskcroft.control import FleetControl, FleetService, FleetState
from damaskcroft.fleet import FleetView

WEIGHTS_S = 8.0


class Stream:
    """One watcher's stream, which hands each update to a view."""

    def __init__(self, view, name="e"):
        self.view = view
        self.name = name

    async def recv_message(self):
        return fleet_pb2.WatchRequest(name=self.name, is_entry=True)

    async def send_message(self, update):
        self.view.apply_update(update)


class FrozenStream(Stream):
    """One whose watcher reads nothing for a while."""

    def __init__(self, view):
        super().__init__(view)
        self.unread = []

    async def send_message(self, update):
        if self.unread is None:
            await super().send_message(update)
        else:
            self.unread.append(update)

    def thaw(self):
        for update in self.unread:
            self.view.apply_update(update)
        self.unread = None


class Leader:
    """A replica that commits whatever is proposed."""

    def __init__(self, state):
        self._state = state

    def member_addresses(self):
        return []

    async def propose(self, command):
        return Committed(1, self._state.apply(1, command))


class Node:
    """A control node's state and service, without consensus."""

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
        await self.control.commit_here(
            fleet_pb2.FleetCommand(name_weights=goal)
        )

    def watch(self, stream):
        """Tells a stream all, then changes until the task is cancelled."""
        return asyncio.create_task(self.service.Watch(stream))


def image(version):
    goal = fleet_pb2.WeightGoal(model="m", version=version)
    return fleet_pb2.FleetImage(goals=[goal]).SerializeToString()


@pytest.fixture
def play(loop):
    """Runs a scenario with a control node that has run for a while."""

    def run(scenario):
        async def started():
            node = Node()
            await asyncio.sleep(60)
            await scenario(node)

        loop.run(started())

    return run


def test_a_goal_from_a_snapshot_has_not_the_age_of_the_one_before(play):
    """A new version was told with the age of the version before it.

    A control node that had been cut off got version 3 by a snapshot and told
    it with the time at which it had taken version 2. Since the earliest word
    counts, every entry then held version 3 to be due at once, while no target
    could serve it yet. Evidence: `restore` left the times of goals as they
    were, by model.
    """

    async def scenario(node):
        node.name_weights(2)
        await asyncio.sleep(20)
        node.state.restore(image(3))
        view = FleetView()
        knowing = fleet_pb2.WeightGoal(model="m", version=3, age_ms=1000)
        view.apply_update(fleet_pb2.FleetUpdate(goals=[knowing]))
        watching = node.watch(Stream(view))
        await asyncio.sleep(0.01)
        watching.cancel()
        assert view.due_version("m", WEIGHTS_S) < 3

    play(scenario)


def test_an_entry_that_starts_late_knows_when_an_older_version_is_due(play):
    """A new entry sent to weights whose time had passed 3 s before.

    Versions 2 and 3 were named 3 s apart, and the entry began to watch a
    second later. It was told of version 3 alone, with its age, and so let
    requests begin on version 1 until that one was due, though version 2
    forbids that 3 s sooner. Evidence: a control node kept and told the newest
    goal's time only.
    """

    async def scenario(node):
        node.name_weights(2)
        await asyncio.sleep(3)
        node.name_weights(3)
        await asyncio.sleep(1)
        view = FleetView()
        watching = node.watch(Stream(view))
        await asyncio.sleep(0.01)
        watching.cancel()
        assert view.goal_by_model["m"].version == 3
        assert view.due_version("m", WEIGHTS_S) == 0
        await asyncio.sleep(4.1)
        assert view.due_version("m", WEIGHTS_S) == 2
        await asyncio.sleep(3)
        assert view.due_version("m", WEIGHTS_S) == 3

    play(scenario)


def test_a_frozen_entry_learns_how_old_a_goal_was_when_it_read_of_it(play):
    """An entry that had been frozen gave old weights as much more time.

    Version 2 was named while the entry was frozen for 1.5 s. The update lay
    in its connection meanwhile; read at last, it told an age of 0. Silence is
    borne for 2 s, so the stream stayed open, and over one stream a goal was
    told once: the entry held version 2 to be due 9.5 s after its acceptance.
    A link that loses packets for a moment does the same.
    """

    async def scenario(node):
        view = FleetView()
        stream = FrozenStream(view)
        watching = node.watch(stream)
        await asyncio.sleep(0.01)
        node.name_weights(2)
        await asyncio.sleep(1.5)
        stream.thaw()
        await asyncio.sleep(WEIGHTS_S - 1.4)
        assert view.due_version("m", WEIGHTS_S) == 2
        watching.cancel()

    play(scenario)


def test_a_node_that_took_a_goal_late_tells_what_the_others_know(play):
    """A control node that had been cut off told everyone too small an age.

    It took version 2 from the log 5 s after its acceptance and told an age of
    0, though the other nodes, which it follows as entries do, had told it
    better. An entry that started then, and reached it first or alone, gave
    old weights 5 s more. A node that had restarted told no age at all, and
    the entry gave old weights no time. Evidence: a node told its own times
    only.
    """

    async def scenario(node):
        others = fleet_pb2.WeightGoal(model="m", version=2, age_ms=5000)
        node.name_weights(2)
        node.view.apply_update(fleet_pb2.FleetUpdate(goals=[others]))
        assert await due_after(node, 2.9) == 0
        assert await due_after(node, 0.2) == 2
        others = fleet_pb2.WeightGoal(model="m", version=3, age_ms=1000)
        node.state.restore(image(3))
        node.view.apply_update(fleet_pb2.FleetUpdate(goals=[others]))
        assert await due_after(node, 6.9) == 2
        assert await due_after(node, 0.2) == 3

    play(scenario)


async def due_after(node, seconds):
    """What is due for an entry that begins to watch a while from now."""
    await asyncio.sleep(seconds)
    view = FleetView()
    watching = node.watch(Stream(view))
    await asyncio.sleep(0.01)
    watching.cancel()
    return view.due_version("m", WEIGHTS_S)


def test_a_version_accepted_right_after_a_start_is_not_taken_for_old(loop):
    """All targets were left for some seconds after control had restarted.

    All of control had been killed and was back, and within 3 s version 2 was
    named. What a node applies that soon after its start may be a replay, so
    no node told an age, and entries held version 2 to be due at once, while
    no target could serve it yet. Evidence: the leader, which accepts a
    version and so knows when that was, told no age either.
    """

    async def scenario():
        node = Node()
        await asyncio.sleep(1)
        node.name_weights(1)
        await node.accept_weights(2)
        await asyncio.sleep(1)
        view = FleetView()
        watching = node.watch(Stream(view))
        await asyncio.sleep(0.01)
        watching.cancel()
        assert view.due_version("m", WEIGHTS_S) == 1
        assert view.due_version("m", 0.9) == 2

    loop.run(scenario())


class CountingStream(Stream):
    """One that counts what it is sent."""

    def __init__(self, view):
        super().__init__(view)
        self.sent = 0

    async def send_message(self, update):
        self.sent += 1
        await super().send_message(update)


def agent_word(number, sequence, **fields):
    return fleet_pb2.AgentState(
        address=f"10.0.0.{number}:1",
        incarnation="one",
        sequence=sequence,
        **fields,
    )


def test_renewals_wake_watchers_seldom(play):
    """Before: 56 updates a second, one for each agent's renewal.

    While a version changes each agent tells every second that it still guards
    its target. With 55 agents, 96 watchers and five control nodes these were
    26,000 updates a second, and as many decoded.
    """

    async def scenario(node):
        watcher = CountingStream(FleetView())
        node.watch(watcher)
        for number in range(55):
            node.view.take([], [agent_word(number, 1)])
        await asyncio.sleep(1.0)
        before = watcher.sent
        for number in range(55):
            node.view.take([], [agent_word(number, 2)])
            await asyncio.sleep(1.0 / 55)
        await asyncio.sleep(0.3)
        assert watcher.sent - before <= 8
        known = watcher.view.agents_by_address.values()
        assert {agent.sequence for agent in known} == {2}

    play(scenario)


def test_news_of_an_agent_are_told_at_once(play):
    async def scenario(node):
        watcher = CountingStream(FleetView())
        node.watch(watcher)
        node.view.take([], [agent_word(1, 1)])
        await asyncio.sleep(0.3)
        node.view.take([], [agent_word(1, 2)])
        switching = agent_word(1, 3, phase=fleet_pb2.AGENT_SWITCHING)
        node.view.take([], [switching])
        await asyncio.sleep(0.01)
        known = watcher.view.agents_by_address["10.0.0.1:1"]
        assert known.phase == fleet_pb2.AGENT_SWITCHING

    play(scenario)


def test_news_of_many_agents_come_in_few_updates(play):
    """Before: 123 updates, almost one for each word of 41 agents."""

    async def scenario(node):
        watcher = CountingStream(FleetView())
        node.watch(watcher)
        await asyncio.sleep(0.3)
        before = watcher.sent
        for sequence in range(1, 4):
            for number in range(41):
                held = fleet_pb2.HeldLayers(model="m", version=sequence)
                node.view.take([], [agent_word(number, sequence, held=[held])])
                await asyncio.sleep(1.0 / 123)
        await asyncio.sleep(0.06)
        assert watcher.sent - before <= 25
        known = watcher.view.agents_by_address.values()
        assert {agent.sequence for agent in known} == {3}

    play(scenario)


def test_what_takes_a_target_out_is_told_at_once_among_other_news(play):
    """It may be told to load 30 ms later; before, news waited up to 50 ms."""

    async def scenario(node):
        watcher = CountingStream(FleetView())
        node.watch(watcher)
        await asyncio.sleep(0.3)
        for number in range(9):
            node.view.take([], [agent_word(number, 1)])
            await asyncio.sleep(0.006)
            node.view.take([], [agent_word(number, 2)])
            switching = agent_word(number, 3, phase=fleet_pb2.AGENT_SWITCHING)
            node.view.take([], [switching])
            await asyncio.sleep(0.01)
            known = watcher.view.agents_by_address[switching.address]
            assert known.phase == fleet_pb2.AGENT_SWITCHING

    play(scenario)


class Asking:
    """A watcher that asks for the configuration."""

    def __init__(self, **fields):
        self.fields = fields
        self.got = None

    async def recv_message(self):
        return fleet_pb2.ConfigurationRequest(**self.fields)

    async def send_message(self, reply):
        self.got = reply


def test_each_watcher_gets_the_newest_configuration_as_it_asks(play):
    def configured(node, version):
        configuration = fleet_pb2.Configuration(
            version=version,
            routes=[fleet_pb2.Route(name=f"r{version}", host="h")],
            services=[fleet_pb2.Service(name="s")],
            source=b"source",
        )
        command = fleet_pb2.FleetCommand(configure=configuration)
        node.state.apply(1, command.SerializeToString())

    async def asked(node, **fields):
        asking = Asking(**fields)
        await node.service.GetConfiguration(asking)
        return asking.got.configuration

    async def scenario(node):
        for version in (3, 4):
            configured(node, version)
            for _ in range(2):
                whole = await asked(node)
                assert whole.version == version
                assert [r.name for r in whole.routes] == [f"r{version}"]
                assert whole.source == b""
                without = await asked(node, without_routes=True)
                assert [s.name for s in without.services] == ["s"]
                assert not without.routes
            assert not (await asked(node, above_version=version)).version

    play(scenario)


def test_crash_reports_of_several_entries_reach_each_watcher_whole(play):
    """Each of twelve entries lost one request with the same target."""
    names = [b"lost at %d" % n for n in range(12)]

    async def scenario(node):
        view = FleetView()
        watching = node.watch(Stream(view))
        await asyncio.sleep(0.01)
        for name in names:
            report = quarantine_pb2.TargetCrash(
                start_id="t@1",
                suspects=[quarantine_pb2.Suspect(fingerprint=name, chain=1)],
            )
            node.view.take([], crashes=[report])
            await asyncio.sleep(0.002)
        await asyncio.sleep(0.2)
        watching.cancel()
        assert [n for n in names if not view.crashes.is_suspect(n)] == []

    play(scenario)


def test_entries_hear_of_each_other_and_of_who_left(play):
    async def scenario(node):
        view = FleetView()
        watching = node.watch(Stream(view, "a"))
        other = node.watch(Stream(FleetView(), "b"))
        await asyncio.sleep(0.2)
        assert view.entry_names.names() == {"a", "b"}
        other.cancel()
        await asyncio.sleep(5)
        assert view.entry_names.names() == {"a"}
        watching.cancel()

    play(scenario)


def test_a_limit_that_one_entry_heard_of_reaches_the_others(play):
    async def scenario(node):
        view, later = FleetView(), FleetView()
        watching = node.watch(Stream(view, "a"))
        await asyncio.sleep(0.01)
        word = limits_pb2.NamedLimit(start_id="t@1", rate_s=2, revision=1)
        node.view.take([], limits=[word])
        await asyncio.sleep(0.1)
        assert view.limits.rate_s("t@1") == 2
        joining = node.watch(Stream(later, "b"))
        await asyncio.sleep(0.1)
        assert later.limits.rate_s("t@1") == 2
        watching.cancel()
        joining.cancel()

    play(scenario)
