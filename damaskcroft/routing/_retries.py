"""A retry budget that limits retries to a fraction of the requests.

See "Site Reliability Engineering" (Beyer et al., 2016), chapter 21.
"""

_MAX_BALANCE = 20.0


class RetryBudget:
    """Retry budget of one entry.

    Args:
        fraction: retries that each request adds to the budget.
    """

    __slots__ = ("_fraction", "_balance")

    def __init__(self, fraction: float):
        """Starts with the maximum balance."""
        self._fraction = fraction
        self._balance = _MAX_BALANCE

    def earn(self) -> None:
        """Counts one request."""
        self._balance = min(_MAX_BALANCE, self._balance + self._fraction)

    def spend(self) -> bool:
        """Takes one retry from the budget; False if none is left."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
