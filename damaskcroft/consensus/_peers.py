"""A leader's replication state of the other members."""

from damaskcroft._generated import consensus_pb2
from damaskcroft.clock import now_s
from damaskcroft.consensus._members import majority_value

_NEVER = float("-inf")


class Peer:
    """A leader's replication state of one member.

    Attributes:
        next_index: index of the next entry to send.
        match_index: index of the newest entry that the member is known to hold.
        incarnation: incarnation of the disk that holds it.
        confirmed_at: send time of the newest message that it acknowledged.
    """

    __slots__ = ("confirmed_at", "incarnation", "match_index", "next_index")

    def __init__(self, next_index: int):
        """Starts at `next_index` with nothing acknowledged."""
        self.next_index = next_index
        self.match_index = 0
        self.incarnation = ""
        self.confirmed_at = _NEVER


class Peers:
    """Replication state of all other members during one leadership.

    Only replies of the incarnation in the member list count, because another
    disk under the same id does not hold what the listed one acknowledged.
    """

    __slots__ = ("_own_id", "by_id", "leading_since")

    def __init__(self, own_id: str, leading_since: float = _NEVER):
        """Takes the time at which the leadership began, if it has begun."""
        self._own_id = own_id
        self.by_id: dict[str, Peer] = {}
        self.leading_since = leading_since

    def match_index_of(self, member: consensus_pb2.Voter) -> float:
        """Index of the newest entry known to be held by a member."""
        peer = self.by_id.get(member.id)
        if peer is None or peer.incarnation != member.incarnation:
            return 0
        return peer.match_index

    def majority_match_index(
        self, config: consensus_pb2.ClusterConfig, own_index: int
    ) -> int:
        """Index of the newest entry that a majority holds."""
        return int(
            majority_value(config, self._own_id, own_index, self.match_index_of)
        )

    def majority_confirmed_at(
        self, config: consensus_pb2.ClusterConfig
    ) -> float:
        """Send time of the newest message that a majority acknowledged."""
        return majority_value(config, self._own_id, now_s(), self._confirmed_at)

    def silent_s(self, member: consensus_pb2.Voter) -> float:
        """Time since a member last replied, or since the leadership began."""
        peer = self.by_id.get(member.id)
        heard_at = peer.confirmed_at if peer is not None else _NEVER
        return now_s() - max(self.leading_since, heard_at)

    def _confirmed_at(self, member: consensus_pb2.Voter) -> float:
        peer = self.by_id.get(member.id)
        if peer is None or peer.incarnation != member.incarnation:
            return _NEVER
        return peer.confirmed_at
