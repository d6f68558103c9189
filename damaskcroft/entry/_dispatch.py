"""Dispatch of calls to targets, with retries within a budget."""

import asyncio
import contextlib
import dataclasses
import functools
from collections.abc import (
    AsyncGenerator,
    AsyncIterator,
    Collection,
)
from typing import Any

from starlette.responses import StreamingResponse

from damaskcroft._generated import agent_grpc, agent_pb2
from damaskcroft.clock import now_s
from damaskcroft.entry._answers import (
    CompleteAnswer,
    FinalResponse,
    answer_headers,
    buffered_response,
    error_event,
    failure_reason,
    final_response,
    observe_first_token,
    unknown_outcome_refusal,
)
from damaskcroft.entry._calls import Call
from damaskcroft.entry._claims import ClaimAnswered, ClaimClient
from damaskcroft.entry._lapses import LeaseExpiryWatch, MayAbandon
from damaskcroft.entry._refusals import (
    Ran,
    Refusal,
    refusal_response,
)
from damaskcroft.entry._suspects import Suspects, WatchedCall
from damaskcroft.membership import LeaseClient
from damaskcroft.observe import metrics
from damaskcroft.routing import (
    Admission,
    NotGranted,
    Outliers,
    PoolTable,
    RetryBudget,
    Target,
    TargetChooser,
    Ticket,
)
from damaskcroft.rpc import CALL_ERRORS, ChannelPool

_EVENT_STREAM = "text/event-stream"
_MAX_ATTEMPTS = 4
_RETRY_AFTER_S = 1.0
_RETRY_PAUSE_S = 0.02
# A started entry receives its first roster within some tenths of a second, or
# after an election, which takes a second or two.
_NO_ROSTER_RETRY_AFTER_S = 0.5
# Refusals after which the entry must claim anew, because another entry has
# taken the run over.
_RUN_SUPERSEDED_REASONS = (
    agent_pb2.REFUSED_FENCED_RUN,
    agent_pb2.REFUSED_DUPLICATE_RUN,
)


@dataclasses.dataclass(frozen=True, slots=True)
class StreamingAnswer:
    """The target has begun an answer that is passed on as a stream.

    Attributes:
        head: status and content type.
        events: the remaining events; must be closed.
    """

    head: agent_pb2.RunHead
    events: AsyncGenerator[agent_pb2.RunEvent, None]


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptRefused:
    """The agent certifies that the request was not run."""

    reason: agent_pb2.RefusalReason
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptLost:
    """The attempt failed, and the target may have run the request."""

    reason: str


class Dispatcher:
    """Dispatches the calls of one entry.

    Attributes:
        budget: retry budget, for all attempts after the first.
        outstanding: number of calls in progress.
    """

    def __init__(
        self,
        client: LeaseClient,
        pools: PoolTable,
        admission: Admission,
        claim_client: ClaimClient,
        channels: ChannelPool,
        retry_fraction: float,
    ):
        """Takes the parts of the entry and the fraction of retries allowed."""
        self._client = client
        self._pools = pools
        self._admission = admission
        self._claim_client = claim_client
        self._channels = channels
        self._outliers = Outliers()
        self._chooser = TargetChooser(self._outliers)
        self.budget = RetryBudget(retry_fraction)
        self._expiry_watch = LeaseExpiryWatch(client.roster)
        self._suspects = Suspects(client)
        self.outstanding = 0

    async def run(self) -> None:
        """Watches for expired leases of agents until cancelled."""
        await self._expiry_watch.run()

    async def answer(self, call: Call) -> FinalResponse:
        """Runs a call and returns the response for its caller."""
        arrived_at = now_s()
        deadline_at = arrived_at + call.deadline_s
        pool_refusal = self._pool_refusal(call)
        watched = self._suspects.watch(call)
        refusal = pool_refusal or watched.quarantine_refusal(Ran.NOT_RUN)
        if refusal is not None:
            return final_response(refusal_response(refusal, call.request_id))
        self.budget.earn()
        ticket = Ticket(call.pool, call.customer, call.priority, deadline_at)
        granted = await self._admission.acquire(ticket)
        if isinstance(granted, NotGranted):
            refusal = Refusal(
                granted.reason, 503, Ran.NOT_RUN, granted.retry_after_s
            )
            return final_response(refusal_response(refusal, call.request_id))
        metrics.QUEUE_WAIT_S.labels(call.priority).observe(now_s() - arrived_at)
        slot = _AdmissionSlot(self._admission, ticket)
        try:
            async with watched.one_at_a_time(deadline_at):
                outcome = await self._run_attempts(watched, deadline_at)
        except BaseException:
            slot.release()
            raise
        if isinstance(outcome, StreamingAnswer):
            return self._streaming_response(call, outcome, slot, arrived_at)
        slot.release()
        return final_response(buffered_response(call, outcome, arrived_at))

    def _pool_refusal(self, call: Call) -> Refusal | None:
        """Refuses unknown pools, and every call before the first roster."""
        if not self._client.roster.has_received_state:
            # A 404 would be final for the caller, and is most likely wrong
            # before the first roster has arrived.
            return Refusal(
                "not_ready", 503, Ran.NOT_RUN, _NO_ROSTER_RETRY_AFTER_S
            )
        if self._pools.is_known(call.pool):
            return None
        return Refusal("unknown_model", 404, Ran.NOT_RUN, detail=call.pool)

    # --- Attempts ------------------------------------------------------------

    def has_alternative(self, call: Call, tried: Collection[str]) -> bool:
        """Whether an untried target with a valid lease could run a call."""
        lapsed = self._client.roster.lapsed_ids
        targets = self._pools.pool(call.pool).targets
        return any(t.id not in tried and t.id not in lapsed for t in targets)

    async def _run_attempts(
        self, watched: WatchedCall, deadline_at: float
    ) -> StreamingAnswer | CompleteAnswer | ClaimAnswered | Refusal:
        call = watched.call
        tried: set[str] = set()
        run_number = 0
        last_refusal: AttemptRefused | None = None
        last_loss: AttemptLost | None = None
        next_attempt = _NextAttempt(self, call, tried)
        for attempt in range(_MAX_ATTEMPTS):
            if watched.quarantine_refusal(Ran.UNKNOWN):
                break
            target = self._chooser.choose(
                self._pools.pool(call.pool),
                region=call.district,
                prefix=call.prefix,
                excluded=tried,
            )
            if target is None:
                break
            if attempt and not next_attempt.spend_budget():
                metrics.RETRIES.labels("no_budget").inc()
                break
            if call.key:
                claimed = await self._claim_client.claim(
                    call, target, deadline_at, run_number
                )
                if isinstance(claimed, ClaimAnswered | Refusal):
                    return claimed
                run_number = claimed.run_number
            outcome = await self._attempt(
                watched,
                target,
                run_number,
                deadline_at,
                functools.partial(next_attempt.reserve, target, attempt),
            )
            match outcome:
                case StreamingAnswer() | CompleteAnswer():
                    self._outliers.succeeded(target.id)
                    return outcome
                case AttemptLost(reason=reason):
                    last_loss = outcome
                    self._outliers.failed(target.id)
                    metrics.RETRIES.labels(reason).inc()
                    if call.key or now_s() >= deadline_at:
                        return unknown_outcome_refusal(reason)
                case AttemptRefused(reason=reason):
                    last_refusal = outcome
                    self._record_refused_attempt(target, outcome)
                    if reason in _RUN_SUPERSEDED_REASONS:
                        run_number = 0
                        continue
            if now_s() >= deadline_at:
                break
            tried.add(target.id)
            await asyncio.sleep(_RETRY_PAUSE_S)
        return await self._final_refusal(
            watched, run_number, last_refusal, last_loss
        )

    async def _final_refusal(
        self,
        watched: WatchedCall,
        run_number: int,
        last_refusal: AttemptRefused | None,
        last_loss: AttemptLost | None,
    ) -> Refusal:
        """Settles an open claim and refuses a call whose attempts failed."""
        if run_number:
            await self._claim_client.settle_not_run(watched.call, run_number)
        ran = Ran.NOT_RUN if last_loss is None else Ran.UNKNOWN
        quarantined = watched.quarantine_refusal(ran)
        if quarantined is not None:
            return quarantined
        if last_loss is not None:
            return unknown_outcome_refusal(last_loss.reason)
        if last_refusal is None:
            return Refusal("no_target", 503, ran, _RETRY_AFTER_S)
        reason = agent_pb2.RefusalReason.Name(last_refusal.reason).lower()
        return Refusal(reason, 503, ran, last_refusal.retry_after_s)

    def _record_refused_attempt(
        self, target: Target, refused: AttemptRefused
    ) -> None:
        reason = refused.reason
        metrics.RETRIES.labels(agent_pb2.RefusalReason.Name(reason)).inc()
        if reason == agent_pb2.REFUSED_TARGET_UNREACHABLE:
            self._outliers.failed(target.id)
        if reason == agent_pb2.REFUSED_RATE_LIMITED:
            self._chooser.pause_for(target.id, refused.retry_after_s)

    async def _attempt(
        self,
        watched: WatchedCall,
        target: Target,
        run_number: int,
        deadline_at: float,
        may_abandon: MayAbandon,
    ) -> StreamingAnswer | CompleteAnswer | AttemptRefused | AttemptLost:
        call = watched.call
        watched.record_dispatch()
        remaining_ms = int((deadline_at - now_s()) * 1000)
        if remaining_ms <= 0:
            return AttemptRefused(agent_pb2.REFUSED_DEADLINE, _RETRY_AFTER_S)
        request = _run_request(call, target, run_number, remaining_ms)
        events = self._run_events(
            watched, request, target, deadline_at, may_abandon
        )
        try:
            first = await anext(events, None)
        except BaseException:
            await events.aclose()
            raise
        if first is None:
            return AttemptLost("target_lost")
        kind = first.WhichOneof("kind")
        if kind == "head" and first.head.request_id == call.request_id:
            if first.head.content_type.startswith(_EVENT_STREAM):
                return StreamingAnswer(first.head, events)
            return await _collect_answer(first.head, events)
        await events.aclose()
        if kind == "whole" and first.whole.head.request_id == call.request_id:
            return CompleteAnswer(first.whole.head, first.whole.body)
        if kind == "refused":
            return AttemptRefused(
                first.refused.reason, first.refused.retry_after_ms / 1000
            )
        if kind in ("head", "whole"):
            metrics.ANSWERS_DROPPED.labels("crossed_at_entry").inc()
        return AttemptLost(failure_reason(first))

    async def _run_events(
        self,
        watched: WatchedCall,
        request: agent_pb2.RunRequest,
        target: Target,
        deadline_at: float,
        may_abandon: MayAbandon,
    ) -> AsyncGenerator[agent_pb2.RunEvent, None]:
        """Yields the agent's events; own failures become failed events."""
        stub = agent_grpc.AgentStub(self._channels.channel(target.address))
        self._chooser.started(target.id)
        sent = False
        try:
            async with stub.Run.open() as stream:
                await stream.send_request()
                sent = True
                await stream.send_message(request, end=True)
                while True:
                    event = await self._next_event(
                        stream, target, deadline_at, may_abandon
                    )
                    if event is None:
                        return
                    # The target answers, so that the attempt is not abandoned
                    # any more.
                    may_abandon = _never_abandon
                    self._chooser.record_load(target.id, event.outstanding)
                    watched.record_event(event)
                    yield event
        except TimeoutError:
            if now_s() < deadline_at:
                yield _failed_event(agent_pb2.FAILED_TARGET_LOST)
            else:
                yield _failed_event(agent_pb2.FAILED_DEADLINE)
        except CALL_ERRORS:
            if sent:
                yield _failed_event(agent_pb2.FAILED_TARGET_LOST)
            else:
                # No connection was made, so that the request has certainly
                # not run.
                yield agent_pb2.RunEvent(
                    refused=agent_pb2.RunRefused(
                        reason=agent_pb2.REFUSED_TARGET_UNREACHABLE
                    )
                )
        finally:
            self._chooser.ended(target.id)

    async def _next_event(
        self,
        stream: Any,
        target: Target,
        deadline_at: float,
        may_abandon: MayAbandon,
    ) -> agent_pb2.RunEvent | None:
        """Waits for the next event, unless the attempt is abandoned.

        Raises:
            TimeoutError: the deadline has passed, or the agent's lease has
                expired and `may_abandon` returns True.
        """
        async with asyncio.timeout_at(deadline_at) as timeout:
            with self._expiry_watch.watch(target.id, timeout, may_abandon):
                return await stream.recv_message()

    # --- Answers -----------------------------------------------------------

    def _streaming_response(
        self,
        call: Call,
        outcome: StreamingAnswer,
        slot: "_AdmissionSlot",
        arrived_at: float,
    ) -> FinalResponse:
        async def close() -> None:
            await outcome.events.aclose()
            slot.release()

        response = StreamingResponse(
            self._stream_body(call, outcome, arrived_at),
            status_code=outcome.head.status,
            media_type=_EVENT_STREAM,
            headers=answer_headers(call, outcome.head.version),
        )
        return FinalResponse(response, close)

    async def _stream_body(
        self, call: Call, outcome: StreamingAnswer, arrived_at: float
    ) -> AsyncIterator[bytes]:
        """Forwards a stream; ends it with a typed error if it breaks."""
        last_at = 0.0
        async for event in outcome.events:
            match event.WhichOneof("kind"):
                case "body":
                    now = now_s()
                    if last_at:
                        metrics.TOKEN_GAP_S.observe(now - last_at)
                    else:
                        observe_first_token(call, arrived_at)
                    last_at = now
                    yield event.body
                case "end":
                    metrics.ANSWERS.labels("stream").inc()
                    return
                case "failed":
                    yield error_event(call, failure_reason(event))
                    return
        yield error_event(call, "target_lost")


class _NextAttempt:
    """The budget of the attempt that may follow the current one.

    Args:
        dispatcher: dispatcher of the call, owner of the retry budget.
        call: the call.
        tried: ids of the targets of earlier attempts.
    """

    __slots__ = ("_call", "_dispatcher", "_is_reserved", "_tried")

    def __init__(self, dispatcher: Dispatcher, call: Call, tried: set[str]):
        self._dispatcher = dispatcher
        self._call = call
        self._tried = tried
        self._is_reserved = False

    def reserve(self, target: Target, attempt: int) -> bool:
        """Reserves budget for another target; False if there is no retry.

        Args:
            target: target of the current attempt.
            attempt: number of attempts before the current one.
        """
        if self._is_reserved:
            return True
        if self._call.key or attempt + 1 >= _MAX_ATTEMPTS:
            return False
        if not self._dispatcher.has_alternative(
            self._call, self._tried | {target.id}
        ):
            return False
        self._is_reserved = self._dispatcher.budget.spend()
        return self._is_reserved

    def spend_budget(self) -> bool:
        """Whether the next attempt is in budget; spends it if not reserved."""
        is_reserved, self._is_reserved = self._is_reserved, False
        return is_reserved or self._dispatcher.budget.spend()


def _never_abandon() -> bool:
    return False


class _AdmissionSlot:
    """An admission slot that is released at most once."""

    __slots__ = ("_admission", "_released", "_started_at", "_ticket")

    def __init__(self, admission: Admission, ticket: Ticket):
        self._admission = admission
        self._ticket = ticket
        self._started_at = now_s()
        self._released = False

    def release(self) -> None:
        if self._released:
            return
        self._released = True
        ran_s = now_s() - self._started_at
        self._admission.release(self._ticket, ran_s)


async def _collect_answer(
    head: agent_pb2.RunHead, events: AsyncGenerator[agent_pb2.RunEvent, None]
) -> CompleteAnswer | AttemptLost:
    """Buffers the events of an answer; an incomplete one counts as lost."""
    chunks: list[bytes] = []
    async with contextlib.aclosing(events):
        async for event in events:
            match event.WhichOneof("kind"):
                case "body":
                    chunks.append(event.body)
                case "end":
                    return CompleteAnswer(head, b"".join(chunks))
                case "failed":
                    return AttemptLost(failure_reason(event))
    return AttemptLost("target_lost")


def _run_request(
    call: Call, target: Target, run_number: int, remaining_ms: int
) -> agent_pb2.RunRequest:
    request = agent_pb2.RunRequest(
        request_id=call.request_id,
        method=call.method,
        path=call.path,
        content_type=call.content_type,
        body=call.body,
        customer=call.customer,
        priority=call.priority,
        deadline_ms=remaining_ms,
        manifest=target.manifest,
    )
    if run_number:
        request.claim.customer = call.customer
        request.claim.key = call.key
        request.claim.run_number = run_number
        request.claim.agent_incarnation = target.incarnation
    return request


def _failed_event(reason: agent_pb2.FailureReason) -> agent_pb2.RunEvent:
    return agent_pb2.RunEvent(failed=agent_pb2.RunFailed(reason=reason))
