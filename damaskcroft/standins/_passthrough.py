"""The baseline of the benchmarks: a plain proxy of starlette and aiosonic."""

from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from damaskcroft.rpc import make_http_client

_CONNECTIONS = 256


class PassThrough:
    """Forwards completions to one target.

    Args:
        target: IP address and port.
    """

    def __init__(self, target: str):
        """Creates the client; connections open on demand."""
        self._url = f"http://{target}"
        self._client = make_http_client(
            connections=_CONNECTIONS, connect_timeout_s=5
        )

    def routes(self) -> list[Route]:
        """Returns the HTTP routes."""
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
        content_type = response.headers.get("Content-Type", "")
        if not content_type.startswith("text/event-stream"):
            return Response(await response.content(), media_type=content_type)
        return StreamingResponse(response.iter_bytes(), media_type=content_type)
