"""Sends a call to a target and gives the caller the whole answer, once."""

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
    Final,
    Whole,
    answer_headers,
    error_event,
    failure_word,
    final_of,
    lost_refusal,
    observe_first_token,
    whole_response,
)
from damaskcroft.entry._calls import Call
from damaskcroft.entry._claims import ClaimAnswered, Claimant
from damaskcroft.entry._lapses import LapseWatch, MayLeave
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
_RETRY_S = 1.0
_RETRY_PAUSE_S = 0.02
# An entry that has been started hears from control within some tenths of a
# second, or after an election, which takes a second or two.
_FIRST_VIEW_RETRY_S = 0.5
# Refusals that send the entry back to the claim: another entry has taken the
# run over.
_RUN_TAKEN_OVER = (
    agent_pb2.REFUSED_FENCED_RUN,
    agent_pb2.REFUSED_DUPLICATE_RUN,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Answering:
    """The target has begun its answer.

    Attributes:
        head: status and content type.
        events: what follows; must be closed.
    """

    head: agent_pb2.RunHead
    events: AsyncGenerator[agent_pb2.RunEvent, None]


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptRefused:
    """The agent certifies that nothing was run."""

    reason: agent_pb2.RefusalReason
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptLost:
    """No telling whether the target ran it."""

    reason: str


class Dispatcher:
    """Carries calls out at one entry.

    Attributes:
        budget: for attempts that follow a first one.
        outstanding: calls under way.
    """

    def __init__(
        self,
        client: LeaseClient,
        pools: PoolTable,
        admission: Admission,
        claimant: Claimant,
        channels: ChannelPool,
        retry_fraction: float,
    ):
        """Uses the entry's parts; see their classes."""
        self._client = client
        self._pools = pools
        self._admission = admission
        self._claimant = claimant
        self._channels = channels
        self._outliers = Outliers()
        self._chooser = TargetChooser(self._outliers)
        self.budget = RetryBudget(retry_fraction)
        self._lapses = LapseWatch(client.roster)
        self._suspects = Suspects(client)
        self.outstanding = 0

    async def run(self) -> None:
        """Gives up on agents whose lease has lapsed, until cancelled."""
        await self._lapses.run()

    async def answer(self, call: Call) -> Final:
        """Gives a call's final answer."""
        arrived_at = now_s()
        deadline_at = arrived_at + call.deadline_s
        unknown = self._unknown(call)
        watched = self._suspects.watched(call)
        refusal = unknown or watched.refusal(Ran.NOT_RUN)
        if refusal is not None:
            return final_of(refusal_response(refusal, call.request_id))
        self.budget.earn()
        ticket = Ticket(call.pool, call.customer, call.priority, deadline_at)
        granted = await self._admission.acquire(ticket)
        if isinstance(granted, NotGranted):
            refusal = Refusal(
                granted.reason, 503, Ran.NOT_RUN, granted.retry_after_s
            )
            return final_of(refusal_response(refusal, call.request_id))
        metrics.QUEUE_WAIT_S.labels(call.priority).observe(now_s() - arrived_at)
        slot = _Slot(self._admission, ticket)
        try:
            async with watched.one_at_a_time(deadline_at):
                outcome = await self._run(watched, deadline_at)
        except BaseException:
            slot.release()
            raise
        if isinstance(outcome, Answering):
            return self._streamed(call, outcome, slot, arrived_at)
        slot.release()
        return final_of(whole_response(call, outcome, arrived_at))

    def _unknown(self, call: Call) -> Refusal | None:
        """The refusal of a call to a name that nothing speaks of."""
        if not self._client.roster.has_view:
            # A 404 would be final for the caller, and most likely wrong.
            return Refusal("not_ready", 503, Ran.NOT_RUN, _FIRST_VIEW_RETRY_S)
        if self._pools.is_known(call.pool):
            return None
        return Refusal("unknown_model", 404, Ran.NOT_RUN, detail=call.pool)

    # --- Attempts ------------------------------------------------------------

    def has_other(self, call: Call, tried: Collection[str]) -> bool:
        """Whether a target that control hears could answer a call."""
        lapsed = self._client.roster.lapsed_ids
        targets = self._pools.pool(call.pool).targets
        return any(t.id not in tried and t.id not in lapsed for t in targets)

    async def _run(
        self, watched: WatchedCall, deadline_at: float
    ) -> Answering | Whole | ClaimAnswered | Refusal:
        call = watched.call
        tried: set[str] = set()
        run_number = 0
        last: AttemptRefused | None = None
        lost: AttemptLost | None = None
        onward = _Onward(self, call, tried)
        for attempt in range(_MAX_ATTEMPTS):
            if watched.refusal(Ran.UNKNOWN):
                break
            target = self._chooser.choose(
                self._pools.pool(call.pool),
                region=call.district,
                prefix=call.prefix,
                excluded=tried,
            )
            if target is None:
                break
            if attempt and not onward.pay():
                metrics.RETRIES.labels("no_budget").inc()
                break
            if call.key:
                claimed = await self._claimant.claim(
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
                functools.partial(onward.is_taken_from, target, attempt),
            )
            match outcome:
                case Answering() | Whole():
                    self._outliers.succeeded(target.id)
                    return outcome
                case AttemptLost(reason=reason):
                    lost = outcome
                    self._outliers.failed(target.id)
                    metrics.RETRIES.labels(reason).inc()
                    if call.key or now_s() >= deadline_at:
                        return lost_refusal(reason)
                case AttemptRefused(reason=reason):
                    last = outcome
                    self._note_refused(target, outcome)
                    if reason in _RUN_TAKEN_OVER:
                        run_number = 0
                        continue
            if now_s() >= deadline_at:
                break
            tried.add(target.id)
            await asyncio.sleep(_RETRY_PAUSE_S)
        return await self._give_up(watched, run_number, last, lost)

    async def _give_up(
        self,
        watched: WatchedCall,
        run_number: int,
        last: AttemptRefused | None,
        lost: AttemptLost | None,
    ) -> Refusal:
        if run_number:
            await self._claimant.settle_not_run(watched.call, run_number)
        ran = Ran.NOT_RUN if lost is None else Ran.UNKNOWN
        quarantined = watched.refusal(ran)
        if quarantined is not None:
            return quarantined
        if lost is not None:
            return lost_refusal(lost.reason)
        if last is None:
            return Refusal("no_target", 503, ran, _RETRY_S)
        reason = agent_pb2.RefusalReason.Name(last.reason).lower()
        return Refusal(reason, 503, ran, last.retry_after_s)

    def _note_refused(self, target: Target, refused: AttemptRefused) -> None:
        reason = refused.reason
        metrics.RETRIES.labels(agent_pb2.RefusalReason.Name(reason)).inc()
        if reason == agent_pb2.REFUSED_TARGET_UNREACHABLE:
            self._outliers.failed(target.id)
        if reason == agent_pb2.REFUSED_RATE_LIMITED:
            self._chooser.leave_alone(target.id, refused.retry_after_s)

    async def _attempt(
        self,
        watched: WatchedCall,
        target: Target,
        run_number: int,
        deadline_at: float,
        may_leave: MayLeave,
    ) -> Answering | Whole | AttemptRefused | AttemptLost:
        call = watched.call
        watched.sending()
        remaining_ms = int((deadline_at - now_s()) * 1000)
        if remaining_ms <= 0:
            return AttemptRefused(agent_pb2.REFUSED_DEADLINE, _RETRY_S)
        request = _run_request(call, target, run_number, remaining_ms)
        events = self._events(watched, request, target, deadline_at, may_leave)
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
                return Answering(first.head, events)
            return await _whole(first.head, events)
        await events.aclose()
        if kind == "whole" and first.whole.head.request_id == call.request_id:
            return Whole(first.whole.head, first.whole.body)
        if kind == "refused":
            return AttemptRefused(
                first.refused.reason, first.refused.retry_after_ms / 1000
            )
        if kind in ("head", "whole"):
            metrics.LATE_DROPPED.labels("crossed_at_entry").inc()
        return AttemptLost(failure_word(first))

    async def _events(
        self,
        watched: WatchedCall,
        request: agent_pb2.RunRequest,
        target: Target,
        deadline_at: float,
        may_leave: MayLeave,
    ) -> AsyncGenerator[agent_pb2.RunEvent, None]:
        """The agent's events; a failure of ours comes as a failed event."""
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
                        stream, target, deadline_at, may_leave
                    )
                    if event is None:
                        return
                    # It answers, and nothing takes the place of that.
                    may_leave = _stays
                    self._chooser.told(target.id, event.outstanding)
                    watched.note(event)
                    yield event
        except TimeoutError:
            if now_s() < deadline_at:
                yield _failed(agent_pb2.FAILED_TARGET_LOST)
            else:
                yield _failed(agent_pb2.FAILED_DEADLINE)
        except CALL_ERRORS:
            if sent:
                yield _failed(agent_pb2.FAILED_TARGET_LOST)
            else:
                # No connection was made: certainly not run.
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
        may_leave: MayLeave,
    ) -> agent_pb2.RunEvent | None:
        """The next event; an agent whose lease lapsed may count as lost.

        Raises:
            TimeoutError: the deadline has passed, or the agent's lease and
                there is something better.
        """
        async with asyncio.timeout_at(deadline_at) as limit:
            with self._lapses.watched(target.id, limit, may_leave):
                return await stream.recv_message()

    # --- Answers -----------------------------------------------------------

    def _streamed(
        self, call: Call, outcome: Answering, slot: "_Slot", arrived_at: float
    ) -> Final:
        async def close() -> None:
            await outcome.events.aclose()
            slot.release()

        response = StreamingResponse(
            self._stream(call, outcome, arrived_at),
            status_code=outcome.head.status,
            media_type=_EVENT_STREAM,
            headers=answer_headers(call, outcome.head.version),
        )
        return Final(response, close)

    async def _stream(
        self, call: Call, outcome: Answering, arrived_at: float
    ) -> AsyncIterator[bytes]:
        """Passes a stream on; it ends with a typed error if it breaks."""
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
                    yield error_event(call, failure_word(event))
                    return
        yield error_event(call, "target_lost")


class _Onward:
    """The attempt that may follow the present one of a call.

    Args:
        dispatcher: carries the call out.
        call: the call.
        tried: ids of targets that it was sent to before.
    """

    __slots__ = ("_call", "_dispatcher", "_is_paid", "_tried")

    def __init__(self, dispatcher: Dispatcher, call: Call, tried: set[str]):
        self._dispatcher = dispatcher
        self._call = call
        self._tried = tried
        self._is_paid = False

    def is_taken_from(self, target: Target, attempt: int) -> bool:
        """Pays for going on elsewhere, if there is a way to.

        Args:
            target: of the present attempt.
            attempt: how many were made before it.
        """
        if self._is_paid:
            return True
        if self._call.key or attempt + 1 >= _MAX_ATTEMPTS:
            return False
        if not self._dispatcher.has_other(
            self._call, self._tried | {target.id}
        ):
            return False
        self._is_paid = self._dispatcher.budget.spend()
        return self._is_paid

    def pay(self) -> bool:
        """Whether the next attempt may be made."""
        is_paid, self._is_paid = self._is_paid, False
        return is_paid or self._dispatcher.budget.spend()


def _stays() -> bool:
    return False


class _Slot:
    """An admission slot, released once."""

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


async def _whole(
    head: agent_pb2.RunHead, events: AsyncGenerator[agent_pb2.RunEvent, None]
) -> Whole | AttemptLost:
    """The whole answer; nothing is passed on unless it is complete."""
    pieces: list[bytes] = []
    async with contextlib.aclosing(events):
        async for event in events:
            match event.WhichOneof("kind"):
                case "body":
                    pieces.append(event.body)
                case "end":
                    return Whole(head, b"".join(pieces))
                case "failed":
                    return AttemptLost(failure_word(event))
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


def _failed(reason: agent_pb2.FailureReason) -> agent_pb2.RunEvent:
    return agent_pb2.RunEvent(failed=agent_pb2.RunFailed(reason=reason))
