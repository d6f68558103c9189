"""Functions over the cluster's member list."""

from collections.abc import Callable

from damaskcroft._generated import consensus_pb2


def find_member(
    config: consensus_pb2.ClusterConfig, member_id: str
) -> consensus_pb2.Voter | None:
    """Returns the member with an id, or None."""
    for member in config.members:
        if member.id == member_id:
            return member
    return None


def voters(config: consensus_pb2.ClusterConfig) -> list[consensus_pb2.Voter]:
    """Returns the members that count for majorities: all but learners."""
    return [member for member in config.members if not member.learner]


def is_voter(
    config: consensus_pb2.ClusterConfig, member_id: str, incarnation: str
) -> bool:
    """Whether an incarnation is the one listed as a voter under an id."""
    member = find_member(config, member_id)
    if member is None or member.learner:
        return False
    return member.incarnation == incarnation


def with_member(
    config: consensus_pb2.ClusterConfig, member: consensus_pb2.Voter
) -> consensus_pb2.ClusterConfig:
    """Returns the list with one member added or replaced."""
    changed = consensus_pb2.ClusterConfig()
    changed.members.extend(m for m in config.members if m.id != member.id)
    changed.members.append(member)
    return changed


def without_member(
    config: consensus_pb2.ClusterConfig, member_id: str
) -> consensus_pb2.ClusterConfig:
    """Returns the list with one member removed."""
    changed = consensus_pb2.ClusterConfig()
    changed.members.extend(m for m in config.members if m.id != member_id)
    return changed


def majority_value(
    config: consensus_pb2.ClusterConfig,
    own_id: str,
    own_value: float,
    value_of: Callable[[consensus_pb2.Voter], float],
) -> float:
    """Returns the greatest value that a majority of the voters has reached.

    Args:
        config: the member list.
        own_id: id of this member.
        own_value: value of this member.
        value_of: returns the value of another member.
    """
    values = [
        own_value if voter.id == own_id else value_of(voter)
        for voter in voters(config)
    ]
    values.sort(reverse=True)
    return values[len(values) // 2]
