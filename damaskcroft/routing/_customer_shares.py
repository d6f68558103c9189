"""Fair order of waiting requests among customers.

It is for loads above the capacity of the targets in which one customer sends
most of the requests: first come, first served would give it most of the slots,
and small customers few. Whoever got fewest slots of late goes first, as in fair
queueing (Demers, Keshav and Shenker, 1989) with requests as the unit.
"""

from damaskcroft.routing._decay import Decay

__all__ = ["CustomerShares"]

# Customers whose count has fallen below this are forgotten.
_MIN_COUNT = 0.05


class CustomerShares:
    """Recent grants of one service at one entry, by customer."""

    __slots__ = ("_decay", "_grants_by_customer")

    def __init__(self) -> None:
        """Starts without grants."""
        self._grants_by_customer: dict[str, float] = {}
        self._decay = Decay()

    def record_grant(self, customer: str) -> None:
        """Counts a request that has got a slot."""
        self._decay_counts()
        grants = self._grants_by_customer.get(customer, 0.0)
        self._grants_by_customer[customer] = grants + 1

    def recent_grants(self, customer: str) -> float:
        """Returns the decayed number of a customer's grants."""
        return self._grants_by_customer.get(customer, 0.0)

    def _decay_counts(self) -> None:
        factor = self._decay.take_factor()
        if factor is None:
            return
        self._grants_by_customer = {
            customer: grants * factor
            for customer, grants in self._grants_by_customer.items()
            if grants * factor >= _MIN_COUNT
        }
