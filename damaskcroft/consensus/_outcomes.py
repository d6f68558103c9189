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


Outcome = Committed | NotLeader | Undecided | DiskFailed
