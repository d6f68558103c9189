"""Log lines and histograms of the requests at an entry."""

from damaskcroft.clock import now_s
from damaskcroft.forwarding._job import EndedBy, Job, Progress
from damaskcroft.forwarding._services import Services
from damaskcroft.http1 import Answer
from damaskcroft.observe import log_event, metrics
from damaskcroft.routing import (
    AnswerDelays,
    Candidate,
    FleetRetryBudget,
    LongWait,
    Placer,
    SilenceWatch,
)

__all__ = ["RequestLog"]


class RequestLog:
    """Logs each step of a request with the entry's view at that moment.

    Args:
        services: targets that could run the request.
        placer: load of the targets.
        delays: response delays of the targets.
        silence: how long targets have been silent.
        retry_budget: the retry budget.
    """

    def __init__(
        self,
        services: Services,
        placer: Placer,
        delays: AnswerDelays,
        silence: SilenceWatch,
        retry_budget: FleetRetryBudget,
    ):
        """Stores the sources of the logged values."""
        self._silence = silence
        self._retry_budget = retry_budget
        self._services = services
        self._placer = placer
        self._delays = delays

    def queued(self, wait: LongWait, reason: str) -> None:
        """Logs a request that has waited in the queue for a long time.

        Args:
            wait: the request, and how many are waiting.
            reason: why it could not be sent yet.
        """
        ticket = wait.ticket
        now = now_s()
        log_event(
            "queued",
            request=ticket.request_id,
            reason=reason,
            service=ticket.service,
            waited_s=now - ticket.arrived_at,
            waiting=wait.waiting,
            left_s=ticket.deadline_at - now,
        )

    def sent(self, job: Job, progress: Progress, target: Candidate) -> None:
        """Logs a request that is about to be sent to a target."""
        log_event(
            "sent",
            request=job.call.request_id,
            target=target.id,
            address=target.address,
            attempt=progress.sent + 1,
            service=job.service,
            left_s=job.left_s,
            fullness=self._placer.fullness(target),
            answer_delay_s=self._delays.expected_delay_s(target.id),
            begins_within_s=self._services.begins_within_s(
                job.service, job.call.model, target.id
            ),
            after_event=progress.last_event_id,
        )

    def failed(
        self, job: Job, progress: Progress, target: Candidate, reason: str
    ) -> None:
        """Logs a failed attempt, also if the caller receives the failure."""
        log_event(
            "attempt_failed",
            request=job.call.request_id,
            target=target.id,
            address=target.address,
            reason=reason,
            left_s=job.left_s,
            fullness=self._placer.fullness(target),
            connect_s=progress.connect_s,
        )

    def unanswered(
        self,
        job: Job,
        progress: Progress,
        answer: Answer,
        ended_by: EndedBy,
        reason: str,
    ) -> None:
        """Logs a caller's connection that ended before a complete answer."""
        metrics.UNANSWERED.labels(
            ended_by.value, reason.partition(":")[0]
        ).inc()
        is_by_caller = ended_by is EndedBy.CALLER
        log_event(
            "caller_left" if is_by_caller else "answer_broken_off",
            request=job.call.request_id,
            ended_by=ended_by.value,
            reason=reason,
            after_s=now_s() - job.call.arrived_at,
            left_s=job.left_s,
            route=job.route.name,
            repeatable=job.is_repeatable,
            streaming=job.route.streaming,
            target=progress.target_id,
            tried=",".join(sorted(progress.excluded)),
            may_have_run=progress.may_have_run,
            events=progress.events,
            attempts=progress.sent,
            uncounted=progress.uncounted,
            max_attempts=job.route.max_attempts,
            budget=self._retry_budget.left(job.service),
            silent_s=self._silence.silent_s(progress.target_id),
            state="stopping" if answer.is_last else "serving",
            configuration=job.configuration,
            configuration_now=self._services.configuration,
            configured_s_ago=self._services.configured_s_ago,
        )

    def answered(self, job: Job, progress: Progress, status: int) -> None:
        """Logs an answer that the caller has received completely."""
        pace = progress.pace
        service = job.service
        metrics.ANSWER_QUEUED_S.labels(service).observe(pace.queued_s)
        if pace.first_s is not None:
            metrics.ANSWER_FIRST_S.labels(service).observe(pace.first_s)
        if job.route.streaming:
            metrics.ANSWER_GAP_S.labels(service).observe(pace.longest_gap_s)
        whole_s = now_s() - job.call.arrived_at
        metrics.ANSWER_WHOLE_S.labels(service).observe(whole_s)
        log_event(
            "answered_late" if pace.misses_objective(job.route) else "answered",
            request=job.call.request_id,
            status=status,
            service=service,
            queued_s=pace.queued_s,
            first_s=pace.first_s,
            longest_gap_s=pace.longest_gap_s,
            whole_s=whole_s,
            targets=progress.sent,
            prompt_tokens=job.call.prompt_tokens,
        )
