"""Which entries share a limit of the whole fleet, as one of them knows.

Entries split such a limit without communication, for instance the requests that
a cold target bears, so each has to count all others that send. An entry that
may not know them all sends least: one that has just started sends none, and one
that has lost touch with control keeps to a reserve that the others leave alone.
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
# that is now the other's. Windows of a second are within its margin.
_SETTLING_S = 4.0
# A name that is no longer reported still counts for this time: control nodes
# that restart together report few entries at first.
_RETENTION_S = 10.0
# Maximum number of shares that are kept until the next change.
_MAX_CACHED_SHARES = 4096
# A process that has not run for this time can't tell how old the reports are
# that it reads next.
_MAX_PAUSE_S = 2.0
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
    """Counts the entries among which a limit of the fleet is split.

    Args:
        own_name: name of this entry.
        names: returns the names of the entries that control reports.
        is_in_touch: whether a majority of control has reported recently.
        limit: what is split, for logs and metrics.
        reserve_divisor: one of this many requests is reserved for entries out
            of touch; None if they send none.
        window_s: length of the window in which requests count, if it is longer
            than a second. What an entry has sent by an earlier share, or before
            its restart, has left it before a new share is used.
    """

    def __init__(
        self,
        own_name: str,
        names: Callable[[], frozenset[str]],
        is_in_touch: Callable[[], bool],
        *,
        limit: str = "cold_targets",
        reserve_divisor: int | None = 3,
        window_s: float = 0.0,
    ):
        """Starts without knowledge of others."""
        self._limit = limit
        self._reserve_divisor = reserve_divisor
        self._settling_s = _SETTLING_S + window_s
        self._retention_s = max(_RETENTION_S, window_s)
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
        # Shares of the present names and standing, by key and requests.
        self._shares: dict[tuple[str, int], int] = {}

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

    def share(self, key: str, max_requests: int) -> int:
        """Returns this entry's part of a number of requests.

        Args:
            key: what the requests are for; decides who gets one more.
            max_requests: requests that all entries together may send.
        """
        self.refresh()
        share = self._shares.get((key, max_requests))
        if share is None:
            if len(self._shares) >= _MAX_CACHED_SHARES:
                self._shares.clear()
            share = self._determine_share(key, max_requests)
            self._shares[key, max_requests] = share
        return share

    def _determine_share(self, key: str, max_requests: int) -> int:
        reserve = 0
        if self._reserve_divisor is not None:
            reserve = max_requests // self._reserve_divisor
        match self._standing:
            case Standing.STARTING:
                return 0
            case Standing.OUT_OF_TOUCH:
                part = reserve
            case Standing.SETTLED:
                part = max_requests - reserve
        return whole_share(key, part, self._own_name, self._known)

    def refresh(self) -> None:
        """Follows the reports; to be called also while no request arrives."""
        now = now_s()
        if now - self._refreshed_at < _CACHE_S:
            return
        if now - self._refreshed_at > _MAX_PAUSE_S:
            self._in_touch_since = math.inf
        self._refreshed_at = now
        self._started_at = min(self._started_at, now)
        names = self._names()
        self._heard_since = min(self._heard_since, now) if names else math.inf
        is_in_touch = self._is_in_touch()
        self._in_touch_since = (
            min(self._in_touch_since, now) if is_in_touch else math.inf
        )
        self._update_known(names, now)
        in_touch_s = now - self._in_touch_since
        if in_touch_s >= self._settling_s:
            self._move_to(Standing.SETTLED)
        elif in_touch_s <= 0 and self._standing is Standing.SETTLED:
            self._move_to(Standing.OUT_OF_TOUCH)
        elif now - self._heard_since >= self._settling_s:
            self._move_to(Standing.OUT_OF_TOUCH)

    def _update_known(self, names: frozenset[str], now: float) -> None:
        for name in (self._own_name, *names):
            self._seen_at_by_name[name] = now
        if now - self._in_touch_since >= self._retention_s:
            # Out of touch, no name is dropped: whoever isn't reported may still
            # send.
            self._seen_at_by_name = {
                name: at
                for name, at in self._seen_at_by_name.items()
                if now - at < self._retention_s
            }
        if self._known != self._seen_at_by_name.keys():
            self._known = frozenset(self._seen_at_by_name)
            self._shares.clear()

    def _move_to(self, standing: Standing) -> None:
        if standing is self._standing:
            return
        self._standing = standing
        self._shares.clear()
        log_event(
            "sender_standing",
            limit=self._limit,
            standing=standing.value,
            entries=len(self._known),
        )
        metrics.SENDER_STANDINGS.labels(self._limit, standing.value).inc()
