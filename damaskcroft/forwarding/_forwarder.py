"""Carries a caller's request to a target and the answer back, once."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable, Iterator

from damaskcroft.forwarding._attempt import (
    Answered,
    Attempt,
    Lost,
    NotRun,
    NotSent,
    attempt,
)
from damaskcroft.forwarding._call import AnswerFacts, Passing, Wire
from damaskcroft.forwarding._events import EventSplitter
from damaskcroft.forwarding._job import (
    BrokenOff,
    Ending,
    Gave,
    Job,
    Progress,
    Ran,
    Refused,
    given_up,
)
from damaskcroft.forwarding._services import Services
from damaskcroft.http1 import (
    Answer,
    ConnectionPool,
    CutShortError,
    Head,
    Place,
)
from damaskcroft.observe import log_event, metrics
from damaskcroft.routing import (
    AnswerDelays,
    Candidate,
    Line,
    LineTicket,
    Outliers,
    Overloaded,
    Placement,
    Placer,
    RetryWindow,
    SilenceWatch,
    Turn,
)

__all__ = ["Forwarder"]

# Answers up to this size are read whole before the caller gets any of it, so
# that one that is cut short can still be asked for elsewhere.
_WHOLE_BYTES = 256 * 1024
# Targets that could not even be connected to, before a request is given up.
_MAX_UNSENT = 4
# Least time that is worth sending a request for.
_MIN_LEFT_S = 0.03
_SERVER_ERROR = 500
# How often silent targets are looked for; an eighth of what counts as silent.
_LOOK_EVERY_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _Running:
    """An attempt that may be ended, since its job may go on elsewhere."""

    target_id: str
    attempt: Attempt
    job: Job


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
    ):
        """Uses the entry's parts; see their classes."""
        self._delays = delays
        self._silence = silence
        self._repeatable: set[_Running] = set()
        self._line = Line(
            self._choose,
            placer.sent,
            placer.ended,
            lambda ticket: services.has_ready(ticket.service),
        )
        self._wire = wire
        self._services = services
        self._placer = placer
        self._outliers = outliers
        self._connections = connections
        self._retry_window = retry_window

    async def run(self) -> None:
        """Looks at silent targets and at who waits in line, in turn.

        Attempts that may go on elsewhere end at silent targets, and at those
        whose weights are due to be gone before they begin.
        """
        while True:
            await asyncio.sleep(_LOOK_EVERY_S)
            self._line.serve()
            silent = self._silence.silent_ids()
            for target_id in silent:
                if not self._outliers.is_aside(target_id):
                    self._outliers.failed(target_id, certain=True)
            self._give_up(set(silent))

    def _give_up(self, silent: set[str]) -> None:
        outdated_by_kind: dict[tuple[str, str], set[str]] = {}
        for running in list(self._repeatable):
            if running.target_id in silent:
                running.attempt.give_up("silent")
                continue
            if running.attempt.begun:
                continue
            kind = (running.job.service, running.job.call.model)
            if kind not in outdated_by_kind:
                outdated_by_kind[kind] = self._services.outdated_ids(*kind)
            if running.target_id in outdated_by_kind[kind]:
                running.attempt.give_up("version_due")

    async def forward(self, job: Job, answer: Answer) -> Ending:
        """Gives a target's answer to the caller, or says why there is none.

        Raises:
            ChannelLostError: the caller has gone.
        """
        self._retry_window.earn()
        progress = Progress(job.call)
        try:
            async with asyncio.timeout_at(job.deadline_at):
                return await self._try_targets(job, answer, progress)
        except TimeoutError:
            return given_up("deadline", progress)

    async def _try_targets(
        self, job: Job, answer: Answer, progress: Progress
    ) -> Ending:
        while True:
            ending = self._why_stop(job, progress)
            if ending is not None:
                return ending
            target = await self._place(job, progress)
            if not isinstance(target, Candidate):
                return target
            ended = await self._try_one(job, answer, progress, target)
            if ended is not None:
                return ended

    async def _place(self, job: Job, progress: Progress) -> Candidate | Ending:
        """Takes a slot at a target.

        A job that was tried already, or whose answer has begun, doesn't wait
        in line again.
        """
        if progress.sent or progress.unsent:
            return self._place_again(job, progress)
        ticket = LineTicket(
            service=job.service,
            model=job.call.model,
            priority=job.priority,
            arrived_at=job.call.arrived_at,
            goal_s=job.route.latency_goal_ms / 1000,
            deadline_at=job.deadline_at,
        )
        match await self._line.turn(ticket):
            case Turn(candidate=candidate):
                return candidate
            case Overloaded(reason=reason, waiting=waiting):
                return Refused(reason, Ran.NO, f"{waiting} waiting")

    def _place_again(self, job: Job, progress: Progress) -> Candidate | Ending:
        placed = self._placer.choose(
            self._services.candidates(job.service, job.call.model),
            progress.excluded,
        )
        if placed is None:
            return given_up("no_target", progress)
        if progress.sent and not self._retry_window.spend():
            metrics.RETRIES.labels("no_budget").inc()
            return given_up("no_retry_budget", progress)
        self._placer.sent(placed.candidate.id)
        return placed.candidate

    def _choose(self, ticket: LineTicket) -> Placement | None:
        candidates = self._services.candidates(ticket.service, ticket.model)
        return self._placer.choose(candidates, ())

    def _why_stop(self, job: Job, progress: Progress) -> Ending | None:
        if progress.unsent >= _MAX_UNSENT:
            return given_up("unreachable", progress)
        if progress.sent >= max(1, job.route.max_attempts):
            return given_up("attempts_used", progress)
        if self._left_s(job) < _MIN_LEFT_S:
            return given_up("deadline", progress)
        return None

    async def _try_one(
        self,
        job: Job,
        answer: Answer,
        progress: Progress,
        target: Candidate,
    ) -> Ending | None:
        """One attempt; None if another target may be tried."""
        progress.excluded.add(target.id)
        passing = Passing(
            target_id=target.id,
            customer=job.customer,
            deadline_s=self._left_s(job),
            priority=None,
            last_event_id=progress.last_event_id,
            weights_version=0,
        )
        place = Place(target.id, target.address)
        ran_before = progress.may_have_run
        progress.may_have_run = True
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
            ) as made:
                with (
                    self._watched(job, made, target),
                    self._delays.timed(target.id) as answered,
                ):
                    outcome = await self._run(
                        job, answer, progress, made, target, answered
                    )
        finally:
            self._placer.ended(target.id)
            self._silence.ended(target.id)
            self._line.serve()
        if isinstance(outcome, NotSent | NotRun):
            progress.may_have_run = ran_before
        return self._judge(job, progress, target, outcome)

    @contextlib.contextmanager
    def _watched(
        self, job: Job, made: Attempt, target: Candidate
    ) -> Iterator[None]:
        """Lets `run` end the attempt while it may go on elsewhere."""
        if not job.is_repeatable:
            yield
            return
        running = _Running(target.id, made, job)
        self._repeatable.add(running)
        try:
            yield
        finally:
            self._repeatable.discard(running)

    async def _run(
        self,
        job: Job,
        answer: Answer,
        progress: Progress,
        made: Attempt,
        target: Candidate,
        answered: Callable[[], None],
    ) -> "NotSent | NotRun | Lost | Ending":
        begun = await made.begin()
        answered()
        if not isinstance(begun, Answered):
            return begun
        return await self._take_answer(
            job, answer, progress, made, begun, target
        )

    def _judge(
        self,
        job: Job,
        progress: Progress,
        target: Candidate,
        outcome: "NotSent | NotRun | Lost | Ending",
    ) -> Ending | None:
        match outcome:
            case NotSent(reason=reason):
                progress.sent -= 1
                progress.unsent += 1
                progress.last = outcome
                self._outliers.failed(target.id, certain=True)
            case NotRun(status=status, facts=facts):
                progress.last = outcome
                reason = f"not_run_{status}"
                self._note_load(target, facts)
            case Lost(reason=reason):
                progress.last = outcome
                self._outliers.failed(target.id)
            case _:
                self._outliers.succeeded(target.id)
                return outcome
        log_event(
            "attempt_failed",
            request=job.call.request_id,
            target=target.id,
            address=target.address,
            reason=reason,
            left_s=self._left_s(job),
            fullness=self._placer.fullness(target),
        )
        metrics.RETRIES.labels(reason.partition(":")[0]).inc()
        if isinstance(outcome, Lost) and not job.is_repeatable:
            return given_up("lost", progress)
        return None

    # --- Answers -----------------------------------------------------------

    async def _take_answer(
        self,
        job: Job,
        answer: Answer,
        progress: Progress,
        made: Attempt,
        answered: Answered,
        target: Candidate,
    ) -> "Lost | Ending":
        head, facts = answered.head, answered.facts
        self._note_load(target, facts)
        success = 200 <= head.status < 300
        if success and not facts.sealed:
            return Lost("unsealed")
        if success and job.route.streaming:
            return await self._relay_events(answer, progress, made, head)
        if progress.begun:
            # The caller has another target's head already.
            return Lost(f"status_{head.status}")
        return await self._give_whole(job, answer, progress, made, head)

    async def _give_whole(
        self,
        job: Job,
        answer: Answer,
        progress: Progress,
        made: Attempt,
        head: Head,
    ) -> "Lost | Ending":
        try:
            body, complete = await made.read_whole(_WHOLE_BYTES)
        except CutShortError as error:
            return Lost(f"cut_short: {error}")
        if head.status >= _SERVER_ERROR and self._may_repeat(job, progress):
            return Lost(f"status_{head.status}")
        headers = self._wire.answer_headers(head)
        if complete:
            await answer.give(head.status, headers, body)
            return Gave(head.status)
        progress.begun = True
        await answer.begin(head.status, headers)
        await answer.part(body)
        try:
            while part := await made.read_part():
                await answer.part(part)
        except CutShortError as error:
            return BrokenOff(f"cut_short: {error}")
        await answer.end()
        return Gave(head.status)

    async def _relay_events(
        self,
        answer: Answer,
        progress: Progress,
        made: Attempt,
        head: Head,
    ) -> "Lost | Gave":
        """Gives whole events on as they come."""
        splitter = EventSplitter()
        try:
            while part := await made.read_part():
                for event in splitter.feed(part):
                    if self._is_old(event.id, progress):
                        continue
                    if not progress.begun:
                        progress.begun = True
                        headers = self._wire.answer_headers(head)
                        await answer.begin(head.status, headers)
                    await answer.part(event.data)
                    if event.id is not None:
                        progress.last_event_id = event.id
        except (CutShortError, ValueError) as error:
            return Lost(f"stream_cut: {error}")
        if splitter.rest:
            return Lost("stream_cut: ended within an event")
        if not progress.begun:
            await answer.begin(head.status, self._wire.answer_headers(head))
        await answer.end()
        return Gave(head.status)

    def _is_old(self, event_id: int | None, progress: Progress) -> bool:
        if event_id is None or progress.last_event_id is None:
            return False
        return event_id <= progress.last_event_id

    # --- Small questions -----------------------------------------------------

    def _may_repeat(self, job: Job, progress: Progress) -> bool:
        """Whether a failure may still be tried elsewhere."""
        if not job.is_repeatable:
            return False
        return progress.sent < job.route.max_attempts

    def _note_load(self, target: Candidate, facts: AnswerFacts) -> None:
        if facts.load is not None:
            requests = facts.load.running + facts.load.waiting
            self._placer.told(target.id, requests)

    def _left_s(self, job: Job) -> float:
        return job.deadline_at - asyncio.get_running_loop().time()
