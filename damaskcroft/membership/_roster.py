"""A holder's copy of the configuration, kept current by deltas.

The applied revision never decreases: a delta that ends before it is dropped,
whichever control node sent it.
"""

import asyncio

from damaskcroft._generated import control_pb2, records_pb2
from damaskcroft.quarantine import CrashRegistry


class Roster:
    """Records, assignments, holders and reports as last sent by control."""

    def __init__(self) -> None:
        """Creates an empty roster at revision 0."""
        self.revision = 0
        self.records_by_key: dict[tuple[str, str], records_pb2.Record] = {}
        self.assignments_by_target: dict[str, control_pb2.Assignment] = {}
        self.holders_by_id: dict[str, control_pb2.Announcement] = {}
        self.reports_by_id: dict[str, control_pb2.TargetReport] = {}
        self.lapsed_ids: set[str] = set()
        self.crashes = CrashRegistry()
        self.changed = asyncio.Condition()

    @property
    def has_received_state(self) -> bool:
        """Whether any delta was received; the first one has the whole state."""
        return self.revision > 0

    def apply(self, delta: control_pb2.RosterDelta) -> bool:
        """Applies a delta.

        Returns:
            Whether it was applied; False if it ends before `revision`.
        """
        if delta.to_revision < self.revision:
            return False
        if delta.snapshot:
            self.records_by_key.clear()
            self.assignments_by_target.clear()
            self.holders_by_id.clear()
            self.lapsed_ids.clear()
        for record in delta.records:
            self.records_by_key[(record.kind, record.name)] = record
        for assignment in delta.assignments:
            self._apply_assignment(assignment)
        for holder in delta.holders:
            self.holders_by_id[holder.id] = holder
        for report in delta.reports:
            self.reports_by_id[report.id] = report
        self.crashes.merge_all(delta.crashes)
        self.lapsed_ids.update(delta.lapsed)
        self.lapsed_ids.difference_update(delta.present)
        self.revision = delta.to_revision
        return True

    async def notify(self) -> None:
        """Wakes all tasks that wait on `changed`."""
        async with self.changed:
            self.changed.notify_all()

    def live_agents(self) -> list[control_pb2.Announcement]:
        """Returns the agents that hold a lease, as far as is known here."""
        return [
            holder
            for holder in self.holders_by_id.values()
            if holder.kind == control_pb2.HOLDER_AGENT
            and holder.id not in self.lapsed_ids
        ]

    def count_live_entries(self) -> int:
        """Returns the number of entries that hold a lease, at least 1."""
        entries = [
            holder
            for holder in self.holders_by_id.values()
            if holder.kind == control_pb2.HOLDER_ENTRY
            and holder.id not in self.lapsed_ids
        ]
        return max(1, len(entries))

    def _apply_assignment(self, assignment: control_pb2.Assignment) -> None:
        held = self.assignments_by_target.get(assignment.target)
        if held is not None and held.fencing > assignment.fencing:
            return
        self.assignments_by_target[assignment.target] = assignment
