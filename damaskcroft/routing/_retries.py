"""A budget that keeps retries to a fraction of the requests.

After "Site Reliability Engineering" (Beyer et al., 2016), chapter 21.
"""

_MAX_SAVED = 20.0


class RetryBudget:
    """Retries allowed at one entry.

    Args:
        fraction: retries earned by each request.
    """

    __slots__ = ("_fraction", "_saved")

    def __init__(self, fraction: float):
        """Starts with the whole reserve."""
        self._fraction = fraction
        self._saved = _MAX_SAVED

    def earn(self) -> None:
        """Takes note of one request."""
        self._saved = min(_MAX_SAVED, self._saved + self._fraction)

    def spend(self) -> bool:
        """Takes one retry if there is one."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True
