"""Clients of targets over HTTP (RFC 9110, RFC 9112)."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

import aiosonic
from aiosonic import exceptions

from damaskcroft._generated import control_pb2
from damaskcroft.engines._base import (
    CallFailed,
    CallNotSent,
    CallOutcome,
    CallStarted,
    Engine,
    EngineState,
    LoadOrder,
    TargetCall,
)
from damaskcroft.engines._orders import (
    EngineUnreachable,
    OrderAccepted,
    OrderFailed,
    OrderOutcome,
    OrderRefused,
)
from damaskcroft.limits import LimitHeader, parse_limit
from damaskcroft.membership import Lease
from damaskcroft.observe import metrics
from damaskcroft.quarantine import is_gone
from damaskcroft.rpc import HTTP_ERRORS, make_http_client

_STATUS_CONFLICT = 409
_BODILESS_STATUSES = frozenset({204, 304})
# Rate limit: requests a second that the target accepts from all senders
# together.
_RATE_LIMIT_HEADER = "X-Rate-Limit"
_CONNECT_TIMEOUT_S = 2.0
_STATE_TIMEOUT_S = 5.0
_MAX_CONNECTIONS = 256


class _HttpEngine(Engine):
    """Sends calls to a target over HTTP; subclasses implement orders."""

    def __init__(self, address: str):
        """Takes the IP address and port of the target; does not connect."""
        self._address = address
        self._base_url = f"http://{address}"
        self._client = make_http_client(
            connections=_MAX_CONNECTIONS, connect_timeout_s=_CONNECT_TIMEOUT_S
        )
        self._fresh_client = make_http_client(
            connections=_MAX_CONNECTIONS,
            connect_timeout_s=_CONNECT_TIMEOUT_S,
            max_requests=1,
        )

    @contextlib.asynccontextmanager
    async def call(
        self, call: TargetCall, *, fresh_connection: bool
    ) -> AsyncIterator[CallOutcome]:
        """Sends a request over HTTP and yields its outcome."""
        client = self._fresh_client if fresh_connection else self._client
        try:
            response = await client.request(
                f"{self._base_url}{call.path}",
                method=call.method,
                headers=_call_headers(call),
                data=call.body if call.method != "GET" else None,
                stream=True,
            )
        except (ConnectionRefusedError, exceptions.ConnectTimeout):
            yield CallNotSent()
            return
        except HTTP_ERRORS:
            yield CallFailed()
            return
        try:
            yield CallStarted(
                response.status_code,
                response.headers.get("Content-Type", ""),
                _body_chunks(response, call.method),
                response.headers.get("X-Request-Id", ""),
                _rate_limit(response),
            )
        finally:
            await response.aclose()

    async def is_gone(self) -> bool:
        """Whether connections to the target's address are refused."""
        return await is_gone(self._address)

    async def close(self) -> None:
        """Closes the pools of reused and of single-use connections."""
        await self._client.aclose()
        await self._fresh_client.aclose()


class FencingEngine(_HttpEngine):
    """A model engine that refuses orders with an old fencing number.

    Args:
        address: IP address and port.
        lease: lease of the agent, checked before each order.
        order_timeout_s: maximum wait for the answer to an order.
    """

    def __init__(self, address: str, lease: Lease, order_timeout_s: float):
        """Takes the address, the lease and the timeout of orders."""
        super().__init__(address)
        self._lease = lease
        self._order_timeout_s = order_timeout_s

    async def state(self) -> EngineState | EngineUnreachable:
        """Fetches the state; unreachable after `_STATE_TIMEOUT_S`."""
        try:
            async with asyncio.timeout(_STATE_TIMEOUT_S):
                response = await self._client.get(
                    f"{self._base_url}/engine/state"
                )
                document = await response.json()
        except HTTP_ERRORS:
            return EngineUnreachable()
        return EngineState(
            document["active"],
            tuple(document["loaded"]),
            dict(document["failed"]),
        )

    async def load(self, order: LoadOrder) -> OrderOutcome:
        """Posts a load order with its fencing number."""
        assignment = order.assignment
        return await self._post_order(
            "load",
            {
                "model": assignment.model,
                "adapter": assignment.adapter,
                "version": assignment.version,
                "manifest": assignment.manifest,
                "folder": order.folder,
                "fencing": assignment.fencing,
            },
        )

    async def activate(self, order: LoadOrder) -> OrderOutcome:
        """Posts an activation order with its fencing number."""
        assignment = order.assignment
        return await self._post_order(
            "activate",
            {"manifest": assignment.manifest, "fencing": assignment.fencing},
        )

    async def unload(self, assignment: control_pb2.Assignment) -> OrderOutcome:
        """Posts an activation order with an empty manifest."""
        return await self._post_order(
            "activate", {"manifest": "", "fencing": assignment.fencing}
        )

    def _lease_allows_order(self) -> bool:
        # The target itself refuses orders that arrive too late.
        return self._lease.is_held

    def _current_timeout_s(self) -> float:
        return self._order_timeout_s

    async def _post_order(
        self, name: str, body: dict[str, Any]
    ) -> OrderOutcome:
        if not self._lease_allows_order():
            metrics.ORDERS.labels(name, "no_lease").inc()
            return OrderFailed("the lease ends too soon")
        try:
            async with asyncio.timeout(self._current_timeout_s()):
                response = await self._client.post(
                    f"{self._base_url}/engine/{name}", json=body
                )
                text = await response.text()
        except HTTP_ERRORS as error:
            metrics.ORDERS.labels(name, "failed").inc()
            return OrderFailed(type(error).__name__)
        if response.status_code == _STATUS_CONFLICT:
            metrics.ORDERS.labels(name, "refused").inc()
            return OrderRefused(text)
        if not response.ok:
            metrics.ORDERS.labels(name, "failed").inc()
            return OrderFailed(text)
        metrics.ORDERS.labels(name, "accepted").inc()
        return OrderAccepted()


class UnfencedEngine(FencingEngine):
    """A model engine that ignores fencing numbers, so that the agent fences.

    The timeout of an order is shorter than the remaining lease. An order that
    exceeds it is cancelled by closing its connection.
    """

    _MAX_LEASE_FRACTION = 0.5

    def _lease_allows_order(self) -> bool:
        return self._lease.remaining_s > 0

    def _current_timeout_s(self) -> float:
        remaining_s = self._lease.remaining_s * self._MAX_LEASE_FRACTION
        return min(self._order_timeout_s, max(remaining_s, 0.0))


class PlainService(_HttpEngine):
    """A service that holds no weights and accepts no orders."""

    async def state(self) -> EngineState | EngineUnreachable:
        """Returns an empty state, because a service has no versions."""
        return EngineState("", (), {})

    async def load(self, order: LoadOrder) -> OrderOutcome:
        """Refuses the order."""
        return OrderRefused("a plain service loads nothing")

    async def activate(self, order: LoadOrder) -> OrderOutcome:
        """Refuses the order."""
        return OrderRefused("a plain service loads nothing")

    async def unload(self, assignment: control_pb2.Assignment) -> OrderOutcome:
        """Refuses the order."""
        return OrderRefused("a plain service loads nothing")


def _call_headers(call: TargetCall) -> dict[str, str]:
    headers = {
        "X-Request-Id": call.request_id,
        "X-Priority": str(call.priority),
    }
    if call.content_type:
        headers["Content-Type"] = call.content_type
    if call.manifest:
        headers["X-Manifest"] = call.manifest
    return headers


def _rate_limit(response: aiosonic.HttpResponse) -> LimitHeader:
    value = response.headers.get(_RATE_LIMIT_HEADER)
    return parse_limit([] if value is None else [value])


async def _body_chunks(
    response: aiosonic.HttpResponse, method: str
) -> AsyncIterator[bytes]:
    if method != "HEAD" and not _has_known_end(response):
        # The HTTP library would return an empty body.
        raise ConnectionError("an answer with neither a length nor chunks")
    try:
        async for chunk in response.iter_bytes():
            yield chunk
    except HTTP_ERRORS as error:
        raise ConnectionError(str(error)) from error


def _has_known_end(response: aiosonic.HttpResponse) -> bool:
    """Whether more than the connection's close marks the end of the body."""
    return (
        response.chunked
        or response.headers.get("Content-Length") is not None
        or response.status_code in _BODILESS_STATUSES
    )
