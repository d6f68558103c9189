"""Typed refusals and errors, as callers see them."""

import dataclasses
import enum
import math

from starlette.responses import JSONResponse, Response

from damaskcroft.observe import log_event, metrics


class Ran(enum.Enum):
    """Whether the target may have carried the request out."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A final answer that isn't the target's.

    Attributes:
        reason: fixed word; also the counter's label.
        status: HTTP status.
        ran: whether it ran; `NOT_RUN` is certain.
        retry_after_s: when to come back; None when that makes no sense.
        detail: what it is about, for a person.
    """

    reason: str
    status: int
    ran: Ran
    retry_after_s: float | None = None
    detail: str = ""


def refusal_body(refusal: Refusal, request_id: str) -> dict:
    """The JSON that describes a refusal."""
    error = {
        "type": refusal.reason,
        "ran": refusal.ran.value,
        "request_id": request_id,
    }
    if refusal.detail:
        error["detail"] = refusal.detail
    if refusal.retry_after_s is not None:
        error["retry_after_ms"] = str(int(refusal.retry_after_s * 1000))
    return {"error": error}


def note_refusal(refusal: Refusal, request_id: str) -> None:
    """Counts and logs a refusal."""
    metrics.REFUSALS.labels(refusal.reason, refusal.ran.value).inc()
    log_event(
        "refused",
        request_id=request_id,
        reason=refusal.reason,
        ran=refusal.ran.value,
        retry_after_s=refusal.retry_after_s or 0.0,
    )


def refusal_response(refusal: Refusal, request_id: str) -> Response:
    """The HTTP answer for a refusal; it is counted and logged."""
    note_refusal(refusal, request_id)
    headers = {"X-Request-Id": request_id}
    if refusal.retry_after_s is not None:
        # Whole seconds, RFC 9110 section 10.2.3; the body has milliseconds.
        seconds = max(1, math.ceil(refusal.retry_after_s))
        headers["Retry-After"] = str(seconds)
    return JSONResponse(
        refusal_body(refusal, request_id),
        status_code=refusal.status,
        headers=headers,
    )
