"""Handling of requests that may crash their targets.

A suspect request is one that was running on a target when it crashed. Its
copies are sent one at a time, and after several crashes in a row it is
quarantined, so that one faulty request does not take down a whole service. The
parts of prompts that requests share are suspects as well, and are cleared by
each complete answer to a request with them.
"""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Callable, Iterable

from damaskcroft._generated import quarantine_pb2
from damaskcroft.forwarding._attempt import Lost
from damaskcroft.forwarding._job import (
    Ending,
    Job,
    Progress,
    Refused,
    failed_ending,
)
from damaskcroft.forwarding._services import Services
from damaskcroft.observe import log_event, metrics
from damaskcroft.quarantine import (
    MAX_RECORDED_BODY_BYTES,
    CrashDetector,
    CrashRegistry,
    HoldTurn,
    LostRequest,
    RecentAnswers,
    RequestTraits,
    SerialCopies,
    SuspectParts,
    is_gone,
    part_names,
)
from damaskcroft.routing import BackPressure, Candidate

__all__ = ["QUARANTINED", "RESTARTED", "Suspects"]

# Reason for which a request is refused, not sent, or withdrawn from a target.
QUARANTINED = "quarantined"

# Reason for ending an attempt whose target has restarted.
RESTARTED = "restarted"
# Time that a suspect request waits before its next attempt to learn whether its
# target has crashed: a few round trips between regions.
_SUSPECT_VERDICT_TIMEOUT_S = 0.1
# Time that any other lost request waits before its next attempt, so that it is
# sent as a suspect if its target has crashed: a round trip between regions.
_VERDICT_TIMEOUT_S = 0.05
# Time that a request waits which has no attempt left unless its target has
# ended: several checks of the target's address.
_LAST_VERDICT_TIMEOUT_S = 0.3
# Time until all entries have learned of a crash: control batches updates for
# half of it.
_CRASH_PROPAGATION_S = 0.1


class Suspects:
    """Suspect requests, as far as this entry knows of them.

    Args:
        registry: registry of the crashes that the fleet knows of.
        services: tells whether a target announced its end or was replaced.
        back_pressure: tells whether a target announced its end in an answer.
        publish: publishes crashes that this entry has detected to the fleet.
        hold_turn: holds the turn of a suspect request, which is the permission
            to send one copy of it, granted to one entry at a time; None where
            entries can't be coordinated.
    """

    def __init__(
        self,
        registry: CrashRegistry,
        services: Services,
        back_pressure: BackPressure,
        publish: Callable[[Iterable[quarantine_pb2.TargetCrash]], None],
        hold_turn: HoldTurn | None = None,
    ):
        """Starts to watch for crashes; no request has been lost yet."""
        self._registry = registry
        self._services = services
        self._back_pressure = back_pressure
        self._publish = publish
        self._copies = SerialCopies(registry, hold_turn)
        self._recent_answers = RecentAnswers()
        self._parts = SuspectParts(registry, self._copies)
        self._watch: CrashDetector[Candidate] = CrashDetector(
            self.is_draining,
            services.is_replaced,
            lambda crash: publish([crash]),
            registry.crashed_at,
        )
        # Checks of targets whose answers have ended by a close.
        self._check_tasks: set[asyncio.Task[None]] = set()

    def is_draining(self, target: Candidate) -> bool:
        """Whether a target announced its end, to control or in an answer."""
        return self._services.is_draining(
            target
        ) or self._back_pressure.is_draining(target.id)

    def known_end(self, job: Job, target: Candidate) -> bool | None:
        """Whether a start of a target has ended without notice.

        A target that announced its end may close its last answers and then
        refuse connections. If the request must not run again, such an answer
        is better than none.

        Returns:
            True if a later start has replaced it, False if it announced its end
            and the request is not repeatable; None if the address tells.
        """
        if self.is_draining(target):
            return None if job.is_repeatable else False
        return True if self._services.is_replaced(target) else None

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Calls `listener` whenever the suspicion of a request changes."""
        self._registry.add_listener(listener)

    def check_crashes(self) -> None:
        """Checks for crashes that are detected late; to be called often."""
        self._watch.check_replacements()

    def quarantined_s(self, job: Job, progress: Progress) -> float:
        """Seconds for which a request remains refused; 0 if it is not."""
        if not self._registry.has_suspects:
            return 0.0
        return self._registry.refused_s(
            _fingerprint(job, progress), _traits(job, progress)
        )

    def refusal(
        self, job: Job, progress: Progress, quarantined_s: float
    ) -> Ending:
        """The ending of a quarantined request.

        Its Retry-After covers the rest of the hold, because a caller that
        retries earlier would be refused again.
        """
        ending = failed_ending(QUARANTINED, progress, quarantined_s)
        if not isinstance(ending, Refused):
            return ending
        pattern = self._registry.refused_pattern(_traits(job, progress))
        if pattern is not None:
            detail = f"prompt parts {part_names(pattern.parts)}"
        else:
            detail = f"fingerprint {_fingerprint(job, progress).hex()}"
        return dataclasses.replace(ending, detail=detail)

    def is_suspect(self, job: Job, progress: Progress) -> bool:
        """Whether targets crashed running a request that is not cleared."""
        if not self._registry.has_suspects:
            return False
        return self._registry.is_suspect(_fingerprint(job, progress))

    def shares_suspicion(self, job: Job, progress: Progress) -> bool:
        """Whether the request or a part of its prompt is a suspect."""
        if not self._registry.has_suspects:
            return False
        return self.is_suspect(job, progress) or any(
            self._registry.is_suspect(part)
            for part in _traits(job, progress).parts
        )

    @contextlib.asynccontextmanager
    async def one_at_a_time(
        self, job: Job, progress: Progress
    ) -> AsyncIterator[None]:
        """Waits while another copy of a suspect request is running.

        Waits also while another request with the same new suspect part runs.
        """
        if not self._registry.has_suspects:
            yield
            return

        def is_refused() -> bool:
            return bool(self.quarantined_s(job, progress))

        async with (
            self._parts.one_at_a_time(
                _traits(job, progress), job.deadline_at, is_refused
            ),
            self._copies.one_at_a_time(
                _fingerprint(job, progress),
                job.deadline_at,
                lambda: self._has_few_targets(job),
                is_refused,
            ),
        ):
            yield

    def _has_few_targets(self, job: Job) -> bool:
        """Whether the remaining targets are reserved for other requests.

        Those are the requests that have crashed no target.
        """
        found = self._services.candidates(
            job.service, job.call.model, job.allowed_regions
        )
        return self._registry.few_left(job.service, (each.id for each in found))

    def record_dispatch(self, job: Job, progress: Progress) -> None:
        """Records the known crashes of a request when it is sent."""
        if not self._registry.has_suspects:
            return
        known_chain = self._registry.chain(_fingerprint(job, progress))
        progress.chain = max(progress.chain, known_chain)
        progress.chain_by_part = self._parts.chains(_traits(job, progress))

    async def record_loss(
        self,
        job: Job,
        progress: Progress,
        target: Candidate,
        lost: Lost,
        connecting_at: float | None = None,
    ) -> None:
        """Records a lost attempt.

        Waits briefly to learn whether the target has crashed, so that the next
        attempt neither crashes another target nor runs beside a request that
        does.

        Args:
            job: the request.
            progress: its state across attempts.
            target: the target that it was sent to.
            lost: how the attempt ended.
            connecting_at: loop time at which a connection was opened for it;
                None where an idle connection was reused.
        """
        if not lost.cut and lost.reason != RESTARTED:
            return
        was_suspect = self.is_suspect(job, progress)
        verdict = self._check_after_loss(job, progress, target, connecting_at)
        if verdict is None:
            return
        if was_suspect:
            await asyncio.wait([verdict], timeout=_SUSPECT_VERDICT_TIMEOUT_S)
            # The entry that sends the next copy must know of this crash too.
            await asyncio.sleep(_CRASH_PROPAGATION_S)
        elif job.is_repeatable:
            within_s = _VERDICT_TIMEOUT_S
            if progress.begun and not job.has_attempt_after(progress):
                within_s = min(_LAST_VERDICT_TIMEOUT_S, max(0.0, job.left_s))
            await asyncio.wait([verdict], timeout=within_s)
        # A stream that has produced events on another target does not crash
        # targets by itself, and its caller can't retry for the remainder, so
        # this attempt does not count towards the route's maximum. A part of its
        # prompt may crash targets after their first events.
        if (
            progress.begun
            and self._watch.has_crashed(target)
            and not self._parts.is_likely_cause(_traits(job, progress))
        ):
            progress.uncounted += 1

    def _check_after_loss(
        self,
        job: Job,
        progress: Progress,
        target: Candidate,
        connecting_at: float | None,
    ) -> asyncio.Task[None] | None:
        """Starts to check whether a target has crashed under a request.

        Returns:
            The check; None if the target announced its end.
        """
        progress.chain += 1
        return self._watch.record_loss(
            LostRequest(
                target,
                job.service,
                _fingerprint(job, progress),
                job.call.request_id,
                progress.chain,
                self._recent_answers.contains(_fingerprint(job, progress)),
                connecting_at,
                job.customer,
                tuple(
                    self._parts.lost(
                        _traits(job, progress), progress.chain_by_part
                    )
                ),
            )
        )

    def record_answer(
        self,
        job: Job,
        progress: Progress,
        target: Candidate,
        ended_by_close: bool,
    ) -> None:
        """Clears a request whose answer a target has completed, and its parts.

        Not to be called for failures, because the target may have failed
        before it reached the part that crashes.

        Args:
            job: the request.
            progress: its state across attempts.
            target: the target that has answered.
            ended_by_close: whether only the close of the connection marked the
                end of the answer; it clears nothing if the target ends with it.
        """
        if not ended_by_close:
            self._clear(job, progress)
            return
        task = asyncio.create_task(
            self._clear_unless_gone(job, progress, target)
        )
        self._check_tasks.add(task)
        task.add_done_callback(self._check_tasks.discard)

    async def _clear_unless_gone(
        self, job: Job, progress: Progress, target: Candidate
    ) -> None:
        if await is_gone(target.address):
            self._check_after_loss(job, progress, target, None)
        else:
            self._clear(job, progress)

    def _clear(self, job: Job, progress: Progress) -> None:
        if len(job.call.body) <= MAX_RECORDED_BODY_BYTES:
            self._recent_answers.record(_fingerprint(job, progress))
        cleared = self._parts.record_answer(
            _traits(job, progress), job.call.request_id
        )
        if not self._registry.has_suspects:
            return
        fingerprint = _fingerprint(job, progress)
        if self._registry.is_suspect(fingerprint):
            metrics.QUARANTINE.labels("cleared").inc()
            log_event(
                "suspect_cleared",
                request=job.call.request_id,
                fingerprint=fingerprint.hex(),
            )
            cleared.add(fingerprint)
        if cleared:
            self._publish(self._registry.clear_all(cleared, job.service))


def _fingerprint(job: Job, progress: Progress) -> bytes:
    if progress.fingerprint is None:
        progress.fingerprint = job.fingerprint()
    return progress.fingerprint


def _traits(job: Job, progress: Progress) -> RequestTraits:
    if progress.traits is None:
        progress.traits = job.traits()
    return progress.traits
