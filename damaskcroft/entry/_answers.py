"""What callers get: whole answers, kept ones, and how streams break."""

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
    note_refusal,
    refusal_body,
    refusal_response,
)
from damaskcroft.observe import log_event, metrics

_RETRY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Whole:
    """The target's whole answer; nothing of it was passed on before."""

    head: agent_pb2.RunHead
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Final:
    """What the caller gets.

    Attributes:
        response: to be sent.
        close: gives back what the response holds; called when it is over,
            sent or not.
    """

    response: Response
    close: Callable[[], Awaitable[None]]


def whole_response(
    call: Call, outcome: Whole | ClaimAnswered | Refusal, arrived_at: float
) -> Response:
    """The HTTP answer that is sent in one piece."""
    if isinstance(outcome, Refusal):
        return refusal_response(outcome, call.request_id)
    if isinstance(outcome, ClaimAnswered):
        return _kept_response(call, outcome.answer)
    observe_first_token(call, arrived_at)
    metrics.ANSWERS.labels("whole").inc()
    return Response(
        outcome.body,
        status_code=outcome.head.status,
        media_type=outcome.head.content_type or None,
        headers=answer_headers(call, outcome.head.version),
    )


def answer_headers(call: Call, version: str) -> dict[str, str]:
    """Headers of every answer that a target gave."""
    return {"X-Request-Id": call.request_id, "Damask-Version": version}


def final_of(response: Response) -> Final:
    """A response that holds nothing to be given back."""

    async def close() -> None:
        return None

    return Final(response, close)


def lost_refusal(reason: str) -> Refusal:
    """The refusal when no telling whether the target ran it."""
    status = 504 if reason == "deadline" else 502
    return Refusal(reason, status, Ran.UNKNOWN, _RETRY_S)


def failure_word(event: agent_pb2.RunEvent) -> str:
    """The fixed word for a failed event."""
    name = agent_pb2.FailureReason.Name(event.failed.reason)
    return name.removeprefix("FAILED_").lower()


def _kept_response(call: Call, answer: control_pb2.KeptAnswer) -> Response:
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
    """The typed error that ends a broken stream; counted and logged."""
    refusal = Refusal(reason, 200, Ran.UNKNOWN, _RETRY_S)
    note_refusal(refusal, call.request_id)
    document = json.dumps(refusal_body(refusal, call.request_id))
    return f"event: error\ndata: {document}\n\n".encode()


def observe_first_token(call: Call, arrived_at: float) -> None:
    """Measures arrival to first body byte."""
    took_s = now_s() - arrived_at
    metrics.FIRST_TOKEN_S.labels(call.priority).observe(took_s)
