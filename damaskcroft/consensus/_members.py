"""Questions about a member list."""

from collections.abc import Callable

from damaskcroft._generated import consensus_pb2


def find_member(
    config: consensus_pb2.ClusterConfig, member_id: str
) -> consensus_pb2.Voter | None:
    """The member with an id, or None."""
    for member in config.members:
        if member.id == member_id:
            return member
    return None


def voters(config: consensus_pb2.ClusterConfig) -> list[consensus_pb2.Voter]:
    """Members whose answers count."""
    return [member for member in config.members if not member.learner]


def is_voter(
    config: consensus_pb2.ClusterConfig, member_id: str, incarnation: str
) -> bool:
    """Whether a disk's incarnation is the one that counts for its id."""
    member = find_member(config, member_id)
    if member is None or member.learner:
        return False
    return member.incarnation == incarnation


def with_member(
    config: consensus_pb2.ClusterConfig, member: consensus_pb2.Voter
) -> consensus_pb2.ClusterConfig:
    """The list with one member added or replaced."""
    changed = consensus_pb2.ClusterConfig()
    changed.members.extend(m for m in config.members if m.id != member.id)
    changed.members.append(member)
    return changed


def without_member(
    config: consensus_pb2.ClusterConfig, member_id: str
) -> consensus_pb2.ClusterConfig:
    """The list with one member removed."""
    changed = consensus_pb2.ClusterConfig()
    changed.members.extend(m for m in config.members if m.id != member_id)
    return changed


def majority_value(
    config: consensus_pb2.ClusterConfig,
    own_id: str,
    own_value: float,
    value_of: Callable[[consensus_pb2.Voter], float],
) -> float:
    """The greatest value that a majority of the voters has reached.

    Args:
        config: the member list.
        own_id: the asking member, whose value is `own_value`.
        own_value: the asking member's value.
        value_of: the value of any other member.
    """
    values = [
        own_value if voter.id == own_id else value_of(voter)
        for voter in voters(config)
    ]
    values.sort(reverse=True)
    return values[len(values) // 2]
