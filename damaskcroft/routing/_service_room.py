"""What an entry has measured of the room that a service's requests find."""

import collections

from damaskcroft.clock import now_s
from damaskcroft.routing._customer_shares import CustomerShares
from damaskcroft.routing._priority_shares import PriorityShares
from damaskcroft.routing._standing_queue import LateSpan
from damaskcroft.routing._tickets import QueueTicket

__all__ = ["ServiceRoom"]

# Window over which the rate of granted slots is measured, to predict waits. It
# is long enough that a pause of some tenths of a second, as when versions
# change, is not taken for a lower rate.
_RATE_WINDOW_S = 2.0
# Maximum number of grant times kept for this: ten times the number of slots
# that an entry grants in the window.
_MAX_GRANT_TIMES = 1000
# With fewer grants in the window the rate is unknown: right after a pause or a
# start, the first few don't show how many follow.
_MIN_GRANT_TIMES = 8
# Slots granted at one moment are assumed to be spread over this time, which is
# how long the passes of a full target take.
_MIN_GRANT_SPAN_S = 0.1


class ServiceRoom:
    """Measurements of one service at one entry.

    Attributes:
        late_span: the span in which waiting requests were too late.
        priorities: requests and grants by priority.
        customers: grants by customer.
    """

    __slots__ = ("_grant_times", "customers", "late_span", "priorities")

    def __init__(self) -> None:
        """Starts without requests."""
        self._grant_times: collections.deque[float] = collections.deque(
            maxlen=_MAX_GRANT_TIMES
        )
        self.late_span = LateSpan()
        self.priorities = PriorityShares()
        self.customers = CustomerShares()

    def record_grant(self, ticket: QueueTicket) -> None:
        """Counts a request that has got a slot."""
        self._grant_times.append(now_s())
        self.priorities.record_grant(ticket.priority)
        self.customers.record_grant(ticket.customer)

    def expected_wait_s(self, count_ahead: int) -> float:
        """Predicts the wait for the requests ahead, at the present rate."""
        now = now_s()
        recent = [at for at in self._grant_times if at >= now - _RATE_WINDOW_S]
        if len(recent) < _MIN_GRANT_TIMES:
            return 0.0
        span_s = max(now - recent[0], _MIN_GRANT_SPAN_S)
        return count_ahead * span_s / len(recent)
