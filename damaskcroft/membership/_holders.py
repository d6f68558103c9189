"""The committed announcements, which are part of the replicated state."""

from collections.abc import Iterable

from damaskcroft._generated import control_pb2


class HolderTable:
    """The latest announcement of each holder, by id."""

    __slots__ = ("holders_by_id", "revision")

    def __init__(self) -> None:
        """Creates an empty table."""
        self.holders_by_id: dict[str, control_pb2.Announcement] = {}
        self.revision = 0

    def apply(
        self, index: int, announcement: control_pb2.Announcement
    ) -> control_pb2.Announcement:
        """Records a committed announcement; returns it with its revision."""
        stored = control_pb2.Announcement()
        stored.CopyFrom(announcement)
        stored.revision = index
        self.holders_by_id[stored.id] = stored
        self.revision = index
        return stored

    def changed_since(self, revision: int) -> list[control_pb2.Announcement]:
        """Returns the announcements committed after a revision."""
        return [h for h in self.holders_by_id.values() if h.revision > revision]

    def restore(self, holders: Iterable[control_pb2.Announcement]) -> None:
        """Replaces the table by that of a snapshot."""
        self.holders_by_id = {h.id: h for h in holders}
        revisions = [h.revision for h in self.holders_by_id.values()]
        self.revision = max(revisions, default=0)
