"""Registry of targets, built from their announcements.

Announcements are soft state: they may arrive late, twice, or after their sender
has ended, and a target may restart under the same id. They are ordered by their
start, identified by the time at which the target was born, and then by their
sequence number within the start. A later start therefore replaces an earlier
one, whose late announcements have no effect. A target that leaves ends its
start and all earlier ones, but not its id.

A target of an older release does not announce when it was born. Its
announcements are ordered by their sequence numbers alone, and its id stays
ended once it has left. If announcements with and without a start mix under one
id, those with a start take precedence. A leaving announcement without a start
cannot identify the start that ends, so it removes the target until its next
announcement.
"""

import math
from collections.abc import Collection, Iterator

from damaskcroft._generated import fleet_pb2

__all__ = ["TargetRegistry", "start_id"]

# Maximum number of recorded ends of starts, which prevent late announcements
# from reviving them. Announcements are late by some seconds at most; this
# number covers days of releases.
_MAX_RECORDED_ENDS = 4096
# Maximum number of announcements kept: four times the targets of the largest
# planned fleet, so that announcements of other senders cannot exhaust the
# memory. The one received least recently is evicted first. Running targets are
# safe from that, because they announce themselves every second or so.
_MAX_ANNOUNCEMENTS = 16384
# Service in the record of an end that applies to all services.
_ALL_SERVICES = ""

# A start, and a position within it. No announcement precedes the first.
_Position = tuple[int, float]
_FIRST_POSITION: _Position = (-1, 0)


class _LatestAnnouncement:
    """The newest announcement of a target for one service.

    Attributes:
        state: the announcement.
        arrival_order: number of the start in the order in which first
            announcements of starts were received; below 1 after a demotion.
    """

    __slots__ = ("arrival_order", "state")

    def __init__(self, state: fleet_pb2.TargetState, arrival_order: int):
        self.state = state
        self.arrival_order = arrival_order

    @property
    def address_rank(self) -> tuple[bool, int, int]:
        """Of two targets at one address, the higher rank holds it."""
        is_preferred = self.arrival_order > 0
        born_ms = self.state.born_ms if is_preferred else 0
        return is_preferred, born_ms, self.arrival_order


class TargetRegistry:
    """The newest state of each target.

    Announcements are kept by id and service. Only those of services in the
    current configuration are in effect, so that an announcement of another
    sender for an unknown service displaces no target. A later configuration may
    contain that service.
    """

    __slots__ = (
        "_arrival_count",
        "_cached_holders",
        "_configured_services",
        "_end_positions",
        "_latest_by_key",
        "_newest_by_id",
    )

    def __init__(self) -> None:
        """Creates an empty registry that accepts all services."""
        # By id and service; the most recently received one is last.
        self._latest_by_key: dict[tuple[str, str], _LatestAnnouncement] = {}
        # By id and service, the position up to which all announcements have
        # ended.
        self._end_positions: dict[tuple[str, str], _Position] = {}
        self._arrival_count = 0
        self._configured_services: frozenset[str] | None = None
        # Caches derived from the announcements; None after a change.
        self._newest_by_id: dict[str, _LatestAnnouncement] | None = None
        self._cached_holders: tuple[fleet_pb2.TargetState, ...] | None = None

    @property
    def targets_by_id(self) -> dict[str, fleet_pb2.TargetState]:
        """The newest announcement of each target of a configured service."""
        return {
            target_id: announcement.state
            for target_id, announcement in self._newest().items()
        }

    def newest(self, target_id: str) -> fleet_pb2.TargetState | None:
        """The newest announcement of one target, or None."""
        announcement = self._newest().get(target_id)
        return announcement.state if announcement is not None else None

    def merge(self, state: fleet_pb2.TargetState) -> bool:
        """Merges one announcement.

        Returns:
            Whether it changed anything but the sequence number.
        """
        known = self._latest_by_key.get(_key(state))
        if known is not None and _is_leave_without_start(state, known.state):
            return self._remove_until_next(known.state)
        if self._is_ended(state):
            return False
        if state.phase == fleet_pb2.TARGET_GONE:
            return self._end(state)
        if known is not None and _position(state) <= _position(known.state):
            return False
        self._store(state, known)
        return known is None or not _equal_except_sequence(state, known.state)

    def set_configured_services(self, names: Collection[str]) -> bool:
        """Sets the configured services; only their announcements are in effect.

        Returns:
            Whether the set of targets in effect has changed.
        """
        configured = frozenset(names)
        if configured == self._configured_services:
            return False
        before = self.targets_by_id
        self._configured_services = configured
        self._invalidate_caches()
        return self.targets_by_id != before

    def address_holders(self) -> list[fleet_pb2.TargetState]:
        """Targets that hold their address, in the order of first announcement.

        If two ids announce one address, the target born later holds it, or the
        one first received later if a birth time is missing, unless it has been
        demoted. Addresses are reused after their owner has ended.
        """
        if self._cached_holders is None:
            self._cached_holders = self._holders()
        return list(self._cached_holders)

    def _holders(self) -> tuple[fleet_pb2.TargetState, ...]:
        holder_by_address: dict[str, _LatestAnnouncement] = {}
        for announcement in self._newest().values():
            address = announcement.state.address
            other = holder_by_address.get(address)
            if other is None or announcement.address_rank > other.address_rank:
                holder_by_address[address] = announcement
        holders = sorted(
            holder_by_address.values(), key=lambda each: each.arrival_order
        )
        return tuple(announcement.state for announcement in holders)

    def demote(self, target_id: str) -> None:
        """Demotes an id: other ids at its address take precedence.

        To be called when another target answers at the address, which means
        that the announcement of this id was late. If that was wrong, demoting
        the other id reverses it.
        """
        demoted = [
            announcement
            for (known_id, _), announcement in self._latest_by_key.items()
            if known_id == target_id
        ]
        lowest = min(
            (each.arrival_order for each in self._latest_by_key.values()),
            default=0,
        )
        for announcement in demoted:
            announcement.arrival_order = min(lowest, 1) - 1
        self._invalidate_caches()

    def is_draining(self, target_id: str, born_ms: int) -> bool:
        """Whether a start of a target is leaving or has left.

        Args:
            target_id: id of the target.
            born_ms: time at which the start was born; 0 if not announced.
        """
        ended_ms, _ = self._end_positions.get(
            (target_id, _ALL_SERVICES), _FIRST_POSITION
        )
        if born_ms <= ended_ms:
            return True
        state = self.newest(target_id)
        if state is None or state.born_ms != born_ms:
            return False
        return state.phase != fleet_pb2.TARGET_READY

    def newest_born_ms(self, target_id: str) -> int:
        """Birth time of the newest start of a target; 0 if not announced."""
        state = self.newest(target_id)
        return state.born_ms if state is not None else 0

    def start_ids(self) -> set[str]:
        """The ids of the known starts of all targets; see `start_id`."""
        return {start_id(state) for state in self.targets_by_id.values()}

    def snapshot(self) -> Iterator[fleet_pb2.TargetState]:
        """All announcements kept, including those of unconfigured services."""
        for announcement in self._latest_by_key.values():
            yield announcement.state

    def ended(self) -> Iterator[fleet_pb2.TargetState]:
        """Announcements that report the recorded ends, oldest first.

        An end without a start is not published while a later start of the
        target is known, because its receivers would end that start as well.
        """
        active_ids = {target_id for target_id, _ in self._latest_by_key}
        for (target_id, service), (born_ms, _) in self._end_positions.items():
            if service != _ALL_SERVICES:
                continue
            if born_ms or target_id not in active_ids:
                yield fleet_pb2.TargetState(
                    id=target_id, phase=fleet_pb2.TARGET_GONE, born_ms=born_ms
                )

    def _invalidate_caches(self) -> None:
        self._newest_by_id = None
        self._cached_holders = None

    def _newest(self) -> dict[str, _LatestAnnouncement]:
        if self._newest_by_id is None:
            self._newest_by_id = {}
            for (
                target_id,
                service,
            ), announcement in self._latest_by_key.items():
                if not self._is_configured(service):
                    continue
                other = self._newest_by_id.get(target_id)
                if other is None or _position(announcement.state) > _position(
                    other.state
                ):
                    self._newest_by_id[target_id] = announcement
        return self._newest_by_id

    def _is_configured(self, service: str) -> bool:
        return (
            self._configured_services is None
            or service in self._configured_services
        )

    def _is_ended(self, state: fleet_pb2.TargetState) -> bool:
        position = _position(state)
        if state.phase == fleet_pb2.TARGET_GONE:
            position = (state.born_ms, math.inf)
        marks = (
            self._end_positions.get((state.id, service), _FIRST_POSITION)
            for service in {_ALL_SERVICES, state.service}
        )
        return position <= max(marks)

    def _store(
        self, state: fleet_pb2.TargetState, known: _LatestAnnouncement | None
    ) -> None:
        arrival_order = known.arrival_order if known is not None else 0
        if known is None or known.state.born_ms != state.born_ms:
            self._arrival_count += 1
            arrival_order = self._arrival_count
        self._latest_by_key.pop(_key(state), None)
        self._latest_by_key[_key(state)] = _LatestAnnouncement(
            state, arrival_order
        )
        if len(self._latest_by_key) > _MAX_ANNOUNCEMENTS:
            self._latest_by_key.pop(next(iter(self._latest_by_key)))
        self._invalidate_caches()

    def _end(self, gone: fleet_pb2.TargetState) -> bool:
        """Ends a start and all earlier ones."""
        last = (gone.born_ms, math.inf)
        for key, announcement in list(self._latest_by_key.items()):
            if key[0] != gone.id:
                continue
            if _position(announcement.state) <= last:
                del self._latest_by_key[key]
            elif not gone.born_ms:
                self._remove_until_next(announcement.state)
        self._record_end((gone.id, _ALL_SERVICES), last)
        self._invalidate_caches()
        return True

    def _remove_until_next(self, known: fleet_pb2.TargetState) -> bool:
        """Removes a target until its next announcement."""
        del self._latest_by_key[_key(known)]
        self._record_end(_key(known), _position(known))
        self._invalidate_caches()
        return True

    def _record_end(self, key: tuple[str, str], position: _Position) -> None:
        before = self._end_positions.pop(key, _FIRST_POSITION)
        self._end_positions[key] = max(before, position)
        while len(self._end_positions) > _MAX_RECORDED_ENDS:
            self._end_positions.pop(next(iter(self._end_positions)))


def start_id(state: fleet_pb2.TargetState) -> str:
    """The id of one start of a target.

    Observations of a target's load, faults and connections are kept by this id,
    so that none of them outlives the start at which it was made.
    """
    if not state.born_ms:
        return state.id
    return f"{state.id}@{state.born_ms}"


def _key(state: fleet_pb2.TargetState) -> tuple[str, str]:
    return state.id, state.service


def _position(state: fleet_pb2.TargetState) -> _Position:
    return state.born_ms, state.sequence


def _is_leave_without_start(
    state: fleet_pb2.TargetState, known: fleet_pb2.TargetState
) -> bool:
    """Whether a leaving announcement does not identify the start it ends."""
    is_draining = state.phase == fleet_pb2.TARGET_DRAINING
    return is_draining and not state.born_ms and known.born_ms > 0


def _equal_except_sequence(
    state: fleet_pb2.TargetState, known: fleet_pb2.TargetState
) -> bool:
    if state.warming_ms:
        # It counts from its announcement on.
        return False
    copy = fleet_pb2.TargetState()
    copy.CopyFrom(state)
    copy.sequence = known.sequence
    return copy == known
