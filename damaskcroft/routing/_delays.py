"""How soon targets begin to answer, as one entry sees it.

Written for targets behind a link that has become narrow: what is sent there
arrives late, and nothing but the answers' delay tells so. The quickest of the
last answers is taken, since a target's own work delays some answers, but a
slow link or a slow machine delays all.
"""

import collections
import contextlib
from collections.abc import Callable, Collection, Iterator

from damaskcroft.clock import now_s

__all__ = ["AnswerDelays"]

# Answers of so long ago tell of now: a loaded target gives each of a dozen
# entries at least one answer in this time.
_WINDOW_S = 2.0
# A target that got nothing lately, perhaps since it was slow, is taken to be as
# it was for this long: links and machines stay slow for some seconds.
_MEMORY_S = 10.0
# Answers kept of each target; the quickest of them counts.
_KEPT = 8


class _Seen:
    __slots__ = ("answers", "given_up", "unanswered")

    def __init__(self) -> None:
        self.answers: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=_KEPT)
        )
        # When requests were given up, and how long they had waited in vain.
        self.given_up: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=_KEPT)
        )
        # When requests without an answer were sent, oldest first.
        self.unanswered: dict[object, float] = {}


class AnswerDelays:
    """Delays from sending a request to the head of its answer, by target."""

    __slots__ = ("_seen_by_id",)

    def __init__(self) -> None:
        """Knows of no target yet."""
        self._seen_by_id: dict[str, _Seen] = {}

    @contextlib.contextmanager
    def timed(self, target_id: str) -> Iterator[Callable[[], None]]:
        """Counts a request that is being sent.

        Args:
            target_id: to which target.

        Yields:
            To be called when its answer begins.
        """
        seen = self._seen_by_id.setdefault(target_id, _Seen())
        request = object()
        sent_at = now_s()
        seen.unanswered[request] = sent_at

        def answered() -> None:
            if seen.unanswered.pop(request, None) is not None:
                now = now_s()
                seen.answers.append((now, now - sent_at))

        try:
            yield answered
        finally:
            if seen.unanswered.pop(request, None) is not None:
                now = now_s()
                seen.given_up.append((now, now - sent_at))

    def quickest_s(self, target_id: str) -> float:
        """The quickest of a target's last answers, in seconds.

        Without one, the longest that a request has waited for an answer or
        had when it was given up, or the quickest of older answers if that is
        longer; 0 for a target of which nothing is known.
        """
        seen = self._seen_by_id.get(target_id)
        if seen is None:
            return 0.0
        now = now_s()
        answers = _since(seen.answers, now - _WINDOW_S)
        if answers:
            return min(answers)
        oldest_at = next(iter(seen.unanswered.values()), now)
        older = _since(seen.answers, now - _MEMORY_S)
        return max(
            now - oldest_at,
            *_since(seen.given_up, now - _MEMORY_S),
            min(older, default=0.0),
        )

    def foreseen_s(self, target_id: str) -> float:
        """What a request that is sent now takes at least, in seconds.

        The quickest of the last answers may be of two seconds ago. Where
        requests wait and none was answered since, they tell of now.
        """
        return max(self.quickest_s(target_id), self._silent_s(target_id))

    def _silent_s(self, target_id: str) -> float:
        """For how long no answer has come while one was awaited."""
        seen = self._seen_by_id.get(target_id)
        if seen is None or not seen.unanswered:
            return 0.0
        last_at = seen.answers[-1][0] if seen.answers else float("-inf")
        return now_s() - max(last_at, next(iter(seen.unanswered.values())))

    def forget_all_but(self, target_ids: Collection[str]) -> None:
        """Drops what is known of targets that are gone."""
        for target_id in list(self._seen_by_id):
            if target_id not in target_ids:
                del self._seen_by_id[target_id]


def _since(
    waits: collections.deque[tuple[float, float]], begin: float
) -> list[float]:
    return [took_s for at, took_s in waits if at > begin]
