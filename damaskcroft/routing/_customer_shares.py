"""Fair order of waiting requests among customers.

It is for loads above the capacity of the targets in which one customer sends
most of the requests: first come, first served would give it most of the slots,
and small customers few. Whoever got fewest slots of late goes first, as in fair
queueing (Demers, Keshav and Shenker, 1989) with requests as the unit.
"""

import math

from damaskcroft.clock import now_s

__all__ = ["CustomerShares"]

# Counts halve in this time, as for the shares of priorities.
_HALF_LIFE_S = 2.0
# Counts are decayed in steps of this time.
_DECAY_INTERVAL_S = _HALF_LIFE_S / 16
# Customers whose count has fallen below this are forgotten.
_MIN_COUNT = 0.05


class CustomerShares:
    """Recent grants of one service at one entry, by customer."""

    __slots__ = ("_decayed_at", "_grants_by_customer")

    def __init__(self) -> None:
        """Starts without grants."""
        self._grants_by_customer: dict[str, float] = {}
        self._decayed_at = -math.inf

    def record_grant(self, customer: str) -> None:
        """Counts a request that has got a slot."""
        self._decay()
        grants = self._grants_by_customer.get(customer, 0.0)
        self._grants_by_customer[customer] = grants + 1

    def recent_grants(self, customer: str) -> float:
        """Returns the decayed number of a customer's grants."""
        return self._grants_by_customer.get(customer, 0.0)

    def _decay(self) -> None:
        now = now_s()
        elapsed_s = now - self._decayed_at
        if elapsed_s < _DECAY_INTERVAL_S:
            return
        self._decayed_at = now
        factor = 0.5 ** (elapsed_s / _HALF_LIFE_S)
        self._grants_by_customer = {
            customer: grants * factor
            for customer, grants in self._grants_by_customer.items()
            if grants * factor >= _MIN_COUNT
        }
