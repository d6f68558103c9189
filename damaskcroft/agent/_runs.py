"""Execution of admitted requests at the target and relay of their answers."""

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator, Callable

from damaskcroft._generated import agent_pb2, control_pb2
from damaskcroft.agent._crashes import TargetWatch
from damaskcroft.agent._gate import Admitted, Gate, Refused
from damaskcroft.agent._settler import Settler
from damaskcroft.agent._target_limit import TargetLimit
from damaskcroft.clock import now_s
from damaskcroft.engines import (
    CallFailed,
    CallNotSent,
    CallStarted,
    Engine,
    TargetCall,
)
from damaskcroft.observe import log_event, log_warning, metrics

_RETRY_UNREACHABLE_MS = 500
# Maximum duration of a claimed run, which continues after its caller has left.
_MAX_CLAIMED_RUN_S = 600.0
_MAX_KEPT_BODY_BYTES = 256 * 1024
# Answers up to this size are sent to the entry in one message.
_MAX_WHOLE_BYTES = 256 * 1024
_EVENT_STREAM = "text/event-stream"


class Runner:
    """Sends requests to one target.

    Args:
        gate: admits each request.
        engine: the target.
        settler: records the outcomes of claimed runs.
        target: detects crashes of the target.
        limit: rate limit that the target announces.
        record_first_piece: called with each request's time to its first body
            piece, in seconds.
    """

    def __init__(
        self,
        gate: Gate,
        engine: Engine,
        settler: Settler,
        target: TargetWatch,
        limit: TargetLimit,
        record_first_piece: Callable[[float], None],
    ):
        """Starts without runs."""
        self._gate = gate
        self._engine = engine
        self._settler = settler
        self._target = target
        self._limit = limit
        self._record_first_piece = record_first_piece
        self._claimed_runs: set[asyncio.Task] = set()

    async def run(
        self, request: agent_pb2.RunRequest
    ) -> AsyncGenerator[agent_pb2.RunEvent, None]:
        """Yields the events of one request.

        A repeatable run is cancelled when its reader disconnects. A claimed
        run continues, so that its outcome is kept for the caller's next
        attempt.
        """
        admitted = self._gate.admit(request)
        if isinstance(admitted, Refused):
            yield self._refused_event(admitted)
            return
        if not request.HasField("claim"):
            async for event in self._run_repeatable(request, admitted):
                yield event
            return
        events: asyncio.Queue[agent_pb2.RunEvent | None] = asyncio.Queue()
        task = asyncio.create_task(self._run_claimed(request, admitted, events))
        self._claimed_runs.add(task)
        task.add_done_callback(self._claimed_runs.discard)
        while (queued := await events.get()) is not None:
            yield queued

    async def finish(self) -> None:
        """Waits for claimed runs, including those whose callers have left."""
        while self._claimed_runs:
            await asyncio.wait(self._claimed_runs)

    async def _run_repeatable(
        self, request: agent_pb2.RunRequest, admitted: Admitted
    ) -> AsyncGenerator[agent_pb2.RunEvent, None]:
        with self._gate.running():
            try:
                async with asyncio.timeout(request.deadline_ms / 1000):
                    async for event in self._call(request, admitted):
                        yield event
            except TimeoutError:
                yield self._failed_event(agent_pb2.FAILED_DEADLINE)

    async def _run_claimed(
        self,
        request: agent_pb2.RunRequest,
        admitted: Admitted,
        events: asyncio.Queue[agent_pb2.RunEvent | None],
    ) -> None:
        outcome = _ClaimedOutcome()
        with self._gate.running():
            try:
                async with asyncio.timeout(_MAX_CLAIMED_RUN_S):
                    async for event in self._call(request, admitted):
                        outcome.record(event)
                        events.put_nowait(event)
            except TimeoutError:
                events.put_nowait(self._failed_event(agent_pb2.FAILED_DEADLINE))
            except Exception as error:
                # An internal error; the run is settled nevertheless.
                log_warning(
                    "run_failed",
                    request_id=request.request_id,
                    reason=repr(error),
                )
                events.put_nowait(
                    self._failed_event(agent_pb2.FAILED_TARGET_LOST)
                )
            finally:
                events.put_nowait(None)
            if outcome.refused:
                # The entry decides whether to move the claim or to end it, so
                # nothing is settled here.
                self._gate.mark_not_run(request.claim.run_number)
                return
            settlement = outcome.settlement(request, admitted)
            log_event(
                "claimed_run_ended",
                request_id=request.request_id,
                run_number=request.claim.run_number,
                result=control_pb2.RunResult.Name(settlement.result),
            )
            await self._settler.settle(settlement)

    async def _call(
        self, request: agent_pb2.RunRequest, admitted: Admitted
    ) -> AsyncGenerator[agent_pb2.RunEvent, None]:
        call = TargetCall(
            request.request_id,
            request.method,
            request.path,
            request.content_type,
            request.body,
            request.priority,
            admitted.manifest,
        )
        claimed = request.HasField("claim")
        start = self._target.start
        started_at = now_s()
        async with self._engine.call(call, fresh_connection=claimed) as begun:
            match begun:
                case CallNotSent():
                    yield self._refused_event(
                        Refused(
                            agent_pb2.REFUSED_TARGET_UNREACHABLE,
                            _RETRY_UNREACHABLE_MS,
                        )
                    )
                case CallFailed():
                    yield await self._connection_lost_event(start)
                case CallStarted() if begun.request_id not in (
                    "",
                    request.request_id,
                ):
                    # The answer belongs to another request and must never
                    # reach this caller.
                    metrics.ANSWERS_DROPPED.labels("crossed_at_target").inc()
                    yield self._failed_event(agent_pb2.FAILED_TARGET_LOST)
                case CallStarted():
                    self._limit.record_answer(begun.limit, start, started_at)
                    async for event in self._relay_answer(
                        request, admitted, begun, started_at, start
                    ):
                        yield event

    async def _relay_answer(
        self,
        request: agent_pb2.RunRequest,
        admitted: Admitted,
        begun: CallStarted,
        started_at: float,
        start: int,
    ) -> AsyncGenerator[agent_pb2.RunEvent, None]:
        head = agent_pb2.RunHead(
            status=begun.status,
            content_type=begun.content_type,
            version=admitted.version,
            fencing=admitted.fencing,
            request_id=request.request_id,
        )
        pieces = self._timed(begun.body, started_at)
        try:
            if begun.content_type.startswith(_EVENT_STREAM):
                yield self._event(head=head)
            else:
                gathered, is_whole = await _read_bounded(pieces)
                if is_whole:
                    whole = agent_pb2.RunWhole(head=head, body=gathered)
                    yield self._event(whole=whole)
                    return
                yield self._event(head=head)
                yield self._event(body=gathered)
            async for piece in pieces:
                yield self._event(body=piece)
        except ConnectionError:
            yield await self._connection_lost_event(start)
            return
        yield self._event(end=True)

    async def _timed(
        self, body: AsyncIterator[bytes], started_at: float
    ) -> AsyncGenerator[bytes, None]:
        """Yields the pieces and reports the time to the first one."""
        first = True
        async for piece in body:
            if first:
                first = False
                self._record_first_piece(now_s() - started_at)
            yield piece

    def _refused_event(self, refused: Refused) -> agent_pb2.RunEvent:
        return self._event(
            refused=agent_pb2.RunRefused(
                reason=refused.reason, retry_after_ms=refused.retry_after_ms
            )
        )

    async def _connection_lost_event(self, start: int) -> agent_pb2.RunEvent:
        """Returns the event for a connection that ended before its answer."""
        crashed_start = await self._target.name_if_crashed(start)
        if not crashed_start:
            return self._failed_event(agent_pb2.FAILED_TARGET_LOST)
        return self._failed_event(
            agent_pb2.FAILED_TARGET_CRASHED, crashed_start
        )

    def _failed_event(
        self, reason: agent_pb2.FailureReason, target_start: str = ""
    ) -> agent_pb2.RunEvent:
        failed = agent_pb2.RunFailed(reason=reason, target_start=target_start)
        return self._event(failed=failed)

    def _event(self, **kind) -> agent_pb2.RunEvent:
        return agent_pb2.RunEvent(outstanding=self._gate.outstanding, **kind)


async def _read_bounded(pieces: AsyncIterator[bytes]) -> tuple[bytes, bool]:
    """Reads the body up to the size limit.

    Returns:
        The bytes read, and whether they are the whole body.
    """
    gathered: list[bytes] = []
    size_bytes = 0
    async for piece in pieces:
        gathered.append(piece)
        size_bytes += len(piece)
        if size_bytes > _MAX_WHOLE_BYTES:
            return b"".join(gathered), False
    return b"".join(gathered), True


class _ClaimedOutcome:
    """Collects the events of a claimed run for its settlement."""

    __slots__ = ("_answer", "_body", "_ended", "_size_bytes", "refused")

    def __init__(self) -> None:
        self.refused = False
        self._ended = False
        self._answer = control_pb2.KeptAnswer()
        self._body: list[bytes] = []
        self._size_bytes = 0

    def record(self, event: agent_pb2.RunEvent) -> None:
        match event.WhichOneof("kind"):
            case "refused":
                self.refused = True
            case "head":
                self._add_head(event.head)
            case "body":
                self._add_body(event.body)
            case "whole":
                self._add_head(event.whole.head)
                self._add_body(event.whole.body)
                self._ended = True
            case "end":
                self._ended = True

    def _add_head(self, head: agent_pb2.RunHead) -> None:
        self._answer.status = head.status
        self._answer.content_type = head.content_type
        self._answer.version = head.version

    def _add_body(self, piece: bytes) -> None:
        self._size_bytes += len(piece)
        if self._size_bytes <= _MAX_KEPT_BODY_BYTES:
            self._body.append(piece)

    def settlement(
        self, request: agent_pb2.RunRequest, admitted: Admitted
    ) -> control_pb2.SettleRequest:
        settlement = control_pb2.SettleRequest(
            customer=request.claim.customer,
            key=request.claim.key,
            run_number=request.claim.run_number,
            result=control_pb2.RESULT_UNKNOWN,
        )
        if not self._ended:
            return settlement
        settlement.result = control_pb2.RESULT_DONE
        if self._size_bytes > _MAX_KEPT_BODY_BYTES:
            self._answer.dropped = True
        else:
            self._answer.body = b"".join(self._body)
        settlement.answer.CopyFrom(self._answer)
        return settlement
