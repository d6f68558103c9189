"""The leader's volatile state of holders: leases and reports.

Nothing here is committed. A new leader starts without it. Because the previous
leader may have granted leases, the new one assumes that every holder has a
lease until a whole lease duration has passed or the holder itself renews.
"""

import asyncio
from collections.abc import Callable, Iterable

from damaskcroft._generated import control_pb2, quarantine_pb2
from damaskcroft.clock import now_s
from damaskcroft.quarantine import CrashRegistry


class HolderEntry:
    """The leader's state of one holder."""

    __slots__ = ("applied_revision", "expires_at", "heard_at", "incarnation",
                 "report", "sequence")  # fmt: skip

    def __init__(self, incarnation: str):
        """Creates the state of one process, without a lease."""
        self.incarnation = incarnation
        self.expires_at = float("-inf")
        self.heard_at = float("-inf")
        self.applied_revision = 0
        self.report = control_pb2.TargetReport()
        # Sequence of the last change that is sent to others.
        self.sequence = 0


class LeaseLedger:
    """Leases and reports by holder id, and the known crashes of targets.

    Args:
        lease_s: duration of a lease.
        clock_s: returns the time of a monotonic clock in seconds.
    """

    def __init__(
        self,
        lease_s: float,
        clock_s: Callable[[], float] = now_s,
    ):
        """Starts without leases, reports and crashes."""
        self.lease_s = lease_s
        self._clock_s = clock_s
        self.entries_by_id: dict[str, HolderEntry] = {}
        self.lapsed_ids: set[str] = set()
        self.sequence = 0
        self.changed = asyncio.Condition()
        # Kept across terms, because what is known of a crash stays true.
        self.crashes = CrashRegistry()
        self._crashes_sequence = 0
        self._term = -1
        self._term_began_at = float("inf")

    def lead(self, term: int) -> None:
        """Resets leases and reports if the term is new.

        Every task calls this before it uses the state in a term. The first call
        starts the time for which leases of the previous leader are assumed.
        """
        if term == self._term:
            return
        self._term = term
        self.entries_by_id = {}
        self.lapsed_ids = set()
        self._term_began_at = self._clock_s()

    def wait_for_predecessor_s(self, holder_id: str, incarnation: str) -> float:
        """Returns how long another process may still hold the id's lease.

        A new process under the same id must wait for this many seconds before
        its first order; 0 if it need not wait.
        """
        entry = self.entries_by_id.get(holder_id)
        now = self._clock_s()
        if entry is None:
            return max(0.0, self._term_began_at + self.lease_s - now)
        if entry.incarnation == incarnation:
            return 0.0
        return max(0.0, entry.expires_at - now)

    def renew(
        self, holder_id: str, incarnation: str, renewal: control_pb2.Renewal
    ) -> None:
        """Extends a lease and stores the holder's report."""
        entry = self.entries_by_id.get(holder_id)
        if entry is None or entry.incarnation != incarnation:
            entry = HolderEntry(incarnation)
            self.entries_by_id[holder_id] = entry
        now = self._clock_s()
        entry.expires_at = now + self.lease_s
        entry.heard_at = now
        entry.applied_revision = max(
            entry.applied_revision, renewal.applied_revision
        )
        has_returned = holder_id in self.lapsed_ids
        if has_returned:
            self.lapsed_ids.discard(holder_id)
        if has_returned or _routing_facts(entry.report) != _routing_facts(
            renewal.report
        ):
            self.sequence += 1
            entry.sequence = self.sequence
        entry.report = renewal.report
        self._record_crashes(renewal.crashes)

    def _record_crashes(
        self, crashes: Iterable[quarantine_pb2.TargetCrash]
    ) -> None:
        if self.crashes.merge_all(crashes):
            self.note_crashes()

    def note_crashes(self) -> None:
        """Marks the crashes as changed, so that they are sent to entries."""
        self.sequence += 1
        self._crashes_sequence = self.sequence

    def crashes_since(self, sequence: int) -> list[quarantine_pb2.TargetCrash]:
        """Returns all known crashes if any changed after a sequence."""
        if self._crashes_sequence <= sequence:
            return []
        return list(self.crashes.snapshot())

    def release(self, holder_id: str, incarnation: str) -> None:
        """Ends a lease that its holder has released."""
        entry = self.entries_by_id.get(holder_id)
        if entry is not None and entry.incarnation == incarnation:
            entry.expires_at = self._clock_s()

    def is_held(self, holder_id: str) -> bool:
        """Whether a lease was granted in this term and has not expired."""
        entry = self.entries_by_id.get(holder_id)
        return entry is not None and entry.expires_at > self._clock_s()

    def newly_lapsed(self, known_ids: list[str]) -> list[str]:
        """Marks and returns holders whose lease expired since the last call."""
        now = self._clock_s()
        if now < self._term_began_at + self.lease_s:
            return []
        lapsed = [
            holder_id
            for holder_id in known_ids
            if holder_id not in self.lapsed_ids and not self.is_held(holder_id)
        ]
        if lapsed:
            self.lapsed_ids.update(lapsed)
            self.sequence += 1
        return lapsed

    def reports_since(self, sequence: int) -> list[control_pb2.TargetReport]:
        """Returns the reports whose routing facts changed after a sequence."""
        return [
            entry.report
            for entry in self.entries_by_id.values()
            if entry.sequence > sequence and entry.report.id
        ]

    async def notify(self) -> None:
        """Wakes all tasks that wait on `changed`."""
        async with self.changed:
            self.changed.notify_all()


def _routing_facts(report: control_pb2.TargetReport) -> tuple:
    """The fields of a report that entries and the reconciler act on."""
    return (
        report.phase,
        report.manifest,
        report.staged_manifest,
        report.draining,
        report.incarnation,
        report.failure,
    )
