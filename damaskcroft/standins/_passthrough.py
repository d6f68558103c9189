"""The baseline: starlette to aiosonic, with nothing in between."""

from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from damaskcroft.rpc import make_http_client

_CONNECTIONS = 256


class PassThrough:
    """Passes completions to one target.

    Args:
        target: IP number and port.
    """

    def __init__(self, target: str):
        """See the class."""
        self._url = f"http://{target}"
        self._client = make_http_client(
            connections=_CONNECTIONS, connect_timeout_s=5
        )

    def routes(self) -> list[Route]:
        """What it serves."""
        return [Route("/v1/completions", self._complete, methods=["POST"])]

    async def _complete(self, request: Request) -> Response:
        body = await request.body()
        response = await self._client.request(
            f"{self._url}/v1/completions",
            method="POST",
            headers={"Content-Type": "application/json"},
            data=body,
            stream=True,
        )
        kind = response.headers.get("Content-Type", "")
        if not kind.startswith("text/event-stream"):
            return Response(await response.content(), media_type=kind)
        return StreamingResponse(response.iter_bytes(), media_type=kind)
