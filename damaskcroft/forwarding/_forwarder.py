"""Carries a caller's request to a target and the answer back, once."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

from damaskcroft.clock import now_s
from damaskcroft.forwarding._attempt import (
    Answered,
    Lost,
    NotRun,
    NotSent,
    attempt,
)
from damaskcroft.forwarding._availability import Availability
from damaskcroft.forwarding._call import AnswerFacts, Passing, Wire
from damaskcroft.forwarding._hedge import Hedge, hedged
from damaskcroft.forwarding._job import (
    DEADLINE,
    BrokenOff,
    EndedBy,
    Ending,
    Gave,
    Job,
    Progress,
    given_up,
)
from damaskcroft.forwarding._placing import Placing
from damaskcroft.forwarding._relay import (
    Relay,
    Sending,
    why_not_instead,
)
from damaskcroft.forwarding._request_log import RequestLog
from damaskcroft.forwarding._running import Running
from damaskcroft.forwarding._services import Services
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
from damaskcroft.limits import Named, RateLimits
from damaskcroft.observe import metrics
from damaskcroft.routing import (
    AnswerDelays,
    BackPressure,
    Candidate,
    Outliers,
    Placer,
    RetryWindow,
    SilenceWatch,
    SlotTaken,
)

__all__ = ["Forwarder"]

# Targets that could not be connected to in time, before a request is given up.
_MAX_UNSENT = 4
# Those that refuse connections cost next to nothing, and many do where a rack
# has ended: targets that have just lost all their work look emptiest.
_MAX_REFUSED = 64
# Least time that is worth sending a request for.
_MIN_LEFT_S = 0.03
# How often silent targets are looked for; an eighth of what counts as silent.
_LOOK_EVERY_S = 0.1
# Why an attempt wasn't sent, or was ended, that says nothing of its target.
_TOO_LATE = "too_late_for_its_weights"
_LEFT_ALONE = "target_wants_none"
_RATE_LIMITED = "rate_limited"


class Forwarder:
    """Sends jobs to targets."""

    def __init__(
        self,
        wire: Wire,
        services: Services,
        placer: Placer,
        outliers: Outliers,
        connections: ConnectionPool,
        retry_window: RetryWindow,
        silence: SilenceWatch,
        delays: AnswerDelays,
        back_pressure: BackPressure,
        limits: RateLimits,
        suspects: Suspects,
        doubt: Callable[[str], None],
    ):
        """Uses the entry's parts; see their classes.

        Args:
            wire: how requests are written down.
            services: which targets could run a request.
            placer: chooses among them.
            outliers: targets that failed.
            connections: to targets.
            retry_window: how many attempts may follow a first one.
            silence: targets that say nothing.
            delays: how soon targets answer.
            back_pressure: what targets ask for in their answers.
            limits: how many requests a second targets take.
            suspects: requests that targets crashed under.
            doubt: told the id of a target at whose address another answers.
        """
        self._suspects = suspects
        self._back_pressure = back_pressure
        self._limits = limits
        self._doubt = doubt
        self._delays = delays
        self._silence = silence
        self._running = Running(services, suspects)
        self._silent_ids: set[str] = set()
        # Of jobs that are under way.
        self._bounds: set[asyncio.Timeout] = set()
        self._placing = Placing(
            services,
            Availability(services, back_pressure, limits),
            placer,
            limits,
            suspects,
            retry_window,
        )
        self._queue = self._placing.queue
        self._relay = Relay(wire, self._queue.serve, self._note_first)
        self._wire = wire
        self._services = services
        self._placer = placer
        self._outliers = outliers
        self._connections = connections
        self._retry_window = retry_window
        self._log = RequestLog(services, placer, delays, silence, retry_window)

    async def run(self) -> None:
        """Looks at silent targets and at who waits in the queue."""
        while True:
            await asyncio.sleep(_LOOK_EVERY_S)
            self._queue.serve()
            self._suspects.look()
            for wait in self._queue.newly_long():
                reason = self._placing.why_none(
                    wait.reason, wait.ticket.service
                )
                self._log.queued(wait, reason)
            self._look_at_silence(set(self._silence.silent_ids()))
            self._running.give_up_lost(self._silent_ids)

    def _look_at_silence(self, silent_ids: set[str]) -> None:
        """Puts silent targets aside until they are heard, and hedges."""
        for target_id in self._silent_ids - silent_ids:
            if self._silence.has_work(target_id):
                self._outliers.succeeded(target_id)
        for target_id in silent_ids - self._silent_ids:
            self._connections.drop(target_id)
        self._silent_ids = silent_ids
        for target_id in silent_ids:
            if not self._outliers.is_aside(target_id):
                self._outliers.failed(target_id, certain=True)
        self._hedge(silent_ids)

    async def forward(self, job: Job, answer: Answer) -> Ending:
        """Gives a target's answer to the caller, or says why there is none.

        Raises:
            ChannelLostError: the caller has gone.
        """
        self._retry_window.earn()
        progress = Progress(job.call)
        try:
            async with self._bounded(job.deadline_at) as bound:
                ending = await self._try_targets(job, answer, progress)
        except TimeoutError:
            if not bound.expired():
                raise
            ending = given_up(DEADLINE, progress)
        except (asyncio.CancelledError, ChannelLostError):
            self._note_cut(job, progress, answer)
            raise
        match ending:
            case Gave(status=status):
                self._log.answered(job, progress, status)
            case BrokenOff(reason=reason, ended_by=ended_by):
                self._log.unanswered(job, progress, answer, ended_by, reason)
        return ending

    def end_by(self, ends_at: float) -> None:
        """Gives each job that is under way its final answer by a loop time."""
        for bound in self._bounds:
            until = bound.when()
            if until is None or until > ends_at:
                bound.reschedule(ends_at)

    @contextlib.asynccontextmanager
    async def _bounded(
        self, deadline_at: float
    ) -> AsyncIterator[asyncio.Timeout]:
        """Ends the block by TimeoutError at a deadline, or by `end_by`."""
        async with asyncio.timeout_at(deadline_at) as bound:
            self._bounds.add(bound)
            try:
                yield bound
            finally:
                self._bounds.discard(bound)

    def _note_cut(self, job: Job, progress: Progress, answer: Answer) -> None:
        """The caller's connection is gone, by the caller or by our own end."""
        if answer.caller_has_ended:
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
        """Places a job and tries it once; None if it may be tried again."""
        ending = self._why_stop(job, progress)
        if ending is not None:
            return ending
        taken = await self._placing.place(job, progress)
        if not isinstance(taken, SlotTaken):
            return taken
        return await self._try_one(job, answer, progress, taken)

    def _hedge(self, silent_ids: set[str]) -> None:
        """Sends what waits in vain to other targets, beside it."""
        for waiting in self._running.to_hedge(silent_ids):
            if self._why_stop(waiting.job, waiting.progress) is not None:
                continue
            if self._placing.choose_beside(waiting, silent_ids) is not None:
                waiting.hedge.begin(self._try_beside(waiting, silent_ids))

    async def _try_beside(
        self, waiting: Sending, silent_ids: set[str]
    ) -> Ending | None:
        """A second attempt; None if there is none, or it gives no answer."""
        taken = self._placing.take_beside(waiting, silent_ids)
        if taken is None:
            return None
        return await self._try_one(
            waiting.job,
            waiting.answer,
            waiting.progress,
            taken,
            waiting.hedge,
        )

    def _why_stop(self, job: Job, progress: Progress) -> Ending | None:
        quarantined_s = self._suspects.quarantined_s(job, progress)
        if quarantined_s:
            return self._suspects.refused(job, progress, quarantined_s)
        if progress.unsent >= _MAX_UNSENT or progress.refused >= _MAX_REFUSED:
            return given_up("unreachable", progress)
        if not job.has_attempt_after(progress):
            return given_up("attempts_used", progress)
        if job.left_s < _MIN_LEFT_S:
            return given_up(DEADLINE, progress)
        return None

    async def _try_one(
        self,
        job: Job,
        answer: Answer,
        progress: Progress,
        taken: SlotTaken,
        instead_of: Hedge | None = None,
    ) -> Ending | None:
        """One attempt, and whatever begins beside it.

        Args:
            job: what is sent.
            answer: where the caller's answer goes.
            progress: what became of the job so far.
            taken: where it is sent.
            instead_of: the attempt at a silent target that goes on until this
                one is answered.

        Returns:
            None if another target may be tried.
        """
        with hedged(instead_of) as hedge:
            ending = await self._send(job, answer, progress, taken, hedge)
            if ending is None:
                return await hedge.ending()
            return ending

    async def _send(
        self,
        job: Job,
        answer: Answer,
        progress: Progress,
        taken: SlotTaken,
        hedge: Hedge,
    ) -> Ending | None:
        """One attempt; None if another target may be tried."""
        target = taken.candidate
        taken_at = now_s()
        progress.excluded.add(target.id)
        progress.target_id = target.id
        passing = Passing(
            target_id=target.target_id,
            customer=job.customer,
            deadline_s=job.left_s,
            priority=None,
            last_event_id=progress.last_event_id,
            weights_version=0,
        )
        self._log.sent(job, progress, target)
        self._suspects.sending(job, progress)
        place = Place(target.id, target.address)
        progress.runs += 1
        progress.sent += 1
        self._silence.sent(target.id)
        try:
            async with attempt(
                self._wire,
                self._connections,
                place,
                job.call,
                passing,
                lambda: self._silence.heard(target.id),
                lambda connect_s: self._why_not_send(
                    job, progress, target, taken_at, connect_s, hedge
                ),
                anew=hedge.is_second,
            ) as made:
                hedge.attempt = made
                sending = Sending(
                    job,
                    answer,
                    progress,
                    target,
                    taken.slot,
                    made,
                    hedge,
                    taken_at,
                )
                with self._running.watched(sending):
                    outcome = await self._run(sending)
                progress.connect_s = made.connect_s
        except asyncio.CancelledError:
            if not made.is_sent:
                self._note_unsent(progress)
            raise
        finally:
            taken.slot.give_back()
            self._silence.ended(target.id)
            self._queue.serve()
        if isinstance(outcome, NotRun):
            progress.runs -= 1
        if isinstance(outcome, Lost):
            connecting_at = taken_at if progress.connect_s is not None else None
            await self._suspects.lost(
                job, progress, target, outcome, connecting_at
            )
        return self._judge(job, progress, target, outcome)

    async def _run(
        self, sending: Sending
    ) -> "NotSent | NotRun | Lost | Ending":
        sent_at = now_s()
        with self._delays.timed(sending.target.id) as answered:
            begun = await sending.made.begin()
            if not isinstance(begun, NotSent | Lost):
                answered()
                self._note_facts(sending.target, begun.facts, sent_at)
        if not isinstance(begun, Answered):
            return begun
        if sending.hedge.stands_beside:
            why_not = why_not_instead(sending, begun)
            if why_not is not None:
                return Lost(why_not)
        return await self._relay.give(sending, begun)

    def _judge(
        self,
        job: Job,
        progress: Progress,
        target: Candidate,
        outcome: "NotSent | NotRun | Lost | Ending",
    ) -> Ending | None:
        match outcome:
            case NotSent(reason=reason, unreachable=unreachable):
                self._note_unsent(progress)
                progress.refused += outcome.at_once
                progress.unsent += not outcome.at_once
                progress.last = outcome
                if unreachable:
                    self._outliers.failed(target.id, certain=True)
            case NotRun(status=status, facts=facts):
                progress.last = outcome
                reason = f"not_run_{status}"
                progress.uncounted += facts.misdirected
                if facts.misdirected and self._is_surprise(job, target):
                    self._outliers.failed(target.id, certain=True)
                    self._doubt(target.target_id)
            case Lost(reason=reason):
                progress.last = outcome
                self._outliers.failed(target.id)
            case _:
                self._outliers.succeeded(target.id)
                if isinstance(outcome, Gave) and outcome.is_failure:
                    reason = f"status_{outcome.status}"
                    self._log.failed(job, progress, target, reason)
                elif isinstance(outcome, Gave):
                    self._suspects.answered(job, progress)
                return outcome
        self._log.failed(job, progress, target, reason)
        metrics.RETRIES.labels(reason.partition(":")[0]).inc()
        if isinstance(outcome, Lost) and not job.is_repeatable:
            return given_up("lost", progress)
        return None

    def _note_unsent(self, progress: Progress) -> None:
        """Takes back what was noted of an attempt that has sent nothing."""
        progress.runs -= 1
        progress.sent -= 1
        if progress.sent:
            self._retry_window.give_back()

    # --- Small questions -----------------------------------------------------

    def _why_not_send(
        self,
        job: Job,
        progress: Progress,
        target: Candidate,
        taken_at: float,
        connect_s: float,
        hedge: Hedge,
    ) -> str | None:
        """Why a request must not go to a target after all; None if it may."""
        if self._suspects.quarantined_s(job, progress):
            return QUARANTINED
        if not self._back_pressure.may_be_sent(target.id):
            return _LEFT_ALONE
        if not self._limits.may_still_be_sent(target.id, taken_at):
            return _RATE_LIMITED
        if not self._services.may_begin(
            job.service, job.call.model, target.id, connect_s
        ):
            return _TOO_LATE
        if self._suspects.is_suspect(job, progress):
            # Copies of what crashes targets never run beside each other.
            hedge.takes_over()
        return None

    def _is_surprise(self, job: Job, target: Candidate) -> bool:
        """Whether a target said to be another one, and not to lack weights.

        Both are told in the same way.
        """
        return self._services.should_hold(
            job.service, job.call.model, target.id
        )

    def _note_first(self, sending: Sending, took_s: float) -> None:
        """Takes how long a target needed to begin its answer."""
        job = sending.job
        self._queue.first_answered(job.service, took_s)
        if job.call.prompt_tokens:
            goal_s = job.route.latency_goal_ms / 1000
            self._placer.first_answered(took_s, goal_s)

    def _note_facts(
        self, target: Candidate, facts: AnswerFacts, sent_at: float
    ) -> None:
        """Takes what a target says of itself in the head of an answer."""
        # That a limit has ended needs the word of the target itself, not of
        # whoever refused a request at its address.
        tells_limit = facts.sealed or isinstance(facts.limit, Named)
        if tells_limit and not facts.misdirected:
            self._limits.answered(target.id, facts.limit, sent_at)
        if facts.leaving:
            self._back_pressure.leaving(target.id)
        if facts.rest_s:
            self._back_pressure.rest(target.id, facts.rest_s)
        elif not facts.not_run:
            self._back_pressure.answered(target.id)
        if facts.load is not None:
            requests = facts.load.running + facts.load.waiting
            self._placer.told(target.id, requests)
