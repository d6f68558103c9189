"""gRPC service of control nodes for lease holders and operators."""

import asyncio
import contextlib
from collections.abc import Iterable
from typing import Any

from damaskcroft._generated import (
    control_grpc,
    control_pb2,
    quarantine_pb2,
)
from damaskcroft.consensus import Committed, NotLeader
from damaskcroft.control._proposer import Proposer
from damaskcroft.control._reconciler import Reconciler
from damaskcroft.membership import LeaseLedger
from damaskcroft.observe import log_event, metrics

_COMMIT_TIMEOUT_S = 5.0
_CONFIRM_TIMEOUT_S = 2.0
# Minimum interval between deltas to one holder.
_MIN_PUSH_INTERVAL_S = 0.02
# Changes are checked for at least this often, so that a lost wake-up cannot
# stall the deltas.
_MAX_PUSH_INTERVAL_S = 1.0


class ControlService(control_grpc.ControlBase):
    """Answers holders and operators; only the leader acts on requests."""

    def __init__(
        self, proposer: Proposer, ledger: LeaseLedger, reconciler: Reconciler
    ):
        """Serves the state behind `proposer` and the leases of `ledger`.

        `reconciler` provides the status of holders.
        """
        self._proposer = proposer
        self._replica = proposer.replica
        self._state = proposer.state
        self._ledger = ledger
        self._reconciler = reconciler
        self._claim_settled = asyncio.Condition()

    # --- Holders -----------------------------------------------------------

    async def Hold(self, stream: Any) -> None:  # noqa: N802
        """Renews the lease of one holder and sends it changes of the roster."""
        first = await stream.recv_message()
        if first is None or first.WhichOneof("kind") != "announce":
            return
        announcement = first.announce
        holder = _HolderStream(stream)
        if not await self._announce(announcement):
            await self._send_not_leader(holder)
            return
        if not await self._is_lease_unbroken(
            announcement, first.granted_revision
        ):
            await self._wait_for_predecessor(announcement)
        pushing = asyncio.create_task(self._push_deltas(holder, announcement))
        try:
            await self._receive_renewals(holder, announcement)
        finally:
            pushing.cancel()
            await asyncio.gather(pushing, return_exceptions=True)

    async def _announce(self, announcement: control_pb2.Announcement) -> bool:
        if not self._replica.is_confirmed_leader:
            return False
        self._ledger.lead(self._replica.term)
        stored = self._state.holders.holders_by_id.get(announcement.id)
        if stored is not None:
            announcement.revision = stored.revision
            if stored == announcement:
                return True
        announcement.revision = 0
        command = control_pb2.Command(announce=announcement)
        outcome = await self._proposer.propose(command, _COMMIT_TIMEOUT_S)
        if not isinstance(outcome, Committed):
            return False
        log_event(
            "holder_announced",
            id=announcement.id,
            incarnation=announcement.incarnation,
            revision=outcome.index,
        )
        await self._ledger.notify()
        return True

    async def _is_lease_unbroken(
        self, announcement: control_pb2.Announcement, granted_revision: int
    ) -> bool:
        """Whether no other process can have been granted the lease meanwhile.

        An earlier leader granted the lease under an announcement, after the
        lease of the previous process with this id had expired. While that
        announcement is the last one committed, no other process can hold the
        lease, so the holder need not wait for the expiry of its own lease when
        the leader changes.
        """
        if not granted_revision:
            return False
        if not await self._replica.confirm_leadership(_CONFIRM_TIMEOUT_S):
            return False
        stored = self._state.holders.holders_by_id[announcement.id]
        return stored.revision == granted_revision

    async def _wait_for_predecessor(
        self, announcement: control_pb2.Announcement
    ) -> None:
        if announcement.kind != control_pb2.HOLDER_AGENT:
            # Entries give no orders, so two of them under one id are harmless.
            return
        wait_s = self._ledger.wait_for_predecessor_s(
            announcement.id, announcement.incarnation
        )
        if wait_s > 0:
            log_event("waits_out_lease", id=announcement.id, wait_s=wait_s)
            await asyncio.sleep(wait_s)

    async def _receive_renewals(
        self, stream: "_HolderStream", announcement: control_pb2.Announcement
    ) -> None:
        holder_id = announcement.id
        while True:
            message = await stream.receive()
            if message is None:
                return
            stored = self._state.holders.holders_by_id.get(holder_id)
            if (
                stored is None
                or stored.incarnation != announcement.incarnation
                or not self._replica.is_confirmed_leader
            ):
                await self._send_not_leader(stream)
                return
            self._ledger.lead(self._replica.term)
            before = self._ledger.sequence
            self._ledger.renew(
                holder_id, announcement.incarnation, message.renew
            )
            grant = control_pb2.LeaseGrant(
                sequence=message.renew.sequence,
                duration_ms=int(self._ledger.lease_s * 1000),
                announced_revision=stored.revision,
            )
            await stream.send(control_pb2.ControlMessage(lease=grant))
            if self._ledger.sequence != before:
                await self._ledger.notify()

    async def _push_deltas(
        self, stream: "_HolderStream", announcement: control_pb2.Announcement
    ) -> None:
        revision, sequence = 0, -1
        lapsed: set[str] = set()
        wants_reports = announcement.kind == control_pb2.HOLDER_ENTRY
        while True:
            delta = self._state.delta_since(revision)
            current_lapsed = set(self._ledger.lapsed_ids)
            delta.lapsed.extend(current_lapsed - lapsed)
            delta.present.extend(lapsed - current_lapsed)
            if wants_reports:
                delta.reports.extend(self._ledger.reports_since(sequence))
                delta.crashes.extend(self._ledger.crashes_since(sequence))
            if _has_content(delta):
                revision = delta.to_revision
                lapsed = current_lapsed
                sequence = self._ledger.sequence
                await stream.send(control_pb2.ControlMessage(delta=delta))
            await asyncio.sleep(_MIN_PUSH_INTERVAL_S)
            await self._wait_for_change(revision, sequence)

    async def _wait_for_change(self, revision: int, sequence: int) -> None:
        with contextlib.suppress(TimeoutError):
            async with (
                asyncio.timeout(_MAX_PUSH_INTERVAL_S),
                self._ledger.changed,
            ):
                await self._ledger.changed.wait_for(
                    lambda: (
                        self._state.config_revision > revision
                        or self._ledger.sequence > sequence
                    )
                )

    async def publish_crashes(
        self, crashes: Iterable[quarantine_pb2.TargetCrash]
    ) -> None:
        """Sends crashes that this node has learned of to all entries."""
        del crashes  # The ledger holds them and sends all that it holds.
        self._ledger.note_crashes()
        await self._ledger.notify()

    async def _send_not_leader(self, stream: "_HolderStream") -> None:
        hint = control_pb2.NotLeader(leader=self._replica.leader_address)
        await stream.send(control_pb2.ControlMessage(not_leader=hint))

    # --- Operators -----------------------------------------------------------

    async def Write(self, stream: Any) -> None:  # noqa: N802
        """Commits an operator's write of a record."""
        request = await stream.recv_message()
        command = control_pb2.Command(write=request)
        outcome = await self._proposer.propose(command, _COMMIT_TIMEOUT_S)
        await stream.send_message(self._write_reply(request, outcome))
        await self._ledger.notify()

    def _write_reply(
        self, request: control_pb2.WriteRequest, outcome: Any
    ) -> control_pb2.WriteReply:
        if isinstance(outcome, NotLeader):
            return control_pb2.WriteReply(
                outcome=control_pb2.WRITE_NOT_LEADER,
                leader=outcome.leader_address,
            )
        if not isinstance(outcome, Committed):
            return control_pb2.WriteReply(outcome=control_pb2.WRITE_UNKNOWN)
        reply = outcome.result
        log_event(
            "record_written",
            kind=request.kind,
            name=request.name,
            operator=request.operator,
            request_id=request.request_id,
            outcome=control_pb2.WriteOutcome.Name(reply.outcome),
            revision=reply.record.revision,
        )
        if reply.outcome == control_pb2.WRITE_ACCEPTED:
            self._reconciler.start_measuring_in_force(reply.record.revision)
        return reply

    async def Read(self, stream: Any) -> None:  # noqa: N802
        """Sends the whole configuration if a majority confirms the leader."""
        await stream.recv_message()
        confirmed = await self._replica.confirm_leadership(_CONFIRM_TIMEOUT_S)
        reply = control_pb2.ReadReply(
            confirmed=confirmed,
            leader=self._replica.leader_address,
            revision=self._state.config_revision,
            term=self._replica.term,
        )
        if confirmed:
            reply.records.extend(self._state.records.records_by_key.values())
            reply.assignments.extend(self._state.assignments_by_target.values())
            reply.holders.extend(self._reconciler.holder_statuses())
            reply.events.extend(self._reconciler.recent_events)
        await stream.send_message(reply)

    # --- Claims ------------------------------------------------------------

    async def Claim(self, stream: Any) -> None:  # noqa: N802
        """Grants a claim, or sends the state of the earlier one for its key."""
        request = await stream.recv_message()
        reply = await self._claim(request)
        if reply.outcome == control_pb2.CLAIM_IN_PROGRESS and request.wait_ms:
            reply = await self._wait_for_settlement(request, reply)
        outcome = control_pb2.ClaimOutcome.Name(reply.outcome)
        metrics.CLAIMS.labels(outcome).inc()
        await stream.send_message(reply)

    async def Settle(self, stream: Any) -> None:  # noqa: N802
        """Commits the outcome of a run."""
        request = await stream.recv_message()
        command = control_pb2.Command(settle=request)
        outcome = await self._proposer.propose(command, _COMMIT_TIMEOUT_S)
        committed = isinstance(outcome, Committed)
        await stream.send_message(
            control_pb2.SettleReply(
                committed=committed, leader=self._replica.leader_address
            )
        )
        if committed:
            async with self._claim_settled:
                self._claim_settled.notify_all()

    async def _claim(
        self, request: control_pb2.ClaimRequest
    ) -> control_pb2.ClaimReply:
        if self._replica.is_leader and not self._replica.is_confirmed_leader:
            # The leader is partitioned or newly elected: an entry appended
            # now might stay undecided.
            return control_pb2.ClaimReply(outcome=control_pb2.CLAIM_NO_QUORUM)
        command = control_pb2.Command(claim=request)
        outcome = await self._proposer.propose(command, _COMMIT_TIMEOUT_S)
        if isinstance(outcome, Committed):
            return outcome.result
        if isinstance(outcome, NotLeader):
            return control_pb2.ClaimReply(
                outcome=control_pb2.CLAIM_NO_QUORUM,
                leader=outcome.leader_address,
            )
        return control_pb2.ClaimReply(outcome=control_pb2.CLAIM_UNDECIDED)

    async def _wait_for_settlement(
        self,
        request: control_pb2.ClaimRequest,
        reply: control_pb2.ClaimReply,
    ) -> control_pb2.ClaimReply:
        def settled() -> bool:
            held = self._state.claims.find(request.customer, request.key)
            return held is None or held.settled

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(request.wait_ms / 1000):
                async with self._claim_settled:
                    await self._claim_settled.wait_for(settled)
        held = self._state.claims.find(request.customer, request.key)
        if held is None:
            return reply
        return self._state.claims.answer(held)


class _HolderStream:
    """Stream of one holder, which sends one message at a time.

    A message to a slow reader is sent in several pieces. A second message sent
    in the meantime would end up between them, and the reader could decode
    neither.
    """

    __slots__ = ("_sending", "_stream")

    def __init__(self, stream: Any):
        self._stream = stream
        self._sending = asyncio.Lock()

    async def receive(self) -> control_pb2.HolderMessage | None:
        return await self._stream.recv_message()

    async def send(self, message: control_pb2.ControlMessage) -> None:
        async with self._sending:
            await self._stream.send_message(message)


def _has_content(delta: control_pb2.RosterDelta) -> bool:
    return bool(
        delta.to_revision > delta.from_revision
        or delta.reports
        or delta.crashes
        or delta.lapsed
        or delta.present
    )
