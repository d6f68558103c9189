"""Stand-in for a plain service with non-idempotent calls."""

import asyncio

from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from damaskcroft.standins._journal import Journal


class StandInService:
    """Issues numbered vouchers.

    Args:
        journal: records every run.
        work_s: processing time of one call.
    """

    def __init__(self, journal: Journal, work_s: float):
        """Creates a service that has issued no vouchers."""
        self._journal = journal
        self._work_s = work_s
        self._issued = 0

    def routes(self) -> list[Route]:
        """Returns the HTTP routes."""
        return [
            Route("/{path:path}", self._call, methods=["GET", "POST", "PUT"])
        ]

    async def _call(self, request: Request) -> Response:
        document = await request.json() if request.method != "GET" else {}
        request_id = request.headers.get("X-Request-Id", "")
        self._journal.write(
            "run", request_id=request_id, key=document.get("key", ""),
            method=request.method,
        )  # fmt: skip
        await asyncio.sleep(self._work_s)
        if request.method != "GET":
            self._issued += 1
        body = {"number": self._issued, "key": document.get("key", "")}
        return JSONResponse(body, headers={"X-Request-Id": request_id})
