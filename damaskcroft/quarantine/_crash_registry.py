"""Registry of crashed targets and of the requests that are refused for them.

A crash makes every request that ran on the target a suspect, because it cannot
be determined which of them caused it. A suspect that later runs to its end is
cleared. A suspect is quarantined when three targets have crashed under it in
sequence (eight, if it had been answered shortly before) and it was the first to
be identified; the crashes that it explains no longer count against other
requests. When many targets crash at once, for example in a power failure, a
request that many callers send was running on all of them. Crashes therefore
count as a sequence only if the earlier ones were known when the request was
sent again.

The registry is soft state that only grows: the starts of targets that crashed,
the suspects of each, and those of them that were cleared. Entries and control
nodes merge the updates they receive in any order (a two-phase set for each
start; Shapiro et al., "A comprehensive study of Convergent and Commutative
Replicated Data Types", 2011), so that all of them reach the same verdict
without a leader.
"""

import dataclasses
from collections.abc import Callable, Iterable, Iterator

from damaskcroft._generated import quarantine_pb2
from damaskcroft.clock import now_s
from damaskcroft.observe import log_event, metrics
from damaskcroft.quarantine._verdicts import (
    MIN_CRASHES,
    Crash,
    Verdicts,
    longest_chain,
)

__all__ = ["CrashRegistry", "Quarantined"]

# Time from the last crash until a quarantined request may be tried again, and
# the factor by which each retry that crashes a target extends it: three retries
# a day.
_QUARANTINE_S = 600.0
_QUARANTINE_FACTOR = 6
_MAX_QUARANTINE_S = 7 * 24 * 3600.0
# Each process ends a quarantine at a slightly different time, so that a retry
# by one of them is known before another sends its own.
_END_SPREAD = 0.25
# Crashes expire after this time, unless they count against a request that is or
# was quarantined. The bound matters because every body is hashed while there is
# any suspect.
_SUSPICION_S = 3600.0
# A target is assumed to be still restarting for this long after its crash.
_RESTARTING_S = 3.0
# Maximum number of crashed starts kept; the planned fleet loses about 400 a day
# to all causes.
_MAX_STARTS = 512
# Maximum number of suspects of one start: several times the slots of a target.
_MAX_SUSPECTS = 128
_MS_IN_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantined:
    """A request that is refused.

    Attributes:
        fingerprint: fingerprint of the request.
        start_ids: starts of targets that crashed under it.
        left_s: time until it may be tried again.
    """

    fingerprint: bytes
    start_ids: tuple[str, ...]
    left_s: float


class CrashRegistry:
    """Crashes, by the start of the target that crashed.

    Args:
        spread: position of this process in the spread of end times, from 0
            (quarantines end first) to 1 (last).
    """

    def __init__(self, spread: float = 0.0):
        """Creates an empty registry."""
        self._end_factor = 1 + _END_SPREAD * spread
        self._crashes_by_start: dict[str, Crash] = {}
        # Derived state, recomputed after each change.
        self._starts_by_suspect: dict[bytes, list[str]] = {}
        self._quarantined_until: dict[bytes, float] = {}
        self._listeners: list[Callable[[], None]] = []
        # Number of changes, for callers that publish them.
        self.changes = 0

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Calls `listener` after each change of the verdicts."""
        self._listeners.append(listener)

    # --- Merging ------------------------------------------------------------

    def merge(self, report: quarantine_pb2.TargetCrash) -> bool:
        """Merges a report of one crash.

        Returns:
            Whether it contained anything new.
        """
        return bool(self.merge_all([report]))

    def merge_all(
        self, reports: Iterable[quarantine_pb2.TargetCrash]
    ) -> list[quarantine_pb2.TargetCrash]:
        """Merges reports of crashes and recomputes the verdicts once.

        Returns:
            The reports that contained anything new.
        """
        changed = [crash for crash in reports if self._merge(crash)]
        if changed:
            self._evict_oldest()
            self._update_verdicts()
        return changed

    def _merge(self, report: quarantine_pb2.TargetCrash) -> bool:
        at = now_s() - report.age_ms / _MS_IN_S
        crash = self._crashes_by_start.get(report.start_id)
        if crash is None:
            crash = self._crashes_by_start[report.start_id] = Crash(at)
        crash.occurred_at = min(crash.occurred_at, at)
        crash.service = crash.service or report.service
        return _merge(crash, report)

    def snapshot(self) -> Iterator[quarantine_pb2.TargetCrash]:
        """All known crashes, for publishing to other processes."""
        self.evict_expired()
        return (self._to_message(start) for start in self._crashes_by_start)

    def snapshot_of(
        self, starts: Iterable[str]
    ) -> Iterator[quarantine_pb2.TargetCrash]:
        """The known crashes among some starts; expired ones are left out."""
        known = (start for start in starts if start in self._crashes_by_start)
        return (self._to_message(start) for start in known)

    def clear(
        self, fingerprint: bytes, service: str = ""
    ) -> list[quarantine_pb2.TargetCrash]:
        """Withdraws the suspicion against a request.

        Args:
            fingerprint: fingerprint of the request.
            service: the service where it has run to its end. Crashes at another
                service, to which a share of a route is sent, remain. Empty
                withdraws the suspicion everywhere.

        Returns:
            The changed crashes, to be published to other processes.
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
            self._update_verdicts()
        return [self._to_message(start) for start in starts]

    # --- Verdicts ------------------------------------------------------------

    @property
    def has_suspects(self) -> bool:
        """Whether there is any suspect request; a constant-time check."""
        return bool(self._starts_by_suspect)

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Whether targets crashed under a request that has not been cleared."""
        return fingerprint in self._starts_by_suspect

    def crashed_at(self, start_id: str) -> float | None:
        """The loop time at which a start crashed; None if no crash is known."""
        crash = self._crashes_by_start.get(start_id)
        return crash.occurred_at if crash is not None else None

    def few_left(self, service: str, start_ids: Iterable[str]) -> bool:
        """Whether more targets of a service have just crashed than remain.

        Args:
            service: name of the service.
            start_ids: starts of its targets, as announced.
        """
        if not self._crashes_by_start:
            return False
        cutoff = now_s() - _RESTARTING_S
        crashed_count = sum(
            crash.occurred_at >= cutoff and crash.service == service
            for crash in self._crashes_by_start.values()
        )
        remaining_count = sum(
            start not in self._crashes_by_start for start in start_ids
        )
        return crashed_count > remaining_count

    def chain(self, fingerprint: bytes) -> int:
        """The longest known sequence of crashes of a request; 0 for none."""
        starts = self._starts_by_suspect.get(fingerprint, [])
        return longest_chain(self._crashes_by_start, fingerprint, starts)

    def quarantined_s(self, fingerprint: bytes) -> float:
        """How long a request is still refused; 0 if it is not refused."""
        until = self._quarantined_until.get(fingerprint)
        return max(0.0, until - now_s()) if until is not None else 0.0

    def quarantined(self) -> list[Quarantined]:
        """All requests that are refused now, for operators."""
        requests = [
            Quarantined(
                fingerprint,
                tuple(self._starts_by_suspect[fingerprint]),
                self.quarantined_s(fingerprint),
            )
            for fingerprint in self._quarantined_until
        ]
        return [each for each in requests if each.left_s > 0]

    # --- Computing verdicts --------------------------------------------------

    def _update_verdicts(self) -> None:
        """Recomputes all verdicts."""
        self.changes += 1
        verdicts = Verdicts(self._crashes_by_start)
        self._starts_by_suspect = verdicts.starts_by_suspect()
        before = self._quarantined_until
        self._quarantined_until = {
            fingerprint: self._quarantine_ends_at(fingerprint)
            for fingerprint in verdicts.culprits()
        }
        self._log_changes(before)
        for listener in self._listeners:
            listener()

    def _quarantine_ends_at(self, fingerprint: bytes) -> float:
        starts = self._starts_by_suspect[fingerprint]
        times = sorted(
            self._crashes_by_start[start].occurred_at for start in starts
        )
        first_end = times[MIN_CRASHES - 1] + _QUARANTINE_S
        retries = sum(at >= first_end for at in times)
        duration_s = min(
            _QUARANTINE_S * _QUARANTINE_FACTOR**retries, _MAX_QUARANTINE_S
        )
        return times[-1] + duration_s * self._end_factor

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

    def evict_expired(self) -> None:
        """Removes expired crashes; to be called periodically."""
        if not self._crashes_by_start:
            return
        cutoff = now_s() - _SUSPICION_S
        protected = self._starts_of_quarantined()
        old = [
            start
            for start, crash in self._crashes_by_start.items()
            if crash.occurred_at < cutoff and start not in protected
        ]
        for start in old:
            del self._crashes_by_start[start]
        if old:
            self._update_verdicts()

    def _evict_oldest(self) -> None:
        """Evicts the oldest crashes above the cap, quarantined ones last."""
        while len(self._crashes_by_start) > _MAX_STARTS:
            protected = self._starts_of_quarantined()
            del self._crashes_by_start[
                min(
                    self._crashes_by_start,
                    key=lambda start: (
                        start in protected,
                        self._crashes_by_start[start].occurred_at,
                    ),
                )
            ]

    def _starts_of_quarantined(self) -> set[str]:
        """Starts that crashed under requests that are or were refused."""
        return {
            start
            for fingerprint in self._quarantined_until
            for start in self._starts_by_suspect[fingerprint]
        }

    def _to_message(self, start: str) -> quarantine_pb2.TargetCrash:
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
            age_ms=int((now_s() - crash.occurred_at) * _MS_IN_S),
            service=crash.service,
        )


def _merge(crash: Crash, report: quarantine_pb2.TargetCrash) -> bool:
    """Merges a report into a crash.

    Returns:
        Whether it contained anything new.
    """
    is_new = False
    for suspect in report.suspects:
        known = crash.suspects.get(suspect.fingerprint)
        if known is None and len(crash.suspects) >= _MAX_SUSPECTS:
            continue
        if known is None or suspect.chain > known:
            crash.suspects[suspect.fingerprint] = suspect.chain
            is_new = True
        if suspect.answered and suspect.fingerprint not in crash.answered:
            crash.answered.add(suspect.fingerprint)
            is_new = True
    for fingerprint in report.cleared:
        if fingerprint in crash.cleared:
            continue
        crash.cleared.add(fingerprint)
        is_new = True
    return is_new
