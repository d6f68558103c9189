"""An operator that evacuates a target's failure domain again and again."""

import asyncio
import time

from damaskcroft.hosted.tests.abandoned_orders import (
    ConnectionEnd,
    abandon_order,
)
from damaskcroft.hosted.tests.deployment import CONTROL_IPS
from damaskcroft.hosted.tests.soak._history import CONTACT_S

# From this seed on, the failure domain of one target is evacuated and taken
# back beside all other faults, and it is evacuated at the end.
EVACUATIONS_FROM_SEED = 6000
EVACUATED_DOMAIN = "z0"
OTHER_DOMAIN = "z1"
_ACKNOWLEDGE_TIMEOUT_S = 45.0
_RETRY_INTERVAL_S = 0.1
_PERIOD_S = (0.3, 3.0)
# Time from the acknowledgement of an order until all entries in touch follow.
_IN_EFFECT_S = 2.0
_RETURN_TIMEOUT_S = 6.0
_REQUESTS_AT_END = 40
# Time after an abandoned order at which its connection is closed, if late.
_LATE_END_S = (1.0, 6.0)


def has_evacuations(seed):
    """Whether a failure domain is evacuated in the run of a seed."""
    return seed >= EVACUATIONS_FROM_SEED


class EvacuatingOperator:
    """Orders that are sent until a node acknowledges them, one after another.

    Args:
        rng: draws the periods between orders.
        deployment: the processes.
        history: what targets and callers have seen.
        journal: writes a line of the run's journal.
    """

    def __init__(self, rng, deployment, history, journal):
        self._rng = rng
        self._deployment = deployment
        self._history = history
        self._journal = journal
        self._ending = asyncio.Event()

    def end(self):
        """Lets `run` end with an acknowledged evacuation."""
        self._ending.set()

    async def run(self):
        """Evacuates the domain and takes it back by turns, until `end`."""
        while not self._ending.is_set():
            await self._order("start")
            await self._wait_unless_ending()
            await self._order("end")
            await self._wait_unless_ending()
        await self._order("start")

    async def check_evacuated(self, target_name, send_request):
        """Checks that the evacuated target gets nothing, and then returns.

        Args:
            target_name: the target in the domain.
            send_request: sends a request to some entry.
        """
        await asyncio.sleep(CONTACT_S + _IN_EFFECT_S)
        since = time.monotonic()
        statuses = [await send_request() for _ in range(_REQUESTS_AT_END)]
        if 200 not in statuses:
            self._history.violations.append(
                f"no request is served beside an evacuated domain: {statuses}"
            )
        if self._arrivals(target_name, since):
            self._history.violations.append(
                f"{target_name} got requests though its domain is evacuated"
            )
        await self._order("end")
        since = time.monotonic()
        while not self._arrivals(target_name, since):
            if time.monotonic() - since > _RETURN_TIMEOUT_S:
                self._history.violations.append(
                    f"{target_name} got no request after its domain returned"
                )
                return
            await send_request()

    def _arrivals(self, target_name, since):
        return [
            arrival
            for arrival in self._history.arrivals
            if arrival.target == target_name and arrival.at > since
        ]

    async def _order(self, order):
        """Sends an order until it is acknowledged; returns whether it was."""
        path = f"/api/evacuate/{EVACUATED_DOMAIN}/{order}"
        gives_up_at = time.monotonic() + _ACKNOWLEDGE_TIMEOUT_S
        while not await self._is_acknowledged(path):
            if time.monotonic() > gives_up_at:
                self._history.violations.append(f"{path} is not acknowledged")
                self.end()
                return False
            await asyncio.sleep(_RETRY_INTERVAL_S)
        self._journal(f"acknowledged {path}")
        return True

    async def _is_acknowledged(self, path):
        return (await self._deployment.operator(b"POST", path))[0] == 200

    async def _wait_unless_ending(self):
        try:
            async with asyncio.timeout(self._rng.uniform(*_PERIOD_S)):
                await self._ending.wait()
        except TimeoutError:
            return


class AbandoningOperator(EvacuatingOperator):
    """Leaves each node that does not answer in time, and asks another one.

    Before an order, the one before is sent again. It changes nothing and is
    answered with the revision of its acknowledgement, unless something else
    has changed the state since.
    """

    def __init__(self, rng, deployment, history, journal):
        super().__init__(rng, deployment, history, journal)
        self._in_force = ""
        self._revision = 0
        self._closing = set()

    async def _order(self, order):
        before, revision = self._in_force, self._revision
        is_sent_again = before and await super()._order(before)
        if is_sent_again and self._revision != revision:
            self._history.violations.append(
                f"{before} was undone by a stale order: revision"
                f" {revision} became {self._revision}"
            )
        self._in_force = order
        return await super()._order(order)

    async def _is_acknowledged(self, path):
        for ip in self._rng.sample(CONTROL_IPS, len(CONTROL_IPS)):
            end = self._rng.choice(list(ConnectionEnd))
            closed_at = asyncio.get_running_loop().time() + self._rng.uniform(
                *_LATE_END_S
            )
            try:
                answer, closing = await abandon_order(
                    f"{ip}:{self._deployment.control}", path, end, closed_at
                )
            except OSError:
                continue
            if closing is not None:
                self._closing.add(closing)
                closing.add_done_callback(self._closing.discard)
            if answer is not None and answer.status == 200:
                self._revision = answer.revision
                return True
        return False
