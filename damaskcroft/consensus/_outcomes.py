"""What became of a proposed command."""

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """The command is on a majority's disks and was applied.

    Attributes:
        index: its place in the log.
        result: what the state machine answered.
    """

    index: int
    result: Any


@dataclasses.dataclass(frozen=True, slots=True)
class NotLeader:
    """Nothing was appended; ask the leader.

    Attributes:
        leader_address: where it is, or empty while unknown.
    """

    leader_address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Undecided:
    """Appended, but not known to be committed; it may still become so."""


@dataclasses.dataclass(frozen=True, slots=True)
class DiskFailed:
    """Nothing was appended, since this replica's disk takes nothing now."""

    reason: str


Outcome = Committed | NotLeader | Undecided | DiskFailed
