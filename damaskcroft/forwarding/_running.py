"""Registry of running attempts.

Selects the attempts to hedge because their target is silent, and ends those
that can't succeed: at restarted targets, on outdated weights, or of
quarantined requests. Requests that are quarantined while they wait for a slot
are withdrawn.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Collection, Iterator

from damaskcroft.clock import now_s
from damaskcroft.forwarding._job import Job, Progress
from damaskcroft.forwarding._relay import Dispatch
from damaskcroft.forwarding._services import Services
from damaskcroft.forwarding._suspects import (
    QUARANTINED,
    RESTARTED,
    Suspects,
)

__all__ = ["RunningAttempts"]


class RunningAttempts:
    """All running attempts of one entry.

    Args:
        services: state of their targets.
        suspects: quarantined requests, which must not begin at any target.
    """

    __slots__ = (
        "_dispatches",
        "_newer_starts",
        "_services",
        "_suspects",
        "_waiting",
    )

    def __init__(self, services: Services, suspects: Suspects):
        """Starts empty and subscribes to changes of suspicions."""
        self._dispatches: set[Dispatch] = set()
        # The newest start of its target and the loop time at which that was
        # found, of each attempt that was sent to an earlier one.
        self._newer_starts: dict[Dispatch, tuple[str, float]] = {}
        # Requests that wait for a slot, each with the end of its wait.
        self._waiting: dict[asyncio.Timeout, tuple[Job, Progress]] = {}
        self._services = services
        self._suspects = suspects
        suspects.add_listener(self._abort_quarantined)

    @contextlib.contextmanager
    def registered(self, dispatch: Dispatch) -> Iterator[None]:
        """Registers an attempt, so that it can be ended, during the block."""
        self._dispatches.add(dispatch)
        try:
            yield
        finally:
            self._dispatches.discard(dispatch)
            self._newer_starts.pop(dispatch, None)

    @contextlib.asynccontextmanager
    async def waiting(
        self, job: Job, progress: Progress
    ) -> AsyncIterator[None]:
        """Ends the block with a TimeoutError once a request is quarantined."""
        async with asyncio.timeout(None) as wait:
            self._waiting[wait] = job, progress
            try:
                yield
            finally:
                del self._waiting[wait]

    def attempts_to_hedge(self, silent_ids: Collection[str]) -> list[Dispatch]:
        """Attempts that should be hedged.

        Their targets are silent or have restarted. What ran at a restarted
        target is lost, unless the request was sent to the new start before
        that start was known here.
        """
        return [
            running
            for running in self._dispatches
            if running.job.is_repeatable
            and not running.progress.is_bound_to_target
            and running.hedge.may_begin
            and (
                running.target.id in silent_ids
                or self._services.has_restarted(running.target)
            )
        ]

    def abort_lost(self, silent_ids: Collection[str]) -> None:
        """Ends repeatable attempts that can't succeed at their target.

        These are attempts that have not begun at targets whose weights are too
        old for a request to begin on them, and those at restarted targets that
        are silent. An attempt with data since the newer start is known was
        sent to that start before the news of it came.

        Args:
            silent_ids: ids of the silent targets.
        """
        outdated_by_kind: dict[tuple[str, str], set[str]] = {}
        for running in list(self._dispatches):
            if not running.job.is_repeatable:
                continue
            if self._is_lost(running, silent_ids):
                running.attempt.abort(RESTARTED)
                continue
            if running.attempt.begun:
                continue
            kind = (running.job.service, running.job.call.model)
            if kind not in outdated_by_kind:
                outdated_by_kind[kind] = self._services.outdated_ids(*kind)
            if running.target.id in outdated_by_kind[kind]:
                running.attempt.abort("version_due")

    def _is_lost(self, running: Dispatch, silent_ids: Collection[str]) -> bool:
        if not self._services.has_restarted(running.target):
            return False
        newest = self._services.newest_start_id(running.target)
        known, known_at = self._newer_starts.get(running, ("", 0.0))
        if known != newest:
            known_at = now_s()
            self._newer_starts[running] = newest, known_at
        if running.attempt.last_data_at > known_at:
            return False
        return running.target.id in silent_ids and not running.hedge.is_running

    def _abort_quarantined(self) -> None:
        """Ends attempts of quarantined requests that have not begun.

        Ends the waits of those that are not sent yet as well.
        """
        for wait, (job, progress) in list(self._waiting.items()):
            is_waiting = not wait.expired()
            if is_waiting and self._suspects.quarantined_s(job, progress):
                wait.reschedule(now_s())
        for running in list(self._dispatches):
            if running.attempt.begun:
                continue
            if self._suspects.quarantined_s(running.job, running.progress):
                running.attempt.abort(QUARANTINED)
