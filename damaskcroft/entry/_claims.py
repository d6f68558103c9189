"""Client of the at-most-once claims that the leader of control keeps."""

import asyncio
import dataclasses
import hashlib

from damaskcroft._generated import (
    agent_grpc,
    agent_pb2,
    control_grpc,
    control_pb2,
)
from damaskcroft.clock import now_s
from damaskcroft.entry._calls import Call
from damaskcroft.entry._refusals import Ran, Refusal
from damaskcroft.membership import LeaseClient
from damaskcroft.observe import log_event
from damaskcroft.routing import Target
from damaskcroft.rpc import CALL_ERRORS, ChannelPool

_CALL_TIMEOUT_S = 3.0
_MAX_CLAIM_WAIT_S = 1.0
_INQUIRE_TIMEOUT_S = 1.0
_RETRY_AFTER_S = 1.0
_MAX_LEADER_ATTEMPTS = 4
_LEADER_RETRY_PAUSE_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimGranted:
    """This entry may run the request once, at the target of the claim."""

    run_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAnswered:
    """The request has run before; this is its stored answer."""

    answer: control_pb2.KeptAnswer


class ClaimClient:
    """Claims and settles requests at the leader, for one entry.

    Args:
        entry_id: id of this entry.
        client: source of the leader's address and of the roster.
        pool: channels to control and agents.
    """

    def __init__(self, entry_id: str, client: LeaseClient, pool: ChannelPool):
        """Takes the entry's id, its lease client and its channels."""
        self._entry_id = entry_id
        self._client = client
        self._pool = pool

    async def claim(
        self,
        call: Call,
        target: Target,
        deadline_at: float,
        replaces_run: int,
    ) -> ClaimGranted | ClaimAnswered | Refusal:
        """Requests the right to run a call, or the outcome of an earlier run.

        Args:
            call: a call with an idempotency key.
            target: the target that the claim is bound to.
            deadline_at: deadline on the monotonic clock, in seconds.
            replaces_run: number of an earlier run of this entry that
                certainly did not happen, or 0.
        """
        request = control_pb2.ClaimRequest(
            customer=call.customer,
            key=call.key,
            body_digest=_body_digest(call),
            entry=self._entry_id,
            agent=target.id,
            agent_incarnation=target.incarnation,
            replaces_run=replaces_run,
        )
        while True:
            remaining_s = deadline_at - now_s()
            if remaining_s <= 0:
                return Refusal("in_progress", 409, Ran.UNKNOWN, _RETRY_AFTER_S)
            request.wait_ms = int(
                min(_MAX_CLAIM_WAIT_S, remaining_s / 2) * 1000
            )
            reply = await self._claim_at_leader(request)
            decision = self._decision(reply)
            if decision is not None:
                return decision
            # Another run holds the claim: ask its agent what became of it.
            refusal = await self._resolve_run(call, reply)
            if refusal is not None:
                return refusal

    async def settle_not_run(self, call: Call, run_number: int) -> None:
        """Settles a claim whose run certainly did not happen."""
        await self._settle(call, run_number, control_pb2.RESULT_NOT_RUN)

    def _decision(
        self, reply: control_pb2.ClaimReply
    ) -> ClaimGranted | ClaimAnswered | Refusal | None:
        match reply.outcome:
            case control_pb2.CLAIM_GRANTED:
                return ClaimGranted(reply.run_number)
            case control_pb2.CLAIM_KEPT:
                return ClaimAnswered(reply.answer)
            case control_pb2.CLAIM_OTHER_BODY:
                return Refusal("key_used_for_other_body", 422, Ran.NOT_RUN)
            case control_pb2.CLAIM_UNKNOWN:
                return Refusal("outcome_unknown", 409, Ran.UNKNOWN)
            case control_pb2.CLAIM_FULL:
                return Refusal("too_many_claims", 429, Ran.NOT_RUN, 60.0)
            case control_pb2.CLAIM_NO_QUORUM:
                return Refusal("no_quorum", 503, Ran.NOT_RUN, _RETRY_AFTER_S)
            case control_pb2.CLAIM_UNDECIDED:
                # The claim may exist, but the request has reached no target:
                # only this entry could send it, and it does not.
                return Refusal(
                    "claim_undecided", 503, Ran.NOT_RUN, _RETRY_AFTER_S
                )
        return None

    async def _claim_at_leader(
        self, request: control_pb2.ClaimRequest
    ) -> control_pb2.ClaimReply:
        leader = self._client.leader_address
        reply = control_pb2.ClaimReply(outcome=control_pb2.CLAIM_NO_QUORUM)
        for _ in range(_MAX_LEADER_ATTEMPTS):
            stub = control_grpc.ControlStub(self._pool.channel(leader))
            timeout_s = _CALL_TIMEOUT_S + request.wait_ms / 1000
            try:
                reply = await stub.Claim(request, timeout=timeout_s)
            except ConnectionRefusedError:
                reply = control_pb2.ClaimReply(
                    outcome=control_pb2.CLAIM_NO_QUORUM
                )
            except CALL_ERRORS:
                return control_pb2.ClaimReply(
                    outcome=control_pb2.CLAIM_UNDECIDED
                )
            if reply.outcome != control_pb2.CLAIM_NO_QUORUM:
                return reply
            if not reply.leader or reply.leader == leader:
                await asyncio.sleep(_LEADER_RETRY_PAUSE_S)
            leader = reply.leader or self._client.leader_address
        return reply

    async def _resolve_run(
        self, call: Call, reply: control_pb2.ClaimReply
    ) -> Refusal | None:
        """Checks a run in progress at its agent; None means: claim again."""
        holder = self._client.roster.holders_by_id.get(reply.agent)
        if holder is None:
            return Refusal("outcome_unknown", 409, Ran.UNKNOWN, _RETRY_AFTER_S)
        stub = agent_grpc.AgentStub(self._pool.channel(holder.address))
        inquiry = agent_pb2.InquireRequest(
            customer=call.customer,
            key=call.key,
            run_number=reply.run_number,
            agent_incarnation=reply.agent_incarnation,
        )
        try:
            answer = await stub.Inquire(inquiry, timeout=_INQUIRE_TIMEOUT_S)
        except CALL_ERRORS:
            return Refusal("outcome_unknown", 409, Ran.UNKNOWN, _RETRY_AFTER_S)
        if answer.outcome == agent_pb2.INQUIRE_NEVER_SEEN:
            log_event(
                "claim_recovered",
                request_id=call.request_id,
                run_number=reply.run_number,
            )
            await self.settle_not_run(call, reply.run_number)
        if answer.outcome == agent_pb2.INQUIRE_OTHER_INCARNATION:
            # The process that may have run the request has ended, and its
            # answer is lost with it.
            await self._settle(
                call, reply.run_number, control_pb2.RESULT_UNKNOWN
            )
        return None

    async def _settle(
        self, call: Call, run_number: int, result: control_pb2.RunResult
    ) -> None:
        request = control_pb2.SettleRequest(
            customer=call.customer,
            key=call.key,
            run_number=run_number,
            result=result,
        )
        leader = self._client.leader_address
        for _ in range(_MAX_LEADER_ATTEMPTS):
            stub = control_grpc.ControlStub(self._pool.channel(leader))
            try:
                reply = await stub.Settle(request, timeout=_CALL_TIMEOUT_S)
            except CALL_ERRORS:
                await asyncio.sleep(_LEADER_RETRY_PAUSE_S)
                leader = self._client.leader_address
                continue
            if reply.committed:
                return
            leader = reply.leader or self._client.leader_address
        # The claim stays open: the next request with this key inquires at
        # the agent again.
        log_event("settle_failed", request_id=call.request_id)


def _body_digest(call: Call) -> bytes:
    content = f"{call.method} {call.path}\n".encode() + call.body
    return hashlib.sha256(content).digest()
