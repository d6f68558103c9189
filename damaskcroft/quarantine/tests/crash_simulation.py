"""Simulation of crashing targets and repeating callers, without a network."""

import heapq
import itertools
import random

from damaskcroft._generated import quarantine_pb2
from damaskcroft.quarantine import RecentAnswers, RequestTraits

_MEAN_RUN_S = 1.0
_CRASHES_AFTER_S = 0.1
_RESTART_AFTER_S = 2.5
_ATTEMPTS = 6


class CrashSimulation:
    """Innocent requests, and optionally one that crashes targets.

    All entries share one registry of crashes.

    Args:
        registry: the shared registry.
        seed: seed of the simulation.
        requests_s: innocent requests a second, each repeated until it is served
            or was lost six times.
        crashes_s: crashes of targets a second that no request causes.
        targets: number of targets.
        shared_s: rate a second at which callers send one and the same request.
        records_answers: whether entries record their recent answers.
    """

    def __init__(
        self,
        registry,
        seed,
        requests_s,
        crashes_s,
        *,
        targets=10,
        shared_s=0.0,
        records_answers=True,
    ):
        self._registry = registry
        self._rng = random.Random(seed)
        self._requests_s = requests_s
        self._crashes_s = crashes_s
        self._order = itertools.count()
        self._events = []
        self._boots = itertools.count()
        self._starts = {n: f"t{n}-{next(self._boots)}" for n in range(targets)}
        # By target: the requests that run there, each with the known chains of
        # itself and of its parts when it was sent.
        self._running = {n: {} for n in range(targets)}
        self._shared_s = shared_s
        self._records_answers = records_answers
        self._recent_answers = RecentAnswers()
        self.now = 0.0
        self.served = 0
        self.lost = 0
        self.poison_crashes = 0
        self.falsely_quarantined = set()

    async def run(
        self, seconds, advance, *, poison_every_s=0.0, crashes_after_s=0.0
    ):
        """Runs the simulation.

        Args:
            seconds: duration.
            advance: moves the clock that the registry reads.
            poison_every_s: interval of the request that crashes targets; 0 for
                none.
            crashes_after_s: time of the first crash that no request causes.
        """
        self._schedule(0.0, self._send_innocent)
        if self._shared_s:
            self._schedule(0.0, self._send_shared)
        if self._crashes_s:
            self._schedule(crashes_after_s, self._crash_at_random)
        if poison_every_s:
            begins_at = crashes_after_s + 1.0
            self._schedule(begins_at, self._send_poison, poison_every_s)
        while self._events and self._events[0][0] < seconds:
            at, _, what, args = heapq.heappop(self._events)
            await advance(at - self.now)
            self.now = at
            what(*args)
            self._record_refused(self._registry.quarantined())

    def _record_refused(self, refused):
        self.falsely_quarantined |= {
            q.fingerprint for q in refused if q.fingerprint != b"poison"
        }

    def traits(self, name):
        """What a request shares with others; to be overridden."""
        del name
        return RequestTraits()

    def _is_refused(self, name):
        if self._registry.quarantined_s(name):
            return True
        return self._registry.refused_pattern(self.traits(name)) is not None

    def _chains(self, name):
        """The known chains of a request and of its parts."""
        suspects = (name, *self.traits(name).parts)
        return {each: self._registry.chain(each) for each in suspects}

    def _schedule(self, at, what, *args):
        heapq.heappush(self._events, (at, next(self._order), what, args))

    def _send_innocent(self):
        self._attempt(b"sound %d" % next(self._order), 1)
        gap_s = self._rng.expovariate(self._requests_s)
        self._schedule(self.now + gap_s, self._send_innocent)

    def _send_shared(self):
        gap_s = self._rng.expovariate(self._shared_s)
        self._schedule(self.now + gap_s, self._send_shared)
        is_under_way = any(
            name == b"shared"
            for running in self._running.values()
            for name, _ in running
        )
        # Copies of a suspect request run one by one.
        if not (is_under_way and self._registry.is_suspect(b"shared")):
            self._attempt(b"shared", _ATTEMPTS + next(self._order))

    def _attempt(self, name, number):
        up = [n for n, start in self._starts.items() if start]
        if self._is_refused(name) or not up:
            return
        target = min(
            up, key=lambda n: (len(self._running[n]), self._rng.random())
        )
        run = (name, number)
        self._running[target][run] = self._chains(name)
        duration_s = self._rng.expovariate(1 / _MEAN_RUN_S)
        self._schedule(self.now + duration_s, self._end, target, name, number)

    def _end(self, target, name, number):
        if (name, number) in self._running[target]:
            del self._running[target][name, number]
            self.served += 1
            suspects = (name, *self.traits(name).parts)
            if self._records_answers:
                for each in suspects:
                    self._recent_answers.record(each)
            self._registry.clear_all(suspects)

    def _send_poison(self, every_s):
        self._schedule(self.now + every_s, self._send_poison, every_s)
        up = [n for n, start in self._starts.items() if start]
        if self._registry.quarantined_s(b"poison") or not up:
            return
        target = self._rng.choice(up)
        self._running[target][b"poison", 0] = self._chains(b"poison")
        start = self._starts[target]
        self._schedule(
            self.now + _CRASHES_AFTER_S, self._crash_by_poison, target, start
        )

    def _crash_by_poison(self, target, start):
        if self._starts[target] == start:
            self.poison_crashes += 1
            self._crash(target)

    def _crash_at_random(self):
        gap_s = self._rng.expovariate(self._crashes_s)
        self._schedule(self.now + gap_s, self._crash_at_random)
        up = [n for n, start in self._starts.items() if start]
        if up:
            self._crash(self._rng.choice(up))

    def _crash(self, target):
        start, self._starts[target] = self._starts[target], None
        lost, self._running[target] = self._running[target], {}
        self._registry.merge(self._report(start, lost))
        self._schedule(self.now + _RESTART_AFTER_S, self._restart, target)
        for name, number in sorted(lost):
            self.lost += 1
            if name != b"poison" and number < _ATTEMPTS:
                self._attempt(name, number + 1)

    def _report(self, start, lost):
        """The report of a crash, with the requests that were lost."""
        requests, parts = {}, {}
        for (name, _), chains in sorted(lost.items()):
            for each, chain in chains.items():
                suspects = requests if each == name else parts
                suspect = suspects.setdefault(
                    each, quarantine_pb2.Suspect(fingerprint=each)
                )
                suspect.chain = max(suspect.chain, chain + 1)
                suspect.answered = self._recent_answers.contains(each)
        positions = {part: number for number, part in enumerate(parts)}
        for name, suspect in requests.items():
            traits = self.traits(name)
            suspect.parts[:] = [positions[part] for part in traits.parts]
            suspect.customer = traits.customer
        return quarantine_pb2.TargetCrash(
            start_id=start,
            suspects=requests.values(),
            parts=parts.values(),
        )

    def _restart(self, target):
        self._starts[target] = f"t{target}-{next(self._boots)}"
