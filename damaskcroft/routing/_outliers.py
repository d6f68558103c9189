"""Outlier ejection: pauses targets that failed several times in a row."""

from collections.abc import Callable

from damaskcroft.clock import now_s
from damaskcroft.observe import log_event

_FAILURES_TO_EJECT = 3
_INITIAL_PAUSE_S = 0.5
_MAX_PAUSE_S = 30.0


class _Record:
    __slots__ = ("failures", "pause_s", "ejected_until")

    def __init__(self) -> None:
        self.failures = 0
        self.pause_s = _INITIAL_PAUSE_S
        self.ejected_until = float("-inf")


class Outliers:
    """Consecutive failures and ejections, by target id.

    After the pause one request is sent as a probe: its success ends the
    ejection, and its failure doubles the pause.

    Args:
        clock_s: a monotonic clock in seconds.
    """

    def __init__(self, clock_s: Callable[[], float] = now_s):
        """Starts without failures."""
        self._clock_s = clock_s
        self._records_by_id: dict[str, _Record] = {}

    def is_ejected(self, target_id: str) -> bool:
        """Whether a target is ejected now, so that it should get no request."""
        record = self._records_by_id.get(target_id)
        return record is not None and record.ejected_until > self._clock_s()

    def failed(self, target_id: str, *, certain: bool = False) -> None:
        """Records a failure that the target itself caused.

        Args:
            target_id: the target's id.
            certain: whether a single failure ejects the target, as when it
                cannot be reached.
        """
        record = self._records_by_id.setdefault(target_id, _Record())
        record.failures += 1
        if record.failures < _FAILURES_TO_EJECT and not certain:
            return
        record.ejected_until = self._clock_s() + record.pause_s
        log_event("target_aside", target=target_id, pause_s=record.pause_s)
        record.pause_s = min(record.pause_s * 2, _MAX_PAUSE_S)

    def succeeded(self, target_id: str) -> None:
        """Clears the failures of a target, and ends its ejection."""
        record = self._records_by_id.pop(target_id, None)
        if record is not None and record.ejected_until > float("-inf"):
            log_event("target_back", target=target_id)
