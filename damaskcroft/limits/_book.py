"""Which targets name a limit now, as the whole fleet knows it.

Soft state that entries and control nodes merge in any order: of each start of a
target the word with the highest revision counts, and of two equal ones the
lower limit (a last-writer-wins register ordered by a logical clock; Lamport,
"Time, Clocks, and the Ordering of Events in a Distributed System", 1978). A new
start names nothing until an answer of its own does.
"""

import math
from collections.abc import Collection, Iterable, Iterator

from damaskcroft._generated import limits_pb2
from damaskcroft.clock import now_s
from damaskcroft.limits._named import LimitWord, Named, Unreadable
from damaskcroft.observe import log_event, metrics

__all__ = ["LimitBook"]

# A change by less is not told to others.
_NOTABLE_CHANGE = 0.1
# After a limit has ended its target gets more and more for so long, from the
# last rate on, lest every entry turns to it at the same moment.
_RAMP_S = 4.0
_RAMP_DOUBLES_S = 0.5
_LEAST_RAMP_RATE_S = 1.0
# A word may come before the announcement of its target.
_KEPT_WITHOUT_TARGET_S = 60.0
# Twice the targets of the largest planned fleet.
_MAX_KEPT = 8192


class _Limit:
    """The newest word of one start of a target.

    Attributes:
        told: the word.
        since: when this process took it.
        limited_since: when it first knew of a limit, whatever its height.
    """

    __slots__ = ("limited_since", "since", "told")

    def __init__(
        self, told: limits_pb2.NamedLimit, limited_since: float | None = None
    ):
        self.told = told
        self.since = now_s()
        if limited_since is None:
            limited_since = self.since
        self.limited_since = limited_since

    @property
    def rate_s(self) -> float:
        """Requests a second, from all senders; infinite without a limit."""
        if not self.told.lifted:
            return self.told.rate_s
        age_s = now_s() - self.since
        if age_s >= _RAMP_S:
            return math.inf
        least = max(self.told.rate_s, _LEAST_RAMP_RATE_S)
        return least * 2 ** (age_s // _RAMP_DOUBLES_S)


class LimitBook:
    """Limits by the start of the target that named them."""

    def __init__(self) -> None:
        """Creates an empty book."""
        self._limits_by_start: dict[str, _Limit] = {}
        # Those that hold requests back now.
        self._binding: set[str] = set()

    @property
    def is_any(self) -> bool:
        """Whether any limit holds; costs nothing to ask."""
        return bool(self._binding)

    def rate_s(self, start_id: str) -> float:
        """What a target takes a second; infinite where it names no limit."""
        if start_id not in self._binding:
            return math.inf
        return self._limits_by_start[start_id].rate_s

    def limited_since(self, start_id: str) -> float:
        """When a target's limit came to be known; infinite if it has none."""
        if start_id not in self._binding:
            return math.inf
        return self._limits_by_start[start_id].limited_since

    def named(self) -> list[limits_pb2.NamedLimit]:
        """All limits that targets name now."""
        return [word for word in self.words() if not word.lifted]

    # --- What answers say ---------------------------------------------------

    def change(
        self, start_id: str, word: LimitWord, sent_at: float
    ) -> limits_pb2.NamedLimit | None:
        """What an answer changes, to be merged here and told to others.

        Answers overtake each other: a lower limit counts at once, a higher one
        or none only from a request that was sent after the limit was known.

        Args:
            start_id: whose answer it is.
            word: what it says.
            sent_at: loop time at which its request was sent.
        """
        if isinstance(word, Unreadable):
            log_event("limit_unreadable", target=start_id, value=word.value)
            return None
        known = self._limits_by_start.get(start_id)
        rate_s = word.rate_s if isinstance(word, Named) else math.inf
        known_rate_s = math.inf
        if known is not None and not known.told.lifted:
            known_rate_s = known.told.rate_s
        if not _differ(rate_s, known_rate_s):
            return None
        if rate_s > known_rate_s and known and sent_at < known.since:
            return None
        return limits_pb2.NamedLimit(
            start_id=start_id,
            rate_s=known_rate_s if math.isinf(rate_s) else rate_s,
            lifted=math.isinf(rate_s),
            revision=known.told.revision + 1 if known else 1,
        )

    # --- Merging --------------------------------------------------------------

    def take_all(
        self, told: Iterable[limits_pb2.NamedLimit]
    ) -> list[limits_pb2.NamedLimit]:
        """Merges words; those that were news."""
        return [word for word in told if self._take(word)]

    def words(self) -> Iterator[limits_pb2.NamedLimit]:
        """All that is known, for whoever may know less."""
        return (limit.told for limit in self._limits_by_start.values())

    def words_of(
        self, starts: Iterable[str]
    ) -> Iterator[limits_pb2.NamedLimit]:
        """What is known of some starts; nothing of forgotten ones."""
        known = (self._limits_by_start.get(start) for start in starts)
        return (limit.told for limit in known if limit is not None)

    def _take(self, word: limits_pb2.NamedLimit) -> bool:
        known = self._limits_by_start.get(word.start_id)
        if known is not None and _order(word) <= _order(known.told):
            return False
        was_binding = word.start_id in self._binding
        self._limits_by_start[word.start_id] = _Limit(
            word, known.limited_since if known and was_binding else None
        )
        self._binding.add(word.start_id)
        event = "target_limit_lifted" if word.lifted else "target_limit_named"
        log_event(
            event,
            target=word.start_id,
            rate_s=word.rate_s,
            revision=word.revision,
        )
        metrics.TARGET_LIMIT_CHANGES.labels(
            "lifted" if word.lifted else "named"
        ).inc()
        self._drop_oldest()
        self._show()
        return True

    # --- Bounds ---------------------------------------------------------------

    def forget_all_but(self, start_ids: Collection[str]) -> None:
        """Drops words of targets that are gone, and limits that have ended."""
        if not self._limits_by_start:
            return
        now = now_s()
        for start, limit in list(self._limits_by_start.items()):
            is_old = now - limit.since > _KEPT_WITHOUT_TARGET_S
            if is_old and start not in start_ids:
                self._drop(start)
            elif math.isinf(limit.rate_s):
                self._binding.discard(start)
        self._show()

    def _drop_oldest(self) -> None:
        while len(self._limits_by_start) > _MAX_KEPT:
            self._drop(next(iter(self._limits_by_start)))

    def _drop(self, start: str) -> None:
        del self._limits_by_start[start]
        self._binding.discard(start)

    def _show(self) -> None:
        metrics.TARGETS_LIMITED.set(len(self._binding))


def _differ(rate_s: float, known_rate_s: float) -> bool:
    if math.isinf(rate_s) or math.isinf(known_rate_s):
        return rate_s != known_rate_s
    return abs(rate_s - known_rate_s) > _NOTABLE_CHANGE * known_rate_s


def _order(word: limits_pb2.NamedLimit) -> tuple[int, float]:
    return word.revision, -math.inf if word.lifted else -word.rate_s
