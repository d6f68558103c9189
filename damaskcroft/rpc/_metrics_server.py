"""HTTP server for /metrics alone, over the server of callers.

An agent serves HTTP for nothing but this, and a web framework would be a sixth
of the processor time of its start.
"""

import contextlib
from collections.abc import AsyncIterator

import prometheus_client

from damaskcroft.http1 import (
    CallerConnections,
    Endpoint,
    Headers,
    serve_callers,
)

__all__ = ["serve_metrics"]

_PATH = b"/metrics"


class _Metrics(Endpoint):
    """Answers scrapes in the text format of prometheus_client."""

    def read(self) -> tuple[int, Headers, bytes]:
        content_type = prometheus_client.CONTENT_TYPE_LATEST.encode()
        body = prometheus_client.generate_latest()
        return 200, [(b"content-type", content_type)], body


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
        address, _Metrics(_PATH), shutdown_notice_s=end_s
    ) as server:
        yield server
