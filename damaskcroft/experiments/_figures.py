"""What callers got, and what it cost."""

import collections
import dataclasses
import enum
from collections.abc import Callable

__all__ = ["Figures", "Outcome", "Tried"]


class Outcome(enum.Enum):
    """What one try of a caller got."""

    IN_TIME = "in_time"
    LATE = "late"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class Tried:
    """One try.

    Attributes:
        at: when it was sent.
        kind: of the request.
        entry: where it was sent to.
        outcome: what it got.
        first_s: from sending to the first event, or to the refusal.
        work_s: the engines' time that was spent on it.
        is_return: whether its caller was refused before.
    """

    at: float
    kind: str
    entry: int
    outcome: Outcome
    first_s: float
    work_s: float = 0.0
    is_return: bool = False


class Figures:
    """All tries of a play.

    Attributes:
        tries: in the order in which they ended.
    """

    __slots__ = ("tries",)

    def __init__(self) -> None:
        """Nobody has tried."""
        self.tries: list[Tried] = []

    def between(self, since: float, until: float) -> "Figures":
        """Tries that were sent in some time."""
        return self._where(lambda tried: since <= tried.at < until)

    def of_kind(self, kind: str) -> "Figures":
        """Tries of a kind of request."""
        return self._where(lambda tried: tried.kind == kind)

    def of_entry(self, entry: int) -> "Figures":
        """Tries that one entry got."""
        return self._where(lambda tried: tried.entry == entry)

    def _where(self, holds: Callable[[Tried], bool]) -> "Figures":
        found = Figures()
        found.tries = [tried for tried in self.tries if holds(tried)]
        return found

    def share(self, outcome: Outcome) -> float:
        """Of all tries; 0 of none."""
        if not self.tries:
            return 0.0
        counts = collections.Counter(t.outcome for t in self.tries)
        return counts[outcome] / len(self.tries)

    def count(self, outcome: Outcome) -> int:
        """How many tries ended so."""
        return sum(t.outcome is outcome for t in self.tries)

    @property
    def tries_per_caller(self) -> float:
        """How often callers try; 1 where nobody comes back."""
        callers = sum(not t.is_return for t in self.tries)
        return len(self.tries) / callers if callers else 0.0

    @property
    def late_work_share(self) -> float:
        """Of the engines' work, what was spent on answers that were late."""
        whole_s = sum(t.work_s for t in self.tries)
        late_s = sum(t.work_s for t in self.tries if t.outcome is Outcome.LATE)
        return late_s / whole_s if whole_s else 0.0
