"""Which requests have crashed targets, and which are refused for it.

A crash makes every request that ran on the target a suspect, since nobody can
tell which of them caused it. A suspect that later runs to its end is cleared.
One that three targets have crashed under, one after another, and that was the
first to be known for it, is quarantined (eight, if it had been answered shortly
before); what it explains speaks against no
other request. Where many targets crash at once, as when power is lost, a
request that many callers send runs on all of them: crashes follow one another
only if the earlier ones were known when the request was sent again.

The book is soft state that only grows: starts of targets, the suspects of each,
and those of them that were cleared. Entries and control nodes merge what they
hear in any order (a two-phase set for each start; Shapiro et al., "A
comprehensive study of Convergent and Commutative Replicated Data Types",
2011), so that all of them come to the same verdict without a leader.
"""

import dataclasses
from collections.abc import Callable, Iterable, Iterator

from damaskcroft._generated import quarantine_pb2
from damaskcroft.clock import now_s
from damaskcroft.observe import log_event, metrics
from damaskcroft.quarantine._verdicts import (
    CRASHES,
    Crash,
    Verdicts,
    longest_chain,
)

__all__ = ["CrashBook", "Quarantined"]

# From the last crash until it may be tried again, and how many times as long
# each try that crashes a target makes that: three tries in a day.
_QUARANTINE_S = 600.0
_QUARANTINE_FACTOR = 6
_MAX_QUARANTINE_S = 7 * 24 * 3600.0
# Each process has the quarantine end a little later than the next one, so that
# a try by one of them is known before another makes its own.
_END_SPREAD = 0.25
# A crash is forgotten after this time, unless it speaks against a request that
# is or was quarantined: each body is hashed as long as anything is suspected.
_SUSPECTED_S = 3600.0
# A target that crashed is taken for away for so long.
_AWAY_S = 3.0
# Starts kept; the planned fleet loses about 400 a day to all causes.
_MAX_STARTS = 512
# Of one start: several times the slots of a target.
_MAX_SUSPECTS = 128
_MS_IN_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantined:
    """A request that is refused.

    Attributes:
        fingerprint: which.
        start_ids: starts of targets that crashed under it.
        left_s: until it may be tried again.
    """

    fingerprint: bytes
    start_ids: tuple[str, ...]
    left_s: float


class CrashBook:
    """Crashes by the start of the target that crashed.

    Args:
        spread: how much later than the next process this one lets a
            quarantine end, from 0 to 1.
    """

    def __init__(self, spread: float = 0.0):
        """Creates an empty book."""
        self._end_factor = 1 + _END_SPREAD * spread
        self._crashes_by_start: dict[str, Crash] = {}
        # Worked out after each change.
        self._starts_by_suspect: dict[bytes, list[str]] = {}
        self._quarantined_until: dict[bytes, float] = {}
        self._listeners: list[Callable[[], None]] = []
        # Counts changes, for whoever tells others.
        self.changes = 0

    def listen(self, listener: Callable[[], None]) -> None:
        """Calls `listener` after each change of a verdict."""
        self._listeners.append(listener)

    # --- Merging ------------------------------------------------------------

    def take(self, told: quarantine_pb2.TargetCrash) -> bool:
        """Merges what is known of one crash; whether anything was new."""
        return bool(self.take_all([told]))

    def take_all(
        self, told: Iterable[quarantine_pb2.TargetCrash]
    ) -> list[quarantine_pb2.TargetCrash]:
        """Merges what is known of crashes; verdicts are worked out once.

        Returns:
            Those that told anything new.
        """
        news = [crash for crash in told if self._merge(crash)]
        if news:
            self._drop_oldest()
            self._judge()
        return news

    def _merge(self, told: quarantine_pb2.TargetCrash) -> bool:
        at = now_s() - told.age_ms / _MS_IN_S
        crash = self._crashes_by_start.get(told.start_id)
        if crash is None:
            crash = self._crashes_by_start[told.start_id] = Crash(at)
        crash.at = min(crash.at, at)
        crash.service = crash.service or told.service
        return _merge(crash, told)

    def words(self) -> Iterator[quarantine_pb2.TargetCrash]:
        """All that is known, for whoever may know less."""
        self.forget_old()
        return (self._word(start) for start in self._crashes_by_start)

    def words_of(
        self, starts: Iterable[str]
    ) -> Iterator[quarantine_pb2.TargetCrash]:
        """All that is known of some starts; nothing of forgotten ones."""
        known = (start for start in starts if start in self._crashes_by_start)
        return (self._word(start) for start in known)

    def clear(
        self, fingerprint: bytes, service: str = ""
    ) -> list[quarantine_pb2.TargetCrash]:
        """Takes what is known back from a request.

        Args:
            fingerprint: which.
            service: where it has run to its end, which says nothing of
                another one that a share of a route goes to; empty to take
                everything back.

        Returns:
            What others have to be told.
        """
        starts = [
            start
            for start in self._starts_by_suspect.get(fingerprint, ())
            if self._crashes_by_start[start].service in ("", service)
            or not service
        ]
        for start in starts:
            self._crashes_by_start[start].cleared.add(fingerprint)
        if starts:
            self._judge()
        return [self._word(start) for start in starts]

    # --- Verdicts ------------------------------------------------------------

    @property
    def has_suspects(self) -> bool:
        """Whether any request is under suspicion; costs nothing to ask."""
        return bool(self._starts_by_suspect)

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Whether targets crashed under a request and nothing cleared it."""
        return fingerprint in self._starts_by_suspect

    def crashed_at(self, start_id: str) -> float | None:
        """When a start crashed; None for one that isn't known to have."""
        crash = self._crashes_by_start.get(start_id)
        return crash.at if crash is not None else None

    def few_left(self, service: str, start_ids: Iterable[str]) -> bool:
        """Whether more targets of a service crashed just now than are left.

        Args:
            service: its name.
            start_ids: of its targets, as far as they were announced.
        """
        if not self._crashes_by_start:
            return False
        since = now_s() - _AWAY_S
        away = sum(
            crash.at >= since and crash.service == service
            for crash in self._crashes_by_start.values()
        )
        left = sum(start not in self._crashes_by_start for start in start_ids)
        return away > left

    def chain(self, fingerprint: bytes) -> int:
        """How many crashes in a row are known of a request; 0 for none."""
        starts = self._starts_by_suspect.get(fingerprint, [])
        return longest_chain(self._crashes_by_start, fingerprint, starts)

    def quarantined_s(self, fingerprint: bytes) -> float:
        """For how long a request is refused from now on; 0 if it isn't."""
        until = self._quarantined_until.get(fingerprint)
        return max(0.0, until - now_s()) if until is not None else 0.0

    def quarantined(self) -> list[Quarantined]:
        """All requests that are refused now, for operators."""
        found = [
            Quarantined(
                fingerprint,
                tuple(self._starts_by_suspect[fingerprint]),
                self.quarantined_s(fingerprint),
            )
            for fingerprint in self._quarantined_until
        ]
        return [each for each in found if each.left_s > 0]

    # --- Working them out -----------------------------------------------------

    def _judge(self) -> None:
        """Works every verdict out anew."""
        self.changes += 1
        verdicts = Verdicts(self._crashes_by_start)
        self._starts_by_suspect = verdicts.starts_by_suspect()
        before = self._quarantined_until
        self._quarantined_until = {
            fingerprint: self._ends_at(fingerprint)
            for fingerprint in verdicts.guilty()
        }
        self._log_changes(before)
        for listener in self._listeners:
            listener()

    def _ends_at(self, fingerprint: bytes) -> float:
        starts = self._starts_by_suspect[fingerprint]
        times = sorted(self._crashes_by_start[start].at for start in starts)
        first_end = times[CRASHES - 1] + _QUARANTINE_S
        tries = sum(at >= first_end for at in times)
        lasts_s = min(
            _QUARANTINE_S * _QUARANTINE_FACTOR**tries, _MAX_QUARANTINE_S
        )
        return times[-1] + lasts_s * self._end_factor

    def _log_changes(self, before: dict[bytes, float]) -> None:
        for fingerprint in self._quarantined_until.keys() - before.keys():
            metrics.QUARANTINE.labels("begun").inc()
            log_event(
                "quarantine_begun",
                fingerprint=fingerprint.hex(),
                targets=",".join(self._starts_by_suspect[fingerprint]),
                for_s=self.quarantined_s(fingerprint),
            )
        for fingerprint in before.keys() - self._quarantined_until.keys():
            metrics.QUARANTINE.labels("lifted").inc()
            log_event("quarantine_lifted", fingerprint=fingerprint.hex())

    # --- Bounds ---------------------------------------------------------------

    def forget_old(self) -> None:
        """Drops crashes that have led to nothing; to be called at times."""
        if not self._crashes_by_start:
            return
        since = now_s() - _SUSPECTED_S
        kept = self._of_quarantined()
        old = [
            start
            for start, crash in self._crashes_by_start.items()
            if crash.at < since and start not in kept
        ]
        for start in old:
            del self._crashes_by_start[start]
        if old:
            self._judge()

    def _drop_oldest(self) -> None:
        """Drops what is too much, of quarantined requests last."""
        while len(self._crashes_by_start) > _MAX_STARTS:
            kept = self._of_quarantined()
            del self._crashes_by_start[
                min(
                    self._crashes_by_start,
                    key=lambda start: (
                        start in kept,
                        self._crashes_by_start[start].at,
                    ),
                )
            ]

    def _of_quarantined(self) -> set[str]:
        """Starts that crashed under requests which are or were refused."""
        return {
            start
            for fingerprint in self._quarantined_until
            for start in self._starts_by_suspect[fingerprint]
        }

    def _word(self, start: str) -> quarantine_pb2.TargetCrash:
        crash = self._crashes_by_start[start]
        return quarantine_pb2.TargetCrash(
            start_id=start,
            suspects=[
                quarantine_pb2.Suspect(
                    fingerprint=fingerprint,
                    chain=chain,
                    answered=fingerprint in crash.answered,
                )
                for fingerprint, chain in crash.suspects.items()
            ],
            cleared=crash.cleared,
            age_ms=int((now_s() - crash.at) * _MS_IN_S),
            service=crash.service,
        )


def _merge(crash: Crash, told: quarantine_pb2.TargetCrash) -> bool:
    """Adds what is told of a crash to it; whether anything was new."""
    is_new = False
    for suspect in told.suspects:
        known = crash.suspects.get(suspect.fingerprint)
        if known is None and len(crash.suspects) >= _MAX_SUSPECTS:
            continue
        if known is None or suspect.chain > known:
            crash.suspects[suspect.fingerprint] = suspect.chain
            is_new = True
        if suspect.answered and suspect.fingerprint not in crash.answered:
            crash.answered.add(suspect.fingerprint)
            is_new = True
    for fingerprint in told.cleared:
        if fingerprint in crash.cleared:
            continue
        crash.cleared.add(fingerprint)
        is_new = True
    return is_new
