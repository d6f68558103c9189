"""What an entry does about requests that may crash their targets."""

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
    given_up,
)
from damaskcroft.forwarding._services import Services
from damaskcroft.observe import log_event, metrics
from damaskcroft.quarantine import (
    MOST_NOTED_BYTES,
    Copies,
    CrashBook,
    CrashWatch,
    HoldTurn,
    Loss,
    RecentAnswers,
)
from damaskcroft.routing import BackPressure, Candidate

__all__ = ["QUARANTINED", "STARTED_AGAIN", "Suspects"]

# Why a request is refused, isn't sent, or is taken back.
QUARANTINED = "quarantined"

# An attempt that was ended since its target has started again.
STARTED_AGAIN = "restarted"
# How long a suspect waits before its next attempt, to know whether its target
# has crashed: some round trips between regions.
_VERDICT_WITHIN_S = 0.1
# How long any other lost request waits before its next attempt, to be sent as a
# suspect then: a round trip between regions.
_FIRST_LOOK_WITHIN_S = 0.05
# How long one waits that has no attempt left unless its target has ended: some
# looks at its address.
_LAST_LOOK_WITHIN_S = 0.3
# Until all entries know of a crash: control gathers news for half of that.
_NEWS_SPREADS_S = 0.1


class Suspects:
    """Requests that targets crashed under, as this entry knows them.

    Args:
        book: what the fleet knows.
        services: whether a target announced its end, or was replaced.
        back_pressure: whether it said in an answer that it ends.
        tell: tells the fleet what this entry has found out.
        hold_turn: keeps other entries from sending copies meanwhile; None
            where there is no way to.
    """

    def __init__(
        self,
        book: CrashBook,
        services: Services,
        back_pressure: BackPressure,
        tell: Callable[[Iterable[quarantine_pb2.TargetCrash]], None],
        hold_turn: HoldTurn | None = None,
    ):
        """See the class."""
        self._book = book
        self._services = services
        self._tell = tell
        self._copies = Copies(book, hold_turn)
        self._recent_answers = RecentAnswers()
        self._watch: CrashWatch[Candidate] = CrashWatch(
            lambda target: (
                services.is_leaving(target)
                or back_pressure.is_leaving(target.id)
            ),
            services.is_replaced,
            lambda crash: tell([crash]),
            book.crashed_at,
        )

    def listen(self, listener: Callable[[], None]) -> None:
        """Calls `listener` after each change of a verdict."""
        self._book.listen(listener)

    def look(self) -> None:
        """Looks for crashes that show late; to be called often."""
        self._watch.look()

    def quarantined_s(self, job: Job, progress: Progress) -> float:
        """For how long a request is refused; 0 if it isn't."""
        if not self._book.has_suspects:
            return 0.0
        return self._book.quarantined_s(_fingerprint(job, progress))

    def refused(
        self, job: Job, progress: Progress, quarantined_s: float
    ) -> Ending:
        """How a quarantined request ends.

        A caller that comes back before the end would be refused again.
        """
        ending = given_up(QUARANTINED, progress, quarantined_s)
        if not isinstance(ending, Refused):
            return ending
        detail = f"fingerprint {_fingerprint(job, progress).hex()}"
        return dataclasses.replace(ending, detail=detail)

    def is_suspect(self, job: Job, progress: Progress) -> bool:
        """Whether targets crashed under a request, and nothing cleared it."""
        if not self._book.has_suspects:
            return False
        return self._book.is_suspect(_fingerprint(job, progress))

    @contextlib.asynccontextmanager
    async def one_at_a_time(
        self, job: Job, progress: Progress
    ) -> AsyncIterator[None]:
        """Waits while a copy of a suspect is under way."""
        if not self._book.has_suspects:
            yield
            return
        fingerprint = _fingerprint(job, progress)
        async with self._copies.one_at_a_time(
            fingerprint, job.deadline_at, lambda: self._few_left(job)
        ):
            yield

    def _few_left(self, job: Job) -> bool:
        """Whether the last targets are kept for requests that crash none."""
        found = self._services.candidates(job.service, job.call.model)
        return self._book.few_left(job.service, (each.id for each in found))

    def sending(self, job: Job, progress: Progress) -> None:
        """Takes note of what is known when a request is sent."""
        if self._book.has_suspects:
            known = self._book.chain(_fingerprint(job, progress))
            progress.chain = max(progress.chain, known)

    async def lost(
        self,
        job: Job,
        progress: Progress,
        target: Candidate,
        lost: Lost,
        connecting_at: float | None = None,
    ) -> None:
        """Takes note of a lost attempt.

        It waits for a moment until it is known whether its target has crashed,
        so that its next attempt doesn't crash another one, and isn't lost
        beside a request that does.

        Args:
            job: the request.
            progress: what became of it so far.
            target: where it was sent.
            lost: how the attempt ended.
            connecting_at: when a connection was opened for it; None where a
                kept one was used.
        """
        if not lost.cut and lost.reason != STARTED_AGAIN:
            return
        was_suspect = self.is_suspect(job, progress)
        progress.chain += 1
        looked = self._watch.lost(
            Loss(
                target,
                job.service,
                _fingerprint(job, progress),
                job.call.request_id,
                progress.chain,
                self._recent_answers.has(_fingerprint(job, progress)),
                connecting_at,
            )
        )
        if looked is None:
            return
        if was_suspect:
            await asyncio.wait([looked], timeout=_VERDICT_WITHIN_S)
            # Whoever sends the next copy shall know that one more crashed.
            await asyncio.sleep(_NEWS_SPREADS_S)
        elif job.is_repeatable:
            within_s = _FIRST_LOOK_WITHIN_S
            if progress.begun and not job.has_attempt_after(progress):
                within_s = min(_LAST_LOOK_WITHIN_S, max(0.0, job.left_s))
            await asyncio.wait([looked], timeout=within_s)
        # What has given events elsewhere crashes no target by itself, and its
        # caller can't come back for the rest.
        if progress.begun and self._watch.has_crashed(target):
            progress.uncounted += 1

    def answered(self, job: Job, progress: Progress) -> None:
        """A target gave its whole answer, so the request crashes none.

        Not to be told of failures: the target may have failed before it ran
        the part that crashes.
        """
        if len(job.call.body) <= MOST_NOTED_BYTES:
            self._recent_answers.note(_fingerprint(job, progress))
        if not self.is_suspect(job, progress):
            return
        fingerprint = _fingerprint(job, progress)
        metrics.QUARANTINE.labels("cleared").inc()
        log_event(
            "suspect_cleared",
            request=job.call.request_id,
            fingerprint=fingerprint.hex(),
        )
        self._tell(self._book.clear(fingerprint, job.service))


def _fingerprint(job: Job, progress: Progress) -> bytes:
    if progress.fingerprint is None:
        progress.fingerprint = job.fingerprint()
    return progress.fingerprint
