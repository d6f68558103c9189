"""The question by which the platform's balancer finds entries that serve."""

from collections.abc import Callable

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

__all__ = ["ready_routes"]


def ready_routes(is_ready: Callable[[], bool]) -> list[Route]:
    """Routes that tell whether an entry wants new connections."""

    async def ready(_: Request) -> Response:
        return Response(status_code=200 if is_ready() else 503)

    return [Route("/api/ready", ready)]
