"""Targets that failed several times in a row are put aside for a while."""

from collections.abc import Callable

from damaskcroft.clock import now_s
from damaskcroft.observe import log_event

_FAILURES_TO_EJECT = 3
_FIRST_PAUSE_S = 0.5
_MAX_PAUSE_S = 30.0


class _Record:
    __slots__ = ("failures", "pause_s", "until")

    def __init__(self) -> None:
        self.failures = 0
        self.pause_s = _FIRST_PAUSE_S
        self.until = float("-inf")


class Outliers:
    """Failures by target id.

    After the pause one request is let through as a probe: its success clears
    the target, its failure doubles the pause.

    Args:
        clock_s: a monotonic clock in seconds.
    """

    def __init__(self, clock_s: Callable[[], float] = now_s):
        """See the class."""
        self._clock_s = clock_s
        self._records_by_id: dict[str, _Record] = {}

    def is_aside(self, target_id: str) -> bool:
        """Whether a target should get nothing now."""
        record = self._records_by_id.get(target_id)
        return record is not None and record.until > self._clock_s()

    def failed(self, target_id: str, *, certain: bool = False) -> None:
        """Takes a failure that speaks against the target itself.

        Args:
            target_id: which.
            certain: one failure is enough, as when it can't be reached.
        """
        record = self._records_by_id.setdefault(target_id, _Record())
        record.failures += 1
        if record.failures < _FAILURES_TO_EJECT and not certain:
            return
        record.until = self._clock_s() + record.pause_s
        log_event("target_aside", target=target_id, pause_s=record.pause_s)
        record.pause_s = min(record.pause_s * 2, _MAX_PAUSE_S)

    def succeeded(self, target_id: str) -> None:
        """Clears a target."""
        record = self._records_by_id.pop(target_id, None)
        if record is not None and record.until > float("-inf"):
            log_event("target_back", target=target_id)
