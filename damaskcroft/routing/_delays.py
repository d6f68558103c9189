"""Answer delays of targets, as measured by one entry.

They reveal targets behind a link that has become narrow: what is sent there
arrives late, and only the delay of the answers shows it. The shortest of the
recent delays counts, because a target's own work delays some answers, but a
slow link or a slow machine delays all of them.
"""

import collections
import contextlib
from collections.abc import Callable, Collection, Iterator

from damaskcroft.clock import now_s

__all__ = ["AnswerDelays"]

# Answers up to this age describe the present: a loaded target gives each of a
# dozen entries at least one answer in this time.
_WINDOW_S = 2.0
# A target that received nothing recently, perhaps because it was slow, is
# assumed to be unchanged for this long: links and machines stay slow for some
# seconds.
_MEMORY_S = 10.0
# Maximum number of answers kept for each target; the fastest of them counts.
_MAX_KEPT_ANSWERS = 8


class _TargetDelays:
    __slots__ = ("answers", "abandoned", "unanswered")

    def __init__(self) -> None:
        self.answers: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=_MAX_KEPT_ANSWERS)
        )
        # When requests were abandoned, and how long they had waited.
        self.abandoned: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=_MAX_KEPT_ANSWERS)
        )
        # Send times of requests that have no answer yet, oldest first.
        self.unanswered: dict[object, float] = {}


class AnswerDelays:
    """Delays from sending a request to the head of its answer, by target."""

    __slots__ = ("_delays_by_id",)

    def __init__(self) -> None:
        """Starts without measurements."""
        self._delays_by_id: dict[str, _TargetDelays] = {}

    @contextlib.contextmanager
    def timed(self, target_id: str) -> Iterator[Callable[[], None]]:
        """Measures the delay of a request's answer.

        Args:
            target_id: the target that the request is sent to.

        Yields:
            A callback for the moment at which the answer begins.
        """
        delays = self._delays_by_id.setdefault(target_id, _TargetDelays())
        request = object()
        sent_at = now_s()
        delays.unanswered[request] = sent_at

        def answered() -> None:
            if delays.unanswered.pop(request, None) is not None:
                now = now_s()
                delays.answers.append((now, now - sent_at))

        try:
            yield answered
        finally:
            if delays.unanswered.pop(request, None) is not None:
                now = now_s()
                delays.abandoned.append((now, now - sent_at))

    def shortest_delay_s(self, target_id: str) -> float:
        """Returns the shortest of a target's recent answer delays, in seconds.

        Without a recent answer, returns the longest that a request has waited
        for one, including abandoned requests, or the shortest of the older
        delays if that is longer; 0 for a target without measurements.
        """
        delays = self._delays_by_id.get(target_id)
        if delays is None:
            return 0.0
        now = now_s()
        answers = _delays_since(delays.answers, now - _WINDOW_S)
        if answers:
            return min(answers)
        oldest_at = next(iter(delays.unanswered.values()), now)
        older = _delays_since(delays.answers, now - _MEMORY_S)
        return max(
            now - oldest_at,
            *_delays_since(delays.abandoned, now - _MEMORY_S),
            min(older, default=0.0),
        )

    def expected_delay_s(self, target_id: str) -> float:
        """Predicts the minimum answer delay of a request sent now, in seconds.

        The fastest recent answer may be two seconds old. If requests wait and
        none has been answered since, their wait describes the present.
        """
        return max(
            self.shortest_delay_s(target_id), self._unanswered_s(target_id)
        )

    def _unanswered_s(self, target_id: str) -> float:
        """Returns for how long requests have waited without any answer."""
        delays = self._delays_by_id.get(target_id)
        if delays is None or not delays.unanswered:
            return 0.0
        last_at = delays.answers[-1][0] if delays.answers else float("-inf")
        return now_s() - max(last_at, next(iter(delays.unanswered.values())))

    def retain_only(self, target_ids: Collection[str]) -> None:
        """Drops the measurements of targets that are gone."""
        for target_id in list(self._delays_by_id):
            if target_id not in target_ids:
                del self._delays_by_id[target_id]


def _delays_since(
    samples: collections.deque[tuple[float, float]], begin: float
) -> list[float]:
    return [took_s for at, took_s in samples if at > begin]
