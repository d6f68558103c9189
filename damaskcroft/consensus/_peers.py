"""What a leader knows of the other members."""

from damaskcroft._generated import consensus_pb2
from damaskcroft.clock import now_s
from damaskcroft.consensus._members import majority_value

_NEVER = float("-inf")


class Peer:
    """What a leader knows of one member.

    Attributes:
        next_index: the next entry to send.
        match_index: the newest entry that it is known to hold.
        incarnation: of the disk that holds it.
        confirmed_at: send time of the newest message that it acknowledged.
    """

    __slots__ = ("confirmed_at", "incarnation", "match_index", "next_index")

    def __init__(self, next_index: int):
        """Knows nothing but where to begin."""
        self.next_index = next_index
        self.match_index = 0
        self.incarnation = ""
        self.confirmed_at = _NEVER


class Peers:
    """All other members, as one leadership has come to know them.

    Only answers of the incarnation in the member list count: another disk
    under the same id has promised nothing.
    """

    __slots__ = ("_own_id", "by_id", "since")

    def __init__(self, own_id: str, since: float = _NEVER):
        """Begins a leadership at a time, or none yet."""
        self._own_id = own_id
        self.by_id: dict[str, Peer] = {}
        self.since = since

    def match(self, member: consensus_pb2.Voter) -> float:
        """The newest entry that counts as held by a member."""
        peer = self.by_id.get(member.id)
        if peer is None or peer.incarnation != member.incarnation:
            return 0
        return peer.match_index

    def majority_match(
        self, config: consensus_pb2.ClusterConfig, own_index: int
    ) -> int:
        """The newest entry that a majority holds."""
        return int(majority_value(config, self._own_id, own_index, self.match))

    def majority_confirmed_at(
        self, config: consensus_pb2.ClusterConfig
    ) -> float:
        """When a majority last followed this leader."""
        return majority_value(config, self._own_id, now_s(), self._confirmed)

    def silent_s(self, member: consensus_pb2.Voter) -> float:
        """For how long a member has not answered, in this leadership."""
        peer = self.by_id.get(member.id)
        heard_at = peer.confirmed_at if peer is not None else _NEVER
        return now_s() - max(self.since, heard_at)

    def _confirmed(self, member: consensus_pb2.Voter) -> float:
        peer = self.by_id.get(member.id)
        if peer is None or peer.incarnation != member.incarnation:
            return _NEVER
        return peer.confirmed_at
