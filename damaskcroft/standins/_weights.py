"""Stand-ins for the origin and the rate-limited weight store."""

import asyncio
import pathlib
import time
from collections.abc import AsyncIterator

from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from damaskcroft.weights import Pacer

_PART_BYTES = 64 * 1024


class WeightServer:
    """Serves byte ranges of a folder, paced to the rate of one link.

    Args:
        folder: root folder of all weights.
        rate_bytes_s: rate of the link.
        requests_per_s: the rate above which it answers 429; 0 for no limit.
        corrupt_every: corrupts one byte of every n-th range; 0 for none.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        rate_bytes_s: float,
        requests_per_s: float,
        corrupt_every: int,
    ):
        """Starts with a full token bucket and counters at zero."""
        self._folder = folder
        self._pacer = Pacer(rate_bytes_s)
        self._requests_per_s = requests_per_s
        self._corrupt_every = corrupt_every
        self._tokens = requests_per_s
        self._refilled_at = time.monotonic()
        self._sent_bytes = 0
        self._requests = 0
        self._refused = 0

    def routes(self) -> list[Route]:
        """Returns the HTTP routes; /counts is for the test harness."""
        return [
            Route("/counts", self._counts),
            Route("/{path:path}", self._get),
        ]

    async def _counts(self, _: Request) -> Response:
        return JSONResponse(
            {
                "sent_bytes": self._sent_bytes,
                "requests": self._requests,
                "refused": self._refused,
            }
        )

    async def _get(self, request: Request) -> Response:
        self._requests += 1
        if not self._consume_token():
            self._refused += 1
            return Response(status_code=429, headers={"Retry-After": "1"})
        path = self._folder / request.path_params["path"]
        if ".." in path.parts or not path.is_file():
            return Response(status_code=404)
        size_bytes = path.stat().st_size
        first, last = 0, size_bytes - 1
        status = 200
        range_header = request.headers.get("Range")
        if range_header is not None:
            start, _, end = range_header.removeprefix("bytes=").partition("-")
            first, last = int(start), min(int(end), size_bytes - 1)
            status = 206
        headers = {"Content-Length": str(last - first + 1)}
        return StreamingResponse(
            self._read_range(path, first, last),
            status_code=status,
            headers=headers,
        )

    async def _read_range(
        self, path: pathlib.Path, first: int, last: int
    ) -> AsyncIterator[bytes]:
        corrupt = (
            self._corrupt_every and self._requests % self._corrupt_every == 0
        )
        with path.open("rb") as file:
            file.seek(first)
            remaining_bytes = last - first + 1
            while remaining_bytes:
                part = file.read(min(remaining_bytes, _PART_BYTES))
                remaining_bytes -= len(part)
                if corrupt:
                    part = bytes([part[0] ^ 1]) + part[1:]
                    corrupt = False
                await self._pacer.pass_bytes(len(part))
                self._sent_bytes += len(part)
                yield part
                await asyncio.sleep(0)

    def _consume_token(self) -> bool:
        if not self._requests_per_s:
            return True
        now = time.monotonic()
        refilled = (now - self._refilled_at) * self._requests_per_s
        self._refilled_at = now
        self._tokens = min(self._requests_per_s, self._tokens + refilled)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
