"""Results of callers' attempts, and the engine time that they took."""

import collections
import dataclasses
import enum
from collections.abc import Callable

__all__ = ["Attempt", "Outcome", "Results"]


class Outcome(enum.Enum):
    """Outcome of one attempt of a caller."""

    IN_TIME = "in_time"
    LATE = "late"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt of a caller.

    Attributes:
        sent_at: time at which it was sent.
        kind: name of the kind of request.
        entry: index of the entry that it was sent to.
        outcome: in time, late or refused.
        first_s: time from sending to the first event, or to the refusal.
        work_s: engine time that it took.
        is_retry: whether it follows a refusal of the same caller.
    """

    sent_at: float
    kind: str
    entry: int
    outcome: Outcome
    first_s: float
    work_s: float = 0.0
    is_retry: bool = False


class Results:
    """All attempts of a simulation.

    Attributes:
        attempts: in the order in which they ended.
    """

    __slots__ = ("attempts",)

    def __init__(self) -> None:
        """Starts without attempts."""
        self.attempts: list[Attempt] = []

    def sent_between(self, since: float, until: float) -> "Results":
        """Returns the attempts sent from `since` until before `until`."""
        return self._filter(lambda attempt: since <= attempt.sent_at < until)

    def filter_by_kind(self, kind: str) -> "Results":
        """Returns the attempts of a kind of request."""
        return self._filter(lambda attempt: attempt.kind == kind)

    def filter_by_entry(self, entry: int) -> "Results":
        """Returns the attempts sent to an entry."""
        return self._filter(lambda attempt: attempt.entry == entry)

    def _filter(self, predicate: Callable[[Attempt], bool]) -> "Results":
        filtered = Results()
        filtered.attempts = [
            attempt for attempt in self.attempts if predicate(attempt)
        ]
        return filtered

    def share(self, outcome: Outcome) -> float:
        """Returns the share of attempts with an outcome; 0 without attempts."""
        if not self.attempts:
            return 0.0
        counts = collections.Counter(t.outcome for t in self.attempts)
        return counts[outcome] / len(self.attempts)

    def count(self, outcome: Outcome) -> int:
        """Returns the number of attempts with an outcome."""
        return sum(t.outcome is outcome for t in self.attempts)

    @property
    def attempts_per_caller(self) -> float:
        """Mean attempts per caller; 1 if nobody retries, 0 without attempts."""
        callers = sum(not t.is_retry for t in self.attempts)
        return len(self.attempts) / callers if callers else 0.0

    @property
    def late_work_share(self) -> float:
        """Share of the engines' work that was spent on late answers."""
        total_s = sum(t.work_s for t in self.attempts)
        late_s = sum(
            t.work_s for t in self.attempts if t.outcome is Outcome.LATE
        )
        return late_s / total_s if total_s else 0.0
