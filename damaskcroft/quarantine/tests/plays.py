"""A play of targets that crash and callers that repeat, without a network."""

import heapq
import itertools
import random

from damaskcroft._generated import quarantine_pb2
from damaskcroft.quarantine import RecentAnswers

_RUNS_S = 1.0
_CRASHES_AFTER_S = 0.1
_BACK_AFTER_S = 2.5
_ATTEMPTS = 6


class Play:
    """Sound requests, and maybe one that crashes targets, over one book.

    Args:
        book: what all entries know.
        seed: names the play.
        requests_s: sound requests a second, each repeated until it is served
            or was lost six times.
        crashes_s: crashes of targets a second that no request causes.
        targets: how many there are.
        shared_s: how often a second callers send one and the same request.
        remembers: whether entries know what they answered shortly before.
    """

    def __init__(
        self,
        book,
        seed,
        requests_s,
        crashes_s,
        *,
        targets=10,
        shared_s=0.0,
        remembers=True,
    ):
        self._book = book
        self._rng = random.Random(seed)
        self._requests_s = requests_s
        self._crashes_s = crashes_s
        self._order = itertools.count()
        self._events = []
        self._boots = itertools.count()
        self._starts = {n: f"t{n}-{next(self._boots)}" for n in range(targets)}
        # By target: what runs there, and its chain when it was sent.
        self._running = {n: {} for n in range(targets)}
        self._shared_s = shared_s
        self._remembers = remembers
        self._recent_answers = RecentAnswers()
        self.now = 0.0
        self.served = 0
        self.lost = 0
        self.crashed_by_poison = 0
        self.innocents = set()

    async def run(
        self, seconds, advance, *, poison_every_s=0.0, crashes_after_s=0.0
    ):
        """Plays; `advance` moves the clock that the book reads."""
        self._at(0.0, self._sound_comes)
        if self._shared_s:
            self._at(0.0, self._shared_comes)
        if self._crashes_s:
            self._at(crashes_after_s, self._some_crash)
        if poison_every_s:
            begins_at = crashes_after_s + 1.0
            self._at(begins_at, self._poison_comes, poison_every_s)
        while self._events and self._events[0][0] < seconds:
            at, _, what, args = heapq.heappop(self._events)
            await advance(at - self.now)
            self.now = at
            what(*args)
            self.innocents |= {
                q.fingerprint
                for q in self._book.quarantined()
                if q.fingerprint != b"poison"
            }

    def _at(self, at, what, *args):
        heapq.heappush(self._events, (at, next(self._order), what, args))

    def _sound_comes(self):
        self._attempt(b"sound %d" % next(self._order), 1)
        gap_s = self._rng.expovariate(self._requests_s)
        self._at(self.now + gap_s, self._sound_comes)

    def _shared_comes(self):
        gap_s = self._rng.expovariate(self._shared_s)
        self._at(self.now + gap_s, self._shared_comes)
        is_under_way = any(
            name == b"shared"
            for running in self._running.values()
            for name, _ in running
        )
        # Copies of a suspect go one by one.
        if not (is_under_way and self._book.is_suspect(b"shared")):
            self._attempt(b"shared", _ATTEMPTS + next(self._order))

    def _attempt(self, name, number):
        up = [n for n, start in self._starts.items() if start]
        if self._book.quarantined_s(name) or not up:
            return
        target = min(
            up, key=lambda n: (len(self._running[n]), self._rng.random())
        )
        run = (name, number)
        self._running[target][run] = self._book.chain(name)
        lasts_s = self._rng.expovariate(1 / _RUNS_S)
        self._at(self.now + lasts_s, self._ends, target, name, number)

    def _ends(self, target, name, number):
        if (name, number) in self._running[target]:
            del self._running[target][name, number]
            self.served += 1
            if self._remembers:
                self._recent_answers.note(name)
            self._book.clear(name)

    def _poison_comes(self, every_s):
        self._at(self.now + every_s, self._poison_comes, every_s)
        up = [n for n, start in self._starts.items() if start]
        if self._book.quarantined_s(b"poison") or not up:
            return
        target = self._rng.choice(up)
        self._running[target][b"poison", 0] = self._book.chain(b"poison")
        start = self._starts[target]
        self._at(self.now + _CRASHES_AFTER_S, self._poisoned, target, start)

    def _poisoned(self, target, start):
        if self._starts[target] == start:
            self.crashed_by_poison += 1
            self._crash(target)

    def _some_crash(self):
        gap_s = self._rng.expovariate(self._crashes_s)
        self._at(self.now + gap_s, self._some_crash)
        up = [n for n, start in self._starts.items() if start]
        if up:
            self._crash(self._rng.choice(up))

    def _crash(self, target):
        start, self._starts[target] = self._starts[target], None
        lost, self._running[target] = self._running[target], {}
        suspects = [
            quarantine_pb2.Suspect(
                fingerprint=name,
                chain=chain + 1,
                answered=self._recent_answers.has(name),
            )
            for (name, _), chain in sorted(lost.items())
        ]
        self._book.take(
            quarantine_pb2.TargetCrash(start_id=start, suspects=suspects)
        )
        self._at(self.now + _BACK_AFTER_S, self._back, target)
        for name, number in sorted(lost):
            self.lost += 1
            if name != b"poison" and number < _ATTEMPTS:
                self._attempt(name, number + 1)

    def _back(self, target):
        self._starts[target] = f"t{target}-{next(self._boots)}"
