"""One entry's share of the rate limits that targets announce."""

import math
from collections.abc import Callable, Iterable

from damaskcroft._generated import limits_pb2
from damaskcroft.clock import now_s
from damaskcroft.limits._bucket import TokenBucket
from damaskcroft.limits._header import LimitHeader
from damaskcroft.limits._registry import LimitRegistry
from damaskcroft.limits._shares import MIN_RATE_S, sending_share

__all__ = ["RateLimits"]

# A limited target gets only requests that no other target can accept, unless it
# has received none for this time: only an answer reveals the end of a limit.
_PROBE_INTERVAL_S = 2.0


class _Share:
    """This entry's share of one limit.

    Attributes:
        rate_s: the whole limit in requests a second.
        entries: names of the entries among which it is split.
        share_s: this entry's requests a second; 0 if only others send.
        bucket: token bucket of the share; None without a share.
        sent_at: loop time at which the last request was sent.
    """

    __slots__ = ("bucket", "entries", "rate_s", "sent_at", "share_s")

    def __init__(self) -> None:
        self.rate_s = math.nan
        self.entries: frozenset[str] = frozenset()
        self.share_s = 0.0
        self.bucket: TokenBucket | None = None
        self.sent_at = -math.inf

    def update(
        self, rate_s: float, entries: frozenset[str], share_s: float
    ) -> None:
        self.rate_s, self.entries, self.share_s = rate_s, entries, share_s
        if not share_s:
            self.bucket = None
        elif self.bucket is None:
            self.bucket = TokenBucket(share_s)
        else:
            self.bucket.set_rate(share_s)


class RateLimits:
    """Enforces this entry's share of the rate limits of targets.

    Args:
        registry: the limits that are known in the fleet.
        own_name: name of this entry.
        entries: returns the names of all entries of the fleet.
        publish: merges changed limits into the registry and sends them to the
            fleet.
    """

    def __init__(
        self,
        registry: LimitRegistry,
        own_name: str,
        entries: Callable[[], frozenset[str]],
        publish: Callable[[Iterable[limits_pb2.NamedLimit]], object],
    ):
        """Starts without shares."""
        self._registry = registry
        self._own_name = own_name
        self._entries = entries
        self._publish = publish
        self._shares_by_start: dict[str, _Share] = {}

    @property
    def is_active(self) -> bool:
        """Whether any target has a rate limit; a constant-time check."""
        return self._registry.is_active

    def record_answer(
        self, start_id: str, header: LimitHeader, sent_at: float
    ) -> None:
        """Records the rate limit in an answer's header.

        Args:
            start_id: id of the target's start.
            header: the limit in the answer's header.
            sent_at: loop time at which the request was sent.
        """
        change = self._registry.change(start_id, header, sent_at)
        if change is not None:
            self._publish([change])

    def time_to_send_s(self, start_id: str) -> float:
        """Returns the time until this entry may send a target a request.

        Returns:
            Seconds; 0 if it may now, infinite if only other entries send.
        """
        share = self._current_share(start_id)
        if share is None:
            return 0.0
        return share.bucket.wait_s() if share.bucket else math.inf

    def share_s(self, start_id: str) -> float:
        """Returns this entry's requests a second; infinite without a limit."""
        share = self._current_share(start_id)
        return math.inf if share is None else share.share_s

    def retry_in_s(self, start_id: str) -> float:
        """Predicts the time until a target accepts a request of any entry."""
        time_to_send_s = self.time_to_send_s(start_id)
        if math.isfinite(time_to_send_s):
            return time_to_send_s
        return 1 / max(self._registry.rate_s(start_id), MIN_RATE_S)

    def is_deferred(self, start_id: str) -> bool:
        """Whether other targets with room are preferred to a limited one."""
        if not self.is_active:
            return False
        share = self._current_share(start_id)
        return share is not None and now_s() - share.sent_at < _PROBE_INTERVAL_S

    def is_probe_due(self, start_id: str) -> bool:
        """Whether a limited target is preferred to others with room.

        If this were left to chance, it might get no request, and the end of its
        limit go unnoticed, for a long time.
        """
        if not self.is_active or self._current_share(start_id) is None:
            return False
        return not self.is_deferred(start_id)

    def consume_token(self, start_id: str) -> None:
        """Takes a token for a request that is about to be sent."""
        share = self._current_share(start_id)
        if share is None:
            return
        share.sent_at = now_s()
        if share.bucket is not None:
            share.bucket.take()

    def may_be_dispatched(self, start_id: str, since: float) -> bool:
        """Whether a request may be sent whose slot was taken at a given time.

        If a limit was first received after that, the request has no token yet
        and takes one here.

        Args:
            start_id: id of the target's start.
            since: loop time at which the slot was taken.
        """
        if (
            since >= self._registry.limited_since(start_id)
            or not self.is_active
        ):
            return True
        if self.time_to_send_s(start_id) > 0:
            return False
        self.consume_token(start_id)
        return True

    def retain_only(self, start_ids: Iterable[str]) -> None:
        """Drops the shares of targets that are gone."""
        for start in self._shares_by_start.keys() - set(start_ids):
            del self._shares_by_start[start]

    def _current_share(self, start_id: str) -> _Share | None:
        """Returns this entry's current share; None without a limit."""
        rate_s = self._registry.rate_s(start_id)
        if math.isinf(rate_s):
            return None
        share = self._shares_by_start.setdefault(start_id, _Share())
        entries = self._entries()
        if share.rate_s != rate_s or share.entries != entries:
            own_share_s = sending_share(
                start_id, rate_s, self._own_name, entries
            )
            share.update(rate_s, entries, own_share_s)
        return share
