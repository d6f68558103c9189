"""Admission of requests: strict priority, then fair sharing by customer.

Alerts and pings come first. All other requests share the remaining slots by
deficit round robin between customers (Shreedhar and Varghese, "Efficient Fair
Queuing Using Deficit Round-Robin", 1996), with one request as the unit. Queues
are bounded by deadline: a request that cannot start in time is refused at once,
with the time after which to retry.
"""

import asyncio
import collections
import contextlib
import dataclasses
from collections.abc import Callable, Iterator

from damaskcroft.clock import now_s
from damaskcroft.observe import metrics

ALERT, PING, DRAFT = 0, 1, 2
_SWEEP_INTERVAL_S = 0.05
_SERVICE_TIME_SMOOTHING = 0.1
_INITIAL_SERVICE_S = 0.05
_NO_TARGET_RETRY_S = 1.0
_MIN_RETRY_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A request that asks for a slot.

    Attributes:
        pool: name of the pool.
        customer: name of the customer whose fair share the request uses.
        priority: 0 alert, 1 ping, 2 drafting.
        deadline_at: time on the monotonic clock, in seconds.
    """

    pool: str
    customer: str
    priority: int
    deadline_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """Outcome of a request that holds a slot until it is released."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotGranted:
    """Outcome of a request that is refused without having run.

    Attributes:
        reason: no_target, expected_wait or queue_full.
        retry_after_s: time until a slot is expected.
    """

    reason: str
    retry_after_s: float


class _Waiter:
    __slots__ = ("done", "ticket")

    def __init__(self, ticket: Ticket):
        self.ticket = ticket
        self.done: asyncio.Future[Granted | NotGranted] = (
            asyncio.get_running_loop().create_future()
        )


class _PoolQueue:
    """Slots in use and queued requests of one pool."""

    def __init__(self) -> None:
        self.running = 0
        self.urgent: collections.deque[_Waiter] = collections.deque()
        self.waiters_by_customer: collections.OrderedDict[
            str, collections.deque[_Waiter]
        ] = collections.OrderedDict()
        self.mean_service_s = _INITIAL_SERVICE_S

    def waiting(self) -> int:
        drafts = sum(len(q) for q in self.waiters_by_customer.values())
        return len(self.urgent) + drafts

    def add(self, waiter: _Waiter) -> None:
        if waiter.ticket.priority < DRAFT:
            self.urgent.append(waiter)
            return
        customer = waiter.ticket.customer
        if customer not in self.waiters_by_customer:
            self.waiters_by_customer[customer] = collections.deque()
        self.waiters_by_customer[customer].append(waiter)

    def pop_draft(self) -> _Waiter | None:
        """Removes the next customer's oldest draft; the customer goes last."""
        if not self.waiters_by_customer:
            return None
        customer, queue = self.waiters_by_customer.popitem(last=False)
        waiter = queue.popleft()
        if queue:
            self.waiters_by_customer[customer] = queue
        return waiter

    def position_of_next(self, ticket: Ticket) -> int:
        """Counts the requests ahead of one that arrives now."""
        if ticket.priority < DRAFT:
            return len(self.urgent)
        own = len(self.waiters_by_customer.get(ticket.customer, ()))
        of_others = sum(
            min(len(queue), own + 1)
            for customer, queue in self.waiters_by_customer.items()
            if customer != ticket.customer
        )
        return len(self.urgent) + own + of_others

    def drafts_in_order(self) -> Iterator[tuple[int, _Waiter]]:
        """Yields waiting drafts and positions, approximately in grant order."""
        position = len(self.urgent)
        round_index = 0
        queues = [list(q) for q in self.waiters_by_customer.values()]
        while any(round_index < len(queue) for queue in queues):
            for queue in queues:
                if round_index < len(queue):
                    yield position, queue[round_index]
                    position += 1
            round_index += 1


class Admission:
    """Grants the slots of all pools at one entry.

    Args:
        slots_of: returns the current number of slots of a pool, by its name.
        reserved_share: share of slots that only alerts and pings may take.
        max_queued: maximum number of requests waiting in all pools.
        clock_s: a monotonic clock in seconds.
    """

    def __init__(
        self,
        slots_of: Callable[[str], int],
        reserved_share: float,
        max_queued: int,
        clock_s: Callable[[], float] = now_s,
    ):
        """Starts with no slots in use and empty queues."""
        self._slots_of = slots_of
        self._reserved_share = reserved_share
        self._max_queued = max_queued
        self._clock_s = clock_s
        self._queues_by_pool: dict[str, _PoolQueue] = {}

    async def acquire(self, ticket: Ticket) -> Granted | NotGranted:
        """Waits for a slot, or refuses once the deadline cannot be met."""
        queue = self._queues_by_pool.setdefault(ticket.pool, _PoolQueue())
        slots = self._slots_of(ticket.pool)
        if not slots:
            return NotGranted("no_target", _NO_TARGET_RETRY_S)
        if self._has_room(queue, ticket, slots) and not queue.waiting():
            queue.running += 1
            return Granted()
        refusal = self._find_refusal(queue, ticket, slots)
        if refusal is not None:
            return refusal
        waiter = _Waiter(ticket)
        queue.add(waiter)
        self._grant_free_slots(ticket.pool)
        try:
            return await waiter.done
        except asyncio.CancelledError:
            self._abandon(queue, waiter)
            raise

    def release(self, ticket: Ticket, ran_s: float) -> None:
        """Releases a slot.

        Args:
            ticket: the ticket that it was granted to.
            ran_s: how long the request ran.
        """
        queue = self._queues_by_pool[ticket.pool]
        queue.running -= 1
        queue.mean_service_s += _SERVICE_TIME_SMOOTHING * (
            ran_s - queue.mean_service_s
        )
        self._grant_free_slots(ticket.pool)

    async def run(self) -> None:
        """Refuses waiters that can no longer start in time, until cancelled."""
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            for pool, queue in self._queues_by_pool.items():
                self._grant_free_slots(pool)
                self._refuse_late(pool, queue)
                metrics.ADMISSION_QUEUED.labels(pool).set(queue.waiting())

    def _has_room(self, queue: _PoolQueue, ticket: Ticket, slots: int) -> bool:
        return queue.running < self._max_running(slots, ticket.priority)

    def _max_running(self, slots: int, priority: int) -> int:
        if priority < DRAFT:
            return slots
        return max(1, slots - int(slots * self._reserved_share))

    def _find_refusal(
        self, queue: _PoolQueue, ticket: Ticket, slots: int
    ) -> NotGranted | None:
        wait_s = self._expected_wait_s(
            queue, queue.position_of_next(ticket), ticket, slots
        )
        total = sum(q.waiting() for q in self._queues_by_pool.values())
        if total >= self._max_queued and ticket.priority >= DRAFT:
            return NotGranted("queue_full", max(wait_s, _MIN_RETRY_S))
        if self._clock_s() + wait_s + queue.mean_service_s > ticket.deadline_at:
            return NotGranted("expected_wait", max(wait_s, _MIN_RETRY_S))
        return None

    def _expected_wait_s(
        self, queue: _PoolQueue, position: int, ticket: Ticket, slots: int
    ) -> float:
        max_running = self._max_running(slots, ticket.priority)
        return queue.mean_service_s * (position + 1) / max_running

    def _grant_free_slots(self, pool: str) -> None:
        """Grants free slots, to urgent requests first."""
        queue = self._queues_by_pool[pool]
        slots = self._slots_of(pool)
        while queue.urgent and queue.running < slots:
            self._grant(queue, queue.urgent.popleft())
        max_running = self._max_running(slots, DRAFT) if slots else 0
        while not queue.urgent and queue.running < max_running:
            waiter = queue.pop_draft()
            if waiter is None:
                return
            self._grant(queue, waiter)

    def _grant(self, queue: _PoolQueue, waiter: _Waiter) -> None:
        if waiter.done.done():
            return
        queue.running += 1
        waiter.done.set_result(Granted())

    def _refuse_late(self, pool: str, queue: _PoolQueue) -> None:
        slots = self._slots_of(pool)
        waiting = [(i, waiter) for i, waiter in enumerate(queue.urgent)]
        waiting += list(queue.drafts_in_order())
        for position, waiter in waiting:
            if not slots:
                self._refuse(
                    queue, waiter, NotGranted("no_target", _NO_TARGET_RETRY_S)
                )
                continue
            wait_s = self._expected_wait_s(
                queue, position, waiter.ticket, slots
            )
            if self._clock_s() + wait_s > waiter.ticket.deadline_at:
                refusal = NotGranted("expected_wait", max(wait_s, _MIN_RETRY_S))
                self._refuse(queue, waiter, refusal)

    def _refuse(
        self, queue: _PoolQueue, waiter: _Waiter, refusal: NotGranted
    ) -> None:
        self._remove(queue, waiter)
        if not waiter.done.done():
            waiter.done.set_result(refusal)

    def _abandon(self, queue: _PoolQueue, waiter: _Waiter) -> None:
        """Removes a cancelled request, and releases a slot granted to it."""
        granted = waiter.done.done() and not waiter.done.cancelled()
        if granted and isinstance(waiter.done.result(), Granted):
            queue.running -= 1
            self._grant_free_slots(waiter.ticket.pool)
            return
        self._remove(queue, waiter)

    def _remove(self, queue: _PoolQueue, waiter: _Waiter) -> None:
        with contextlib.suppress(ValueError):
            queue.urgent.remove(waiter)
            return
        customer = waiter.ticket.customer
        own = queue.waiters_by_customer.get(customer)
        if own is None:
            return
        with contextlib.suppress(ValueError):
            own.remove(waiter)
        if not own:
            del queue.waiters_by_customer[customer]
