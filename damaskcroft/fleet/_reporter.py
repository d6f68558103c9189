"""Reports an entry's findings about targets to the control nodes."""

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
    """Sends findings to all control nodes, each of which relays them.

    It is sufficient that one node accepts them. A control node that joins
    later, or was partitioned, receives all findings from each entry that
    watches it.

    Args:
        view: the view in which findings are recorded.
        channels: channels to the control nodes.
        seeds: addresses used until the control nodes are known.
    """

    def __init__(
        self, view: FleetView, channels: ChannelPool, seeds: Iterable[str]
    ):
        """Starts without any findings to report."""
        self._view = view
        self._channels = channels
        self._seeds = tuple(seeds)
        self._unreported_crashes: set[str] = set()
        self._unreported_limits: set[str] = set()
        self._wake = asyncio.Event()

    def report_crashes(
        self, crashes: Iterable[quarantine_pb2.TargetCrash]
    ) -> None:
        """Records crashes locally and schedules their report to control."""
        crashes = list(crashes)
        self._view.merge([], crashes=crashes)
        self._unreported_crashes.update(crash.start_id for crash in crashes)
        self._wake.set()

    def report_limits(self, limits: Iterable[limits_pb2.NamedLimit]) -> None:
        """Records rate limits locally and schedules their report to control."""
        limits = list(limits)
        self._view.merge([], limits=limits)
        self._unreported_limits.update(limit.start_id for limit in limits)
        self._wake.set()

    async def run(self) -> None:
        """Reports findings until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            crashes, self._unreported_crashes = self._unreported_crashes, set()
            limits, self._unreported_limits = self._unreported_limits, set()
            if not crashes and not limits:
                continue
            while not await self._report_to_all(crashes, limits):
                log_event(
                    "report_failed", crashes=len(crashes), limits=len(limits)
                )
                await asyncio.sleep(_RETRY_S)

    async def _report_to_all(self, crashes: set[str], limits: set[str]) -> bool:
        """Reports all that is known of some starts.

        Returns:
            Whether any control node accepted it.
        """
        request = fleet_pb2.RelayRequest(
            crashes=self._view.crashes.snapshot_of(crashes),
            limits=self._view.limits.snapshot_of(limits),
        )
        addresses = self._view.control_addresses or self._seeds
        accepted = await asyncio.gather(
            *(relay(self._channels, address, request) for address in addresses)
        )
        return any(accepted)
