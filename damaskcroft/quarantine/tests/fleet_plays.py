"""A fleet with several requests that crash targets, in virtual time.

Entries place, wait and judge with the product's own parts; targets and the
network between them are simulated. Loads and delays are those of a small fleet
on a busy machine.
"""

import asyncio
import collections
import contextlib
import dataclasses
import itertools
import random
from unittest import mock

from damaskcroft.quarantine import (
    Copies,
    CrashBook,
    CrashWatch,
    Loss,
    RecentAnswers,
    Turns,
    _evidence,
)
from damaskcroft.routing import Candidate, Outliers, PartedTargets, Placer

_CRASHES_AFTER_S = 0.04
_BACK_AFTER_S = 2.5
_WORK_S = 0.05
_ATTEMPTS = 2
_DEADLINE_S = 5.0
_SLOTS = 8
# As in forwarding: how long a lost request waits before its next attempt.
_FIRST_LOOK_S = 0.05
_VERDICT_S = 0.1
_NEWS_SPREADS_S = 0.1
_LOOK_EVERY_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Delays:
    """The longest of each, in seconds; drawn evenly from zero.

    Attributes:
        sent_s: from an entry to a target.
        news_s: from an entry to the others.
        look_s: until a crashed target's address is seen to refuse.
        announced_s: until entries know that a target is back.
    """

    sent_s: float = 0.002
    news_s: float = 0.1
    look_s: float = 0.02
    announced_s: float = 0.5


class SimulatedTarget:
    """Runs requests, and crashes under some."""

    def __init__(self, name):
        self.name = name
        self.boot = 0
        self.is_up = True
        # By the request's future, in the order of arrival.
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
    """One entry: places a caller's request, tries it, judges."""

    def __init__(self, fleet, name):
        self._fleet = fleet
        self.book = CrashBook()
        self.known = {}
        self._copies = Copies(self.book, fleet.hold_turn)
        self._recent = RecentAnswers()
        self._outliers = Outliers()
        parted = PartedTargets(name, lambda: fleet.entry_names)
        self._placer = Placer(
            "z", "r", self._outliers, fleet.rng, is_own=parted.is_own
        )
        self._placer.entries = len(fleet.entry_names)
        self._watch = CrashWatch(
            lambda _: False, self._is_replaced, self._tell, self.book.crashed_at
        )

    def _is_replaced(self, candidate):
        now = self.known[candidate.target_id]
        return now.id != candidate.id

    def _tell(self, crash):
        self._fleet.tell(self, crash)

    async def look_forever(self):
        while True:
            await asyncio.sleep(_LOOK_EVERY_S)
            self._watch.look()

    async def ask(self, name):
        """How a request ended: answered, held, lost, or refused."""
        until = asyncio.get_running_loop().time() + _DEADLINE_S
        attempts = chain = 0
        excluded = set()
        while asyncio.get_running_loop().time() < until:
            async with self._copies.one_at_a_time(name, until, self._few_left):
                if self.book.quarantined_s(name):
                    return "held"
                if attempts == _ATTEMPTS:
                    return "lost"
                is_suspect = self.book.is_suspect(name)
                placed = self._placer.choose(
                    self.known.values(), excluded, is_suspect=is_suspect
                )
                if placed is None or not placed.has_room:
                    await asyncio.sleep(0.02)
                    continue
                target = placed.candidate
                slot = self._placer.take(target, is_suspect=is_suspect)
                excluded.add(target.id)
                chain = max(chain, self.book.chain(name))
                ran = await self._fleet.run(target, name)
                slot.give_back()
                if ran is None:
                    self._outliers.failed(target.id, certain=True)
                    continue
                attempts += 1
                if ran:
                    self._outliers.succeeded(target.id)
                    self._answered(name)
                    return "answered"
                chain += 1
                await self._lost(target, name, chain)
                self._outliers.failed(target.id)
        return "refused"

    def _few_left(self):
        return self.book.few_left("s", (c.id for c in self.known.values()))

    def _answered(self, name):
        self._recent.note(name)
        for crash in self.book.clear(name, "s"):
            self._tell(crash)

    async def _lost(self, target, name, chain):
        was_suspect = self.book.is_suspect(name)
        answered = self._recent.has(name)
        loss = Loss(target, "s", name, name.decode(), chain, answered)
        looked = self._watch.lost(loss)
        if looked is None:
            return
        if was_suspect:
            await asyncio.wait([looked], timeout=_VERDICT_S)
            await asyncio.sleep(_NEWS_SPREADS_S)
        else:
            await asyncio.wait([looked], timeout=_FIRST_LOOK_S)


class SimulatedFleet:
    """Targets, entries, and what passes between them.

    Args:
        seed: names the play.
        targets: how many.
        entries: how many.
        delays: of the network.
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
        self._in_turn = itertools.cycle(self.entries)
        self._tasks = set()
        # By what caused them; empty for crashes of their own.
        self.crashes = collections.defaultdict(list)
        self.outcomes = collections.defaultdict(collections.Counter)

    def _after(self, longest_s, call, *args):
        loop = asyncio.get_running_loop()
        loop.call_later(self.rng.uniform(0, longest_s), call, *args)

    def _announce(self, target):
        for entry in self.entries:
            entry.known[target.name] = Candidate(
                target.start_id, target.name, "z", "r", _SLOTS,
                target_id=target.name,
            )  # fmt: skip

    def tell(self, teller, crash):
        teller.book.take(crash)
        for entry in self.entries:
            if entry is not teller:
                self._after(self._delays.news_s, entry.book.take, crash)

    async def hold_turn(self, key, for_s, granted):
        await asyncio.sleep(self.rng.uniform(0, self._delays.sent_s))
        async with self._turns.taken(key):
            granted()
            await asyncio.sleep(for_s)

    async def is_gone(self, address):
        await asyncio.sleep(self.rng.uniform(0, self._delays.look_s))
        return not self.targets[address].is_up

    async def run(self, candidate, name):
        """Whether a request ran to its end; None where nobody listens."""
        await asyncio.sleep(self.rng.uniform(0, self._delays.sent_s))
        target = self.targets[candidate.target_id]
        if not target.is_up or target.start_id != candidate.id:
            return None
        run = asyncio.get_running_loop().create_future()
        target.running[run] = name
        if name.startswith(b"crash"):
            self._soon(self._crash_under(target, target.boot, name))
        else:
            self._soon(self._answer(run))
        try:
            return await run
        finally:
            target.running.pop(run, None)

    async def _answer(self, run):
        await asyncio.sleep(_WORK_S)
        if not run.done():
            run.set_result(True)

    async def _crash_under(self, target, boot, name):
        await asyncio.sleep(_CRASHES_AFTER_S)
        if not target.is_up or target.boot != boot:
            return
        await self.crash(target, name)

    async def crash(self, target, name=b""):
        loop = asyncio.get_running_loop()
        self.crashes[name].append(loop.time())
        target.crash()
        await asyncio.sleep(_BACK_AFTER_S)
        target.restart()
        await asyncio.sleep(self.rng.uniform(0, self._delays.announced_s))
        self._announce(target)

    def _soon(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def ask(self, name):
        outcome = await next(self._in_turn).ask(name)
        self.outcomes[name][outcome] += 1

    async def call_every(self, every_s, names, times=None):
        """Sends requests, each after a pause, whatever becomes of them."""
        for number, name in enumerate(names):
            if number == times:
                return
            self._soon(self.ask(name))
            await asyncio.sleep(every_s)

    async def ask_in_a_row(self, name, times, pause_s):
        """Sends copies, each some time after the answer to the one before."""
        for _ in range(times):
            await self.ask(name)
            await asyncio.sleep(pause_s)

    async def crash_now_and_then(self, every_s):
        """Crashes targets for no request's doing."""
        while True:
            await asyncio.sleep(self.rng.expovariate(1 / every_s))
            up = [t for t in self.targets.values() if t.is_up]
            if up:
                self._soon(self.crash(self.rng.choice(up)))

    def held(self):
        """Every request that any entry refuses."""
        return {
            each.fingerprint
            for entry in self.entries
            for each in entry.book.quarantined()
        }

    @contextlib.asynccontextmanager
    async def running(self):
        """Runs the entries' own tasks; all tasks end with the block."""
        with mock.patch.object(_evidence, "is_gone", self.is_gone):
            for entry in self.entries:
                self._soon(entry.look_forever())
            try:
                yield
            finally:
                tasks = list(self._tasks)
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
