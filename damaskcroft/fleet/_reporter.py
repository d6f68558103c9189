"""Tells control what an entry has found out about targets."""

import asyncio
from collections.abc import Iterable

from damaskcroft._generated import fleet_pb2, limits_pb2, quarantine_pb2
from damaskcroft.fleet._relaying import relay
from damaskcroft.fleet._view import FleetView
from damaskcroft.observe import log_event
from damaskcroft.rpc import ChannelPool

__all__ = ["Reporter"]

_RETRY_S = 0.2


class Reporter:
    """Sends findings to all control nodes, each of which tells the others.

    One that takes them is enough. Whoever joins control later, or was cut off,
    hears all of it from each entry that watches it.

    Args:
        view: where findings are noted here.
        channels: to the control nodes.
        seeds: addresses of control nodes' calls while none was told.
    """

    def __init__(
        self, view: FleetView, channels: ChannelPool, seeds: Iterable[str]
    ):
        """See the class."""
        self._view = view
        self._channels = channels
        self._seeds = tuple(seeds)
        self._untold_crashes: set[str] = set()
        self._untold_limits: set[str] = set()
        self._wake = asyncio.Event()

    def tell_crashes(
        self, crashes: Iterable[quarantine_pb2.TargetCrash]
    ) -> None:
        """Notes crashes here, and tells them to control soon."""
        crashes = list(crashes)
        self._view.take([], crashes=crashes)
        self._untold_crashes.update(crash.start_id for crash in crashes)
        self._wake.set()

    def tell_limits(self, limits: Iterable[limits_pb2.NamedLimit]) -> None:
        """Notes named limits here, and tells them to control soon."""
        limits = list(limits)
        self._view.take([], limits=limits)
        self._untold_limits.update(limit.start_id for limit in limits)
        self._wake.set()

    async def run(self) -> None:
        """Tells what there is until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            crashes, self._untold_crashes = self._untold_crashes, set()
            limits, self._untold_limits = self._untold_limits, set()
            if not crashes and not limits:
                continue
            while not await self._tell_all(crashes, limits):
                log_event(
                    "report_failed", crashes=len(crashes), limits=len(limits)
                )
                await asyncio.sleep(_RETRY_S)

    async def _tell_all(self, crashes: set[str], limits: set[str]) -> bool:
        """Tells all that is known of some starts; whether any node took it."""
        request = fleet_pb2.RelayRequest(
            crashes=self._view.crashes.words_of(crashes),
            limits=self._view.limits.words_of(limits),
        )
        addresses = self._view.control_addresses or self._seeds
        told = await asyncio.gather(
            *(relay(self._channels, address, request) for address in addresses)
        )
        return any(told)
