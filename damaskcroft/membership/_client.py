"""The holder's side of the lease protocol.

The client is connected to one control node at a time. It tries the nodes until
it reaches the leader.
"""

import asyncio
from collections.abc import Callable

from damaskcroft._generated import control_grpc, control_pb2
from damaskcroft.clock import now_s
from damaskcroft.membership._lease import Lease
from damaskcroft.membership._roster import Roster
from damaskcroft.observe import log_event, metrics
from damaskcroft.rpc import CALL_ERRORS, ChannelPool

_RECONNECT_DELAY_S = 0.1
_MAX_UNANSWERED_RENEWALS = 64
# A control node that sends nothing for this many renewal intervals is taken to
# have failed. A frozen node still accepts connections, and a TLS handshake with
# it would time out only after a minute.
_SILENCE_TIMEOUT_RENEWALS = 6


class LeaseClient:
    """Keeps the lease and the roster of this process current.

    Args:
        announcement: the facts about this process that do not change.
        addresses: addresses of all control replicas.
        pool: channels to the control replicas.
        renew_every_s: time between renewals.
        report: returns the current report, which is sent with every renewal.
    """

    def __init__(
        self,
        announcement: control_pb2.Announcement,
        addresses: list[str],
        pool: ChannelPool,
        renew_every_s: float,
        report: Callable[[], control_pb2.TargetReport],
    ):
        """Creates a client without a lease; `run` connects it."""
        self._announcement = announcement
        self._addresses = addresses
        self._pool = pool
        self._renew_every_s = renew_every_s
        self._silence_timeout_s = _SILENCE_TIMEOUT_RENEWALS * renew_every_s
        self._report = report
        self.lease = Lease()
        self.roster = Roster()
        self.leader_address = addresses[0]
        self._renewal_requested = asyncio.Event()
        self._sent_at_by_sequence: dict[int, float] = {}
        self._sequence = 0
        # Revision of the announcement under which the lease was last granted.
        self._granted_revision = 0
        self._next_address = 0

    def renew_now(self) -> None:
        """Sends the next renewal at once because the report has changed."""
        self._renewal_requested.set()

    async def run(self) -> None:
        """Renews the lease until cancelled; reconnects after failures."""
        while True:
            address = self.leader_address
            try:
                await self._run_session(address)
            except CALL_ERRORS as error:
                log_event("control_lost", address=address, reason=error)
                self._switch_to_next_address()
            await asyncio.sleep(_RECONNECT_DELAY_S)

    async def watch_lapses(self) -> None:
        """Counts and logs each expiry of the lease until cancelled."""
        was_held = False
        while True:
            held = self.lease.is_held
            if was_held and not held:
                metrics.LEASE_LAPSES.inc()
                log_event("lease_lapsed", id=self._announcement.id)
            was_held = held
            await asyncio.sleep(self._renew_every_s / 2)

    def _switch_to_next_address(self) -> None:
        self._next_address = (self._next_address + 1) % len(self._addresses)
        self.leader_address = self._addresses[self._next_address]

    async def _run_session(self, address: str) -> None:
        stub = control_grpc.ControlStub(self._pool.channel(address))
        async with stub.Hold.open() as stream:
            async with asyncio.timeout(self._silence_timeout_s):
                await stream.send_message(
                    control_pb2.HolderMessage(
                        announce=self._announcement,
                        granted_revision=self._granted_revision,
                    )
                )
            renewing = asyncio.create_task(self._renew_forever(stream))
            try:
                await self._receive_messages(stream, address)
            finally:
                renewing.cancel()
                await asyncio.gather(renewing, return_exceptions=True)
                await stream.cancel()

    async def _renew_forever(self, stream) -> None:
        crashes = self.roster.crashes
        sent_changes = 0
        while True:
            self._renewal_requested.clear()
            self._sequence += 1
            self._sent_at_by_sequence[self._sequence] = now_s()
            while len(self._sent_at_by_sequence) > _MAX_UNANSWERED_RENEWALS:
                self._sent_at_by_sequence.pop(
                    next(iter(self._sent_at_by_sequence))
                )
            renewal = control_pb2.Renewal(
                sequence=self._sequence,
                applied_revision=self.roster.revision,
                report=self._report(),
            )
            if sent_changes != crashes.changes:
                sent_changes = crashes.changes
                renewal.crashes.extend(crashes.snapshot())
            await stream.send_message(control_pb2.HolderMessage(renew=renewal))
            try:
                async with asyncio.timeout(self._renew_every_s):
                    await self._renewal_requested.wait()
            except TimeoutError:
                continue

    async def _receive_messages(self, stream, address: str) -> None:
        while True:
            async with asyncio.timeout(self._silence_timeout_s):
                message = await stream.recv_message()
            if message is None:
                self._switch_to_next_address()
                return
            kind = message.WhichOneof("kind")
            if kind == "not_leader":
                self._switch_to_leader(message.not_leader.leader, address)
                return
            if kind == "lease":
                self._apply_grant(message.lease)
            if kind == "delta":
                await self._apply_delta(message.delta)

    def _switch_to_leader(self, leader: str, address: str) -> None:
        if leader and leader != address:
            self.leader_address = leader
            return
        self._switch_to_next_address()

    def _apply_grant(self, grant: control_pb2.LeaseGrant) -> None:
        self._granted_revision = grant.announced_revision
        sent_at = self._sent_at_by_sequence.pop(grant.sequence, None)
        if sent_at is not None:
            self.lease.grant(sent_at, grant.duration_ms / 1000)

    async def _apply_delta(self, delta: control_pb2.RosterDelta) -> None:
        if not self.roster.apply(delta):
            log_event(
                "delta_from_past",
                to_revision=delta.to_revision,
                revision=self.roster.revision,
            )
            return
        self._renewal_requested.set()
        await self.roster.notify()
