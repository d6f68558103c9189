"""Hedges of requests whose targets are slow to answer (see `HedgePolicy`)."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterator

from damaskcroft.clock import now_s
from damaskcroft.forwarding._allocator import SlotAllocator
from damaskcroft.forwarding._hedge import HedgeCause
from damaskcroft.forwarding._hedge_policy import HedgePolicy
from damaskcroft.forwarding._job import Ending
from damaskcroft.forwarding._relay import Dispatch
from damaskcroft.forwarding._suspects import Suspects
from damaskcroft.observe import log_event, metrics
from damaskcroft.routing import FleetRetryBudget, RetryKind, SlotTaken

__all__ = ["SlowHedges"]


class SlowHedges:
    """Begins hedges of slow requests, and counts how they end.

    Args:
        policy: their delay and limit.
        allocator: allocates the slots.
        suspects: suspect requests.
        retry_budget: the retry budget.
        has_attempt_left: whether a request has attempts and time left.
        send: makes the hedged attempt; it returns None if the target has no
            usable answer.
    """

    __slots__ = (
        "_allocator",
        "_has_attempt_left",
        "_policy",
        "_retry_budget",
        "_send",
        "_suspects",
    )

    def __init__(
        self,
        policy: HedgePolicy,
        allocator: SlotAllocator,
        suspects: Suspects,
        retry_budget: FleetRetryBudget,
        has_attempt_left: Callable[[Dispatch], bool],
        send: Callable[[Dispatch, SlotTaken], Awaitable[Ending | None]],
    ):
        """Stores the components; nothing is scheduled yet."""
        self._policy = policy
        self._allocator = allocator
        self._suspects = suspects
        self._retry_budget = retry_budget
        self._has_attempt_left = has_attempt_left
        self._send = send

    @contextlib.contextmanager
    def scheduled(self, dispatch: Dispatch) -> Iterator[None]:
        """Hedges an attempt that is still unanswered within the block."""
        timer = self._schedule(dispatch)
        try:
            yield
        finally:
            if timer is not None:
                timer.cancel()

    def why_not(self, dispatch: Dispatch) -> str | None:
        """Why a slow request is not hedged now; None if it may be."""
        job = dispatch.job
        if self._suspects.shares_suspicion(job, dispatch.progress):
            return "suspect"
        if not self._has_attempt_left(dispatch):
            return "no_attempt_left"
        if not self._policy.is_within_limit(job.service):
            return "limit"
        if self._retry_budget.left(job.service, RetryKind.HEDGE) < 1:
            return "no_retry_budget"
        if self._allocator.queue.has_waiting(job.service):
            return "queue"
        placement = self._allocator.choose_other_target(dispatch)
        if placement is None:
            return "no_target"
        return None if placement.has_room else "full"

    def _schedule(self, dispatch: Dispatch) -> asyncio.TimerHandle | None:
        job, progress = dispatch.job, dispatch.progress
        if not self._policy.is_on or not job.is_repeatable:
            return None
        is_first = progress.sent == 1 and not dispatch.hedge.is_second
        if not is_first or progress.begun:
            return None
        delay_s = self._policy.delay_s(job.service)
        if delay_s is None or delay_s >= job.left_s:
            return None
        loop = asyncio.get_running_loop()
        return loop.call_at(
            dispatch.sent_at + delay_s, self._begin_if_allowed, dispatch
        )

    def _begin_if_allowed(self, dispatch: Dispatch) -> None:
        progress = dispatch.progress
        has_output = progress.begun or progress.pace.first_s is not None
        if has_output or not dispatch.hedge.may_begin:
            return
        why_not = self.why_not(dispatch)
        if why_not is None:
            dispatch.hedge.begin(self._run(dispatch), HedgeCause.SLOW)
            return
        metrics.HEDGES_NOT_ALLOWED.labels(why_not).inc()
        log_event(
            "hedge_not_allowed",
            request=dispatch.job.call.request_id,
            reason=why_not,
            service=dispatch.job.service,
            after_s=now_s() - dispatch.sent_at,
        )

    async def _run(self, dispatch: Dispatch) -> Ending | None:
        """Makes a hedged attempt; None if it is not sent or not answered."""
        # Hedges that began in the same round may have used what was left.
        if self.why_not(dispatch) is not None:
            return None
        allocated = self._allocator.take_slow_hedge_slot(dispatch)
        if allocated is None:
            return None
        self._policy.spend(dispatch.job.service)
        metrics.HEDGES.labels("begun").inc()
        log_event(
            "hedge_begun",
            request=dispatch.job.call.request_id,
            service=dispatch.job.service,
            slow_target=dispatch.target.id,
            target=allocated.candidate.id,
            after_s=now_s() - dispatch.sent_at,
        )
        outcome = "ended"
        try:
            ending = await self._send(dispatch, allocated)
            outcome = "failed" if ending is None else "won"
            return ending
        except asyncio.CancelledError:
            if dispatch.hedge.has_taken_over:
                outcome = "lost"
            raise
        finally:
            metrics.HEDGES.labels(outcome).inc()
            log_event(
                "hedge_ended",
                request=dispatch.job.call.request_id,
                target=allocated.candidate.id,
                outcome=outcome,
                after_s=now_s() - dispatch.sent_at,
            )
