"""Registry of the rate limits that targets announce, replicated in the fleet.

It is soft state that entries and control nodes merge in any order: for each
start of a target (one run of its process) the announcement with the highest
revision counts, and of two with the same revision the lower limit (a
last-writer-wins register ordered by a logical clock; Lamport, "Time, Clocks,
and the Ordering of Events in a Distributed System", 1978). A new start has no
limit until one of its own answers announces one.
"""

import math
from collections.abc import Collection, Iterable, Iterator

from damaskcroft._generated import limits_pb2
from damaskcroft.clock import now_s
from damaskcroft.limits._header import LimitHeader, Named, Unreadable
from damaskcroft.observe import log_event, metrics

__all__ = ["LimitRegistry"]

# Relative change of a limit below which it is not published.
_MIN_RELATIVE_CHANGE = 0.1
# After a limit has ended, the rate of its target rises for this time from the
# last rate, so that the entries don't all turn to it at the same moment.
_RAMP_S = 4.0
_RAMP_DOUBLING_S = 0.5
_MIN_RAMP_RATE_S = 1.0
# Limits of unknown targets are kept for this time, because a limit may arrive
# before the announcement of its target.
_RETENTION_WITHOUT_TARGET_S = 60.0
# Twice the targets of the largest planned fleet.
_MAX_LIMITS = 8192


class _Limit:
    """The newest announcement of one start of a target.

    Attributes:
        announcement: the announcement, as merged.
        received_at: loop time at which this process received it.
        limited_since: loop time at which this process first received a limit
            of any rate.
    """

    __slots__ = ("limited_since", "received_at", "announcement")

    def __init__(
        self,
        announcement: limits_pb2.NamedLimit,
        limited_since: float | None = None,
    ):
        self.announcement = announcement
        self.received_at = now_s()
        if limited_since is None:
            limited_since = self.received_at
        self.limited_since = limited_since

    @property
    def rate_s(self) -> float:
        """Requests a second from all senders; infinite without a limit."""
        if not self.announcement.lifted:
            return self.announcement.rate_s
        age_s = now_s() - self.received_at
        if age_s >= _RAMP_S:
            return math.inf
        initial_rate_s = max(self.announcement.rate_s, _MIN_RAMP_RATE_S)
        return initial_rate_s * 2 ** (age_s // _RAMP_DOUBLING_S)


class LimitRegistry:
    """Rate limits by the start of the target that announced them."""

    def __init__(self) -> None:
        """Starts empty."""
        self._limits_by_start: dict[str, _Limit] = {}
        # Starts whose limits restrict requests now.
        self._limited_starts: set[str] = set()

    @property
    def is_active(self) -> bool:
        """Whether any limit is in effect; a constant-time check."""
        return bool(self._limited_starts)

    def rate_s(self, start_id: str) -> float:
        """Returns a target's limit in requests a second; infinite without."""
        if start_id not in self._limited_starts:
            return math.inf
        return self._limits_by_start[start_id].rate_s

    def limited_since(self, start_id: str) -> float:
        """Returns when a target's limit was first received, else infinity."""
        if start_id not in self._limited_starts:
            return math.inf
        return self._limits_by_start[start_id].limited_since

    def named(self) -> list[limits_pb2.NamedLimit]:
        """Returns all limits that targets announce now."""
        return [each for each in self.snapshot() if not each.lifted]

    # --- Answers --------------------------------------------------------------

    def change(
        self, start_id: str, header: LimitHeader, sent_at: float
    ) -> limits_pb2.NamedLimit | None:
        """Returns the change by an answer, to be merged here and published.

        Answers overtake each other: a lower limit counts at once, but a higher
        one or none only if its request was sent after the limit was received.

        Args:
            start_id: id of the target's start that answered.
            header: the limit in the answer's header.
            sent_at: loop time at which the answer's request was sent.
        """
        if isinstance(header, Unreadable):
            log_event("limit_unreadable", target=start_id, value=header.value)
            return None
        current = self._limits_by_start.get(start_id)
        rate_s = header.rate_s if isinstance(header, Named) else math.inf
        current_rate_s = math.inf
        if current is not None and not current.announcement.lifted:
            current_rate_s = current.announcement.rate_s
        if not _is_notable_change(rate_s, current_rate_s):
            return None
        if (
            rate_s > current_rate_s
            and current
            and sent_at < current.received_at
        ):
            return None
        return limits_pb2.NamedLimit(
            start_id=start_id,
            rate_s=current_rate_s if math.isinf(rate_s) else rate_s,
            lifted=math.isinf(rate_s),
            revision=current.announcement.revision + 1 if current else 1,
        )

    # --- Merging --------------------------------------------------------------

    def merge_all(
        self, limits: Iterable[limits_pb2.NamedLimit]
    ) -> list[limits_pb2.NamedLimit]:
        """Merges announcements; returns those that changed the registry."""
        return [each for each in limits if self._merge(each)]

    def snapshot(self) -> Iterator[limits_pb2.NamedLimit]:
        """Returns all announcements, including those of lifted limits."""
        return (limit.announcement for limit in self._limits_by_start.values())

    def snapshot_of(
        self, starts: Iterable[str]
    ) -> Iterator[limits_pb2.NamedLimit]:
        """Returns the announcements of some starts, if still present."""
        found = (self._limits_by_start.get(start) for start in starts)
        return (limit.announcement for limit in found if limit is not None)

    def _merge(self, announced: limits_pb2.NamedLimit) -> bool:
        current = self._limits_by_start.get(announced.start_id)
        if current is not None and _merge_key(announced) <= _merge_key(
            current.announcement
        ):
            return False
        was_limited = announced.start_id in self._limited_starts
        self._limits_by_start[announced.start_id] = _Limit(
            announced,
            current.limited_since if current and was_limited else None,
        )
        self._limited_starts.add(announced.start_id)
        event = (
            "target_limit_lifted" if announced.lifted else "target_limit_named"
        )
        log_event(
            event,
            target=announced.start_id,
            rate_s=announced.rate_s,
            revision=announced.revision,
        )
        metrics.TARGET_LIMIT_CHANGES.labels(
            "lifted" if announced.lifted else "named"
        ).inc()
        self._drop_oldest()
        self._update_metric()
        return True

    # --- Expiry ---------------------------------------------------------------

    def retain_only(self, start_ids: Collection[str]) -> None:
        """Drops limits of targets that are gone, and those that have ended."""
        if not self._limits_by_start:
            return
        now = now_s()
        for start, limit in list(self._limits_by_start.items()):
            is_expired = now - limit.received_at > _RETENTION_WITHOUT_TARGET_S
            if is_expired and start not in start_ids:
                self._drop(start)
            elif math.isinf(limit.rate_s):
                self._limited_starts.discard(start)
        self._update_metric()

    def _drop_oldest(self) -> None:
        while len(self._limits_by_start) > _MAX_LIMITS:
            self._drop(next(iter(self._limits_by_start)))

    def _drop(self, start: str) -> None:
        del self._limits_by_start[start]
        self._limited_starts.discard(start)

    def _update_metric(self) -> None:
        metrics.TARGETS_LIMITED.set(len(self._limited_starts))


def _is_notable_change(rate_s: float, current_rate_s: float) -> bool:
    if math.isinf(rate_s) or math.isinf(current_rate_s):
        return rate_s != current_rate_s
    return abs(rate_s - current_rate_s) > _MIN_RELATIVE_CHANGE * current_rate_s


def _merge_key(announced: limits_pb2.NamedLimit) -> tuple[int, float]:
    return (
        announced.revision,
        -math.inf if announced.lifted else -announced.rate_s,
    )
