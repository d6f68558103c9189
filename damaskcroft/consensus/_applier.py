"""From committed entries to the state that they drive."""

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
    """Applies what is committed, in order, and tells who waits for it.

    Attributes:
        commit_index: the newest entry known to be committed.
        applied_index: the newest entry that the state holds.
        changed: given after entries were applied.
    """

    def __init__(
        self,
        log: DurableLog,
        state_machine: StateMachine,
        options: ReplicaOptions,
    ):
        """Begins with what the log's snapshot holds."""
        self._log = log
        self._state_machine = state_machine
        self._options = options
        self.commit_index = log.snapshot.index
        self.applied_index = log.snapshot.index
        if log.snapshot.state:
            state_machine.restore(log.snapshot.state)
        self.changed = Signal()
        self._commit_moved = asyncio.Event()
        self._waiters_by_index: dict[
            int, tuple[int, asyncio.Future[Outcome]]
        ] = {}

    def commit_up_to(self, index: int) -> None:
        """Takes word that everything up to an entry is committed."""
        if index <= self.commit_index:
            return
        self.commit_index = index
        metrics.COMMIT_INDEX.set(index)
        self._commit_moved.set()

    def install(self, snapshot: consensus_pb2.Snapshot) -> None:
        """Replaces the state by a leader's snapshot, already in the log."""
        self._state_machine.restore(snapshot.state)
        self.commit_index = snapshot.index
        self.applied_index = snapshot.index
        log_event("snapshot_installed", index=snapshot.index)

    @contextlib.asynccontextmanager
    async def outcome_of(
        self, index: int, term: int
    ) -> AsyncIterator[asyncio.Future[Outcome]]:
        """What becomes of an entry just appended, as a future."""
        done: asyncio.Future[Outcome] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiters_by_index[index] = (term, done)
        try:
            yield done
        finally:
            self._waiters_by_index.pop(index, None)

    def give_up_waiting(self) -> None:
        """Tells all who wait that nothing is known of their entries."""
        for _, done in self._waiters_by_index.values():
            if not done.done():
                done.set_result(Undecided())

    async def run(self) -> None:
        """Applies until cancelled."""
        while True:
            await self._commit_moved.wait()
            self._commit_moved.clear()
            while self.applied_index < self.commit_index:
                self._apply_next()
            self.changed.give()
            try:
                self._compact_if_due()
            except OSError as error:
                # The log stays as it is and is compacted another time.
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

    def _compact_if_due(self) -> None:
        due = self.applied_index - self._log.snapshot.index
        large = self._log.size_bytes > self._options.snapshot_bytes
        if due < self._options.snapshot_entries and not (large and due):
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
