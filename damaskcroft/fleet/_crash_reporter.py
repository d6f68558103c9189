"""Tells control what an entry has seen of targets that crashed."""

import asyncio
from collections.abc import Iterable

from damaskcroft._generated import fleet_pb2, quarantine_pb2
from damaskcroft.fleet._relaying import relay
from damaskcroft.fleet._view import FleetView
from damaskcroft.observe import log_event
from damaskcroft.rpc import ChannelPool

__all__ = ["CrashReporter"]

_RETRY_S = 0.2


class CrashReporter:
    """Sends crashes to all control nodes, each of which tells the others.

    One that takes them is enough. Whoever joins control later, or was cut off,
    hears all of it from each entry that watches it.

    Args:
        view: where crashes are noted here.
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
        self._untold_starts: set[str] = set()
        self._wake = asyncio.Event()

    def tell(self, crashes: Iterable[quarantine_pb2.TargetCrash]) -> None:
        """Notes crashes here, and tells them to control soon."""
        crashes = list(crashes)
        self._view.take([], crashes=crashes)
        self._untold_starts.update(crash.start_id for crash in crashes)
        if crashes:
            self._wake.set()

    async def run(self) -> None:
        """Tells what there is until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            starts, self._untold_starts = self._untold_starts, set()
            while not await self._tell_all(starts):
                log_event("crash_report_failed", crashes=len(starts))
                await asyncio.sleep(_RETRY_S)

    async def _tell_all(self, starts: set[str]) -> bool:
        """Tells all that is known of some crashes; whether any node took it."""
        request = fleet_pb2.RelayRequest(
            crashes=self._view.crashes.words_of(starts)
        )
        addresses = self._view.control_addresses or self._seeds
        told = await asyncio.gather(
            *(relay(self._channels, address, request) for address in addresses)
        )
        return any(told)
