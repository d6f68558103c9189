"""Readiness endpoint that the platform's load balancer polls on entries."""

from collections.abc import Callable

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

__all__ = ["ready_routes"]


def ready_routes(is_ready: Callable[[], bool]) -> list[Route]:
    """Returns the readiness route: 200 if new connections are accepted."""

    async def ready(_: Request) -> Response:
        return Response(status_code=200 if is_ready() else 503)

    return [Route("/api/ready", ready)]
