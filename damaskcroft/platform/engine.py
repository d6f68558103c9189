"""HTTP client for the platform's model server beside an agent."""

import json
from typing import Any

from damaskcroft._generated import fleet_pb2
from damaskcroft.engines import (
    EngineReport,
    EngineUnreachable,
    OrderAccepted,
    OrderExpired,
    OrderFailed,
    OrderOutcome,
    OrderRefused,
    StagedEngine,
)
from damaskcroft.fleet import InvalidAnnouncement, record_invalid_announcement
from damaskcroft.observe import log_event
from damaskcroft.platform.announcements import decode_report
from damaskcroft.rpc import (
    HTTP_ERRORS,
    SendExpiredError,
    make_http_client,
    sending_before,
)

__all__ = ["PlatformEngine"]

_OK, _ACCEPTED, _NOT_FOUND = 200, 202, 404
_MAX_CONNECTIONS = 4
_CONNECT_TIMEOUT_S = 0.5
_READ_TIMEOUT_S = 1.5


class PlatformEngine(StagedEngine):
    """Sends orders and weights to a model server of the platform over HTTP."""

    __slots__ = ("_base_url", "_client", "_reachable")

    def __init__(self, address: str):
        """Takes the server's address; connects at the first call."""
        self._base_url = f"http://{address}/api"
        self._reachable = True
        self._client = make_http_client(
            connections=_MAX_CONNECTIONS,
            connect_timeout_s=_CONNECT_TIMEOUT_S,
            read_timeout_s=_READ_TIMEOUT_S,
        )

    async def report(self) -> EngineReport | EngineUnreachable:
        """Fetches the server's status report."""
        outcome = await self._call("GET", "report")
        if outcome is None or outcome[0] != _OK:
            return EngineUnreachable()
        report = decode_report(outcome[1])
        if isinstance(report, InvalidAnnouncement):
            record_invalid_announcement("report", self._base_url, report)
            return EngineUnreachable()
        return report

    async def stage_piece(self, model: str, index: int, data: bytes) -> bool:
        """Uploads a piece of weights to the server's staging area."""
        # The wire's `sample_size` is the index of the piece.
        outcome = await self._call(
            "PUT", f"stage-put/{model}?sample_size={index}", data
        )
        return outcome is not None and 200 <= outcome[0] < 300

    async def fetch_staged_piece(self, model: str, index: int) -> bytes | None:
        """Returns a staged piece, or None if the server does not have it."""
        outcome = await self._call(
            "GET", f"stage-get/{model}?sample_size={index}"
        )
        if outcome is None or outcome[0] != _OK:
            return None
        return outcome[1]

    async def start(
        self,
        model: str,
        version: int,
        sequence: int,
        *,
        abort_running: bool,
        before_s: float,
    ) -> OrderOutcome | OrderExpired:
        """Orders the server to load and serve a version of a model."""
        order = _encode_start_order(model, version, sequence, abort_running)
        try:
            with sending_before(before_s):
                return await self._send_order(order)
        except SendExpiredError:
            return OrderExpired()

    async def keep_only(
        self,
        part: fleet_pb2.HeldLayers,
        sequence: int,
        *,
        abort_running: bool = False,
    ) -> OrderOutcome:
        """Orders the server to drop all layers outside `part`."""
        order = _encode_start_order(
            part.model, part.version, sequence, abort_running
        )
        # The wire's `target` is the exclusive end of the range of layers.
        order["from"], order["target"] = part.first_layer, part.end_layer
        return await self._send_order(order)

    async def _send_order(self, order: dict[str, Any]) -> OrderOutcome:
        outcome = await self._call(
            "POST", "order", json.dumps(order).encode(), "application/json"
        )
        if outcome is None:
            return OrderFailed("no_answer")
        status, body = outcome
        if status in (_OK, _ACCEPTED):
            return OrderAccepted()
        return OrderRefused(f"{status} {body[:200].decode('latin-1')}")

    async def close(self) -> None:
        """Closes the HTTP client."""
        await self._client.aclose()

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        content_type: str = "application/octet-stream",
    ) -> tuple[int, bytes] | None:
        headers: dict[str, Any] = {}
        if body is not None:
            headers["Content-Type"] = content_type
        try:
            async with self._client.stream(
                method, f"{self._base_url}/{path}", headers=headers, data=body
            ) as response:
                content = await response.content()
        except HTTP_ERRORS as error:
            if self._reachable:
                log_event("target_lost", path=path, reason=repr(error))
            self._reachable = False
            return None
        if not self._reachable:
            log_event("target_regained", path=path)
        self._reachable = True
        return response.status_code, content


def _encode_start_order(
    model: str, version: int, sequence: int, abort_running: bool
) -> dict[str, Any]:
    return {
        "operation": "start",
        "model": model,
        "version": version,
        "switch_mode": "abort" if abort_running else "wait",
        "precondition": sequence,
    }
