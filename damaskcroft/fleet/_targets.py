"""What targets say of themselves, in the order in which they said it.

Announcements are soft state: they may come late, twice, or after their
sender's end. Each start of a target has its own id and numbers its
announcements, so that an older one can't undo a newer one; an id that has
left never comes back.
"""

from collections.abc import Iterable

from damaskcroft._generated import fleet_pb2

__all__ = ["TargetBook"]

# Ended ids kept so that late announcements can't revive them. A target's
# announcement is at most some seconds late; this covers days of releases.
_MAX_ENDED = 4096


class TargetBook:
    """The newest state of each target, by id."""

    __slots__ = (
        "_births",
        "_born_by_id",
        "_ended",
        "targets_by_id",
    )

    def __init__(self) -> None:
        """Creates an empty book."""
        self.targets_by_id: dict[str, fleet_pb2.TargetState] = {}
        self._ended: dict[str, None] = {}
        self._births = 0
        self._born_by_id: dict[str, int] = {}

    def take(self, state: fleet_pb2.TargetState) -> bool:
        """Takes one announcement.

        Returns:
            Whether it changed anything but the sequence.
        """
        if state.id in self._ended:
            return False
        if state.phase == fleet_pb2.TARGET_GONE:
            self._end(state.id)
            return True
        known = self.targets_by_id.get(state.id)
        if known is None:
            self._births += 1
            self._born_by_id[state.id] = self._births
            self.targets_by_id[state.id] = state
            return True
        if state.sequence <= known.sequence:
            return False
        self.targets_by_id[state.id] = state
        return not _equal_but_sequence(state, known)

    def believed(self) -> list[fleet_pb2.TargetState]:
        """Targets that hold their address, by the order of first word.

        Where two ids name one address, the one first heard of later holds
        it, unless it is doubted: addresses are used again after their owner's
        end.
        """
        holder_by_address: dict[str, fleet_pb2.TargetState] = {}
        born = self._born_by_id
        for state in self.targets_by_id.values():
            other = holder_by_address.get(state.address)
            if other is None or born[state.id] > born[other.id]:
                holder_by_address[state.address] = state
        return sorted(
            holder_by_address.values(), key=lambda state: born[state.id]
        )

    def doubt(self, target_id: str) -> None:
        """Lets the others at an address hold it before this id.

        Whoever answers there has said to be another one: this id's word came
        late. Should that have been wrong, another doubt undoes it.
        """
        if target_id in self._born_by_id:
            first = min(self._born_by_id.values())
            self._born_by_id[target_id] = first - 1

    def ended_ids(self) -> Iterable[str]:
        """Ids that have left, oldest first."""
        return self._ended

    def forget(self, target_id: str) -> None:
        """Drops a target that has been silent for long, without ending it."""
        self.targets_by_id.pop(target_id, None)
        self._born_by_id.pop(target_id, None)

    def _end(self, target_id: str) -> None:
        self.forget(target_id)
        self._ended[target_id] = None
        while len(self._ended) > _MAX_ENDED:
            self._ended.pop(next(iter(self._ended)))


def _equal_but_sequence(
    state: fleet_pb2.TargetState, known: fleet_pb2.TargetState
) -> bool:
    copy = fleet_pb2.TargetState()
    copy.CopyFrom(state)
    copy.sequence = known.sequence
    return copy == known
