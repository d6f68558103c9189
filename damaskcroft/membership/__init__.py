"""Who takes part: announcements, leases, and each holder's roster.

Leases follow "Leases: An Efficient Fault-Tolerant Mechanism for Distributed
File Cache Consistency" (Gray and Cheriton, 1989): a holder counts from the
moment it sent the renewal, the granter from the moment it received it, both
on clocks of their own that count suspensions, so that the holder always stops
first.
"""

from damaskcroft.membership._client import LeaseClient
from damaskcroft.membership._holders import HolderTable
from damaskcroft.membership._lease import Lease
from damaskcroft.membership._ledger import HolderEntry, LeaseLedger
from damaskcroft.membership._reports import held_up_word
from damaskcroft.membership._roster import Roster

__all__ = [
    "HolderEntry",
    "HolderTable",
    "Lease",
    "LeaseClient",
    "LeaseLedger",
    "Roster",
    "held_up_word",
]
