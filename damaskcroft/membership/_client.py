"""A holder's side of the lease: one connection to the leader at a time."""

import asyncio
from collections.abc import Callable

from damaskcroft._generated import control_grpc, control_pb2
from damaskcroft.clock import now_s
from damaskcroft.membership._lease import Lease
from damaskcroft.membership._roster import Roster
from damaskcroft.observe import log_event, metrics
from damaskcroft.rpc import CALL_ERRORS, ChannelPool

_RECONNECT_S = 0.1
_MAX_SENT_KEPT = 64
# A control node that says nothing for so many renewals is as good as gone. A
# frozen one still accepts connections; a TLS handshake with it would be given
# up after a minute only.
_PATIENCE_RENEWALS = 6


class LeaseClient:
    """Keeps this process's lease and roster current.

    Args:
        announcement: the lasting facts of this process.
        addresses: all control replicas.
        pool: channels to them.
        renew_every_s: time between renewals.
        report: gives the current report, sent with every renewal.
    """

    def __init__(
        self,
        announcement: control_pb2.Announcement,
        addresses: list[str],
        pool: ChannelPool,
        renew_every_s: float,
        report: Callable[[], control_pb2.TargetReport],
    ):
        """Creates a client that holds nothing yet; `run` connects it."""
        self._announcement = announcement
        self._addresses = addresses
        self._pool = pool
        self._renew_every_s = renew_every_s
        self._patience_s = _PATIENCE_RENEWALS * renew_every_s
        self._report = report
        self.lease = Lease()
        self.roster = Roster()
        self.leader_address = addresses[0]
        self._report_now = asyncio.Event()
        self._sent_at_by_sequence: dict[int, float] = {}
        self._sequence = 0
        # Of the announcement under which the lease was last granted.
        self._granted_revision = 0
        self._next_address = 0

    def report_soon(self) -> None:
        """Sends the next renewal at once, since the report has changed."""
        self._report_now.set()

    async def run(self) -> None:
        """Holds the lease until cancelled; connects again after failures."""
        while True:
            address = self.leader_address
            try:
                await self._hold(address)
            except CALL_ERRORS as error:
                log_event("control_lost", address=address, reason=error)
                self._try_next_address()
            await asyncio.sleep(_RECONNECT_S)

    async def watch_lapses(self) -> None:
        """Counts and logs each time the lease runs out, until cancelled."""
        was_held = False
        while True:
            held = self.lease.is_held
            if was_held and not held:
                metrics.LEASE_LAPSES.inc()
                log_event("lease_lapsed", id=self._announcement.id)
            was_held = held
            await asyncio.sleep(self._renew_every_s / 2)

    def _try_next_address(self) -> None:
        self._next_address = (self._next_address + 1) % len(self._addresses)
        self.leader_address = self._addresses[self._next_address]

    async def _hold(self, address: str) -> None:
        stub = control_grpc.ControlStub(self._pool.channel(address))
        async with stub.Hold.open() as stream:
            async with asyncio.timeout(self._patience_s):
                await stream.send_message(
                    control_pb2.HolderMessage(
                        announce=self._announcement,
                        granted_revision=self._granted_revision,
                    )
                )
            renewing = asyncio.create_task(self._renew_forever(stream))
            try:
                await self._take_messages(stream, address)
            finally:
                renewing.cancel()
                await asyncio.gather(renewing, return_exceptions=True)
                await stream.cancel()

    async def _renew_forever(self, stream) -> None:
        crashes = self.roster.crashes
        told_changes = 0
        while True:
            self._report_now.clear()
            self._sequence += 1
            self._sent_at_by_sequence[self._sequence] = now_s()
            while len(self._sent_at_by_sequence) > _MAX_SENT_KEPT:
                self._sent_at_by_sequence.pop(
                    next(iter(self._sent_at_by_sequence))
                )
            renewal = control_pb2.Renewal(
                sequence=self._sequence,
                applied_revision=self.roster.revision,
                report=self._report(),
            )
            if told_changes != crashes.changes:
                told_changes = crashes.changes
                renewal.crashes.extend(crashes.words())
            await stream.send_message(control_pb2.HolderMessage(renew=renewal))
            try:
                async with asyncio.timeout(self._renew_every_s):
                    await self._report_now.wait()
            except TimeoutError:
                continue

    async def _take_messages(self, stream, address: str) -> None:
        while True:
            async with asyncio.timeout(self._patience_s):
                message = await stream.recv_message()
            if message is None:
                self._try_next_address()
                return
            kind = message.WhichOneof("kind")
            if kind == "not_leader":
                self._follow_hint(message.not_leader.leader, address)
                return
            if kind == "lease":
                self._take_grant(message.lease)
            if kind == "delta":
                await self._take_delta(message.delta)

    def _follow_hint(self, leader: str, address: str) -> None:
        if leader and leader != address:
            self.leader_address = leader
            return
        self._try_next_address()

    def _take_grant(self, grant: control_pb2.LeaseGrant) -> None:
        self._granted_revision = grant.announced_revision
        sent_at = self._sent_at_by_sequence.pop(grant.sequence, None)
        if sent_at is not None:
            self.lease.grant(sent_at, grant.duration_ms / 1000)

    async def _take_delta(self, delta: control_pb2.RosterDelta) -> None:
        if not self.roster.apply(delta):
            log_event(
                "delta_from_past",
                to_revision=delta.to_revision,
                revision=self.roster.revision,
            )
            return
        self._report_now.set()
        await self.roster.notify()
