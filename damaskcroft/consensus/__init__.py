"""A replicated log that survives crashes and the loss of a minority of disks.

Each replica keeps the log on its disk; an entry is committed once a majority
of the voters has synced it. The protocol is Raft, after "In Search of an
Understandable Consensus Algorithm (Extended Version)" (Ongaro and Ousterhout,
2014). Leadership transfer, pre-vote, leader leases and single-server membership
changes follow Ongaro's dissertation (2014), sections 3.10, 4, 6.4 and 9.6.
"""

from damaskcroft.consensus._disk import Disk, FolderDisk
from damaskcroft.consensus._errors import (
    ConsensusError,
    LogDamagedError,
    NotFormattedError,
)
from damaskcroft.consensus._log import DurableLog
from damaskcroft.consensus._outcomes import (
    AppendCondition,
    Committed,
    DiskFailed,
    Expired,
    NotLeader,
    Outcome,
    Undecided,
)
from damaskcroft.consensus._replica import Replica
from damaskcroft.consensus._setup import (
    ReplicaOptions,
    StateMachine,
    format_disk,
)
from damaskcroft.consensus._transport import (
    GrpcTransport,
    PeerUnreachableError,
    ReplicaService,
    Transport,
)

__all__ = [
    "AppendCondition",
    "Committed",
    "ConsensusError",
    "Disk",
    "DiskFailed",
    "DurableLog",
    "Expired",
    "FolderDisk",
    "GrpcTransport",
    "LogDamagedError",
    "NotFormattedError",
    "NotLeader",
    "Outcome",
    "PeerUnreachableError",
    "Replica",
    "ReplicaOptions",
    "ReplicaService",
    "StateMachine",
    "Transport",
    "Undecided",
    "format_disk",
]
