"""Which entries may send to a cold target, as one of them knows.

Entries split the requests that a cold target bears without communication, so
each has to count all others that send. An entry that may not know them all
sends least: one that has just started sends none, and one that has lost touch
with control keeps to a reserve that the others leave alone.
"""

import enum
import math
from collections.abc import Callable

from damaskcroft.clock import now_s
from damaskcroft.limits._shares import whole_share
from damaskcroft.observe import log_event, metrics

__all__ = ["Senders", "Standing"]

# Time in touch with a majority of control until an entry knows all others and
# they know it. An entry that misses the news of another's start loses touch
# within this time (`FleetView.hears_majority`), and stops sending the share
# that is now the other's.
_SETTLING_S = 4.0
# A name that is no longer reported still counts for this time: control nodes
# that restart together report few entries at first.
_RETENTION_S = 10.0
# One of this many requests that a cold target bears is reserved for entries
# out of touch.
_RESERVE_DIVISOR = 3
# An entry that has just started expects the reports of a majority of control
# within this time.
_FIRST_REPORTS_S = 2.0
# Time for which the names are not collected again.
_CACHE_S = 0.1


class Standing(enum.Enum):
    """What an entry knows of the others."""

    # It has just started: others may not know it, nor it them.
    STARTING = "starting"
    # It has no majority of control, or has regained it just now: others may
    # have joined without its knowledge.
    OUT_OF_TOUCH = "out_of_touch"
    SETTLED = "settled"


class Senders:
    """Counts the entries among which requests to cold targets are split.

    Args:
        own_name: name of this entry.
        names: returns the names of the entries that control reports.
        is_in_touch: whether a majority of control has reported recently.
    """

    def __init__(
        self,
        own_name: str,
        names: Callable[[], frozenset[str]],
        is_in_touch: Callable[[], bool],
    ):
        """Starts without knowledge of others."""
        self._own_name = own_name
        self._names = names
        # Loop time of the first use.
        self._started_at = math.inf
        self._is_in_touch = is_in_touch
        self._seen_at_by_name: dict[str, float] = {}
        # Loop times; infinite while out of touch, or without any report.
        self._in_touch_since = math.inf
        self._heard_since = math.inf
        self._standing = Standing.STARTING
        self._refreshed_at = -math.inf
        self._known: frozenset[str] = frozenset({own_name})

    @property
    def known(self) -> frozenset[str]:
        """Names of all entries that may send, with this one."""
        self.refresh()
        return self._known

    @property
    def is_in_touch(self) -> bool:
        """Whether this entry learns that targets become cold."""
        self.refresh()
        return math.isfinite(self._in_touch_since)

    @property
    def standing(self) -> Standing:
        """What this entry knows of the others."""
        self.refresh()
        return self._standing

    @property
    def awaits_reports(self) -> bool:
        """Whether control's first reports are due at any moment."""
        if self.is_in_touch:
            return False
        return now_s() - self._started_at < _FIRST_REPORTS_S

    def share(self, start_id: str, max_requests: int) -> int:
        """Returns this entry's part of the requests to a cold target.

        Args:
            start_id: id of the target's start.
            max_requests: requests that all entries together may send.
        """
        reserve = max_requests // _RESERVE_DIVISOR
        match self.standing:
            case Standing.STARTING:
                return 0
            case Standing.OUT_OF_TOUCH:
                part = reserve
            case Standing.SETTLED:
                part = max_requests - reserve
        return whole_share(start_id, part, self._own_name, self._known)

    def refresh(self) -> None:
        """Follows the reports; to be called also while no request arrives."""
        now = now_s()
        if now - self._refreshed_at < _CACHE_S:
            return
        self._refreshed_at = now
        self._started_at = min(self._started_at, now)
        names = self._names()
        self._heard_since = min(self._heard_since, now) if names else math.inf
        is_in_touch = self._is_in_touch()
        self._in_touch_since = (
            min(self._in_touch_since, now) if is_in_touch else math.inf
        )
        self._update_known(names, now)
        if now - self._in_touch_since >= _SETTLING_S:
            self._move_to(Standing.SETTLED)
        elif not is_in_touch and self._standing is Standing.SETTLED:
            self._move_to(Standing.OUT_OF_TOUCH)
        elif now - self._heard_since >= _SETTLING_S:
            self._move_to(Standing.OUT_OF_TOUCH)

    def _update_known(self, names: frozenset[str], now: float) -> None:
        for name in (self._own_name, *names):
            self._seen_at_by_name[name] = now
        if now - self._in_touch_since >= _RETENTION_S:
            # Out of touch, no name is dropped: whoever isn't reported may still
            # send.
            self._seen_at_by_name = {
                name: at
                for name, at in self._seen_at_by_name.items()
                if now - at < _RETENTION_S
            }
        if self._known != self._seen_at_by_name.keys():
            self._known = frozenset(self._seen_at_by_name)

    def _move_to(self, standing: Standing) -> None:
        if standing is self._standing:
            return
        self._standing = standing
        log_event(
            "sender_standing", standing=standing.value, entries=len(self._known)
        )
        metrics.SENDER_STANDINGS.labels(standing.value).inc()
