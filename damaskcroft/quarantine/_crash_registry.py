"""Registry of crashed targets and of the requests that are refused for them.

A crash makes every request that ran on the target a suspect, because it cannot
be determined which of them caused it. A suspect that later runs to its end is
cleared. A suspect is quarantined when three targets have crashed under it in
sequence (eight, if it had been answered shortly before) and it was the first to
be identified; the crashes that it explains no longer count against other
requests. The parts of prompts that requests share are suspects in the same way:
if three different requests with a part have crashed targets, all requests with
it are quarantined. When many targets crash at once, for example in a power
failure, a request that many callers send was running on all of them. Crashes
therefore count as a sequence only if the earlier ones were known when the
request was sent again.

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
from damaskcroft.quarantine._crashes import (
    Crash,
    RequestTraits,
    longest_chain,
)
from damaskcroft.quarantine._fingerprint import part_names
from damaskcroft.quarantine._part_evidence import PartPattern
from damaskcroft.quarantine._verdicts import MIN_CRASHES, Verdicts

__all__ = ["CrashRegistry", "Quarantined"]

# Time from the last crash until a quarantined request may be tried again, and
# the factor by which each retry that crashes a target extends it: three retries
# a day.
_QUARANTINE_S = 600.0
# The same for parts of prompts, shorter because many different requests may
# have them: four retries a day.
_PART_QUARANTINE_S = 120.0
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
# Maximum number of requests of one start: several times the slots of a target.
_MAX_REQUESTS = 128
# Maximum number of different parts of their prompts.
_MAX_PARTS = 512
# Maximum number of keys of requests and parts that are kept; a few megabytes.
_MAX_KEYS = 60_000
_MS_IN_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantined:
    """A request that is refused, or all requests with some parts.

    Attributes:
        fingerprint: fingerprint of the request; empty if parts are refused.
        start_ids: starts of targets that crashed under it.
        left_s: time until it may be tried again.
        pattern: the parts that are refused, or None.
    """

    fingerprint: bytes
    start_ids: tuple[str, ...]
    left_s: float
    pattern: PartPattern | None = None


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
        self._starts_by_pattern: dict[PartPattern, list[str]] = {}
        self._pattern_until: dict[PartPattern, float] = {}
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
        return self.clear_all([fingerprint], service)

    def clear_all(
        self, suspects: Iterable[bytes], service: str = ""
    ) -> list[quarantine_pb2.TargetCrash]:
        """The same as `clear`, for fingerprints and keys of parts at once."""
        changed: dict[str, None] = {}
        for suspect in suspects:
            for start in self._starts_by_suspect.get(suspect, ()):
                crash = self._crashes_by_start[start]
                if not service or crash.service in ("", service):
                    crash.cleared.add(suspect)
                    changed[start] = None
        if changed:
            self._update_verdicts()
        return [self._to_message(start) for start in changed]

    def lift(self, suspect: bytes) -> list[quarantine_pb2.TargetCrash]:
        """Ends the quarantine of a request, or of a part and those beside it.

        Returns:
            The changed crashes, to be published to other processes.
        """
        suspects = {suspect}.union(
            *(p.parts for p in self._starts_by_pattern if suspect in p.parts)
        )
        return self.clear_all(suspects)

    # --- Verdicts ------------------------------------------------------------

    @property
    def has_suspects(self) -> bool:
        """Whether there is any suspect request; a constant-time check."""
        return bool(self._starts_by_suspect)

    def is_suspect(self, suspect: bytes) -> bool:
        """Whether targets crashed under a request or part that isn't cleared.

        Args:
            suspect: fingerprint of the request, or key of the part.
        """
        return suspect in self._starts_by_suspect

    def is_new_suspect(self, part: bytes) -> bool:
        """Whether a part is a suspect and was not answered before its crashes.

        Args:
            part: key of the part.
        """
        starts = self._starts_by_suspect.get(part, ())
        return bool(starts) and not any(
            part in self._crashes_by_start[start].answered for start in starts
        )

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

    def chain(self, suspect: bytes) -> int:
        """The longest known sequence of crashes; 0 for none.

        Args:
            suspect: fingerprint of a request, or key of a part.
        """
        starts = self._starts_by_suspect.get(suspect, [])
        return longest_chain(self._crashes_by_start, suspect, starts)

    def quarantined_s(self, fingerprint: bytes) -> float:
        """How long a request is still refused; 0 if it is not refused."""
        until = self._quarantined_until.get(fingerprint)
        return max(0.0, until - now_s()) if until is not None else 0.0

    def refused_pattern(self, traits: RequestTraits) -> PartPattern | None:
        """The quarantined pattern that a request matches, or None."""
        if not self._pattern_until:
            return None
        matching = [
            pattern
            for pattern, until in self._pattern_until.items()
            if until > now_s() and pattern.matches(traits)
        ]
        return max(matching, key=self._pattern_until.__getitem__, default=None)

    def pattern_quarantined_s(self, pattern: PartPattern) -> float:
        """How long matching requests are still refused; 0 if they are not."""
        return max(0.0, self._pattern_until.get(pattern, 0.0) - now_s())

    def refused_s(self, fingerprint: bytes, traits: RequestTraits) -> float:
        """How long a request is still refused, for itself or for its parts.

        Args:
            fingerprint: fingerprint of the request.
            traits: what it shares with others.
        """
        refused_s = self.quarantined_s(fingerprint)
        pattern = self.refused_pattern(traits)
        if pattern is None:
            return refused_s
        return max(refused_s, self.pattern_quarantined_s(pattern))

    def quarantined(self) -> list[Quarantined]:
        """All that is refused now, for operators."""
        refused = [
            Quarantined(
                fingerprint,
                tuple(self._starts_by_suspect[fingerprint]),
                self.quarantined_s(fingerprint),
            )
            for fingerprint in self._quarantined_until
        ]
        refused += [
            Quarantined(
                b"",
                tuple(self._starts_by_pattern[pattern]),
                self.pattern_quarantined_s(pattern),
                pattern,
            )
            for pattern in self._pattern_until
        ]
        return [each for each in refused if each.left_s > 0]

    # --- Computing verdicts --------------------------------------------------

    def _update_verdicts(self) -> None:
        """Recomputes all verdicts."""
        self.changes += 1
        verdicts = Verdicts(self._crashes_by_start)
        self._starts_by_suspect = verdicts.starts_by_suspect()
        before, patterns_before = self._quarantined_until, self._pattern_until
        self._quarantined_until = {
            fingerprint: self._quarantine_ends_at(
                self._starts_by_suspect[fingerprint], _QUARANTINE_S
            )
            for fingerprint in verdicts.culprits
        }
        self._starts_by_pattern = verdicts.patterns
        self._pattern_until = {
            pattern: self._quarantine_ends_at(starts, _PART_QUARANTINE_S)
            for pattern, starts in verdicts.patterns.items()
        }
        self._log_changes(before)
        self._log_pattern_changes(patterns_before)
        for listener in self._listeners:
            listener()

    def _quarantine_ends_at(
        self, starts: Iterable[str], first_duration_s: float
    ) -> float:
        """The loop time at which a quarantine for some crashes ends."""
        times = sorted(
            self._crashes_by_start[start].occurred_at for start in starts
        )
        first_end = times[MIN_CRASHES - 1] + first_duration_s
        retries = sum(at >= first_end for at in times)
        duration_s = min(
            first_duration_s * _QUARANTINE_FACTOR**retries, _MAX_QUARANTINE_S
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

    def _log_pattern_changes(self, before: dict[PartPattern, float]) -> None:
        for pattern in self._pattern_until.keys() - before.keys():
            metrics.QUARANTINE.labels("part_begun").inc()
            log_event(
                "part_quarantine_begun",
                parts=part_names(pattern.parts),
                customer=pattern.customer,
                targets=",".join(self._starts_by_pattern[pattern]),
                for_s=self.pattern_quarantined_s(pattern),
            )
        for pattern in before.keys() - self._pattern_until.keys():
            metrics.QUARANTINE.labels("part_lifted").inc()
            log_event(
                "part_quarantine_lifted",
                parts=part_names(pattern.parts),
                customer=pattern.customer,
            )

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
        """Evicts the oldest crashes above the caps, quarantined ones last."""
        key_count = sum(c.key_count for c in self._crashes_by_start.values())
        if (
            len(self._crashes_by_start) <= _MAX_STARTS
            and key_count <= _MAX_KEYS
        ):
            return
        protected = self._starts_of_quarantined()
        oldest_first = sorted(
            self._crashes_by_start,
            key=lambda start: (
                start in protected,
                self._crashes_by_start[start].occurred_at,
            ),
        )
        for start in oldest_first:
            if (
                len(self._crashes_by_start) <= _MAX_STARTS
                and key_count <= _MAX_KEYS
            ):
                return
            key_count -= self._crashes_by_start.pop(start).key_count

    def _starts_of_quarantined(self) -> set[str]:
        """Starts that crashed under requests that are or were refused."""
        starts = {
            start
            for fingerprint in self._quarantined_until
            for start in self._starts_by_suspect[fingerprint]
        }
        return starts.union(*self._starts_by_pattern.values())

    def _to_message(self, start: str) -> quarantine_pb2.TargetCrash:
        crash = self._crashes_by_start[start]
        position_by_part = {part: n for n, part in enumerate(crash.parts)}
        return quarantine_pb2.TargetCrash(
            start_id=start,
            suspects=[
                quarantine_pb2.Suspect(
                    fingerprint=fingerprint,
                    chain=chain,
                    answered=fingerprint in crash.answered,
                    parts=sorted(
                        position_by_part[part]
                        for part in crash.traits_by_request[fingerprint].parts
                    ),
                    customer=crash.traits_by_request[fingerprint].customer,
                )
                for fingerprint, chain in crash.requests.items()
            ],
            cleared=crash.cleared,
            age_ms=int((now_s() - crash.occurred_at) * _MS_IN_S),
            service=crash.service,
            parts=[
                quarantine_pb2.Suspect(
                    fingerprint=part,
                    chain=chain,
                    answered=part in crash.answered,
                )
                for part, chain in crash.parts.items()
            ],
        )


def _merge(crash: Crash, report: quarantine_pb2.TargetCrash) -> bool:
    """Merges a report into a crash.

    Returns:
        Whether it contained anything new.
    """
    is_new = _merge_suspects(crash, crash.parts, report.parts, _MAX_PARTS)
    is_new |= _merge_suspects(
        crash, crash.requests, report.suspects, _MAX_REQUESTS
    )
    is_new |= _merge_traits(crash, report)
    new_cleared = set(report.cleared) - crash.cleared
    crash.cleared |= new_cleared
    return is_new or bool(new_cleared)


def _merge_suspects(
    crash: Crash,
    chain_by_suspect: dict[bytes, int],
    reported: Iterable[quarantine_pb2.Suspect],
    max_count: int,
) -> bool:
    """Merges reported requests or parts; whether anything was new."""
    is_new = False
    for suspect in reported:
        known = chain_by_suspect.get(suspect.fingerprint)
        if known is None and len(chain_by_suspect) >= max_count:
            continue
        if known is None or suspect.chain > known:
            chain_by_suspect[suspect.fingerprint] = suspect.chain
            is_new = True
        if suspect.answered and suspect.fingerprint not in crash.answered:
            crash.answered.add(suspect.fingerprint)
            is_new = True
    return is_new


def _merge_traits(crash: Crash, report: quarantine_pb2.TargetCrash) -> bool:
    """Merges what reported requests share; whether anything was new.

    A process that knows no parts may have reported the request before.
    """
    is_new = False
    names = [part.fingerprint for part in report.parts]
    for suspect in report.suspects:
        if suspect.fingerprint not in crash.requests:
            continue
        parts = frozenset(
            names[position]
            for position in suspect.parts
            if position < len(names) and names[position] in crash.parts
        )
        known = crash.traits_by_request.get(suspect.fingerprint)
        merged = RequestTraits(suspect.customer, parts)
        if known is not None:
            merged = RequestTraits(
                suspect.customer or known.customer, parts | known.parts
            )
        if merged != known:
            crash.traits_by_request[suspect.fingerprint] = merged
            is_new = True
    return is_new
