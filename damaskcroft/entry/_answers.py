"""HTTP responses to callers: complete, replayed and interrupted answers."""

import dataclasses
import json
from collections.abc import Awaitable, Callable

from starlette.responses import Response

from damaskcroft._generated import agent_pb2, control_pb2
from damaskcroft.clock import now_s
from damaskcroft.entry._calls import Call
from damaskcroft.entry._claims import ClaimAnswered
from damaskcroft.entry._refusals import (
    Ran,
    Refusal,
    record_refusal,
    refusal_body,
    refusal_response,
)
from damaskcroft.observe import log_event, metrics

_RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class CompleteAnswer:
    """A complete answer of the target, buffered before any of it is sent."""

    head: agent_pb2.RunHead
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class FinalResponse:
    """The response to a caller, with its cleanup.

    Attributes:
        response: the response to send.
        close: releases the resources of the response; called once the
            response has ended, whether it was sent or not.
    """

    response: Response
    close: Callable[[], Awaitable[None]]


def buffered_response(
    call: Call,
    outcome: CompleteAnswer | ClaimAnswered | Refusal,
    arrived_at: float,
) -> Response:
    """Builds the response for an outcome that is not streamed."""
    if isinstance(outcome, Refusal):
        return refusal_response(outcome, call.request_id)
    if isinstance(outcome, ClaimAnswered):
        return _replayed_response(call, outcome.answer)
    observe_first_token(call, arrived_at)
    metrics.ANSWERS.labels("whole").inc()
    return Response(
        outcome.body,
        status_code=outcome.head.status,
        media_type=outcome.head.content_type or None,
        headers=answer_headers(call, outcome.head.version),
    )


def answer_headers(call: Call, version: str) -> dict[str, str]:
    """Builds the headers of every answer that comes from a target."""
    return {"X-Request-Id": call.request_id, "Damask-Version": version}


def final_response(response: Response) -> FinalResponse:
    """Wraps a response that needs no cleanup."""

    async def close() -> None:
        return None

    return FinalResponse(response, close)


def unknown_outcome_refusal(reason: str) -> Refusal:
    """Builds the refusal of a request that the target may have run."""
    status = 504 if reason == "deadline" else 502
    return Refusal(reason, status, Ran.UNKNOWN, _RETRY_AFTER_S)


def failure_reason(event: agent_pb2.RunEvent) -> str:
    """Returns the reason of a failed event as it is logged and counted."""
    name = agent_pb2.FailureReason.Name(event.failed.reason)
    return name.removeprefix("FAILED_").lower()


def _replayed_response(call: Call, answer: control_pb2.KeptAnswer) -> Response:
    if answer.dropped:
        refusal = Refusal("answer_not_kept", 409, Ran.RAN)
        return refusal_response(refusal, call.request_id)
    metrics.ANSWERS.labels("kept").inc()
    log_event("answered_again", request_id=call.request_id)
    return Response(
        answer.body,
        status_code=answer.status,
        media_type=answer.content_type or None,
        headers={
            **answer_headers(call, answer.version),
            "Damask-Replayed": "yes",
        },
    )


def error_event(call: Call, reason: str) -> bytes:
    """Builds the typed error that ends a broken stream; counts and logs it."""
    refusal = Refusal(reason, 200, Ran.UNKNOWN, _RETRY_AFTER_S)
    record_refusal(refusal, call.request_id)
    document = json.dumps(refusal_body(refusal, call.request_id))
    return f"event: error\ndata: {document}\n\n".encode()


def observe_first_token(call: Call, arrived_at: float) -> None:
    """Records the time from the arrival of a call to its first body byte."""
    took_s = now_s() - arrived_at
    metrics.FIRST_TOKEN_S.labels(call.priority).observe(took_s)
