"""Codec for the headers of the platform's callers and targets."""

from damaskcroft.forwarding import (
    AnswerFacts,
    AttemptMetadata,
    Call,
    TargetLoad,
    Wire,
)
from damaskcroft.http1 import CallerRequest, Head, Headers, retry_after_s
from damaskcroft.limits import parse_limit

__all__ = ["PlatformWire"]

# Hop-by-hop headers (RFC 9110, 7.6.1), and the length, which is set again for
# each hop.
_HOP_BY_HOP_HEADERS = frozenset(
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
# Set by the entry itself; values from callers are discarded.
_RESERVED_HEADERS = frozenset(
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
# Longer numbers are implausible, and `int` raises on thousands of digits.
_MAX_DIGITS = 18
_PERCENT = 100


class PlatformWire(Wire):
    """Decodes and encodes the platform's headers."""

    def call(self, request: CallerRequest) -> Call | None:
        """Decodes a request; returns None if a header is malformed."""
        path, _, _ = request.target.decode("latin-1").partition("?")
        dropped = (
            _HOP_BY_HOP_HEADERS
            | _RESERVED_HEADERS
            | _connection_options(request.headers)
        )
        try:
            prompt, answer = _parse_token_counts(request.value(b"token-counts"))
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
                prefix_ids=_parse_prefix_ids(request.value(b"prompt-prefix")),
            )
        except ValueError:
            return None

    def target_headers(self, call: Call, passing: AttemptMetadata) -> Headers:
        """Returns the headers of a request to a target."""
        headers = [
            *call.headers,
            (b"deadline-ms", b"%d" % max(1, passing.deadline_s * 1000)),
            # The wire calls the id of a target an instance.
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
        """Decodes what the head of an answer says about target and run."""
        version = head.value(b"weight-versions")
        misdirected = head.status == 421
        return AnswerFacts(
            request_id=head.value(b"request-id"),
            not_run=bool(head.value(b"not-executed")) or misdirected,
            sealed=bool(head.value(b"response-seal")),
            target_id=head.value(b"instance-id"),
            load=_parse_load(head.value(b"server-load")),
            weights_version=_parse_integer(version) or 0,
            misdirected=misdirected,
            rest_s=_parse_back_off_s(head),
            leaving=head.value(b"server-leaving") == "1",
            limit=parse_limit(head.values(b"server-limit")),
        )

    def answer_headers(self, head: Head) -> Headers:
        """Returns the headers of an answer that are passed to the caller."""
        dropped = _HOP_BY_HOP_HEADERS | _connection_options(head.headers)
        return [h for h in head.headers if h[0] not in dropped]

    def refusal_headers(
        self, request_id: str, retry_after_s: float | None
    ) -> Headers:
        """Returns the headers of a refusal."""
        headers: Headers = []
        if request_id:
            headers.append((b"request-id", request_id.encode("latin-1")))
        if retry_after_s is not None:
            headers.append((b"retry-after", b"%.2f" % retry_after_s))
        return headers


def _connection_options(headers: Headers) -> frozenset[bytes]:
    """Returns the headers that Connection headers list as hop-by-hop."""
    values = [value for name, value in headers if name == b"connection"]
    if not values:
        return frozenset()
    return frozenset(
        name.strip() for value in values for name in value.lower().split(b",")
    )


def _parse_token_counts(value: str) -> tuple[int, int]:
    if not value:
        return 0, 0
    prompt, _, answer = value.partition(",")
    return int(prompt), int(answer or 0)


def _parse_prefix_ids(value: str) -> tuple[str, ...]:
    parts = [part.strip() for part in value.split(",") if part.strip()]
    return tuple(part.partition(":")[0] for part in parts)


def _parse_back_off_s(head: Head) -> float | None:
    if head.status != 503:
        return None
    return retry_after_s(head.value(b"retry-after"), head.value(b"date"))


def _parse_load(value: str) -> TargetLoad | None:
    """Parses counts of requests and slots, and an optional pace in percent.

    Targets of other versions may append further figures.
    """
    numbers = [_parse_integer(part.strip()) for part in value.split(",")]
    match numbers:
        case [int(running), int(waiting), int(slots)]:
            return TargetLoad(running, waiting, slots)
        case [int(running), int(waiting), int(slots), pace, *rest]:
            if not pace or rest:
                return TargetLoad(running, waiting, slots)
            return TargetLoad(running, waiting, slots, pace / _PERCENT)
    return None


def _parse_integer(value: str) -> int | None:
    """Parses a non-negative integer; returns None if malformed or too long."""
    if not value.isdecimal() or len(value) > _MAX_DIGITS:
        return None
    return int(value)
