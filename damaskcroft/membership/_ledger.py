"""The leader's passing knowledge of holders: leases and reports.

Nothing here is committed. A new leader starts empty and, since its
predecessor may have granted leases, treats every holder as holding one until
a whole lease has passed, or until the holder itself comes.
"""

import asyncio
from collections.abc import Callable, Iterable

from damaskcroft._generated import control_pb2, quarantine_pb2
from damaskcroft.clock import now_s
from damaskcroft.quarantine import CrashBook


class HolderEntry:
    """What the leader knows of one holder now."""

    __slots__ = ("applied_revision", "expires_at", "heard_at", "incarnation",
                 "report", "sequence")  # fmt: skip

    def __init__(self, incarnation: str):
        """Creates the entry of one process."""
        self.incarnation = incarnation
        self.expires_at = float("-inf")
        self.heard_at = float("-inf")
        self.applied_revision = 0
        self.report = control_pb2.TargetReport()
        # Ledger sequence of the last change that others are told of.
        self.sequence = 0


class LeaseLedger:
    """Leases and reports by holder id.

    Args:
        lease_s: length of a lease.
        clock_s: a monotonic clock in seconds.
    """

    def __init__(
        self,
        lease_s: float,
        clock_s: Callable[[], float] = now_s,
    ):
        """Creates an empty ledger."""
        self.lease_s = lease_s
        self._clock_s = clock_s
        self.entries_by_id: dict[str, HolderEntry] = {}
        self.lapsed_ids: set[str] = set()
        self.sequence = 0
        self.changed = asyncio.Condition()
        # Kept over terms: whatever was true of a crash stays so.
        self.crashes = CrashBook()
        self._crashes_sequence = 0
        self._term = -1
        self._led_since = float("inf")

    def lead(self, term: int) -> None:
        """Begins to lead a term, if that is new; forgets what was before.

        To be called before anything else is asked or told under a term, by
        whoever comes first: a lease can't be waited out before it is counted.
        """
        if term == self._term:
            return
        self._term = term
        self.entries_by_id = {}
        self.lapsed_ids = set()
        self._led_since = self._clock_s()

    def wait_for_predecessor_s(self, holder_id: str, incarnation: str) -> float:
        """How long another process may still hold the id's lease.

        A new process on the same slot must wait this long before its first
        order, in seconds; 0 when it need not wait.
        """
        entry = self.entries_by_id.get(holder_id)
        now = self._clock_s()
        if entry is None:
            return max(0.0, self._led_since + self.lease_s - now)
        if entry.incarnation == incarnation:
            return 0.0
        return max(0.0, entry.expires_at - now)

    def renew(
        self, holder_id: str, incarnation: str, renewal: control_pb2.Renewal
    ) -> None:
        """Extends a lease and takes the holder's report."""
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
        came_back = holder_id in self.lapsed_ids
        if came_back:
            self.lapsed_ids.discard(holder_id)
        if came_back or _routing_facts(entry.report) != _routing_facts(
            renewal.report
        ):
            self.sequence += 1
            entry.sequence = self.sequence
        entry.report = renewal.report
        self._take_crashes(renewal.crashes)

    def _take_crashes(
        self, crashes: Iterable[quarantine_pb2.TargetCrash]
    ) -> None:
        if self.crashes.take_all(crashes):
            self.note_crashes()

    def note_crashes(self) -> None:
        """Lets entries be told of a change in the crashes."""
        self.sequence += 1
        self._crashes_sequence = self.sequence

    def crashes_since(self, sequence: int) -> list[quarantine_pb2.TargetCrash]:
        """All known crashes if any changed after a ledger sequence."""
        if self._crashes_sequence <= sequence:
            return []
        return list(self.crashes.words())

    def release(self, holder_id: str, incarnation: str) -> None:
        """Ends a lease that its holder has given up."""
        entry = self.entries_by_id.get(holder_id)
        if entry is not None and entry.incarnation == incarnation:
            entry.expires_at = self._clock_s()

    def is_held(self, holder_id: str) -> bool:
        """Whether the leader must assume that the lease is held."""
        entry = self.entries_by_id.get(holder_id)
        return entry is not None and entry.expires_at > self._clock_s()

    def newly_lapsed(self, known_ids: list[str]) -> list[str]:
        """Marks holders whose lease has run out since the last call."""
        now = self._clock_s()
        if now < self._led_since + self.lease_s:
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
        """Reports whose routing facts changed after a ledger sequence."""
        return [
            entry.report
            for entry in self.entries_by_id.values()
            if entry.sequence > sequence and entry.report.id
        ]

    async def notify(self) -> None:
        """Wakes all who wait on `changed`."""
        async with self.changed:
            self.changed.notify_all()


def _routing_facts(report: control_pb2.TargetReport) -> tuple:
    """The part of a report that entries and the reconciler act on."""
    return (
        report.phase,
        report.manifest,
        report.staged_manifest,
        report.draining,
        report.incarnation,
        report.failure,
    )
