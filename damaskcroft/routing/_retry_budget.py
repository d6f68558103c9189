"""Retry budget of each service over all entries of the fleet.

The deployment bounds the retries of a service's requests over all entries and
their earlier starts: in any window they are at most a ratio of its requests and
a constant (Beyer et al., "Site Reliability Engineering", 2016, chapters 21 and
22). An entry can't know what others send, nor what it sent before a restart. So
each part of the bound is used in a way that adds up by itself:

- Each request adds the ratio to a token bucket of its service at the entry that
  receives it. A bucket starts empty and holds little, so that retries are paid
  by requests of the same window, whichever entries were restarted in it.
- The constant is split among the entries, and each counts its share in a
  sliding window. A share of 0 is used until an entry knows all others, and no
  retry of its earlier start is in the window. What a full bucket can't hold
  pays for retries that were taken from the constant.

For load where targets fail for some seconds while entries restart. See
docs/design/031.
"""

import collections
import dataclasses
import enum
import math
from collections.abc import Callable

from damaskcroft.clock import now_s
from damaskcroft.observe import log_event, metrics
from damaskcroft.routing._retry_window import drop_before

__all__ = ["FleetRetryBudget", "RetryKind", "SpentRetry"]

# Share of the deployment's bound that is used: a retry arrives later than it is
# sent, by different times.
_USED_SHARE = 0.97


@dataclasses.dataclass(frozen=True, slots=True)
class _BucketSize:
    """How a bucket uses the ratio.

    The bucket holds what requests of the last window did not add. So what it
    holds and what is added meanwhile are at most the ratio of the requests in
    one of two successive windows.

    Attributes:
        added_share: share of the ratio that each request adds.
        min_capacity: tokens that the bucket may hold even without requests;
            they are taken from the constant.
    """

    added_share: float
    min_capacity: int


_PAID_BY_CONSTANT = _BucketSize(0.96, 1)
# For a constant of less than a token for each entry: a service with few
# requests is retried, too.
_PAID_BY_REQUESTS = _BucketSize(0.75, 0)


class RetryKind(enum.Enum):
    """What a retry is for, by what the caller loses without it."""

    # The caller has received a part of the answer.
    RESUMED = "resumed"
    FAILED = "failed"
    # The first attempt may still be answered.
    HEDGE = "hedge"


# Share of what a bucket holds beyond one token that a retry leaves there for
# more valuable ones.
_BUCKET_SHARE_LEFT = {
    RetryKind.RESUMED: 0.0,
    RetryKind.FAILED: 0.5,
    RetryKind.HEDGE: 0.75,
}
# Share of the entry's part of the constant that hedges leave for others.
_CONSTANT_SHARE_LEFT_BY_HEDGES = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class SpentRetry:
    """A retry that was taken from the budget.

    Attributes:
        service: the service of the request.
        spent_at: loop time.
        is_constant: whether it was taken from the share of the constant.
    """

    service: str
    spent_at: float
    is_constant: bool


class _ServiceBudget:
    """Retries of one service at one entry.

    Attributes:
        sent: retries since the last report.
        refused: retries refused since then for want of budget.
    """

    __slots__ = ("_constant_sent_at", "_ratio", "_requests_at", "_tokens",
                 "_window_s", "refused", "sent")  # fmt: skip

    def __init__(self, ratio: float, window_s: float):
        self._ratio = ratio
        self._window_s = window_s
        self._tokens = 0.0
        # Loop times in ascending order.
        self._requests_at: collections.deque[float] = collections.deque()
        self._constant_sent_at: collections.deque[float] = collections.deque()
        self.sent = 0
        self.refused = 0

    def count_request(self, size: _BucketSize) -> None:
        tokens = self.tokens(size) + self._ratio * size.added_share
        self._requests_at.append(now_s())
        capacity = self._capacity(size)
        if tokens > capacity and tokens >= 1 and self._constant_sent_at:
            # Pays for a retry that was taken from the constant, since a full
            # bucket would lose the token.
            self._constant_sent_at.pop()
            tokens -= 1
        self._tokens = min(tokens, capacity)

    def tokens(self, size: _BucketSize) -> float:
        """Tokens in the bucket."""
        drop_before(self._requests_at, now_s() - self._window_s)
        self._tokens = min(self._tokens, self._capacity(size))
        return self._tokens

    def tokens_for(self, kind: RetryKind, size: _BucketSize) -> float:
        """Tokens for retries of one kind; below 0 if others come first."""
        tokens = self.tokens(size)
        beyond_one = max(0.0, self._capacity(size) - 1)
        return tokens - _BUCKET_SHARE_LEFT[kind] * beyond_one

    def take_token(self) -> None:
        self._tokens -= 1

    def return_token(self, size: _BucketSize) -> None:
        self._tokens += 1
        self.tokens(size)

    def constant_sent(self) -> int:
        """Retries in the window that were taken from the constant."""
        drop_before(self._constant_sent_at, now_s() - self._window_s)
        return len(self._constant_sent_at)

    def add_constant(self, sent_at: float) -> None:
        self._constant_sent_at.append(sent_at)

    def remove_constant(self, sent_at: float) -> None:
        # It may have left the window, or been paid for, meanwhile.
        if sent_at in self._constant_sent_at:
            self._constant_sent_at.remove(sent_at)

    def _capacity(self, size: _BucketSize) -> float:
        held = self._ratio * (1 - size.added_share) * len(self._requests_at)
        return size.min_capacity + held


class FleetRetryBudget:
    """This entry's part of the fleet's retry budget, by service.

    Args:
        ratio: retries allowed for each request of a service.
        extra: retries of a service allowed in a window beyond the ratio, over
            all entries.
        window_s: length of the window.
        share: returns this entry's whole-numbered part of a number for all
            entries, by service; parts of all entries together are at most that
            number in any window.
        count_entries: number of entries that this one knows, itself included.
    """

    __slots__ = ("_budgets_by_service", "_count_entries", "_extra", "_ratio",
                 "_reported_at", "_share", "_started_at",
                 "_window_s")  # fmt: skip

    def __init__(
        self,
        ratio: float,
        extra: float,
        window_s: float,
        share: Callable[[str, int], int],
        count_entries: Callable[[], int],
    ):
        """Starts without requests."""
        self._ratio = ratio * _USED_SHARE
        self._extra = int(extra * _USED_SHARE)
        self._window_s = window_s
        self._share = share
        self._count_entries = count_entries
        self._budgets_by_service: dict[str, _ServiceBudget] = {}
        # Loop time of the first use.
        self._started_at = math.inf
        self._reported_at = -math.inf

    def count_request(self, service: str) -> None:
        """Counts one request of a caller."""
        self._budget(service).count_request(self._bucket_size)

    def spend(
        self, service: str, kind: RetryKind = RetryKind.FAILED
    ) -> SpentRetry | None:
        """Takes one retry from the budget; None if none is left."""
        budget = self._budget(service)
        has_token = self._tokens(budget, kind) >= 1
        if not has_token and self._constant_left(service, budget, kind) < 1:
            budget.refused += 1
            metrics.RETRIES_BEYOND_BUDGET.labels(service, kind.value).inc()
            return None
        spent = SpentRetry(service, now_s(), is_constant=not has_token)
        if has_token:
            budget.take_token()
        else:
            budget.add_constant(spent.spent_at)
        budget.sent += 1
        source = "constant" if spent.is_constant else "ratio"
        metrics.RETRIES_IN_BUDGET.labels(service, source).inc()
        return spent

    def give_back(self, spent: SpentRetry) -> None:
        """Returns a retry to the budget, because it was not sent."""
        budget = self._budget(spent.service)
        budget.sent -= 1
        if spent.is_constant:
            budget.remove_constant(spent.spent_at)
        else:
            budget.return_token(self._bucket_size)

    def left(self, service: str, kind: RetryKind = RetryKind.FAILED) -> float:
        """Retries of a kind that are left now."""
        budget = self._budget(service)
        constant = self._constant_left(service, budget, kind)
        return max(0.0, self._tokens(budget, kind)) + constant

    def report(self) -> None:
        """Logs the retries of each service once in a window, if any."""
        now = now_s()
        self._started_at = min(self._started_at, now)
        for service in self._budgets_by_service:
            metrics.RETRY_CONSTANT_SHARE.labels(service).set(
                self._constant_share(service)
            )
        if now - self._reported_at < self._window_s:
            return
        self._reported_at = now
        for service, budget in self._budgets_by_service.items():
            if budget.sent or budget.refused:
                self._log(service, budget)

    def _log(self, service: str, budget: _ServiceBudget) -> None:
        log_event(
            "retry_budget",
            service=service,
            sent=budget.sent,
            refused=budget.refused,
            left=self.left(service),
            constant=self._constant_share(service),
            entries=self._count_entries(),
            age_s=round(now_s() - self._started_at, 3),
        )
        budget.sent = 0
        budget.refused = 0

    def _budget(self, service: str) -> _ServiceBudget:
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = _ServiceBudget(self._ratio, self._window_s)
            self._budgets_by_service[service] = budget
        return budget

    def _tokens(self, budget: _ServiceBudget, kind: RetryKind) -> float:
        """Tokens for one kind; below 0 if others have the first claim."""
        return budget.tokens_for(kind, self._bucket_size)

    def _constant_left(
        self, service: str, budget: _ServiceBudget, kind: RetryKind
    ) -> int:
        share = self._constant_share(service)
        if kind is RetryKind.HEDGE:
            share -= math.ceil(share * _CONSTANT_SHARE_LEFT_BY_HEDGES)
        return max(0, share - budget.constant_sent())

    def _constant_share(self, service: str) -> int:
        """Retries in a window that this entry may take from the constant."""
        in_buckets = self._count_entries() * self._bucket_size.min_capacity
        return self._share(service, self._extra - in_buckets)

    @property
    def _bucket_size(self) -> _BucketSize:
        if not self._ratio or self._count_entries() > self._extra:
            return _PAID_BY_REQUESTS
        return _PAID_BY_CONSTANT
