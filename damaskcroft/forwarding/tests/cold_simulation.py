"""Simulation of entries that share cold targets, in virtual time.

Each entry has a view of its own, which three control nodes update as long as
they are linked. Callers ask for more than the targets bear while cold.
"""

import asyncio
import bisect
import random

from damaskcroft._generated import fleet_pb2
from damaskcroft.clock import now_s
from damaskcroft.fleet import FleetView, start_id
from damaskcroft.forwarding import follow_cold_targets
from damaskcroft.standins.virtual_time import VirtualTimeLoop

NODES = frozenset({"c1", "c2", "c3"})
UPDATE_EVERY_S = 0.5
ANNOUNCE_EVERY_S = 1.2
MAX_CONNECT_S = 0.02


class SimulatedTarget:
    """A target that knows how long it is cold, and who sends to it."""

    def __init__(self, name):
        self.state = fleet_pb2.TargetState(
            id=name, service="s", address=name, phase=fleet_pb2.TARGET_READY
        )
        self.sent_at = []
        self.cold_until = 0.0

    def announcement(self):
        self.state.sequence += 1
        left_s = max(0.0, self.cold_until - now_s())
        self.state.warming_ms = left_s * 1000
        copy = fleet_pb2.TargetState()
        copy.CopyFrom(self.state)
        return copy

    def max_in_a_second(self, since, until):
        times = [at for at in self.sent_at if since <= at < until]
        return max(
            (
                bisect.bisect_left(times, at + 1.0) - index
                for index, at in enumerate(times)
            ),
            default=0,
        )

    def used_share(self, bound, since, until):
        sent = sum(since <= at < until for at in self.sent_at)
        return sent / (bound * (until - since))


class SimulatedEntry:
    """An entry whose callers request any of the targets."""

    def __init__(self, fleet, name, demand_s):
        self.name = name
        self.links = set(NODES)
        self.view = FleetView(logs_target=lambda _: False)
        self.view.apply_configuration(fleet.configuration)
        self.cold_targets = follow_cold_targets(
            self.view, name, fleet.ratio, fleet.extra, ANNOUNCE_EVERY_S
        )
        self.refused = 0
        self._fleet = fleet
        self._demand_s = demand_s

    async def run(self):
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(self._fleet.rng.expovariate(self._demand_s))
                self._choose(group)

    def _choose(self, group):
        known = [
            target
            for target in self._fleet.targets
            if self.view.targets.newest(target.state.id) is not None
        ]
        self._fleet.rng.shuffle(known)
        for target in known:
            start = start_id(target.state)
            if (
                self.cold_targets.is_active
                and self.cold_targets.time_to_send_s(start) > 0
            ):
                continue
            self.cold_targets.count_request(start)
            group.create_task(self._send(target, start, now_s()))
            return
        self.refused += 1

    async def _send(self, target, start, taken_at):
        await asyncio.sleep(self._fleet.rng.random() * MAX_CONNECT_S)
        if self.cold_targets.may_be_dispatched(start, taken_at):
            target.sent_at.append(now_s())


class SimulatedFleet:
    """Entries, targets and three control nodes.

    Args:
        entries: number of entries at first.
        targets: number of targets.
        cold_requests_s: requests a second that a cold target bears.
        ratio: allowed requests for each of them.
        extra: allowed requests beyond that.
        demand_s: requests a second of each entry's callers.
    """

    def __init__(
        self, entries, targets, cold_requests_s, ratio, extra, demand_s, seed=1
    ):
        self.rng = random.Random(seed)
        self.ratio = ratio
        self.extra = extra
        self.bound = int(cold_requests_s * ratio + extra)
        self.configuration = fleet_pb2.Configuration(
            version=1,
            services=[
                fleet_pb2.Service(name="s", cold_requests_s=cold_requests_s)
            ],
        )
        self.targets = [SimulatedTarget(f"t{n}") for n in range(targets)]
        self.entries_by_name = {}
        self._demand_s = demand_s
        self._first_entries = entries
        self._tasks_by_name = {}
        self._group = None

    def join(self, name):
        entry = SimulatedEntry(self, name, self._demand_s)
        entry.view.merge([target.announcement() for target in self.targets])
        self.entries_by_name[name] = entry
        self._tasks_by_name[name] = self._group.create_task(entry.run())

    def leave(self, name):
        del self.entries_by_name[name]
        self._tasks_by_name.pop(name).cancel()

    def turn_cold(self, cold_s):
        """All targets turn cold at once, and say so."""
        for target in self.targets:
            target.cold_until = now_s() + cold_s
            self._announce(target)

    def run(self, scenario):
        """Runs `scenario(fleet)`, a coroutine, to its end."""
        loop = VirtualTimeLoop()
        loop.run(self._run(scenario))
        loop.close()

    async def _run(self, scenario):
        async with asyncio.TaskGroup() as group:
            self._group = group
            for number in range(self._first_entries):
                self.join(f"e{number}")
            background = [
                group.create_task(self._announce_forever(target))
                for target in self.targets
            ]
            background.append(group.create_task(self._update_forever()))
            await scenario(self)
            for task in (*background, *self._tasks_by_name.values()):
                task.cancel()

    async def _announce_forever(self, target):
        while True:
            await asyncio.sleep(ANNOUNCE_EVERY_S)
            self._announce(target)

    def _announce(self, target):
        announced = target.announcement()
        for entry in self.entries_by_name.values():
            if entry.links:
                entry.view.merge([announced])

    async def _update_forever(self):
        while True:
            for node in NODES:
                self._update(node)
            await asyncio.sleep(UPDATE_EVERY_S)

    def _update(self, node):
        linked = [e for e in self.entries_by_name.values() if node in e.links]
        update = fleet_pb2.FleetUpdate(control_addresses=sorted(NODES))
        update.entry_names.whole = True
        update.entry_names.joined.extend(entry.name for entry in linked)
        for entry in linked:
            entry.view.apply_update(update, node)
