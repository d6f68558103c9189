"""What one entry may send to targets that named limits."""

import math
from collections.abc import Callable, Iterable

from damaskcroft._generated import limits_pb2
from damaskcroft.clock import now_s
from damaskcroft.limits._book import LimitBook
from damaskcroft.limits._bucket import TokenBucket
from damaskcroft.limits._named import LimitWord
from damaskcroft.limits._shares import LEAST_RATE_S, sending_share

__all__ = ["RateLimits"]

# A limited target is left to callers whom no other target could take, unless
# it has had nothing for so long: a limit's end shows in answers only.
_SPARED_FOR_S = 2.0


class _Share:
    """This entry's share of one limit.

    Attributes:
        rate_s: the limit that it is a share of.
        entries: among whom it is split.
        share_s: requests a second; 0 where others send.
        bucket: what may leave now; None without a share.
        sent_at: when the last request left.
    """

    __slots__ = ("bucket", "entries", "rate_s", "sent_at", "share_s")

    def __init__(self) -> None:
        self.rate_s = math.nan
        self.entries: frozenset[str] = frozenset()
        self.share_s = 0.0
        self.bucket: TokenBucket | None = None
        self.sent_at = -math.inf

    def split(
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
    """Keeps this entry's part of the limits that targets have named.

    Args:
        book: what the fleet knows.
        own_name: this entry's.
        entries: names of all entries of the fleet.
        tell: tells the fleet, and the book, what has changed.
    """

    def __init__(
        self,
        book: LimitBook,
        own_name: str,
        entries: Callable[[], frozenset[str]],
        tell: Callable[[Iterable[limits_pb2.NamedLimit]], object],
    ):
        """See the class."""
        self._book = book
        self._own_name = own_name
        self._entries = entries
        self._tell = tell
        self._shares_by_start: dict[str, _Share] = {}

    @property
    def is_any(self) -> bool:
        """Whether any target has named a limit; costs nothing to ask."""
        return self._book.is_any

    def answered(self, start_id: str, word: LimitWord, sent_at: float) -> None:
        """Takes what an answer says of its target's limit.

        Args:
            start_id: the target's start.
            word: what it says.
            sent_at: loop time at which the request was sent.
        """
        change = self._book.change(start_id, word, sent_at)
        if change is not None:
            self._tell([change])

    def waits_s(self, start_id: str) -> float:
        """Until a target may be sent a request from here.

        Returns:
            Seconds; 0 if it may be now, infinite where other entries send.
        """
        share = self._share(start_id)
        if share is None:
            return 0.0
        return share.bucket.wait_s() if share.bucket else math.inf

    def share_s(self, start_id: str) -> float:
        """Requests a second from here; infinite without a limit."""
        share = self._share(start_id)
        return math.inf if share is None else share.share_s

    def returns_s(self, start_id: str) -> float:
        """When a target should have room for a caller, at whichever entry."""
        waits_s = self.waits_s(start_id)
        if math.isfinite(waits_s):
            return waits_s
        return 1 / max(self._book.rate_s(start_id), LEAST_RATE_S)

    def is_spared(self, start_id: str) -> bool:
        """Whether other targets with room go first."""
        if not self.is_any:
            return False
        share = self._share(start_id)
        return share is not None and now_s() - share.sent_at < _SPARED_FOR_S

    def is_due(self, start_id: str) -> bool:
        """Whether a limited target goes before others that have room.

        Left to chance, nobody might ask it for long after its limit ended.
        """
        if not self.is_any or self._share(start_id) is None:
            return False
        return not self.is_spared(start_id)

    def sending(self, start_id: str) -> None:
        """Takes a token for a request that is about to be sent."""
        share = self._share(start_id)
        if share is None:
            return
        share.sent_at = now_s()
        if share.bucket is not None:
            share.bucket.take()

    def may_still_be_sent(self, start_id: str, since: float) -> bool:
        """Whether a request may be sent that took its place at some time.

        A limit may have come to be known meanwhile: it has no token then, and
        takes one here.
        """
        if since >= self._book.limited_since(start_id) or not self.is_any:
            return True
        if self.waits_s(start_id) > 0:
            return False
        self.sending(start_id)
        return True

    def forget_all_but(self, start_ids: Iterable[str]) -> None:
        """Drops what is kept of targets that are gone."""
        for start in self._shares_by_start.keys() - set(start_ids):
            del self._shares_by_start[start]

    def _share(self, start_id: str) -> _Share | None:
        """This entry's share as it is now; None without a limit."""
        rate_s = self._book.rate_s(start_id)
        if math.isinf(rate_s):
            return None
        share = self._shares_by_start.setdefault(start_id, _Share())
        entries = self._entries()
        if share.rate_s != rate_s or share.entries != entries:
            part_s = sending_share(start_id, rate_s, self._own_name, entries)
            share.split(rate_s, entries, part_s)
        return share
