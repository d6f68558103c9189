"""Outcomes of a proposed command."""

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """The command was committed by a majority and applied.

    Attributes:
        index: index of its entry in the log.
        result: return value of the state machine.
    """

    index: int
    result: Any


@dataclasses.dataclass(frozen=True, slots=True)
class NotLeader:
    """Nothing was appended because this replica is not the leader.

    Attributes:
        leader_address: address of the leader, or empty while unknown.
    """

    leader_address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Undecided:
    """The entry was appended and may or may not become committed."""


@dataclasses.dataclass(frozen=True, slots=True)
class DiskFailed:
    """Nothing was appended because the disk of this replica failed."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Expired:
    """Nothing was appended because the command was proposed too late."""


@dataclasses.dataclass(frozen=True, slots=True)
class AppendCondition:
    """When a command may be appended, checked in the same step.

    A fencing token for commands without a number of their own: it does not
    outlast the leadership, nor the wait of the caller, however long the command
    or any process that handles it is delayed.

    Attributes:
        term: the term in which the replica must be the leader.
        before_s: latest time at the clock of that leader.
    """

    term: int
    before_s: float


Outcome = Committed | NotLeader | Undecided | DiskFailed | Expired
