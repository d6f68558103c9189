"""The gRPC face of a fleet's control node: watchers and other nodes."""

import asyncio
import collections
import contextlib
import math
from collections.abc import Iterable, Iterator
from typing import Any

from damaskcroft._generated import fleet_grpc, fleet_pb2, quarantine_pb2
from damaskcroft.clock import now_s
from damaskcroft.consensus import Replica
from damaskcroft.control._fleet_control import (
    NOT_LEADER,
    Accepted,
    FleetControl,
)
from damaskcroft.control._fleet_state import FleetState
from damaskcroft.fleet import (
    RENEWALS_GATHERED_S,
    UPDATE_EVERY_S,
    FleetView,
    mark_interruptible,
)
from damaskcroft.observe import log_event

__all__ = ["FleetService"]

# Changes that come together go out together. A change after a quiet time goes
# out at once; while many come, as when a version changes, each watcher gets
# them at intervals, or updates would grow with targets x watchers. What takes a
# target out doesn't wait: it is ordered to load a moment later.
_GATHER_S = 0.005
_INTERVAL_S = 0.05
# Ended targets that a new watcher is told of, so that another node's late
# word can't revive them for it.
_MAX_ENDED_TOLD = 512
# For this long a goal's age is told again: a watcher that was frozen, or whose
# link lost packets, counts the age from when it read of it. Over twice the
# bound for weights of any deployment, in seconds.
_TOLD_AGAIN_S = 20.0
# For this long after a start, what is applied may have been accepted long ago.
_REPLAY_S = 3.0


class _Watcher:
    """What one watcher has not been told yet."""

    __slots__ = (
        "agents_by_address",
        "crashed_starts",
        "entries_told",
        "hurry",
        "is_agent",
        "is_entry",
        "limited_starts",
        "targets_by_key",
        "wake",
    )

    def __init__(self, *, is_entry: bool, is_agent: bool):
        self.is_entry = is_entry
        self.is_agent = is_agent
        # By id and service: another writer may name a target's id beside a
        # service of its own.
        self.targets_by_key: dict[tuple[str, str], fleet_pb2.TargetState] = {}
        self.agents_by_address: dict[str, fleet_pb2.AgentState] = {}
        # Each report tells the requests of one entry; what is sent is what
        # this node has merged of them.
        self.crashed_starts: set[str] = set()
        self.limited_starts: set[str] = set()
        # The entries that it was told of; None before.
        self.entries_told: frozenset[str] | None = None
        self.wake = asyncio.Event()
        # Set beside `wake` by news that can't wait.
        self.hurry = asyncio.Event()

    def add(self, update: fleet_pb2.FleetUpdate) -> None:
        for state in update.targets:
            self.targets_by_key[state.id, state.service] = state
        for agent in update.agents:
            self.agents_by_address[agent.address] = agent
        if not self.is_agent:
            self.crashed_starts.update(c.start_id for c in update.crashes)
            self.limited_starts.update(w.start_id for w in update.limits)
        if _takes_out(update):
            self.hurry.set()
        self.wake.set()

    def take(self, update: fleet_pb2.FleetUpdate, view: FleetView) -> None:
        """Moves all that is new into an update."""
        update.targets.extend(self.targets_by_key.values())
        update.agents.extend(self.agents_by_address.values())
        update.crashes.extend(view.crashes.words_of(self.crashed_starts))
        update.limits.extend(view.limits.words_of(self.limited_starts))
        self.crashed_starts.clear()
        self.limited_starts.clear()
        self.targets_by_key.clear()
        self.agents_by_address.clear()
        self.wake.clear()
        self.hurry.clear()

    def take_entries(
        self, update: fleet_pb2.FleetUpdate, names: frozenset[str]
    ) -> None:
        """Puts into an update which entries came and left; all at first."""
        told = self.entries_told
        if self.is_agent or names == told:
            return
        self.entries_told = names
        update.entry_names.whole = told is None
        update.entry_names.joined.extend(names - (told or frozenset()))
        update.entry_names.left.extend((told or frozenset()) - names)


def _takes_out(update: fleet_pb2.FleetUpdate) -> bool:
    """Whether a target is to get no more requests."""
    return any(
        agent.phase == fleet_pb2.AGENT_SWITCHING for agent in update.agents
    ) or any(state.phase != fleet_pb2.TARGET_READY for state in update.targets)


class _ToldGoals:
    """When each goal was last told to one watcher."""

    __slots__ = ("_told_at",)

    def __init__(self) -> None:
        self._told_at: dict[tuple[str, int], float] = {}

    def take(self, goal: fleet_pb2.WeightGoal) -> bool:
        """Whether a goal is to be told now, which is noted."""
        key = goal.model, goal.version
        told_at = self._told_at.get(key)
        if told_at is not None and not self._is_due_again(goal, told_at):
            return False
        self._told_at[key] = now_s()
        return True

    def _is_due_again(self, goal: fleet_pb2.WeightGoal, told_at: float) -> bool:
        if not goal.HasField("age_ms"):
            return False
        is_young = goal.age_ms < _TOLD_AGAIN_S * 1000
        return is_young and now_s() - told_at >= UPDATE_EVERY_S


class FleetService(fleet_grpc.FleetBase):
    """Tells entries, agents and other control nodes what changes."""

    def __init__(
        self,
        replica: Replica,
        state: FleetState,
        view: FleetView,
        control: FleetControl,
    ):
        """Serves what `state` and `view` hold."""
        self._replica = replica
        self._state = state
        self._view = view
        self._control = control
        self._watchers: set[_Watcher] = set()
        # By whether routes are left out.
        self._reply_by_kind: dict[bool, fleet_pb2.ConfigurationReply] = {}
        # Watchers that are entries; one that starts again may be there twice.
        self._entries = 0
        self._streams_by_entry: collections.Counter[str] = collections.Counter()
        self._entry_names: frozenset[str] = frozenset()
        # The newest words that change nothing, until they go out together.
        self._renewals_by_address: dict[str, fleet_pb2.AgentState] = {}
        self._started_at = now_s()
        view.listen(self._spread, on_renewal=self._gather_renewals)
        state.listen(self._state_changed)

    def _state_changed(self) -> None:
        """Wakes every watcher after the replicated state moved."""
        for watcher in self._watchers:
            watcher.wake.set()

    async def Watch(self, stream: Any) -> None:  # noqa: N802
        """Sends all that is known, then each change."""
        request = await stream.recv_message()
        if request is None:
            return
        is_agent = request.HasField("agent")
        watcher = _Watcher(is_entry=request.is_entry, is_agent=is_agent)
        self._watchers.add(watcher)
        self._count_entry(watcher, request.name, 1)
        log_event("watcher_joined", name=request.name)
        try:
            agents = [request.agent] if is_agent else []
            self._view.take([], agents, request.crashes, request.limits)
            await self._push(stream, watcher)
        finally:
            self._watchers.discard(watcher)
            self._count_entry(watcher, request.name, -1)
            log_event("watcher_left", name=request.name)

    def _count_entry(self, watcher: _Watcher, name: str, change: int) -> None:
        """Counts the stream of an entry, and tells watchers who is there."""
        if not watcher.is_entry:
            return
        self._entries += change
        self._streams_by_entry[name] += change
        self._streams_by_entry += collections.Counter()  # Drops the zeros.
        names = frozenset(self._streams_by_entry)
        if names == self._entry_names:
            return
        self._entry_names = names
        for each in self._watchers:
            if not each.is_agent:
                each.wake.set()

    async def _push(self, stream: Any, watcher: _Watcher) -> None:
        watcher.add(self._everything())
        told = _ToldGoals()
        told_served: set[str] = set()
        while True:
            update = fleet_pb2.FleetUpdate(
                configuration_version=self._state.version,
                control_addresses=self._replica.member_addresses(),
                entries=self._entries,
            )
            watcher.take(update, self._view)
            watcher.take_entries(update, self._entry_names)
            update.goals.extend(g for g in self._goals() if told.take(g))
            for served in self._state.served():
                if served.model not in told_served:
                    told_served.add(served.model)
                    update.served.append(served)
            await stream.send_message(update)
            sent_at = now_s()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(UPDATE_EVERY_S):
                    await watcher.wake.wait()
                    await asyncio.sleep(_GATHER_S)
                    async with asyncio.timeout_at(sent_at + _INTERVAL_S):
                        await watcher.hurry.wait()

    def _goals(self) -> Iterator[fleet_pb2.WeightGoal]:
        """Versions that may still matter, older ones before newer ones.

        Who hears of the newest alone doesn't know when the ones before it
        were named.
        """
        for model in self._state.goal_by_model:
            for version, named_at in self._state.goal_times.of(model):
                yield self._aged(model, version, named_at)

    def _aged(
        self, model: str, version: int, named_at: float
    ) -> fleet_pb2.WeightGoal:
        """A goal with its age, where this node or another one knows it."""
        known = [self._view.goal_since(model, version)]
        is_accepted = self._state.goal_times.is_accepted(model, version)
        if is_accepted or named_at - self._started_at > _REPLAY_S:
            known.append(named_at)
        since = min(filter(math.isfinite, known), default=None)
        aged = fleet_pb2.WeightGoal(model=model, version=version)
        if since is not None:
            aged.age_ms = int((now_s() - since) * 1000)
        return aged

    def _everything(self) -> fleet_pb2.FleetUpdate:
        ended = list(self._view.book.ended())[-_MAX_ENDED_TOLD:]
        return fleet_pb2.FleetUpdate(
            targets=[*self._view.book.words(), *ended],
            agents=self._view.agents_by_address.values(),
            crashes=self._view.crashes.words(),
            limits=self._view.limits.words(),
        )

    def _gather_renewals(self, update: fleet_pb2.FleetUpdate) -> None:
        """Takes words that change nothing; they go out together."""
        if not self._renewals_by_address:
            loop = asyncio.get_running_loop()
            loop.call_later(RENEWALS_GATHERED_S, self._spread_renewals)
        for agent in update.agents:
            self._renewals_by_address[agent.address] = agent

    def _spread_renewals(self) -> None:
        agents = self._renewals_by_address.values()
        if agents:
            self._spread(fleet_pb2.FleetUpdate(agents=agents))

    async def tell_crashes(
        self, crashes: Iterable[quarantine_pb2.TargetCrash]
    ) -> None:
        """Tells watchers what has become known of crashes here."""
        self._spread(fleet_pb2.FleetUpdate(crashes=crashes))

    def _spread(self, update: fleet_pb2.FleetUpdate) -> None:
        for agent in update.agents:
            self._renewals_by_address.pop(agent.address, None)
        for watcher in self._watchers:
            watcher.add(update)

    async def GetConfiguration(self, stream: Any) -> None:  # noqa: N802
        """Gives the configuration if it is newer than the caller's."""
        request = await stream.recv_message()
        reply = fleet_pb2.ConfigurationReply()
        configuration = self._state.configuration
        if configuration and configuration.version > request.above_version:
            reply = self._reply(configuration, request.without_routes)
        await stream.send_message(reply)

    def _reply(
        self, configuration: fleet_pb2.Configuration, without_routes: bool
    ) -> fleet_pb2.ConfigurationReply:
        """What watchers get of a configuration; made once for all of them."""
        reply = self._reply_by_kind.get(without_routes)
        if (
            reply is None
            or reply.configuration.version != configuration.version
        ):
            reply = _reply_with(configuration, without_routes)
            self._reply_by_kind[without_routes] = reply
        return reply

    async def Relay(self, stream: Any) -> None:  # noqa: N802
        """Takes what another control node or an entry got to know."""
        request = await stream.recv_message()
        self._view.take(
            request.targets, request.agents, request.crashes, request.limits
        )
        await stream.send_message(fleet_pb2.RelayReply())

    async def Forward(self, stream: Any) -> None:  # noqa: N802
        """Commits a command for a node that isn't the leader."""
        request = await stream.recv_message()
        outcome = await self._control.commit_here(request.command)
        reply = fleet_pb2.ForwardReply()
        if isinstance(outcome, Accepted):
            reply.committed = True
            reply.version = outcome.version
        elif outcome == NOT_LEADER:
            reply.leader = self._replica.leader_address
        await stream.send_message(reply)

    async def ReadIndex(self, stream: Any) -> None:  # noqa: N802
        """Confirms the leader and tells how far a reader must be."""
        await stream.recv_message()
        index = await self._control.confirmed_index()
        reply = fleet_pb2.ReadIndexReply(
            confirmed=index is not None, index=index or 0
        )
        await stream.send_message(reply)


def _reply_with(
    configuration: fleet_pb2.Configuration, without_routes: bool
) -> fleet_pb2.ConfigurationReply:
    reply = fleet_pb2.ConfigurationReply()
    reply.configuration.CopyFrom(configuration)
    reply.configuration.source = b""
    mark_interruptible(reply.configuration)
    if without_routes:
        del reply.configuration.routes[:]
        del reply.configuration.customers[:]
    return reply
