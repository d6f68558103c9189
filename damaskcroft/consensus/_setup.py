"""Replica options, the state machine interface and disk formatting."""

import abc
import dataclasses
from typing import Any

from damaskcroft._generated import consensus_pb2
from damaskcroft.consensus._disk import Disk
from damaskcroft.consensus._errors import NotFormattedError
from damaskcroft.consensus._hard_state import (
    HARD_STATE_NAME,
    create_hard_state_file,
)
from damaskcroft.consensus._log import DurableLog

# The initial replicas of a cluster share this incarnation. A replica that lost
# its disk gets a new one, so that it isn't counted as the voter it replaces.
FIRST_INCARNATION = "first"


class StateMachine(abc.ABC):
    """Deterministic state machine driven by the log.

    The same sequence of commands must give the same state on every replica.
    """

    @abc.abstractmethod
    def apply(self, index: int, command: bytes) -> Any:
        """Applies one committed command and returns its result."""

    @abc.abstractmethod
    def snapshot(self) -> bytes:
        """Returns the whole state, serialized."""

    @abc.abstractmethod
    def restore(self, state: bytes) -> None:
        """Replaces the whole state by a serialized one."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaOptions:
    """Settings of one replica.

    Attributes:
        id: id of this replica.
        address: its gRPC address.
        first_members: addresses by id of the initial members, used to find
            peers after the disk was lost.
        election_timeout_s: time without a leader after which a follower may
            start an election; the actual wait is drawn between once and twice
            this.
        heartbeat_s: maximum time between messages of a leader.
        snapshot_entries: number of log entries between snapshots.
        snapshot_bytes: log size at which a snapshot is taken earlier.
    """

    id: str
    address: str
    first_members: dict[str, str]
    election_timeout_s: float = 0.6
    heartbeat_s: float = 0.1
    snapshot_entries: int = 20_000
    snapshot_bytes: int = 64 * 1024 * 1024


def format_disk(disk: Disk, members: dict[str, str]) -> None:
    """Prepares an empty disk for the first start of a cluster.

    The operator runs this once per disk, never on the replacement of a lost
    disk.

    Args:
        disk: an empty disk.
        members: addresses by id of all initial members.

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
    create_hard_state_file(disk, state)
