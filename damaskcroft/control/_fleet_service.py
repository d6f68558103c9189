"""gRPC service of a fleet's control node for watchers and other nodes."""

import asyncio
import collections
import contextlib
import math
from collections.abc import Iterable, Iterator
from typing import Any

from damaskcroft._generated import fleet_grpc, fleet_pb2, quarantine_pb2
from damaskcroft.clock import now_s
from damaskcroft.consensus import AppendCondition, Replica
from damaskcroft.control._answers import EXPIRED, Accepted, Unavailable
from damaskcroft.control._fleet_control import FleetControl
from damaskcroft.control._fleet_state import FleetState
from damaskcroft.control._prompt_nodes import prompt_nodes
from damaskcroft.fleet import (
    RENEWALS_GATHERED_S,
    UPDATE_EVERY_S,
    FleetView,
    mark_interruptible,
)
from damaskcroft.observe import log_event

__all__ = ["FleetService"]

# Changes are sent to watchers in batches. A change after a quiet period is sent
# at once. While many arrive, as during a change of version, each watcher gets
# updates at intervals; otherwise the number of updates would grow with targets
# times watchers. A change that takes a target out of service is not delayed,
# because the target is ordered to load a moment later.
_BATCH_DELAY_S = 0.005
_MIN_UPDATE_INTERVAL_S = 0.05
# How many ended targets are sent to a new watcher, so that a late announcement
# from another node cannot make it take them for running.
_MAX_ENDED_TARGETS_SENT = 512
# While a desired version is younger than this, its age is sent repeatedly: a
# watcher that was frozen, or whose link lost packets, counts the age from when
# it read the update. More than twice the longest time within which any
# deployment must switch its weights.
_AGE_RESEND_S = 20.0
# Entries applied this soon after a start may be replayed from the log; their
# commands may have been accepted long before.
_LOG_REPLAY_S = 3.0


class _Watcher:
    """A watcher, and the changes that have not been sent to it."""

    __slots__ = (
        "agents_by_address",
        "crashed_starts",
        "sent_entries",
        "urgent",
        "is_agent",
        "is_deferred",
        "is_entry",
        "limited_starts",
        "targets_by_key",
        "wake",
    )

    def __init__(self, *, is_entry: bool, is_agent: bool):
        self.is_entry = is_entry
        self.is_agent = is_agent
        # Whether changes wait for the next periodic update.
        self.is_deferred = False
        # By id and service, because another writer may announce the same
        # target id for a service of its own.
        self.targets_by_key: dict[tuple[str, str], fleet_pb2.TargetState] = {}
        self.agents_by_address: dict[str, fleet_pb2.AgentState] = {}
        # Each report lists the requests of one entry. Only ids are kept here,
        # because this node sends its merged reports.
        self.crashed_starts: set[str] = set()
        self.limited_starts: set[str] = set()
        # Entry names last sent to the watcher; None before the first time.
        self.sent_entries: frozenset[str] | None = None
        self.wake = asyncio.Event()
        # Set in addition to `wake` by changes that must not be delayed.
        self.urgent = asyncio.Event()

    def add(self, update: fleet_pb2.FleetUpdate) -> None:
        for state in update.targets:
            self.targets_by_key[state.id, state.service] = state
        for agent in update.agents:
            self.agents_by_address[agent.address] = agent
        if not self.is_agent:
            self.crashed_starts.update(c.start_id for c in update.crashes)
            self.limited_starts.update(w.start_id for w in update.limits)
        if self.is_deferred:
            return
        if _withdraws_target(update):
            self.urgent.set()
        self.wake.set()

    def move_to(self, update: fleet_pb2.FleetUpdate, view: FleetView) -> None:
        """Moves all pending changes into an update."""
        update.targets.extend(self.targets_by_key.values())
        update.agents.extend(self.agents_by_address.values())
        update.crashes.extend(view.crashes.snapshot_of(self.crashed_starts))
        update.limits.extend(view.limits.snapshot_of(self.limited_starts))
        self.crashed_starts.clear()
        self.limited_starts.clear()
        self.targets_by_key.clear()
        self.agents_by_address.clear()
        self.wake.clear()
        self.urgent.clear()

    def add_entry_changes(
        self, update: fleet_pb2.FleetUpdate, names: frozenset[str]
    ) -> None:
        """Adds entries that joined and left; the first time, all of them."""
        sent = self.sent_entries
        if self.is_agent or names == sent:
            return
        self.sent_entries = names
        update.entry_names.whole = sent is None
        update.entry_names.joined.extend(names - (sent or frozenset()))
        update.entry_names.left.extend((sent or frozenset()) - names)


def _withdraws_target(update: fleet_pb2.FleetUpdate) -> bool:
    """Whether an update takes some target out of service."""
    return any(
        agent.phase == fleet_pb2.AGENT_SWITCHING for agent in update.agents
    ) or any(state.phase != fleet_pb2.TARGET_READY for state in update.targets)


class _SentDesiredVersions:
    """When each desired version was last sent to one watcher."""

    __slots__ = ("_last_sent_at_by_version",)

    def __init__(self) -> None:
        self._last_sent_at_by_version: dict[tuple[str, int], float] = {}

    def mark_if_due(self, desired: fleet_pb2.WeightGoal) -> bool:
        """Whether to send a desired version now; if so, notes it as sent."""
        key = desired.model, desired.version
        last_sent_at = self._last_sent_at_by_version.get(key)
        if last_sent_at is not None and not self._needs_resend(
            desired, last_sent_at
        ):
            return False
        self._last_sent_at_by_version[key] = now_s()
        return True

    def _needs_resend(
        self, desired: fleet_pb2.WeightGoal, last_sent_at: float
    ) -> bool:
        if not desired.HasField("age_ms"):
            return False
        is_recent = desired.age_ms < _AGE_RESEND_S * 1000
        return is_recent and now_s() - last_sent_at >= UPDATE_EVERY_S


class FleetService(fleet_grpc.FleetBase):
    """Sends changes to entries, agents and other control nodes."""

    def __init__(
        self,
        replica: Replica,
        state: FleetState,
        view: FleetView,
        control: FleetControl,
    ):
        """Serves `state` and `view`; `control` commits commands."""
        self._replica = replica
        self._state = state
        self._view = view
        self._control = control
        self._watchers: set[_Watcher] = set()
        # Cached replies, by whether routes are left out.
        self._reply_by_kind: dict[bool, fleet_pb2.ConfigurationReply] = {}
        # Streams of entries. A restarted entry may have two for a while.
        self._entry_stream_count = 0
        self._streams_by_entry: collections.Counter[str] = collections.Counter()
        self._entry_names: frozenset[str] = frozenset()
        # Newest renewals without changes, collected into one update.
        self._renewals_by_address: dict[str, fleet_pb2.AgentState] = {}
        self._started_at = now_s()
        view.add_listener(self._broadcast, on_renewal=self._buffer_renewals)
        state.add_listener(self._wake_watchers)

    def _wake_watchers(self) -> None:
        """Wakes all watchers after a change of the replicated state."""
        for watcher in self._watchers:
            watcher.wake.set()

    async def Watch(self, stream: Any) -> None:  # noqa: N802
        """Sends the whole view, then each change."""
        request = await stream.recv_message()
        if request is None:
            return
        has_state = request.HasField("agent")
        is_agent = request.is_agent or has_state
        watcher = _Watcher(is_entry=request.is_entry, is_agent=is_agent)
        self._watchers.add(watcher)
        self._track_entry(watcher, request.name, 1)
        log_event("watcher_joined", name=request.name)
        try:
            agents = [request.agent] if has_state else []
            self._view.merge([], agents, request.crashes, request.limits)
            await self._push_updates(stream, watcher, request.name)
        finally:
            self._watchers.discard(watcher)
            self._track_entry(watcher, request.name, -1)
            log_event("watcher_left", name=request.name)

    def _track_entry(self, watcher: _Watcher, name: str, change: int) -> None:
        """Counts streams of entries; wakes watchers when the names change."""
        if not watcher.is_entry:
            return
        self._entry_stream_count += change
        self._streams_by_entry[name] += change
        self._streams_by_entry += collections.Counter()  # Drops zero counts.
        names = frozenset(self._streams_by_entry)
        if names == self._entry_names:
            return
        self._entry_names = names
        for other in self._watchers:
            if not other.is_agent:
                other.wake.set()

    async def _push_updates(
        self, stream: Any, watcher: _Watcher, name: str
    ) -> None:
        watcher.add(self._full_update())
        sent_versions = _SentDesiredVersions()
        sent_served_models: set[str] = set()
        sent_evacuations: list[fleet_pb2.Evacuation] = []
        known_members: list[str] = []
        while True:
            members = self._replica.member_addresses()
            if watcher.is_agent and members != known_members:
                known_members = members
                watcher.is_deferred = self._leaves_to_others(name, members)
            update = fleet_pb2.FleetUpdate(
                configuration_version=self._state.version,
                control_addresses=members,
                entries=self._entry_stream_count,
            )
            watcher.move_to(update, self._view)
            watcher.add_entry_changes(update, self._entry_names)
            update.goals.extend(
                each
                for each in self._desired_versions()
                if sent_versions.mark_if_due(each)
            )
            for served in self._state.served():
                if served.model not in sent_served_models:
                    sent_served_models.add(served.model)
                    update.served.append(served)
            if not watcher.is_agent:
                evacuations = self._state.evacuations.snapshot()
                if evacuations != sent_evacuations:
                    sent_evacuations = evacuations
                    update.evacuations.extend(evacuations)
            await stream.send_message(update)
            sent_at = now_s()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(UPDATE_EVERY_S):
                    await watcher.wake.wait()
                    await asyncio.sleep(_BATCH_DELAY_S)
                    async with asyncio.timeout_at(
                        sent_at + _MIN_UPDATE_INTERVAL_S
                    ):
                        await watcher.urgent.wait()

    def _leaves_to_others(self, name: str, members: list[str]) -> bool:
        """Whether two other nodes send each change to an agent promptly."""
        nodes = prompt_nodes(name, members)
        return bool(nodes) and self._replica.address not in nodes

    def _desired_versions(self) -> Iterator[fleet_pb2.WeightGoal]:
        """Yields recent desired versions of each model, oldest first.

        A watcher that gets only the newest one does not learn when the ones
        before it were set.
        """
        for model in self._state.desired_version_by_model:
            for version, set_at in self._state.version_times.retained(model):
                yield self._with_age(model, version, set_at)

    def _with_age(
        self, model: str, version: int, set_at: float
    ) -> fleet_pb2.WeightGoal:
        """A desired version with its age, if any control node knows it."""
        acceptance_times = [self._view.version_accepted_at(model, version)]
        is_accepted_here = self._state.version_times.is_accepted_here(
            model, version
        )
        if is_accepted_here or set_at - self._started_at > _LOG_REPLAY_S:
            acceptance_times.append(set_at)
        accepted_at = min(filter(math.isfinite, acceptance_times), default=None)
        desired = fleet_pb2.WeightGoal(model=model, version=version)
        if accepted_at is not None:
            desired.age_ms = int((now_s() - accepted_at) * 1000)
        return desired

    def _full_update(self) -> fleet_pb2.FleetUpdate:
        ended = list(self._view.targets.ended())[-_MAX_ENDED_TARGETS_SENT:]
        return fleet_pb2.FleetUpdate(
            targets=[*self._view.targets.snapshot(), *ended],
            agents=self._view.agents_by_address.values(),
            crashes=self._view.crashes.snapshot(),
            limits=self._view.limits.snapshot(),
        )

    def _buffer_renewals(self, update: fleet_pb2.FleetUpdate) -> None:
        """Collects renewals without changes, to send them in one update."""
        if not self._renewals_by_address:
            loop = asyncio.get_running_loop()
            loop.call_later(RENEWALS_GATHERED_S, self._broadcast_renewals)
        for agent in update.agents:
            self._renewals_by_address[agent.address] = agent

    def _broadcast_renewals(self) -> None:
        agents = self._renewals_by_address.values()
        if not agents:
            return
        update = fleet_pb2.FleetUpdate(agents=agents)
        self._renewals_by_address.clear()
        for watcher in self._watchers:
            # Only those that send requests to targets use the guards.
            if not watcher.is_agent:
                watcher.add(update)

    async def publish_crashes(
        self, crashes: Iterable[quarantine_pb2.TargetCrash]
    ) -> None:
        """Sends crashes that this node has learned of to all watchers."""
        self._broadcast(fleet_pb2.FleetUpdate(crashes=crashes))

    def _broadcast(self, update: fleet_pb2.FleetUpdate) -> None:
        for agent in update.agents:
            self._renewals_by_address.pop(agent.address, None)
        for watcher in self._watchers:
            watcher.add(update)

    async def GetConfiguration(self, stream: Any) -> None:  # noqa: N802
        """Sends the configuration if it is newer than that of the caller."""
        request = await stream.recv_message()
        reply = fleet_pb2.ConfigurationReply()
        configuration = self._state.configuration
        if configuration and configuration.version > request.above_version:
            reply = self._cached_reply(configuration, request.without_routes)
        await stream.send_message(reply)

    def _cached_reply(
        self, configuration: fleet_pb2.Configuration, without_routes: bool
    ) -> fleet_pb2.ConfigurationReply:
        """The reply with a configuration, built once for all watchers."""
        reply = self._reply_by_kind.get(without_routes)
        if (
            reply is None
            or reply.configuration.version != configuration.version
        ):
            reply = _build_reply(configuration, without_routes)
            self._reply_by_kind[without_routes] = reply
        return reply

    async def Relay(self, stream: Any) -> None:  # noqa: N802
        """Merges what another control node or an entry has learned."""
        request = await stream.recv_message()
        self._view.merge(
            request.targets, request.agents, request.crashes, request.limits
        )
        await stream.send_message(fleet_pb2.RelayReply())

    async def Forward(self, stream: Any) -> None:  # noqa: N802
        """Commits a command on behalf of a node that does not lead."""
        request = await stream.recv_message()
        condition = None
        if request.term:
            condition = AppendCondition(request.term, request.before_s)
        outcome = await self._control.log.commit_here(
            request.command, condition
        )
        reply = fleet_pb2.ForwardReply()
        if isinstance(outcome, Accepted):
            reply.committed = True
            reply.version = outcome.version
        elif isinstance(outcome, Unavailable):
            reply.not_taken = outcome.is_not_committed
            reply.expired = outcome == EXPIRED
        await stream.send_message(reply)

    async def ReadIndex(self, stream: Any) -> None:  # noqa: N802
        """Confirms the leadership; sends the index that a reader must apply."""
        await stream.recv_message()
        point = await self._control.log.confirm_here()
        reply = fleet_pb2.ReadIndexReply()
        if point is not None:
            reply.confirmed = True
            reply.index = point.index
            reply.term = point.term
            reply.clock_s = point.clock_s
        await stream.send_message(reply)


def _build_reply(
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
