"""Simulation of a fleet with several requests that crash targets.

It runs in virtual time. Entries select targets, wait and decide with the
product's own classes; the targets and the network between them are simulated.
Load and delays are those of a small fleet on a busy machine.
"""

import asyncio
import collections
import contextlib
import dataclasses
import itertools
import random
from unittest import mock

from damaskcroft.quarantine import (
    CrashDetector,
    CrashRegistry,
    LostRequest,
    RecentAnswers,
    SerialCopies,
    Turns,
    _crash_detection,
)
from damaskcroft.routing import Candidate, Outliers, PartitionedTargets, Placer

_CRASHES_AFTER_S = 0.04
_RESTART_AFTER_S = 2.5
_RUN_S = 0.05
_ATTEMPTS = 2
_DEADLINE_S = 5.0
_SLOTS = 8
# As in forwarding: the times that a lost request waits before its next attempt.
_FIRST_CHECK_S = 0.05
_VERDICT_S = 0.1
_PUBLISH_S = 0.1
_CHECK_EVERY_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Delays:
    """Upper bounds of delays in seconds; each delay is uniform from zero.

    Attributes:
        send_s: from an entry to a target.
        publish_s: from an entry to the other entries.
        check_s: until the address of a crashed target refuses connections.
        announce_s: until entries receive the announcement of a restarted
            target.
    """

    send_s: float = 0.002
    publish_s: float = 0.1
    check_s: float = 0.02
    announce_s: float = 0.5


class SimulatedTarget:
    """A target that runs requests, and crashes under some of them."""

    def __init__(self, name):
        self.name = name
        self.boot = 0
        self.is_up = True
        # By the future of the request, in the order of arrival.
        self.running = {}

    @property
    def start_id(self):
        return f"{self.name}-{self.boot}"

    def crash(self):
        self.is_up = False
        for run in self.running:
            if not run.done():
                run.set_result(False)
        self.running.clear()

    def restart(self):
        self.boot += 1
        self.is_up = True


class SimulatedEntry:
    """One entry: sends requests to targets and detects crashes."""

    def __init__(self, fleet, name):
        self._fleet = fleet
        self.registry = CrashRegistry()
        self.known = {}
        self._copies = SerialCopies(self.registry, fleet.hold_turn)
        self._recent = RecentAnswers()
        self._outliers = Outliers()
        partition = PartitionedTargets(name, lambda: fleet.entry_names)
        self._placer = Placer(
            "z",
            "r",
            self._outliers,
            fleet.rng,
            is_assigned=partition.is_assigned,
        )
        self._placer.entries = len(fleet.entry_names)
        self._watch = CrashDetector(
            lambda _: False,
            self._is_replaced,
            self._publish,
            self.registry.crashed_at,
        )

    def _is_replaced(self, candidate):
        now = self.known[candidate.target_id]
        return now.id != candidate.id

    def _publish(self, crash):
        self._fleet.publish(self, crash)

    async def check_forever(self):
        while True:
            await asyncio.sleep(_CHECK_EVERY_S)
            self._watch.check_replacements()

    async def ask(self, request):
        """Sends a request, and sends it again after a loss, until it ends.

        Returns:
            How it ended: answered, held, lost, or refused.
        """
        deadline_at = asyncio.get_running_loop().time() + _DEADLINE_S
        attempts = chain = 0
        excluded = set()
        while asyncio.get_running_loop().time() < deadline_at:
            async with self._copies.one_at_a_time(
                request, deadline_at, self._few_left
            ):
                if self.registry.quarantined_s(request):
                    return "held"
                if attempts == _ATTEMPTS:
                    return "lost"
                is_suspect = self.registry.is_suspect(request)
                placed = self._placer.choose(
                    self.known.values(), excluded, is_suspect=is_suspect
                )
                if placed is None or not placed.has_room:
                    await asyncio.sleep(0.02)
                    continue
                target = placed.candidate
                slot = self._placer.take(target, is_suspect=is_suspect)
                excluded.add(target.id)
                chain = max(chain, self.registry.chain(request))
                ran = await self._fleet.run(target, request)
                slot.give_back()
                if ran is None:
                    self._outliers.failed(target.id, certain=True)
                    continue
                attempts += 1
                if ran:
                    self._outliers.succeeded(target.id)
                    self._answered(request)
                    return "answered"
                chain += 1
                await self._lost(target, request, chain)
                self._outliers.failed(target.id)
        return "refused"

    def _few_left(self):
        return self.registry.few_left("s", (c.id for c in self.known.values()))

    def _answered(self, request):
        self._recent.record(request)
        for crash in self.registry.clear(request, "s"):
            self._publish(crash)

    async def _lost(self, target, request, chain):
        was_suspect = self.registry.is_suspect(request)
        answered = self._recent.contains(request)
        loss = LostRequest(
            target, "s", request, request.decode(), chain, answered
        )
        check_task = self._watch.record_loss(loss)
        if check_task is None:
            return
        if was_suspect:
            await asyncio.wait([check_task], timeout=_VERDICT_S)
            await asyncio.sleep(_PUBLISH_S)
        else:
            await asyncio.wait([check_task], timeout=_FIRST_CHECK_S)


class SimulatedFleet:
    """Targets, entries, and the messages between them.

    Args:
        seed: seed of the simulation.
        targets: number of targets.
        entries: number of entries.
        delays: delays of the network.
    """

    def __init__(self, seed, targets=10, entries=2, delays=None):
        self.rng = random.Random(seed)
        self._delays = delays or Delays()
        self.targets = {
            f"t{n}": SimulatedTarget(f"t{n}") for n in range(targets)
        }
        self.entry_names = frozenset(f"e{n}" for n in range(entries))
        self._turns = Turns()
        self.entries = [
            SimulatedEntry(self, name) for name in sorted(self.entry_names)
        ]
        for target in self.targets.values():
            self._announce(target)
        self._next_entry = itertools.cycle(self.entries)
        self._tasks = set()
        # Times of crashes by the request that caused them; empty for crashes
        # that no request caused.
        self.crashes = collections.defaultdict(list)
        self.outcomes = collections.defaultdict(collections.Counter)

    def _call_after_delay(self, max_delay_s, call, *args):
        loop = asyncio.get_running_loop()
        loop.call_later(self.rng.uniform(0, max_delay_s), call, *args)

    def _announce(self, target):
        for entry in self.entries:
            entry.known[target.name] = Candidate(
                target.start_id, target.name, "z", "r", _SLOTS,
                target_id=target.name,
            )  # fmt: skip

    def publish(self, publisher, crash):
        publisher.registry.merge(crash)
        for entry in self.entries:
            if entry is not publisher:
                self._call_after_delay(
                    self._delays.publish_s, entry.registry.merge, crash
                )

    async def hold_turn(self, key, for_s, granted):
        await asyncio.sleep(self.rng.uniform(0, self._delays.send_s))
        async with self._turns.taken(key):
            granted()
            await asyncio.sleep(for_s)

    async def is_gone(self, address):
        await asyncio.sleep(self.rng.uniform(0, self._delays.check_s))
        return not self.targets[address].is_up

    async def run(self, candidate, request):
        """Runs a request at a target.

        Returns:
            Whether it ran to its end; None if nothing listens there.
        """
        await asyncio.sleep(self.rng.uniform(0, self._delays.send_s))
        target = self.targets[candidate.target_id]
        if not target.is_up or target.start_id != candidate.id:
            return None
        run = asyncio.get_running_loop().create_future()
        target.running[run] = request
        if request.startswith(b"crash"):
            self._start_task(self._crash_under(target, target.boot, request))
        else:
            self._start_task(self._answer(run))
        try:
            return await run
        finally:
            target.running.pop(run, None)

    async def _answer(self, run):
        await asyncio.sleep(_RUN_S)
        if not run.done():
            run.set_result(True)

    async def _crash_under(self, target, boot, request):
        await asyncio.sleep(_CRASHES_AFTER_S)
        if not target.is_up or target.boot != boot:
            return
        await self.crash(target, request)

    async def crash(self, target, request=b""):
        loop = asyncio.get_running_loop()
        self.crashes[request].append(loop.time())
        target.crash()
        await asyncio.sleep(_RESTART_AFTER_S)
        target.restart()
        await asyncio.sleep(self.rng.uniform(0, self._delays.announce_s))
        self._announce(target)

    def _start_task(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def ask(self, request):
        outcome = await next(self._next_entry).ask(request)
        self.outcomes[request][outcome] += 1

    async def send_every(self, every_s, requests, times=None):
        """Sends requests at an interval without waiting for their answers."""
        for number, request in enumerate(requests):
            if number == times:
                return
            self._start_task(self.ask(request))
            await asyncio.sleep(every_s)

    async def send_in_sequence(self, request, times, pause_s):
        """Sends copies, each some time after the previous one has ended."""
        for _ in range(times):
            await self.ask(request)
            await asyncio.sleep(pause_s)

    async def crash_at_random(self, every_s):
        """Crashes targets at random, without a request that causes it."""
        while True:
            await asyncio.sleep(self.rng.expovariate(1 / every_s))
            up = [t for t in self.targets.values() if t.is_up]
            if up:
                self._start_task(self.crash(self.rng.choice(up)))

    def quarantined_requests(self):
        """All requests that any entry refuses."""
        return {
            each.fingerprint
            for entry in self.entries
            for each in entry.registry.quarantined()
        }

    @contextlib.asynccontextmanager
    async def running(self):
        """Runs the tasks of the entries; all tasks end with the block."""
        with mock.patch.object(_crash_detection, "is_gone", self.is_gone):
            for entry in self.entries:
                self._start_task(entry.check_forever())
            try:
                yield
            finally:
                tasks = list(self._tasks)
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
