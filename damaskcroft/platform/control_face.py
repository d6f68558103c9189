"""HTTP API of control nodes for operators and announcing targets."""

import asyncio

from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from damaskcroft.control import Accepted, FleetControl, Invalid, Unavailable
from damaskcroft.fleet import InvalidAnnouncement
from damaskcroft.platform.announcements import (
    decode_announcement,
    decode_leave,
)
from damaskcroft.platform.messages import (
    BadMessageError,
    decode_configuration,
    decode_desired_version,
)
from damaskcroft.rpc import HttpCaller

__all__ = ["control_routes"]


def control_routes(control: FleetControl) -> list[Route]:
    """Returns the routes that translate the platform's calls for `control`."""
    endpoints = _ControlEndpoints(control)
    return [
        Route("/api/config/put", endpoints.put_configuration, methods=["POST"]),
        Route("/api/config/get", endpoints.get_configuration, methods=["GET"]),
        Route("/api/version-put", endpoints.put_version, methods=["POST"]),
        Route(
            "/api/evacuate/{failure_domain}/start",
            endpoints.start_evacuation,
            methods=["POST"],
        ),
        Route(
            "/api/evacuate/{failure_domain}/end",
            endpoints.end_evacuation,
            methods=["POST"],
        ),
        Route(
            "/api/instances/{target_id}/heartbeat",
            endpoints.receive_announcement,
            methods=["POST"],
        ),
        Route(
            "/api/instances/{target_id}/leave",
            endpoints.receive_leave,
            methods=["POST"],
        ),
    ]


class _ControlEndpoints:
    __slots__ = ("_control",)

    def __init__(self, control: FleetControl):
        self._control = control

    async def put_configuration(self, request: Request) -> Response:
        body = await request.body()
        try:
            # Decoding thousands of routes takes about as long as the log's
            # heartbeat time-out; in a thread it does not block the event loop.
            configuration = await asyncio.to_thread(decode_configuration, body)
        except BadMessageError as error:
            return _bad_request(str(error))
        return _response(await self._control.configure(configuration))

    async def get_configuration(self, _: Request) -> Response:
        outcome = await self._control.read()
        if isinstance(outcome, Unavailable):
            return _response(outcome)
        return Response(outcome, media_type="application/json")

    async def put_version(self, request: Request) -> Response:
        try:
            desired = decode_desired_version(await request.body())
        except BadMessageError as error:
            return _bad_request(str(error))
        return _response(await self._control.name_weights(desired))

    async def start_evacuation(self, request: Request) -> Response:
        return await self._evacuate(request, evacuated=True)

    async def end_evacuation(self, request: Request) -> Response:
        return await self._evacuate(request, evacuated=False)

    async def _evacuate(self, request: Request, *, evacuated: bool) -> Response:
        # The body is ignored, but the end of the connection comes behind it.
        await request.body()
        return _response(
            await self._control.evacuate(
                request.path_params["failure_domain"],
                evacuated=evacuated,
                caller=HttpCaller(request),
            )
        )

    async def receive_announcement(self, request: Request) -> Response:
        target_id = request.path_params["target_id"]
        announcement = decode_announcement(target_id, await request.body())
        return _acknowledge(
            await self._control.announce(target_id, announcement)
        )

    async def receive_leave(self, request: Request) -> Response:
        target_id = request.path_params["target_id"]
        start = decode_leave(target_id, await request.body())
        return _acknowledge(
            await self._control.leave(target_id, start, HttpCaller(request))
        )


def _response(outcome: Accepted | Invalid | Unavailable) -> Response:
    match outcome:
        case Accepted(version=version):
            return JSONResponse({"version": version})
        case Invalid(fault=fault):
            return _bad_request(fault)
        case Unavailable(reason=reason):
            return JSONResponse({"error": reason}, 503)


def _bad_request(fault: str) -> Response:
    return JSONResponse({"error": fault}, 400)


def _acknowledge(outcome: bool | InvalidAnnouncement) -> Response:
    if isinstance(outcome, InvalidAnnouncement):
        return _bad_request(f"{outcome.reason}: {outcome.detail}")
    return JSONResponse({}, 200 if outcome else 503)
