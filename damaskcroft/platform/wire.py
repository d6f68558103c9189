"""Headers of the platform's callers and targets."""

from damaskcroft.forwarding import (
    AnswerFacts,
    Call,
    Passing,
    TargetLoad,
    Wire,
)
from damaskcroft.http1 import CallerRequest, Head, Headers, retry_after_s
from damaskcroft.limits import limit_named

__all__ = ["PlatformWire"]

# They concern one connection only (RFC 9110, 7.6.1); lengths are framed anew.
_CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
# The system sets these itself, whatever the caller sent.
_OWN_HEADERS = frozenset(
    {
        b"credential",
        b"deadline-ms",
        b"expect-instance",
        b"expect-version",
        b"last-event-id",
        b"path",
        b"request-priority",
        b"tenant",
    }
)
# Longer numbers in an answer make no sense, and Python reads none of thousands.
_MAX_DIGITS = 18


class PlatformWire(Wire):
    """See Wire."""

    def call(self, request: CallerRequest) -> Call | None:
        """See Wire."""
        path, _, _ = request.target.decode("latin-1").partition("?")
        dropped = _CONNECTION_HEADERS | _OWN_HEADERS | _named(request.headers)
        try:
            prompt, answer = _token_counts(request.value(b"token-counts"))
            deadline = request.value(b"deadline-ms")
            last_event = request.value(b"last-event-id")
            return Call(
                request_id=request.value(b"request-id"),
                method=request.method,
                target=request.target,
                host=request.value(b"host"),
                path=path,
                headers=[h for h in request.headers if h[0] not in dropped],
                body=request.body,
                key=request.value(b"credential"),
                deadline_s=float(deadline) / 1000 if deadline else None,
                arrived_at=request.arrived_at,
                last_event_id=int(last_event) if last_event else None,
                model=request.value(b"model"),
                prompt_tokens=prompt,
                max_answer_tokens=answer,
                prefix_ids=_prefix_ids(request.value(b"prompt-prefix")),
            )
        except ValueError:
            return None

    def target_headers(self, call: Call, passing: Passing) -> Headers:
        """See Wire."""
        headers = [
            *call.headers,
            (b"deadline-ms", b"%d" % max(1, passing.deadline_s * 1000)),
            # On the wire the target's id is called an instance.
            (b"expect-instance", passing.target_id.encode("latin-1")),
        ]
        if passing.customer:
            headers.append((b"tenant", passing.customer.encode("latin-1")))
        if passing.last_event_id is not None:
            headers.append((b"last-event-id", b"%d" % passing.last_event_id))
        if passing.priority is not None:
            headers.append((b"request-priority", b"%d" % passing.priority))
        if passing.weights_version:
            headers.append((b"expect-version", b"%d" % passing.weights_version))
        return headers

    def facts(self, head: Head) -> AnswerFacts:
        """See Wire."""
        version = head.value(b"weight-versions")
        misdirected = head.status == 421
        return AnswerFacts(
            request_id=head.value(b"request-id"),
            not_run=bool(head.value(b"not-executed")) or misdirected,
            sealed=bool(head.value(b"response-seal")),
            target_id=head.value(b"instance-id"),
            load=_load(head.value(b"server-load")),
            weights_version=_number(version) or 0,
            misdirected=misdirected,
            rest_s=_rest_s(head),
            leaving=head.value(b"server-leaving") == "1",
            limit=limit_named(head.values(b"server-limit")),
        )

    def answer_headers(self, head: Head) -> Headers:
        """See Wire."""
        dropped = _CONNECTION_HEADERS | _named(head.headers)
        return [h for h in head.headers if h[0] not in dropped]

    def refusal_headers(
        self, request_id: str, retry_after_s: float | None
    ) -> Headers:
        """See Wire."""
        headers: Headers = []
        if request_id:
            headers.append((b"request-id", request_id.encode("latin-1")))
        if retry_after_s is not None:
            headers.append((b"retry-after", b"%.2f" % retry_after_s))
        return headers


def _named(headers: Headers) -> frozenset[bytes]:
    """Headers that a Connection header declares to concern one connection."""
    values = [value for name, value in headers if name == b"connection"]
    if not values:
        return frozenset()
    return frozenset(
        name.strip() for value in values for name in value.lower().split(b",")
    )


def _token_counts(value: str) -> tuple[int, int]:
    if not value:
        return 0, 0
    prompt, _, answer = value.partition(",")
    return int(prompt), int(answer or 0)


def _prefix_ids(value: str) -> tuple[str, ...]:
    parts = [part.strip() for part in value.split(",") if part.strip()]
    return tuple(part.partition(":")[0] for part in parts)


def _rest_s(head: Head) -> float | None:
    if head.status != 503:
        return None
    return retry_after_s(head.value(b"retry-after"), head.value(b"date"))


def _load(value: str) -> TargetLoad | None:
    numbers = [_number(part.strip()) for part in value.split(",")]
    match numbers:
        case [int(running), int(waiting), int(slots)]:
            return TargetLoad(running, waiting, slots)
    return None


def _number(value: str) -> int | None:
    """A whole number, or None where it is none or makes no sense."""
    if not value.isdecimal() or len(value) > _MAX_DIGITS:
        return None
    return int(value)
