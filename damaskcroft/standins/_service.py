"""Stand-in for a plain service whose calls may not be repeated."""

import asyncio

from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from damaskcroft.standins._journal import Journal


class StandInService:
    """Issues numbered vouchers.

    Args:
        journal: where every run is written.
        work_s: time for one call.
    """

    def __init__(self, journal: Journal, work_s: float):
        """See the class."""
        self._journal = journal
        self._work_s = work_s
        self._issued = 0

    def routes(self) -> list[Route]:
        """What it serves."""
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
