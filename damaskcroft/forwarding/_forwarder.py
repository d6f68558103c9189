"""Forwards callers' requests to targets: attempts, retries and hedges."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

from damaskcroft.clock import now_s
from damaskcroft.forwarding._allocator import SlotAllocator
from damaskcroft.forwarding._attempt import (
    Answered,
    Lost,
    NotRun,
    NotSent,
    open_attempt,
)
from damaskcroft.forwarding._availability import Availability
from damaskcroft.forwarding._call import AnswerFacts, AttemptMetadata, Wire
from damaskcroft.forwarding._hedge import OUTRUN, Hedge, hedged
from damaskcroft.forwarding._hedge_policy import HedgePolicy
from damaskcroft.forwarding._job import (
    DEADLINE,
    Delivered,
    EndedBy,
    Ending,
    Interrupted,
    Job,
    Progress,
    failed_ending,
)
from damaskcroft.forwarding._relay import (
    Dispatch,
    Relay,
    why_not_substitute,
)
from damaskcroft.forwarding._request_log import RequestLog
from damaskcroft.forwarding._running import RunningAttempts
from damaskcroft.forwarding._services import Services
from damaskcroft.forwarding._slow_hedges import SlowHedges
from damaskcroft.forwarding._suspects import (
    QUARANTINED,
    Suspects,
)
from damaskcroft.http1 import (
    Answer,
    ChannelLostError,
    ConnectionPool,
    Place,
)
from damaskcroft.limits import ColdTargets, Named, RateLimits
from damaskcroft.observe import metrics
from damaskcroft.routing import (
    AnswerDelays,
    BackPressure,
    Candidate,
    FleetRetryBudget,
    Outliers,
    Placer,
    SilenceWatch,
    SlotTaken,
)

__all__ = ["Forwarder"]

# Maximum number of targets to which connecting times out or a request is
# withheld, before the request fails.
_MAX_UNSENT = 4
# The same for targets that refuse connections. An attempt at one costs almost
# nothing, and there are many when a rack has failed: targets that have just
# lost all their requests appear the least loaded.
_MAX_REFUSED = 64
# Minimum remaining time for which a request is still sent.
_MIN_LEFT_S = 0.03
# Interval of the checks for silent targets; an eighth of the time after which
# a target counts as silent.
_CHECK_INTERVAL_S = 0.1
# Reasons for not sending a request that are no failures of the target.
_TOO_LATE = "too_late_for_its_weights"
_BACK_OFF = "target_wants_none"
_RATE_LIMITED = "rate_limited"
_COLD = "cold"
_EVACUATED = "evacuated"
_NOT_ALLOWED_THERE = "not_allowed_in_region"
_CALLER_LEFT = "caller_left"


class Forwarder:
    """Sends jobs to targets and relays the answers."""

    def __init__(
        self,
        wire: Wire,
        services: Services,
        placer: Placer,
        outliers: Outliers,
        connections: ConnectionPool,
        retry_budget: FleetRetryBudget,
        silence: SilenceWatch,
        delays: AnswerDelays,
        back_pressure: BackPressure,
        limits: RateLimits,
        cold_targets: ColdTargets,
        suspects: Suspects,
        on_replaced: Callable[[str], None],
        hedge_share: float = 0.0,
    ):
        """Sets up forwarding with the components of the entry.

        Args:
            wire: encoding of headers.
            services: targets that could run a request.
            placer: selects one of them.
            outliers: outlier ejection of targets that failed.
            connections: pool of connections to targets.
            retry_budget: the retry budget.
            silence: detects silent targets.
            delays: response delays of targets.
            back_pressure: back-off and leaving that targets have announced.
            limits: rate limits of targets.
            cold_targets: limits of cold targets.
            suspects: suspect requests.
            on_replaced: called with the id of a target at whose address another
                target answers.
            hedge_share: hedges of slow requests allowed for each request of a
                service; 0 for none.
        """
        self._suspects = suspects
        self._back_pressure = back_pressure
        self._limits = limits
        self._cold_targets = cold_targets
        self._on_replaced = on_replaced
        self._delays = delays
        self._silence = silence
        self._running = RunningAttempts(services, suspects)
        self._silent_ids: set[str] = set()
        # Deadlines of running jobs, which `end_by` may bring forward.
        self._deadlines: set[asyncio.Timeout] = set()
        self._allocator = SlotAllocator(
            services,
            Availability(services, back_pressure, limits, cold_targets),
            placer,
            limits,
            cold_targets,
            suspects,
            retry_budget,
        )
        self._queue = self._allocator.queue
        self._hedge_policy = HedgePolicy(hedge_share)
        self._slow_hedges = SlowHedges(
            self._hedge_policy,
            self._allocator,
            suspects,
            retry_budget,
            lambda slow: self._final_ending(slow.job, slow.progress) is None,
            lambda slow, allocated: self._try_one(
                slow.job, slow.answer, slow.progress, allocated, slow.hedge
            ),
        )
        self._relay = Relay(wire, self._queue.serve, self._record_first_output)
        self._wire = wire
        self._services = services
        self._placer = placer
        self._outliers = outliers
        self._connections = connections
        self._retry_budget = retry_budget
        self._log = RequestLog(services, placer, delays, silence, retry_budget)

    async def run(self) -> None:
        """Periodically checks silent targets, the queue and suspicions."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            self._queue.serve()
            self._suspects.check_crashes()
            for wait in self._queue.new_long_waits():
                reason = self._allocator.refine_reason(
                    wait.reason,
                    wait.ticket.service,
                    wait.ticket.allowed_regions,
                )
                self._log.queued(wait, reason)
            self._check_silent_targets(set(self._silence.silent_ids()))
            self._running.abort_lost(self._silent_ids)

    def _check_silent_targets(self, silent_ids: set[str]) -> None:
        """Ejects silent targets until they respond, and hedges requests."""
        for target_id in self._silent_ids - silent_ids:
            if self._silence.has_work(target_id):
                self._outliers.succeeded(target_id)
        for target_id in silent_ids - self._silent_ids:
            self._connections.drop(target_id)
        self._silent_ids = silent_ids
        for target_id in silent_ids:
            if not self._outliers.is_ejected(target_id):
                self._outliers.failed(target_id, certain=True)
        self._hedge(silent_ids)

    async def forward(self, job: Job, answer: Answer) -> Ending:
        """Relays a target's answer to the caller.

        Returns:
            How the job ended: a refusal is left for the caller of this method
            to send.

        Raises:
            ChannelLostError: the caller has disconnected.
        """
        self._retry_budget.count_request(job.service)
        self._hedge_policy.count_request(job.service)
        progress = Progress(job.call)
        try:
            async with self._with_deadline(job.deadline_at) as deadline:
                ending = await self._try_targets(job, answer, progress)
        except TimeoutError:
            if not deadline.expired():
                raise
            ending = failed_ending(DEADLINE, progress)
        except (asyncio.CancelledError, ChannelLostError):
            self._log_disconnect(job, progress, answer)
            raise
        match ending:
            case Delivered(status=status):
                self._log.answered(job, progress, status)
            case Interrupted(reason=reason, ended_by=ended_by):
                self._log.unanswered(job, progress, answer, ended_by, reason)
        return ending

    def end_by(self, ends_at: float) -> None:
        """Brings the deadlines of running jobs forward to a loop time."""
        for deadline in self._deadlines:
            until = deadline.when()
            if until is None or until > ends_at:
                deadline.reschedule(ends_at)

    @contextlib.asynccontextmanager
    async def _with_deadline(
        self, deadline_at: float
    ) -> AsyncIterator[asyncio.Timeout]:
        """Raises TimeoutError at a deadline that `end_by` can bring forward."""
        async with asyncio.timeout_at(deadline_at) as deadline:
            self._deadlines.add(deadline)
            try:
                yield deadline
            finally:
                self._deadlines.discard(deadline)

    def _log_disconnect(
        self, job: Job, progress: Progress, answer: Answer
    ) -> None:
        """Logs a connection that was closed by the caller or by our stop."""
        if answer.caller_has_half_closed:
            ended_by, reason = EndedBy.CALLER, "caller_left"
        else:
            ended_by, reason = EndedBy.ENTRY, "entry_ended"
        self._log.unanswered(job, progress, answer, ended_by, reason)

    async def _try_targets(
        self, job: Job, answer: Answer, progress: Progress
    ) -> Ending:
        while True:
            async with self._suspects.one_at_a_time(job, progress):
                ended = await self._try_next(job, answer, progress)
            if ended is not None:
                return ended

    async def _try_next(
        self, job: Job, answer: Answer, progress: Progress
    ) -> Ending | None:
        """Makes the next attempt; None if another one may follow."""
        if _must_assume_caller_left(answer):
            raise ChannelLostError("the caller has closed its side")
        ending = self._final_ending(job, progress)
        if ending is not None:
            return ending
        try:
            async with self._running.waiting(job, progress):
                allocated = await self._allocator.allocate(job, progress)
        except TimeoutError:
            # It is quarantined by now and refused next.
            return None
        if not isinstance(allocated, SlotTaken):
            return allocated
        return await self._try_one(job, answer, progress, allocated)

    def _hedge(self, silent_ids: set[str]) -> None:
        """Starts hedged attempts for requests at silent targets."""
        for waiting in self._running.attempts_to_hedge(silent_ids):
            if self._final_ending(waiting.job, waiting.progress) is not None:
                continue
            if (
                self._allocator.choose_hedge_target(waiting, silent_ids)
                is not None
            ):
                waiting.hedge.begin(self._try_hedge(waiting, silent_ids))

    async def _try_hedge(
        self, waiting: Dispatch, silent_ids: set[str]
    ) -> Ending | None:
        """Makes a hedged attempt; None if it is not sent or not answered."""
        allocated = self._allocator.take_hedge_slot(waiting, silent_ids)
        if allocated is None:
            return None
        return await self._try_one(
            waiting.job,
            waiting.answer,
            waiting.progress,
            allocated,
            waiting.hedge,
        )

    def _final_ending(self, job: Job, progress: Progress) -> Ending | None:
        quarantined_s = self._suspects.quarantined_s(job, progress)
        if quarantined_s:
            return self._suspects.refusal(job, progress, quarantined_s)
        if progress.unsent >= _MAX_UNSENT or progress.refused >= _MAX_REFUSED:
            return failed_ending("unreachable", progress)
        if not job.has_attempt_after(progress):
            return failed_ending("attempts_used", progress)
        if job.left_s < _MIN_LEFT_S:
            return failed_ending(DEADLINE, progress)
        return None

    async def _try_one(
        self,
        job: Job,
        answer: Answer,
        progress: Progress,
        allocated: SlotTaken,
        primary: Hedge | None = None,
    ) -> Ending | None:
        """Makes one attempt, which may be hedged while it runs.

        Args:
            job: the job that is sent.
            answer: the answer to the caller.
            progress: state of the job across its attempts.
            allocated: the allocated target and slot.
            primary: hedge of the attempt at a silent target, which continues
                until this attempt is answered.

        Returns:
            None if another target may be tried.
        """
        with hedged(primary) as hedge:
            ending = await self._send(job, answer, progress, allocated, hedge)
            if ending is None:
                return await hedge.ending()
            return ending

    async def _send(
        self,
        job: Job,
        answer: Answer,
        progress: Progress,
        allocated: SlotTaken,
        hedge: Hedge,
    ) -> Ending | None:
        """Sends one attempt; None if another target may be tried."""
        target = allocated.candidate
        allocated_at = now_s()
        progress.excluded.add(target.id)
        progress.target_id = target.id
        passing = AttemptMetadata(
            target_id=target.target_id,
            customer=job.customer,
            deadline_s=job.left_s,
            priority=None,
            last_event_id=progress.last_event_id,
            weights_version=0,
        )
        self._log.sent(job, progress, target)
        self._suspects.record_dispatch(job, progress)
        place = Place(target.id, target.address)
        progress.runs += 1
        progress.sent += 1
        self._silence.sent(target.id)
        try:
            async with open_attempt(
                self._wire,
                self._connections,
                place,
                job.call,
                passing,
                lambda: self._silence.record_data(target.id),
                lambda connect_s: self._why_not_send(
                    job,
                    answer,
                    progress,
                    target,
                    allocated_at,
                    connect_s,
                    hedge,
                ),
                known_end=lambda: self._suspects.known_end(job, target),
                new_connection=hedge.needs_new_connection,
            ) as opened:
                hedge.attempt = opened
                dispatch = Dispatch(
                    job,
                    answer,
                    progress,
                    target,
                    allocated.slot,
                    opened,
                    hedge,
                    allocated_at,
                )
                with (
                    self._running.registered(dispatch),
                    self._slow_hedges.scheduled(dispatch),
                ):
                    outcome = await self._run_attempt(dispatch)
                progress.connect_s = opened.connect_s
        except asyncio.CancelledError:
            if not opened.is_sent:
                self._undo_attempt(progress)
            raise
        finally:
            allocated.slot.give_back()
            self._silence.ended(target.id)
            self._queue.serve()
        if isinstance(outcome, NotRun):
            progress.runs -= 1
        if isinstance(outcome, Lost):
            connecting_at = (
                allocated_at if progress.connect_s is not None else None
            )
            await self._suspects.record_loss(
                job, progress, target, outcome, connecting_at
            )
        return self._evaluate(job, progress, target, outcome)

    async def _run_attempt(
        self, dispatch: Dispatch
    ) -> "NotSent | NotRun | Lost | Ending":
        sent_at = now_s()
        with self._delays.timed(dispatch.target.id) as answered:
            begun = await dispatch.attempt.begin()
            if not isinstance(begun, NotSent | Lost):
                answered()
                self._record_facts(dispatch.target, begun.facts, sent_at)
        if not isinstance(begun, Answered):
            return begun
        if dispatch.hedge.has_open_primary:
            why_not = why_not_substitute(dispatch, begun)
            if why_not is not None:
                return Lost(why_not)
        return await self._relay.relay(dispatch, begun)

    def _evaluate(
        self,
        job: Job,
        progress: Progress,
        target: Candidate,
        outcome: "NotSent | NotRun | Lost | Ending",
    ) -> Ending | None:
        match outcome:
            case NotSent(reason=reason, unreachable=unreachable):
                self._undo_attempt(progress)
                progress.refused += outcome.at_once
                progress.unsent += not outcome.at_once
                progress.last_failure = outcome
                if unreachable:
                    self._outliers.failed(target.id, certain=True)
            case NotRun(status=status, facts=facts):
                progress.last_failure = outcome
                reason = f"not_run_{status}"
                progress.uncounted += facts.misdirected
                if facts.misdirected and self._is_unexpected_refusal(
                    job, target
                ):
                    self._outliers.failed(target.id, certain=True)
                    self._on_replaced(target.target_id)
            case Lost(reason=reason):
                progress.last_failure = outcome
                if reason != OUTRUN:
                    self._outliers.failed(target.id)
            case _:
                self._outliers.succeeded(target.id)
                if isinstance(outcome, Delivered) and outcome.is_failure:
                    reason = f"status_{outcome.status}"
                    self._log.failed(job, progress, target, reason)
                elif isinstance(outcome, Delivered):
                    self._suspects.record_answer(
                        job, progress, target, outcome.ended_by_close
                    )
                return outcome
        self._log.failed(job, progress, target, reason)
        if reason == OUTRUN:
            return None
        metrics.RETRIES.labels(reason.partition(":")[0]).inc()
        if isinstance(outcome, Lost) and not job.is_repeatable:
            return failed_ending("lost", progress)
        return None

    def _undo_attempt(self, progress: Progress) -> None:
        """Reverts the counters of an attempt that sent no byte."""
        progress.runs -= 1
        progress.sent -= 1
        if progress.retries:
            self._retry_budget.give_back(progress.retries.pop())

    # --- Decisions and records of one attempt --------------------------------

    def _why_not_send(
        self,
        job: Job,
        answer: Answer,
        progress: Progress,
        target: Candidate,
        allocated_at: float,
        connect_s: float,
        hedge: Hedge,
    ) -> str | None:
        """Why a request must not be sent after connecting; None if it may."""
        if _must_assume_caller_left(answer):
            return _CALLER_LEFT
        if self._suspects.quarantined_s(job, progress):
            return QUARANTINED
        if not self._back_pressure.accepts_requests(target.id):
            return _BACK_OFF
        if self._services.is_in_evacuated_domain(target):
            return _EVACUATED
        if not self._services.allows_region(job, target):
            return _NOT_ALLOWED_THERE
        if not self._limits.may_be_dispatched(target.id, allocated_at):
            return _RATE_LIMITED
        if not self._services.may_begin(
            job.service, job.call.model, target.id, connect_s
        ):
            return _TOO_LATE
        if not self._cold_targets.may_be_dispatched(target.id, allocated_at):
            return _COLD
        if self._suspects.is_suspect(job, progress):
            # Copies of a suspect request must never run concurrently.
            hedge.take_over()
        return None

    def _is_unexpected_refusal(self, job: Job, target: Candidate) -> bool:
        """Whether a misdirected request reveals a different target.

        A target that lacks the weights refuses a request in the same way, so
        only one that should hold them counts.
        """
        return self._services.is_expected_to_hold(
            job.service, job.call.model, target.id
        )

    def _record_first_output(self, dispatch: Dispatch, took_s: float) -> None:
        """Records how long a target took to begin its answer."""
        job = dispatch.job
        self._queue.record_first_answer(job.service, took_s)
        self._hedge_policy.record_first_answer(
            job.service, now_s() - dispatch.hedge.first_sent_at
        )
        if job.call.prompt_tokens:
            objective_s = job.route.latency_goal_ms / 1000
            self._placer.record_first_answer(took_s, objective_s)

    def _record_facts(
        self, target: Candidate, facts: AnswerFacts, sent_at: float
    ) -> None:
        """Records what a target reports in the head of an answer."""
        # An answer without a rate limit lifts it only if the target itself
        # sealed that answer: a refusal at its address may come from another
        # process.
        is_limit_known = facts.sealed or isinstance(facts.limit, Named)
        if is_limit_known and not facts.misdirected:
            self._limits.record_answer(target.id, facts.limit, sent_at)
        if facts.leaving:
            self._back_pressure.start_draining(target.id)
        if facts.rest_s:
            self._back_pressure.start_back_off(target.id, facts.rest_s)
        elif not facts.not_run:
            self._back_pressure.record_accepted(target.id)
        if facts.load is not None:
            requests = facts.load.running + facts.load.waiting
            self._placer.record_load(target.id, requests, facts.load.pace)


def _must_assume_caller_left(answer: Answer) -> bool:
    """Whether an answer that has begun can't be shown to have a reader.

    A caller that has closed its side may still read. Before an answer begins,
    interim answers show whether it does; afterwards only a part of the answer
    would, and a target would have to work for it first.
    """
    return answer.begun and answer.caller_has_half_closed
