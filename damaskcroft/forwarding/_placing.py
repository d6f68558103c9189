"""Where jobs are sent: at first by the queue, then again, or beside."""

from damaskcroft.clock import now_s
from damaskcroft.forwarding._availability import Availability, returns_s
from damaskcroft.forwarding._job import (
    Ending,
    Job,
    Progress,
    Ran,
    Refused,
    given_up,
)
from damaskcroft.forwarding._relay import Sending
from damaskcroft.forwarding._services import Services
from damaskcroft.forwarding._suspects import Suspects
from damaskcroft.limits import RateLimits
from damaskcroft.observe import metrics
from damaskcroft.routing import (
    Candidate,
    Overloaded,
    Placement,
    Placer,
    QueueTicket,
    RequestQueue,
    RetryWindow,
    Slot,
    SlotTaken,
)

__all__ = ["Placing"]


class Placing:
    """Takes slots at targets for jobs.

    Args:
        services: which targets could run a request.
        availability: which of them take one now.
        placer: chooses among them.
        limits: how many requests a second targets take.
        suspects: requests that targets crashed under.
        retry_window: how many attempts may follow a first one.

    Attributes:
        queue: jobs that wait for a slot.
    """

    def __init__(
        self,
        services: Services,
        availability: Availability,
        placer: Placer,
        limits: RateLimits,
        suspects: Suspects,
        retry_window: RetryWindow,
    ):
        """See the class."""
        self._services = services
        self._availability = availability
        self._placer = placer
        self._limits = limits
        self._suspects = suspects
        self._retry_window = retry_window
        self.queue = RequestQueue(
            self._choose,
            lambda candidate, ticket: self._take(
                candidate, ticket.prompt_tokens, is_suspect=ticket.is_suspect
            ),
            lambda ticket: services.may_serve_soon(
                ticket.service, ticket.model
            ),
            lambda ticket, before: availability.closed(
                ticket.service, ticket.model, before
            ),
        )

    async def place(self, job: Job, progress: Progress) -> SlotTaken | Ending:
        """Takes a slot at a target.

        A job that was tried already, or whose answer has begun, waits in the
        queue again only where no target can serve it now and one soon may.
        """
        if progress.sent or progress.unsent or progress.refused:
            return await self._place_again(job, progress)
        outcome = await self.queue.take_slot(self._ticket(job, progress))
        progress.pace.queued_s = now_s() - job.call.arrived_at
        match outcome:
            case SlotTaken():
                return outcome
            case Overloaded(reason=reason, waiting=waiting):
                detail = f"{waiting} waiting"
                reason = self.why_none(reason, job.service)
                return Refused(
                    reason,
                    Ran.NO,
                    detail,
                    outcome.foreseen_s,
                    returns_s(outcome.returns_s),
                )

    def _ticket(self, job: Job, progress: Progress) -> QueueTicket:
        return QueueTicket(
            service=job.service,
            model=job.call.model,
            priority=job.priority,
            arrived_at=job.call.arrived_at,
            goal_s=0 if progress.begun else job.route.latency_goal_ms / 1000,
            deadline_at=job.deadline_at,
            prompt_tokens=job.call.prompt_tokens,
            request_id=job.call.request_id,
            is_suspect=self._suspects.is_suspect(job, progress),
            has_begun=progress.begun,
            tried_ids=frozenset(progress.excluded),
        )

    def why_none(self, reason: str, service: str) -> str:
        """Tells ready targets without the weights that are due from none."""
        if reason == "no_target" and self._services.has_ready(service):
            return "no_weights"
        return reason

    async def _place_again(
        self, job: Job, progress: Progress
    ) -> SlotTaken | Ending:
        prompt_tokens = job.call.prompt_tokens
        is_suspect = self._suspects.is_suspect(job, progress)
        placed = self._placer.choose(
            self._availability.candidates(job.service, job.call.model),
            progress.excluded,
            prompt_tokens,
            is_suspect=is_suspect,
        )
        if placed is None:
            return await self._wait_again(job, progress)
        if not self._may_send_again(progress):
            return given_up("no_retry_budget", progress)
        slot = self._take(
            placed.candidate, prompt_tokens, is_suspect=is_suspect
        )
        return SlotTaken(placed.candidate, slot)

    async def _wait_again(
        self, job: Job, progress: Progress
    ) -> SlotTaken | Ending:
        """Waits until one of a service's targets can serve again.

        All of them may change their weights at once, or have just started.
        """
        kind = (job.service, job.call.model)
        closed = self._availability.closed(*kind, 0)
        if closed is not None:
            return given_up(
                closed.reason, progress, returns_s(closed.returns_s)
            )
        is_any = bool(self._availability.candidates(*kind))
        if is_any or not self._services.may_serve_soon(*kind):
            return given_up("no_target", progress)
        outcome = await self.queue.take_slot(self._ticket(job, progress))
        if isinstance(outcome, Overloaded):
            reason = self.why_none(outcome.reason, job.service)
            returns = returns_s(outcome.returns_s)
            return given_up(reason, progress, returns)
        if not self._may_send_again(progress):
            outcome.slot.give_back()
            return given_up("no_retry_budget", progress)
        return outcome

    def _may_send_again(self, progress: Progress) -> bool:
        """Takes a repeat for a job that was sent; whether one was left."""
        if not progress.sent or self._retry_window.spend():
            return True
        metrics.RETRIES.labels("no_budget").inc()
        return False

    def _take(
        self, candidate: Candidate, prompt_tokens: int, *, is_suspect: bool
    ) -> Slot:
        """Takes a place at a target for a request that is about to be sent."""
        self._limits.sending(candidate.id)
        return self._placer.take(
            candidate, prompt_tokens, is_suspect=is_suspect
        )

    def _choose(self, ticket: QueueTicket) -> Placement | None:
        candidates = self._availability.candidates(ticket.service, ticket.model)
        if ticket.tried_ids:
            untried = [c for c in candidates if c.id not in ticket.tried_ids]
            candidates = untried or candidates
        return self._placer.choose(
            candidates,
            (),
            ticket.prompt_tokens,
            is_suspect=ticket.is_suspect,
        )

    def take_beside(
        self, waiting: Sending, silent_ids: set[str]
    ) -> SlotTaken | None:
        """Takes a slot and a repeat for a second attempt; None without one.

        Args:
            waiting: the attempt.
            silent_ids: targets that have said nothing for long.
        """
        placed = self.choose_beside(waiting, silent_ids)
        if placed is None or not self._retry_window.spend():
            return None
        slot = self._take(
            placed.candidate,
            waiting.job.call.prompt_tokens,
            is_suspect=self._suspects.is_suspect(waiting.job, waiting.progress),
        )
        return SlotTaken(placed.candidate, slot)

    def choose_beside(
        self, waiting: Sending, silent_ids: set[str]
    ) -> Placement | None:
        """Where a second attempt may be of use; None if nowhere.

        Args:
            waiting: the attempt.
            silent_ids: targets that have said nothing for long.
        """
        if waiting.answer.caller_has_ended:
            # It may have left: only what is written to it would tell.
            return None
        if self._retry_window.left < 1:
            return None
        job, progress = waiting.job, waiting.progress
        candidates = self._availability.candidates(job.service, job.call.model)
        excluded_ids = progress.excluded | silent_ids
        if candidates == [waiting.target] and waiting.made.connect_s is None:
            # Connections that were kept may be silent where a new one is not.
            excluded_ids = set()
        return self._placer.choose(
            candidates,
            excluded_ids,
            job.call.prompt_tokens,
            is_suspect=self._suspects.is_suspect(job, progress),
        )
