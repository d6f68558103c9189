"""Parses a caller's HTTP request into a typed call or a typed refusal.

Headers: Idempotency-Key (draft-ietf-httpapi-idempotency-key-header),
Damask-Customer, Damask-District, Damask-Priority, Damask-Deadline-Ms and
Damask-Repeatable; docs/operators/callers.md describes them.
"""

import dataclasses
import json
import secrets
from typing import Any

from starlette.requests import ClientDisconnect, Request

from damaskcroft.entry._refusals import Ran, Refusal
from damaskcroft.routing._pools import service_pool

_PRIORITIES_BY_NAME = {"alert": 0, "ping": 1, "draft": 2}
_MAX_KEY_LENGTH = 255
_MAX_DEADLINE_MS = 3_600_000
# Number of characters of a prompt that decide which targets are preferred.
MAX_PREFIX_CHARACTERS = 256
_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A validated request of a caller.

    Attributes:
        request_id: identifies the request in logs, replies and at the target.
        method: HTTP method.
        path: path at the target, with the query.
        content_type: content type of the body.
        body: the body as received.
        pool: model or service that must answer.
        customer: the customer that sends the request.
        district: preferred region of the target.
        priority: 0 alert, 1 ping, 2 drafting.
        deadline_s: time that the caller allows for the answer.
        key: idempotency key; set if and only if the request must run at most
            once.
        prefix: start of the prompt, for cache affinity.
    """

    request_id: str
    method: str
    path: str
    content_type: str
    body: bytes
    pool: str
    customer: str
    district: str
    priority: int
    deadline_s: float
    key: str
    prefix: bytes


class CallReader:
    """Parses the requests that one entry receives.

    Args:
        region: region of this entry; the default district of a call.
        default_deadline_s: deadline of a call that sets none.
        max_body_bytes: maximum size of a body; larger ones are refused.
    """

    def __init__(
        self, region: str, default_deadline_s: float, max_body_bytes: int
    ):
        """Takes the defaults and bounds described by the class."""
        self._region = region
        self._default_deadline_s = default_deadline_s
        self._max_body_bytes = max_body_bytes

    async def read_completion(self, request: Request) -> Call | Refusal:
        """Parses a call to a model; it is repeatable unless it has a key."""
        body = await self._read_body(request)
        if isinstance(body, Refusal):
            return body
        document = _parse_json_object(body)
        if isinstance(document, Refusal):
            return document
        model = document.get("model")
        if not isinstance(model, str) or not model:
            return Refusal("missing_model", 400, Ran.NOT_RUN, detail="model")
        path = request.url.path
        prefix = _prompt_prefix(document)
        return self._validated_call(
            request, body, path, model, prefix, needs_key=False
        )

    async def read_service(self, request: Request) -> Call | Refusal:
        """Parses a call to a plain service.

        Every method except GET, HEAD and OPTIONS counts as not idempotent and
        needs a key, unless the caller declares the request repeatable.
        """
        body = await self._read_body(request)
        if isinstance(body, Refusal):
            return body
        service = request.path_params["service"]
        path = "/" + request.path_params["path"]
        if request.url.query:
            path += f"?{request.url.query}"
        repeatable = (
            request.method in _SAFE_METHODS
            or request.headers.get("Damask-Repeatable") == "yes"
        )
        return self._validated_call(
            request,
            body,
            path,
            service_pool(service),
            b"",
            needs_key=not repeatable,
        )

    async def _read_body(self, request: Request) -> bytes | Refusal:
        chunks: list[bytes] = []
        size_bytes = 0
        try:
            async for chunk in request.stream():
                size_bytes += len(chunk)
                if size_bytes > self._max_body_bytes:
                    return Refusal("body_too_large", 413, Ran.NOT_RUN)
                chunks.append(chunk)
        except ClientDisconnect:
            return Refusal("caller_left", 499, Ran.NOT_RUN)
        return b"".join(chunks)

    def _validated_call(
        self,
        request: Request,
        body: bytes,
        path: str,
        pool: str,
        prefix: bytes,
        *,
        needs_key: bool,
    ) -> Call | Refusal:
        headers = request.headers
        customer = headers.get("Damask-Customer", "")
        if not customer:
            return Refusal("missing_customer", 400, Ran.NOT_RUN)
        key = headers.get("Idempotency-Key", "").strip('"')
        if needs_key and not key:
            return Refusal("missing_idempotency_key", 400, Ran.NOT_RUN)
        if len(key) > _MAX_KEY_LENGTH:
            return Refusal("idempotency_key_too_long", 400, Ran.NOT_RUN)
        priority_name = headers.get("Damask-Priority", "draft")
        if priority_name not in _PRIORITIES_BY_NAME:
            return Refusal(
                "unknown_priority", 400, Ran.NOT_RUN, detail=priority_name
            )
        deadline_s = self._deadline_s(headers.get("Damask-Deadline-Ms"))
        if isinstance(deadline_s, Refusal):
            return deadline_s
        return Call(
            request_id=headers.get("X-Request-Id") or secrets.token_hex(8),
            method=request.method,
            path=path,
            content_type=headers.get("Content-Type", ""),
            body=body,
            pool=pool,
            customer=customer,
            district=headers.get("Damask-District", self._region),
            priority=_PRIORITIES_BY_NAME[priority_name],
            deadline_s=deadline_s,
            key=key,
            prefix=prefix,
        )

    def _deadline_s(self, text: str | None) -> float | Refusal:
        if text is None:
            return self._default_deadline_s
        if not text.isdecimal() or not 0 < int(text) <= _MAX_DEADLINE_MS:
            return Refusal("bad_deadline", 400, Ran.NOT_RUN, detail=text)
        return int(text) / 1000


def _parse_json_object(body: bytes) -> dict[str, Any] | Refusal:
    try:
        document = json.loads(body)
    except UnicodeDecodeError:
        return Refusal("invalid_utf8", 400, Ran.NOT_RUN)
    except (ValueError, RecursionError):
        return Refusal("invalid_json", 400, Ran.NOT_RUN)
    if not isinstance(document, dict):
        return Refusal("invalid_json", 400, Ran.NOT_RUN, detail="no object")
    return document


def _prompt_prefix(document: dict[str, Any]) -> bytes:
    prompt = document.get("prompt")
    if prompt is None:
        prompt = json.dumps(document.get("messages", ""))
    if not isinstance(prompt, str):
        prompt = json.dumps(prompt)
    return prompt[:MAX_PREFIX_CHARACTERS].encode(errors="replace")
