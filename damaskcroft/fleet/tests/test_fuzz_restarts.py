"""Starts, leaves, late and repeated announcements, and network partitions."""

import hypothesis.strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    invariant,
    multiple,
    rule,
)

from damaskcroft._generated import fleet_pb2
from damaskcroft.fleet import TargetRegistry

READY, DRAINING, GONE = (
    fleet_pb2.TARGET_READY,
    fleet_pb2.TARGET_DRAINING,
    fleet_pb2.TARGET_GONE,
)
IDS = ["a", "b"]
ADDRESSES = ["1.1.1.1:1", "1.1.1.1:2"]
NODES = 3
KNOWN_SERVICE = "s"


class Restarts(RuleBasedStateMachine):
    """Targets restart under their ids; control nodes receive different parts.

    The model keeps every announcement that each node has received, and derives
    from these which targets must be in effect.
    """

    announcements = Bundle("announcements")

    def __init__(self):
        super().__init__()
        self.registries = [TargetRegistry() for _ in range(NODES)]
        self.received = [[] for _ in range(NODES)]
        self.now_ms = 0
        self.newest_by_id = {}

    def draw_running(self, data):
        return data.draw(st.sampled_from(sorted(self.newest_by_id)))

    @rule(
        target=announcements,
        target_id=st.sampled_from(IDS),
        address=st.sampled_from(ADDRESSES),
    )
    def start(self, target_id, address):
        self.now_ms += 1
        state = fleet_pb2.TargetState(
            id=target_id, address=address, service=KNOWN_SERVICE, sequence=1,
            born_ms=self.now_ms, phase=READY,
        )  # fmt: skip
        self.newest_by_id[target_id] = state
        return state

    @rule(
        target=announcements,
        data=st.data(),
        phase=st.sampled_from([READY, DRAINING]),
    )
    def announce(self, data, phase):
        if not self.newest_by_id:
            return multiple()
        state = fleet_pb2.TargetState()
        state.CopyFrom(self.newest_by_id[self.draw_running(data)])
        state.sequence += 1
        state.phase = phase
        self.newest_by_id[state.id] = state
        return state

    @rule(target=announcements, data=st.data())
    def leave(self, data):
        if not self.newest_by_id:
            return multiple()
        state = self.newest_by_id.pop(self.draw_running(data))
        return fleet_pb2.TargetState(
            id=state.id, phase=GONE, born_ms=state.born_ms
        )

    @rule(
        target=announcements,
        target_id=st.sampled_from([*IDS, "x"]),
        address=st.sampled_from(ADDRESSES),
        sequence=st.integers(1, 100),
        born_ms=st.integers(0, 100),
    )
    def announce_unknown_service(self, target_id, address, sequence, born_ms):
        """Another sender announces a service that no configuration contains."""
        return fleet_pb2.TargetState(
            id=target_id, address=address, service="unknown",
            sequence=sequence, born_ms=born_ms,
        )  # fmt: skip

    @rule(announcement=announcements, node=st.integers(0, NODES - 1))
    def receive(self, announcement, node):
        """An announcement stays in the bundle: it may arrive late and twice."""
        self.registries[node].merge(announcement)
        self.received[node].append(announcement)

    @rule(sender=st.integers(0, NODES - 1), receiver=st.integers(0, NODES - 1))
    def synchronize(self, sender, receiver):
        """A partition heals: one node sends another all that it knows."""
        registry = self.registries[sender]
        for announcement in [*registry.snapshot(), *registry.ended()]:
            self.registries[receiver].merge(announcement)
        self.received[receiver] += self.received[sender]

    @rule(node=st.integers(0, NODES - 1))
    def configure(self, node):
        self.registries[node].set_configured_services({KNOWN_SERVICE})

    def expected(self, node):
        """The newest announcement of each start that has not ended, by id."""
        ended = {}
        newest = {}
        for announcement in self.received[node]:
            if announcement.phase == GONE:
                ended[announcement.id] = max(
                    ended.get(announcement.id, 0), announcement.born_ms
                )
        for announcement in self.received[node]:
            if (
                announcement.phase == GONE
                or announcement.service != KNOWN_SERVICE
            ):
                continue
            if announcement.born_ms <= ended.get(announcement.id, -1):
                continue
            known = newest.get(announcement.id)
            if known is None or position(announcement) > position(known):
                newest[announcement.id] = announcement
        return newest

    @invariant()
    def the_newest_announcement_of_the_newest_start_is_in_effect(self):
        for node, registry in enumerate(self.registries):
            assert positions_of_known(registry) == {
                target_id: position(announcement)
                for target_id, announcement in self.expected(node).items()
            }

    @invariant()
    def an_address_is_held_by_the_target_born_last(self):
        for node, registry in enumerate(self.registries):
            if registry._configured_services is None:
                continue
            by_address = {}
            for announcement in self.expected(node).values():
                by_address.setdefault(announcement.address, []).append(
                    announcement.born_ms
                )
            assert {
                s.address: s.born_ms for s in registry.address_holders()
            } == {address: max(born) for address, born in by_address.items()}


def position(announcement):
    return announcement.born_ms, announcement.sequence


def positions_of_known(registry):
    return {
        announcement.id: position(announcement)
        for announcement in registry.snapshot()
        if announcement.service == KNOWN_SERVICE
    }


TestRestarts = Restarts.TestCase
