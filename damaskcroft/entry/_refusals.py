"""Typed refusals and errors that are sent to callers."""

import dataclasses
import enum
import math

from starlette.responses import JSONResponse, Response

from damaskcroft.observe import log_event, metrics


class Ran(enum.Enum):
    """Whether the target has run the request."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A final answer that does not come from a target.

    Attributes:
        reason: machine-readable reason; also the label of the counter.
        status: HTTP status.
        ran: whether the request ran; `NOT_RUN` is certain.
        retry_after_s: delay before a retry; None if a retry is pointless.
        detail: human-readable detail.
    """

    reason: str
    status: int
    ran: Ran
    retry_after_s: float | None = None
    detail: str = ""


def refusal_body(refusal: Refusal, request_id: str) -> dict:
    """Builds the JSON body of a refusal."""
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


def record_refusal(refusal: Refusal, request_id: str) -> None:
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
    """Builds the HTTP response for a refusal; counts and logs it."""
    record_refusal(refusal, request_id)
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
