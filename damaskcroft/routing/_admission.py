"""Who runs next: strict priority, then fair share between customers.

Below alerts and pings, customers take turns by deficit round robin (Shreedhar
and Varghese, "Efficient Fair Queuing Using Deficit Round-Robin", 1996), with
one request as the unit. Queues are bounded by deadline: whoever could not
start in time is refused at once, with when to come back.
"""

import asyncio
import collections
import contextlib
import dataclasses
from collections.abc import Callable, Iterator

from damaskcroft.clock import now_s
from damaskcroft.observe import metrics

ALERT, PING, DRAFT = 0, 1, 2
_SWEEP_S = 0.05
_SMOOTHING = 0.1
_FIRST_GUESS_S = 0.05
_NO_TARGET_RETRY_S = 1.0
_MIN_RETRY_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A request that asks for a slot.

    Attributes:
        pool: name of the pool.
        customer: who shares fairly with others.
        priority: 0 alert, 1 ping, 2 drafting.
        deadline_at: on the monotonic clock, in seconds.
    """

    pool: str
    customer: str
    priority: int
    deadline_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The request holds a slot until it is released."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotGranted:
    """Refused at once; nothing was run.

    Attributes:
        reason: no_target, expected_wait or queue_full.
        retry_after_s: when a slot is expected.
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
    """Slots and waiters of one pool."""

    def __init__(self) -> None:
        self.running = 0
        self.urgent: collections.deque[_Waiter] = collections.deque()
        self.waiters_by_customer: collections.OrderedDict[
            str, collections.deque[_Waiter]
        ] = collections.OrderedDict()
        self.service_s = _FIRST_GUESS_S

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

    def next_draft(self) -> _Waiter | None:
        """The next customer's oldest request; the customer goes last."""
        if not self.waiters_by_customer:
            return None
        customer, queue = self.waiters_by_customer.popitem(last=False)
        waiter = queue.popleft()
        if queue:
            self.waiters_by_customer[customer] = queue
        return waiter

    def place_of_next(self, ticket: Ticket) -> int:
        """How many would go before a request that came now."""
        if ticket.priority < DRAFT:
            return len(self.urgent)
        own = len(self.waiters_by_customer.get(ticket.customer, ()))
        before = sum(
            min(len(queue), own + 1)
            for customer, queue in self.waiters_by_customer.items()
            if customer != ticket.customer
        )
        return len(self.urgent) + own + before

    def drafts_in_order(self) -> Iterator[tuple[int, _Waiter]]:
        """Waiting drafts with their expected places, roughly in turn."""
        place = len(self.urgent)
        turn = 0
        queues = [list(q) for q in self.waiters_by_customer.values()]
        while any(turn < len(queue) for queue in queues):
            for queue in queues:
                if turn < len(queue):
                    yield place, queue[turn]
                    place += 1
            turn += 1


class Admission:
    """Slots of all pools at one entry.

    Args:
        slots_of: gives a pool's slots now, by its name.
        reserved_share: share of slots that only alerts and pings may take.
        max_queued: most requests waiting in all pools.
        clock_s: a monotonic clock in seconds.
    """

    def __init__(
        self,
        slots_of: Callable[[str], int],
        reserved_share: float,
        max_queued: int,
        clock_s: Callable[[], float] = now_s,
    ):
        """See the class."""
        self._slots_of = slots_of
        self._reserved_share = reserved_share
        self._max_queued = max_queued
        self._clock_s = clock_s
        self._queues_by_pool: dict[str, _PoolQueue] = {}

    async def acquire(self, ticket: Ticket) -> Granted | NotGranted:
        """Waits for a slot, or is refused as soon as that is hopeless."""
        queue = self._queues_by_pool.setdefault(ticket.pool, _PoolQueue())
        slots = self._slots_of(ticket.pool)
        if not slots:
            return NotGranted("no_target", _NO_TARGET_RETRY_S)
        if self._has_room(queue, ticket, slots) and not queue.waiting():
            queue.running += 1
            return Granted()
        refused = self._refusal(queue, ticket, slots)
        if refused is not None:
            return refused
        waiter = _Waiter(ticket)
        queue.add(waiter)
        self._fill(ticket.pool)
        try:
            return await waiter.done
        except asyncio.CancelledError:
            self._forget(queue, waiter)
            raise

    def release(self, ticket: Ticket, ran_s: float) -> None:
        """Gives a slot back.

        Args:
            ticket: what it was granted to.
            ran_s: how long the request ran.
        """
        queue = self._queues_by_pool[ticket.pool]
        queue.running -= 1
        queue.service_s += _SMOOTHING * (ran_s - queue.service_s)
        self._fill(ticket.pool)

    async def run(self) -> None:
        """Refuses waiters whose wait has become hopeless, until cancelled."""
        while True:
            await asyncio.sleep(_SWEEP_S)
            for pool, queue in self._queues_by_pool.items():
                self._fill(pool)
                self._sweep(pool, queue)
                metrics.ADMISSION_QUEUED.labels(pool).set(queue.waiting())

    def _has_room(self, queue: _PoolQueue, ticket: Ticket, slots: int) -> bool:
        return queue.running < self._limit(slots, ticket.priority)

    def _limit(self, slots: int, priority: int) -> int:
        if priority < DRAFT:
            return slots
        return max(1, slots - int(slots * self._reserved_share))

    def _refusal(
        self, queue: _PoolQueue, ticket: Ticket, slots: int
    ) -> NotGranted | None:
        wait_s = self._expected_wait_s(
            queue, queue.place_of_next(ticket), ticket, slots
        )
        total = sum(q.waiting() for q in self._queues_by_pool.values())
        if total >= self._max_queued and ticket.priority >= DRAFT:
            return NotGranted("queue_full", max(wait_s, _MIN_RETRY_S))
        if self._clock_s() + wait_s + queue.service_s > ticket.deadline_at:
            return NotGranted("expected_wait", max(wait_s, _MIN_RETRY_S))
        return None

    def _expected_wait_s(
        self, queue: _PoolQueue, place: int, ticket: Ticket, slots: int
    ) -> float:
        limit = self._limit(slots, ticket.priority)
        return queue.service_s * (place + 1) / limit

    def _fill(self, pool: str) -> None:
        """Grants free slots, urgent requests first."""
        queue = self._queues_by_pool[pool]
        slots = self._slots_of(pool)
        while queue.urgent and queue.running < slots:
            self._grant(queue, queue.urgent.popleft())
        drafts = self._limit(slots, DRAFT) if slots else 0
        while not queue.urgent and queue.running < drafts:
            waiter = queue.next_draft()
            if waiter is None:
                return
            self._grant(queue, waiter)

    def _grant(self, queue: _PoolQueue, waiter: _Waiter) -> None:
        if waiter.done.done():
            return
        queue.running += 1
        waiter.done.set_result(Granted())

    def _sweep(self, pool: str, queue: _PoolQueue) -> None:
        slots = self._slots_of(pool)
        waiting = [(i, waiter) for i, waiter in enumerate(queue.urgent)]
        waiting += list(queue.drafts_in_order())
        for place, waiter in waiting:
            if not slots:
                self._refuse(
                    queue, waiter, NotGranted("no_target", _NO_TARGET_RETRY_S)
                )
                continue
            wait_s = self._expected_wait_s(queue, place, waiter.ticket, slots)
            if self._clock_s() + wait_s > waiter.ticket.deadline_at:
                reason = NotGranted("expected_wait", max(wait_s, _MIN_RETRY_S))
                self._refuse(queue, waiter, reason)

    def _refuse(
        self, queue: _PoolQueue, waiter: _Waiter, reason: NotGranted
    ) -> None:
        self._remove(queue, waiter)
        if not waiter.done.done():
            waiter.done.set_result(reason)

    def _forget(self, queue: _PoolQueue, waiter: _Waiter) -> None:
        """Cleans up after a caller that left while it waited."""
        granted = waiter.done.done() and not waiter.done.cancelled()
        if granted and isinstance(waiter.done.result(), Granted):
            queue.running -= 1
            self._fill(waiter.ticket.pool)
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
