"""Membership: announcements, leases and each holder's roster.

A holder is a process that holds a lease from control: an entry or an agent.
Leases follow "Leases: An Efficient Fault-Tolerant Mechanism for Distributed
File Cache Consistency" (Gray and Cheriton, 1989). The holder measures its lease
from the time it sent the renewal, the granter from the time it received it.
Each uses its own monotonic clock, which also counts suspensions, so that the
holder always stops first.
"""

from damaskcroft.membership._client import LeaseClient
from damaskcroft.membership._holders import HolderTable
from damaskcroft.membership._lease import Lease
from damaskcroft.membership._ledger import HolderEntry, LeaseLedger
from damaskcroft.membership._reports import held_up_reason
from damaskcroft.membership._roster import Roster

__all__ = [
    "HolderEntry",
    "HolderTable",
    "Lease",
    "LeaseClient",
    "LeaseLedger",
    "Roster",
    "held_up_reason",
]
