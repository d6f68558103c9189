"""An operator that evacuates a target's failure domain again and again."""

import asyncio
import time

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
        path = f"/api/evacuate/{EVACUATED_DOMAIN}/{order}"
        gives_up_at = time.monotonic() + _ACKNOWLEDGE_TIMEOUT_S
        while (await self._deployment.operator(b"POST", path))[0] != 200:
            if time.monotonic() > gives_up_at:
                self._history.violations.append(f"{path} is not acknowledged")
                self.end()
                return
            await asyncio.sleep(_RETRY_INTERVAL_S)
        self._journal(f"acknowledged {path}")

    async def _wait_unless_ending(self):
        try:
            async with asyncio.timeout(self._rng.uniform(*_PERIOD_S)):
                await self._ending.wait()
        except TimeoutError:
            return
