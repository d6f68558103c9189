"""What a replica is made of: options, state machine, a formatted disk."""

import abc
import dataclasses
from typing import Any

from damaskcroft._generated import consensus_pb2
from damaskcroft.consensus._disk import Disk
from damaskcroft.consensus._errors import NotFormattedError
from damaskcroft.consensus._hard_state import HARD_STATE_NAME, new_hard_state
from damaskcroft.consensus._log import DurableLog

# The first replicas of a cluster share this incarnation; a replica that lost
# its disk draws a new one and so can't be taken for its former self.
FIRST_INCARNATION = "first"


class StateMachine(abc.ABC):
    """What the log drives: the same commands give the same state."""

    @abc.abstractmethod
    def apply(self, index: int, command: bytes) -> Any:
        """Applies one committed command and gives its result."""

    @abc.abstractmethod
    def snapshot(self) -> bytes:
        """The whole state."""

    @abc.abstractmethod
    def restore(self, state: bytes) -> None:
        """Replaces the whole state."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaOptions:
    """Settings of one replica.

    Attributes:
        id: this replica's id.
        address: its gRPC address.
        first_members: member ids and addresses, to find peers by after a
            lost disk.
        election_timeout_s: silence after which a follower may stand; the
            actual wait is drawn between once and twice this.
        heartbeat_s: longest time between a leader's messages.
        snapshot_entries: log entries between snapshots.
        snapshot_bytes: size of the log at which one is taken sooner.
    """

    id: str
    address: str
    first_members: dict[str, str]
    election_timeout_s: float = 0.6
    heartbeat_s: float = 0.1
    snapshot_entries: int = 20_000
    snapshot_bytes: int = 64 * 1024 * 1024


def format_disk(disk: Disk, members: dict[str, str]) -> None:
    """Prepares an empty disk for the very first start of a cluster.

    Done once by the operator on each disk, never after a disk was lost.

    Args:
        disk: an empty disk.
        members: addresses by id of all first members.

    Raises:
        NotFormattedError: the disk already holds a replica.
    """
    if disk.read(HARD_STATE_NAME) is not None:
        raise NotFormattedError("the data folder already holds a replica")
    config = consensus_pb2.ClusterConfig()
    for member_id, address in members.items():
        config.members.add(
            id=member_id, address=address, incarnation=FIRST_INCARNATION
        )
    DurableLog(disk).reset_to(consensus_pb2.Snapshot(config=config))
    state = consensus_pb2.HardState(incarnation=FIRST_INCARNATION)
    new_hard_state(disk, state)
