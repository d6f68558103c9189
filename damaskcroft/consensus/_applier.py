"""Application of committed log entries to the state machine.

The applier also resolves the outcomes that proposers wait for and compacts the
log by taking snapshots.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from damaskcroft._generated import consensus_pb2
from damaskcroft.consensus._log import DurableLog
from damaskcroft.consensus._outcomes import Committed, Outcome, Undecided
from damaskcroft.consensus._setup import ReplicaOptions, StateMachine
from damaskcroft.observe import log_event, metrics
from damaskcroft.tasks import Signal


class Applier:
    """Applies committed entries in order and resolves the waiting proposals.

    Attributes:
        commit_index: index of the newest entry known to be committed.
        applied_index: index of the newest entry applied to the state machine.
        changed: notified after entries were applied.
    """

    def __init__(
        self,
        log: DurableLog,
        state_machine: StateMachine,
        options: ReplicaOptions,
    ):
        """Restores the state machine from the log's snapshot, if any."""
        self._log = log
        self._state_machine = state_machine
        self._options = options
        self.commit_index = log.snapshot.index
        self.applied_index = log.snapshot.index
        if log.snapshot.state:
            state_machine.restore(log.snapshot.state)
        self.changed = Signal()
        self._commit_advanced = asyncio.Event()
        self._waiters_by_index: dict[
            int, tuple[int, asyncio.Future[Outcome]]
        ] = {}

    def advance_commit_index(self, index: int) -> None:
        """Raises the commit index; entries up to `index` get applied."""
        if index <= self.commit_index:
            return
        self.commit_index = index
        metrics.COMMIT_INDEX.set(index)
        self._commit_advanced.set()

    def restore_snapshot(self, snapshot: consensus_pb2.Snapshot) -> None:
        """Restores a leader's snapshot that the log has already stored."""
        self._state_machine.restore(snapshot.state)
        self.commit_index = snapshot.index
        self.applied_index = snapshot.index
        log_event("snapshot_installed", index=snapshot.index)

    @contextlib.asynccontextmanager
    async def pending_outcome(
        self, index: int, term: int
    ) -> AsyncIterator[asyncio.Future[Outcome]]:
        """Yields a future for the outcome of an entry just appended."""
        done: asyncio.Future[Outcome] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiters_by_index[index] = (term, done)
        try:
            yield done
        finally:
            self._waiters_by_index.pop(index, None)

    def resolve_as_undecided(self) -> None:
        """Resolves all waiting proposals as undecided."""
        for _, done in self._waiters_by_index.values():
            if not done.done():
                done.set_result(Undecided())

    async def run(self) -> None:
        """Applies committed entries until cancelled."""
        while True:
            await self._commit_advanced.wait()
            self._commit_advanced.clear()
            while self.applied_index < self.commit_index:
                self._apply_next()
            self.changed.notify()
            try:
                self._compact_if_large()
            except OSError as error:
                # The log is left as it is; compaction is retried later.
                log_event("snapshot_failed", reason=error)

    def _apply_next(self) -> None:
        entry = self._log.entry(self.applied_index + 1)
        result = None
        if entry.command:
            result = self._state_machine.apply(entry.index, entry.command)
        self.applied_index = entry.index
        waiter = self._waiters_by_index.get(entry.index)
        if waiter is None:
            return
        term, done = waiter
        if done.done():
            return
        if term == entry.term:
            done.set_result(Committed(entry.index, result))
        else:
            done.set_result(Undecided())

    def _compact_if_large(self) -> None:
        new_entries = self.applied_index - self._log.snapshot.index
        large = self._log.size_bytes > self._options.snapshot_bytes
        if new_entries < self._options.snapshot_entries and not (
            large and new_entries
        ):
            return
        index = self.applied_index
        snapshot = consensus_pb2.Snapshot(
            index=index,
            term=self._log.term_at(index) or 0,
            config=self._log.config_at(index),
            state=self._state_machine.snapshot(),
        )
        self._log.compact(
            snapshot,
            self._options.snapshot_entries // 2,
            self._options.snapshot_bytes // 4,
        )
        log_event("snapshot_taken", index=index, bytes=len(snapshot.state))
