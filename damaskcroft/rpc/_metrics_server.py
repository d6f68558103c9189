"""HTTP server for /metrics alone, over the server of callers.

An agent serves HTTP for nothing but this, and a web framework would be a sixth
of the processor time of its start.
"""

import contextlib
import email.utils
from collections.abc import AsyncIterator

import prometheus_client

from damaskcroft.http1 import (
    Answer,
    CallerConnections,
    CallerHandler,
    CallerLimits,
    CallerRequest,
    Headers,
    serve_callers,
)

__all__ = ["serve_metrics"]

_PATH = b"/metrics"
_READ_METHODS = (b"GET", b"HEAD")
# Idle time after which a scraper's connection is closed.
_IDLE_TIMEOUT_S = 5.0


class _MetricsHandler(CallerHandler):
    """Answers scrapes in the text format of prometheus_client."""

    __slots__ = ("_limits",)

    def __init__(self) -> None:
        self._limits = CallerLimits(idle_timeout_s=_IDLE_TIMEOUT_S)

    async def handle(self, request: CallerRequest, answer: Answer) -> None:
        headers = [(b"date", email.utils.formatdate(usegmt=True).encode())]
        if request.target.partition(b"?")[0] != _PATH:
            await answer.send_whole(404, headers, b"")
            return
        if request.method not in _READ_METHODS:
            await answer.send_whole(405, headers, b"")
            return
        content_type = prometheus_client.CONTENT_TYPE_LATEST.encode()
        headers.append((b"content-type", content_type))
        body = prometheus_client.generate_latest()
        await answer.send_whole(200, headers, body)

    def limits(self) -> CallerLimits:
        return self._limits

    def is_stopping(self) -> bool:
        return False

    def refused(self, status: int, reason: str) -> Headers:
        return []


@contextlib.asynccontextmanager
async def serve_metrics(
    address: str, end_s: float
) -> AsyncIterator[CallerConnections]:
    """Serves /metrics at `address` until the block ends.

    Scrapers' connections are closed at once if the end was announced before.

    Args:
        address: IP address and port.
        end_s: time from the announcement, or the block's end, for open
            connections to end.

    Raises:
        OSError: the address cannot be bound.
    """
    async with serve_callers(
        address, _MetricsHandler(), shutdown_notice_s=end_s
    ) as server:
        yield server
