"""Simulation of requests that share prompt parts, one of which crashes."""

from damaskcroft.quarantine import RequestTraits
from damaskcroft.quarantine.tests.crash_simulation import CrashSimulation

CRASHING_PART = b"bad"
_CRASHES_AFTER_S = 0.1
# Number of subjects, of which the first is asked for most often.
_SUBJECTS = 30
# From this time on, half of the requests are about a new subject.
_NEW_SUBJECT_AT_S = 4.0


class PartSimulation(CrashSimulation):
    """Sound requests, and others with the crashing part, no two alike.

    All requests share the first part of their prompts, and most of them the
    second one, their subject, with several others.

    Args:
        registry: the shared registry.
        seed: seed of the simulation.
        requests_s: sound requests a second.
        crashes_s: crashes of targets a second that no request causes.
        bad_subject: whether all requests with the crashing part are about one
            subject, about which others ask rarely.
        customers: number of customers that send requests with the part.
    """

    def __init__(
        self,
        registry,
        seed,
        requests_s,
        crashes_s,
        *,
        bad_subject=False,
        customers=1,
    ):
        super().__init__(registry, seed, requests_s, crashes_s)
        self._traits_by_name = {}
        self._bad_subject = bad_subject
        self._customers = customers
        # Times at which targets began requests with the crashing part.
        self.bad_arrivals = []
        self.bad_crashes = []
        self.refused_sound = 0
        self.wrong_patterns = set()
        self.patterns_at_end = set()

    async def run(self, seconds, advance, *, bad_every_s):
        """Runs the simulation.

        Args:
            seconds: duration.
            advance: moves the clock that the registry reads.
            bad_every_s: interval of the requests with the crashing part.
        """
        if bad_every_s:
            self._schedule(_NEW_SUBJECT_AT_S, self._send_bad, bad_every_s)
        await super().run(seconds, advance)

    def traits(self, name):
        return self._traits_by_name[name]

    def _subject(self):
        if self.now > _NEW_SUBJECT_AT_S and self._rng.random() < 0.5:
            return b"new subject"
        number = int(self._rng.paretovariate(0.5))
        return b"subject %d" % (number % _SUBJECTS)

    def _attempt(self, name, number):
        if name not in self._traits_by_name:
            parts = frozenset([b"all", self._subject()])
            customer = f"c{self._rng.randrange(3)}"
            self._traits_by_name[name] = RequestTraits(customer, parts)
        if self._is_refused(name):
            self.refused_sound += not name.startswith(b"bad")
            return
        super()._attempt(name, number)
        if not name.startswith(b"bad"):
            return
        for target, running in self._running.items():
            if (name, number) in running:
                self.bad_arrivals.append(self.now)
                start = self._starts[target]
                self._schedule(
                    self.now + _CRASHES_AFTER_S,
                    self._crash_under_bad,
                    target,
                    start,
                )

    def _send_bad(self, every_s):
        self._schedule(self.now + every_s, self._send_bad, every_s)
        subject = b"bad subject" if self._bad_subject else self._subject()
        name = b"bad %d" % next(self._order)
        customer = f"c{self._rng.randrange(self._customers)}"
        parts = frozenset([b"all", subject, CRASHING_PART])
        self._traits_by_name[name] = RequestTraits(customer, parts)
        # The last two of the attempts of a sound request.
        self._attempt(name, 5)

    def _crash_under_bad(self, target, start):
        if self._starts[target] == start:
            self.bad_crashes.append(self.now)
            self._crash(target)

    def _end(self, target, name, number):
        if not name.startswith(b"bad"):
            super()._end(target, name, number)

    def _record_refused(self, refused):
        self.patterns_at_end = {each.pattern for each in refused} - {None}
        self.wrong_patterns |= {
            pattern
            for pattern in self.patterns_at_end
            if CRASHING_PART not in pattern.parts
        }
