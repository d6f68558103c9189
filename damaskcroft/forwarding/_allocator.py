"""Allocation of targets' slots to first attempts, retries and hedges."""

from damaskcroft.clock import now_s
from damaskcroft.forwarding._availability import (
    Availability,
    spread_retry_after_s,
)
from damaskcroft.forwarding._job import (
    Ending,
    Job,
    Progress,
    Ran,
    Refused,
    failed_ending,
)
from damaskcroft.forwarding._relay import Dispatch
from damaskcroft.forwarding._services import Services
from damaskcroft.forwarding._suspects import Suspects
from damaskcroft.limits import ColdTargets, RateLimits
from damaskcroft.observe import metrics
from damaskcroft.routing import (
    Candidate,
    FleetRetryBudget,
    Overloaded,
    Placement,
    Placer,
    QueueTicket,
    RequestQueue,
    RetryKind,
    Slot,
    SlotTaken,
)

__all__ = ["SlotAllocator"]


class SlotAllocator:
    """Allocates slots at targets to jobs.

    Args:
        services: targets that could run a request.
        availability: those of them that accept one now.
        placer: selects one of them.
        limits: rate limits of targets.
        cold_targets: limits of cold targets.
        suspects: suspect requests.
        retry_budget: the retry budget.

    Attributes:
        queue: jobs that wait for a slot.
    """

    def __init__(
        self,
        services: Services,
        availability: Availability,
        placer: Placer,
        limits: RateLimits,
        cold_targets: ColdTargets,
        suspects: Suspects,
        retry_budget: FleetRetryBudget,
    ):
        """Creates the queue; nothing waits in it yet."""
        self._services = services
        self._availability = availability
        self._placer = placer
        self._limits = limits
        self._cold_targets = cold_targets
        self._suspects = suspects
        self._retry_budget = retry_budget
        self.queue = RequestQueue(
            self._choose,
            lambda candidate, ticket: self._take(
                candidate, ticket.prompt_tokens, is_suspect=ticket.is_suspect
            ),
            lambda ticket: services.may_serve_soon(
                ticket.service, ticket.model, ticket.allowed_regions
            ),
            lambda ticket, before: availability.closed(
                ticket.service, ticket.model, before, ticket.allowed_regions
            ),
        )

    async def allocate(
        self, job: Job, progress: Progress
    ) -> SlotTaken | Ending:
        """Allocates a slot at a target.

        A retry waits in the queue again only where no target can serve it now
        and one may be able to soon.
        """
        if progress.sent or progress.unsent or progress.refused:
            return await self._allocate_retry(job, progress)
        outcome = await self.queue.take_slot(self._ticket(job, progress))
        progress.pace.queued_s = now_s() - job.call.arrived_at
        match outcome:
            case SlotTaken():
                return outcome
            case Overloaded(reason=reason, waiting=waiting):
                detail = f"{waiting} waiting"
                reason = self.refine_reason(
                    reason, job.service, self._services.regions_now(job)
                )
                return Refused(
                    reason,
                    Ran.NO,
                    detail,
                    outcome.expected_wait_s,
                    spread_retry_after_s(outcome.retry_in_s),
                )

    def _ticket(self, job: Job, progress: Progress) -> QueueTicket:
        return QueueTicket(
            service=job.service,
            model=job.call.model,
            priority=job.priority,
            arrived_at=job.call.arrived_at,
            latency_objective_s=0
            if progress.begun
            else job.route.latency_goal_ms / 1000,
            deadline_at=job.deadline_at,
            prompt_tokens=job.call.prompt_tokens,
            request_id=job.call.request_id,
            is_suspect=self._suspects.is_suspect(job, progress),
            has_begun=progress.begun,
            tried_ids=frozenset(progress.excluded),
            customer=job.customer,
            allowed_regions=self._services.regions_now(job),
        )

    def refine_reason(
        self,
        reason: str,
        service: str,
        allowed_regions: frozenset[str] | None,
    ) -> str:
        """Replaces "no_target" by the reason why ready targets don't count."""
        if reason != "no_target":
            return reason
        if self._services.is_evacuated(service, allowed_regions):
            return "evacuated"
        if self._services.has_ready(service, allowed_regions):
            return "no_weights"
        is_elsewhere = self._services.has_ready(service)
        return "not_in_allowed_regions" if is_elsewhere else reason

    async def _allocate_retry(
        self, job: Job, progress: Progress
    ) -> SlotTaken | Ending:
        prompt_tokens = job.call.prompt_tokens
        is_suspect = self._suspects.is_suspect(job, progress)
        placed = self._placer.choose(
            self._availability.candidates(
                job.service, job.call.model, self._services.regions_now(job)
            ),
            progress.excluded,
            prompt_tokens,
            is_suspect=is_suspect,
        )
        if placed is None:
            return await self._wait_for_retry(job, progress)
        if not self._spend_retry_budget(job, progress):
            return failed_ending("no_retry_budget", progress)
        slot = self._take(
            placed.candidate, prompt_tokens, is_suspect=is_suspect
        )
        return SlotTaken(placed.candidate, slot)

    async def _wait_for_retry(
        self, job: Job, progress: Progress
    ) -> SlotTaken | Ending:
        """Waits until a target of the service can serve the retry.

        All of them may be changing their weights, or may have just started.
        """
        service, model, regions = (
            job.service,
            job.call.model,
            self._services.regions_now(job),
        )
        closed = self._availability.closed(service, model, 0, regions)
        if closed is not None:
            return failed_ending(
                closed.reason, progress, spread_retry_after_s(closed.retry_in_s)
            )
        has_candidates = bool(
            self._availability.candidates(service, model, regions)
        )
        if has_candidates or not self._services.may_serve_soon(
            service, model, regions
        ):
            reason = "no_target"
            if not has_candidates:
                reason = self.refine_reason(reason, service, regions)
            return failed_ending(reason, progress)
        outcome = await self.queue.take_slot(self._ticket(job, progress))
        if isinstance(outcome, Overloaded):
            reason = self.refine_reason(outcome.reason, service, regions)
            retry_after_s = spread_retry_after_s(outcome.retry_in_s)
            return failed_ending(reason, progress, retry_after_s)
        if not self._spend_retry_budget(job, progress):
            outcome.slot.give_back()
            return failed_ending("no_retry_budget", progress)
        return outcome

    def _spend_retry_budget(
        self,
        job: Job,
        progress: Progress,
        kind: RetryKind = RetryKind.FAILED,
    ) -> bool:
        """Spends the retry budget for a job that was sent before.

        Returns:
            Whether the job may be sent.
        """
        if not progress.sent:
            return True
        if progress.begun:
            kind = RetryKind.RESUMED
        spent = self._retry_budget.spend(job.service, kind)
        if spent is None:
            metrics.RETRIES.labels("no_budget").inc()
            return False
        progress.retries.append(spent)
        return True

    def _take(
        self, candidate: Candidate, prompt_tokens: int, *, is_suspect: bool
    ) -> Slot:
        """Takes a slot at a target for a request that is about to be sent."""
        self._limits.consume_token(candidate.id)
        self._cold_targets.count_request(candidate.id)
        return self._placer.take(
            candidate, prompt_tokens, is_suspect=is_suspect
        )

    def _choose(self, ticket: QueueTicket) -> Placement | None:
        candidates = self._availability.candidates(
            ticket.service, ticket.model, ticket.allowed_regions
        )
        if ticket.tried_ids:
            untried = [c for c in candidates if c.id not in ticket.tried_ids]
            candidates = untried or candidates
        return self._placer.choose(
            candidates,
            (),
            ticket.prompt_tokens,
            is_suspect=ticket.is_suspect,
        )

    def take_hedge_slot(
        self, waiting: Dispatch, silent_ids: set[str]
    ) -> SlotTaken | None:
        """Takes a slot and a retry for a hedged attempt.

        Args:
            waiting: the attempt that is to be hedged.
            silent_ids: ids of the silent targets.

        Returns:
            None if there is no suitable target or no retry budget.
        """
        return self._take_hedge_slot(
            waiting,
            self.choose_hedge_target(waiting, silent_ids),
            RetryKind.FAILED,
        )

    def take_slow_hedge_slot(self, slow: Dispatch) -> SlotTaken | None:
        """Takes a slot and a retry for a hedge of an attempt that is slow.

        Returns:
            None if there is no suitable target or no retry budget.
        """
        return self._take_hedge_slot(
            slow, self.choose_other_target(slow), RetryKind.HEDGE
        )

    def choose_other_target(self, slow: Dispatch) -> Placement | None:
        """Selects another target for a hedge; None if there is none."""
        if slow.answer.caller_has_half_closed:
            return None
        job, progress = slow.job, slow.progress
        placed = self._placer.choose(
            self._availability.candidates(
                job.service, job.call.model, self._services.regions_now(job)
            ),
            progress.excluded,
            job.call.prompt_tokens,
        )
        if placed is None or self._placer.is_ejected(placed.candidate):
            return None
        return placed

    def _take_hedge_slot(
        self, waiting: Dispatch, placed: Placement | None, kind: RetryKind
    ) -> SlotTaken | None:
        job, progress = waiting.job, waiting.progress
        if placed is None or not self._spend_retry_budget(job, progress, kind):
            return None
        slot = self._take(
            placed.candidate,
            job.call.prompt_tokens,
            is_suspect=self._suspects.is_suspect(job, progress),
        )
        return SlotTaken(placed.candidate, slot)

    def choose_hedge_target(
        self, waiting: Dispatch, silent_ids: set[str]
    ) -> Placement | None:
        """Selects a target for a hedged attempt; None if there is none.

        Args:
            waiting: the attempt that is to be hedged.
            silent_ids: ids of the silent targets.
        """
        if waiting.answer.caller_has_half_closed:
            # The caller may have disconnected or only closed its sending side;
            # only a write to it would show which.
            return None
        job, progress = waiting.job, waiting.progress
        if self._retry_budget.left(job.service) < 1:
            return None
        candidates = self._availability.candidates(
            job.service, job.call.model, self._services.regions_now(job)
        )
        excluded_ids = progress.excluded | silent_ids
        if candidates == [waiting.target] and waiting.attempt.connect_s is None:
            # A reused connection may be dead while a new one to the same
            # target works.
            excluded_ids = set()
        return self._placer.choose(
            candidates,
            excluded_ids,
            job.call.prompt_tokens,
            is_suspect=self._suspects.is_suspect(job, progress),
        )
