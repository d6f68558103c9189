"""Targets that speak HTTP (RFC 9110, 9112)."""

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
    EngineUnreachable,
    LoadOrder,
    OrderAccepted,
    OrderFailed,
    OrderOutcome,
    OrderRefused,
    TargetCall,
)
from damaskcroft.limits import LimitWord, limit_named
from damaskcroft.membership import Lease
from damaskcroft.observe import metrics
from damaskcroft.quarantine import is_gone
from damaskcroft.rpc import HTTP_ERRORS, make_http_client

_CONFLICT = 409
# Requests a second that the target takes from all senders together.
_LIMIT_HEADER = "X-Rate-Limit"
_CONNECT_TIMEOUT_S = 2.0
_STATE_TIMEOUT_S = 5.0
_CONNECTIONS = 256


class _HttpTarget(Engine):
    """Calls to a target over HTTP; orders are left to subclasses."""

    def __init__(self, address: str):
        """Names the target's IP number and port."""
        self._address = address
        self._base_url = f"http://{address}"
        self._client = make_http_client(
            connections=_CONNECTIONS, connect_timeout_s=_CONNECT_TIMEOUT_S
        )
        self._fresh_client = make_http_client(
            connections=_CONNECTIONS,
            connect_timeout_s=_CONNECT_TIMEOUT_S,
            max_requests=1,
        )

    @contextlib.asynccontextmanager
    async def call(
        self, call: TargetCall, *, fresh_connection: bool
    ) -> AsyncIterator[CallOutcome]:
        """See Engine."""
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
                _pieces(response),
                response.headers.get("X-Request-Id", ""),
                _limit(response),
            )
        finally:
            await response.aclose()

    async def is_gone(self) -> bool:
        """See Engine."""
        return await is_gone(self._address)

    async def close(self) -> None:
        """See Engine."""
        await self._client.aclose()
        await self._fresh_client.aclose()


class FencingEngine(_HttpTarget):
    """A model engine that refuses orders with an old fencing number.

    Args:
        address: IP number and port.
        lease: the agent's lease, checked before each order.
        order_timeout_s: longest wait for an order's answer.
    """

    def __init__(self, address: str, lease: Lease, order_timeout_s: float):
        """See the class."""
        super().__init__(address)
        self._lease = lease
        self._order_timeout_s = order_timeout_s

    async def state(self) -> EngineState | EngineUnreachable:
        """See Engine."""
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
        """See Engine."""
        assignment = order.assignment
        return await self._order(
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
        """See Engine."""
        assignment = order.assignment
        return await self._order(
            "activate",
            {"manifest": assignment.manifest, "fencing": assignment.fencing},
        )

    async def unload(self, assignment: control_pb2.Assignment) -> OrderOutcome:
        """See Engine."""
        return await self._order(
            "activate", {"manifest": "", "fencing": assignment.fencing}
        )

    def _may_order(self) -> bool:
        # The target itself refuses whatever comes too late.
        return self._lease.is_held

    def _timeout_s(self) -> float:
        return self._order_timeout_s

    async def _order(self, name: str, body: dict[str, Any]) -> OrderOutcome:
        if not self._may_order():
            metrics.ORDERS.labels(name, "no_lease").inc()
            return OrderFailed("the lease ends too soon")
        try:
            async with asyncio.timeout(self._timeout_s()):
                response = await self._client.post(
                    f"{self._base_url}/engine/{name}", json=body
                )
                text = await response.text()
        except HTTP_ERRORS as error:
            metrics.ORDERS.labels(name, "failed").inc()
            return OrderFailed(type(error).__name__)
        if response.status_code == _CONFLICT:
            metrics.ORDERS.labels(name, "refused").inc()
            return OrderRefused(text)
        if not response.ok:
            metrics.ORDERS.labels(name, "failed").inc()
            return OrderFailed(text)
        metrics.ORDERS.labels(name, "accepted").inc()
        return OrderAccepted()


class UnfencedEngine(FencingEngine):
    """A model engine that ignores fencing numbers: the agent is the guard.

    An order is sent only while the lease outlasts the order's timeout, and is
    cut off by closing its connection then.
    """

    _LEASE_SHARE = 0.5

    def _may_order(self) -> bool:
        return self._lease.remaining_s > 0

    def _timeout_s(self) -> float:
        remaining_s = self._lease.remaining_s * self._LEASE_SHARE
        return min(self._order_timeout_s, max(remaining_s, 0.0))


class PlainService(_HttpTarget):
    """A service that holds no weights and takes no orders."""

    async def state(self) -> EngineState | EngineUnreachable:
        """See Engine."""
        return EngineState("", (), {})

    async def load(self, order: LoadOrder) -> OrderOutcome:
        """See Engine."""
        return OrderRefused("a plain service loads nothing")

    async def activate(self, order: LoadOrder) -> OrderOutcome:
        """See Engine."""
        return OrderRefused("a plain service loads nothing")

    async def unload(self, assignment: control_pb2.Assignment) -> OrderOutcome:
        """See Engine."""
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


def _limit(response: aiosonic.HttpResponse) -> LimitWord:
    value = response.headers.get(_LIMIT_HEADER)
    return limit_named([] if value is None else [value])


async def _pieces(response: aiosonic.HttpResponse) -> AsyncIterator[bytes]:
    try:
        async for piece in response.iter_bytes():
            yield piece
    except HTTP_ERRORS as error:
        raise ConnectionError(str(error)) from error
