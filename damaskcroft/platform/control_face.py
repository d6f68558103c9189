"""The platform's calls to control: operators and announcing targets."""

import asyncio

from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from damaskcroft.control import Accepted, FleetControl, Invalid, Unavailable
from damaskcroft.fleet import Unusable
from damaskcroft.platform.announcements import (
    decode_announcement,
    decode_leave,
)
from damaskcroft.platform.messages import (
    BadMessageError,
    decode_configuration,
    decode_weight_goal,
)

__all__ = ["control_routes"]


def control_routes(control: FleetControl) -> list[Route]:
    """Routes that translate the platform's calls for `control`."""
    face = _ControlFace(control)
    return [
        Route("/api/config/put", face.put_configuration, methods=["POST"]),
        Route("/api/config/get", face.get_configuration, methods=["GET"]),
        Route("/api/version-put", face.put_version, methods=["POST"]),
        Route(
            "/api/instances/{target_id}/heartbeat",
            face.take_announcement,
            methods=["POST"],
        ),
        Route(
            "/api/instances/{target_id}/leave",
            face.take_leave,
            methods=["POST"],
        ),
    ]


class _ControlFace:
    __slots__ = ("_control",)

    def __init__(self, control: FleetControl):
        self._control = control

    async def put_configuration(self, request: Request) -> Response:
        body = await request.body()
        try:
            # Of thousands of routes it takes as long as a heartbeat of the
            # log may stay away; beside it a thread lets the loop go on.
            configuration = await asyncio.to_thread(decode_configuration, body)
        except BadMessageError as error:
            return _bad(str(error))
        return _response(await self._control.configure(configuration))

    async def get_configuration(self, _: Request) -> Response:
        outcome = await self._control.read()
        if isinstance(outcome, Unavailable):
            return _response(outcome)
        return Response(outcome, media_type="application/json")

    async def put_version(self, request: Request) -> Response:
        try:
            goal = decode_weight_goal(await request.body())
        except BadMessageError as error:
            return _bad(str(error))
        return _response(await self._control.name_weights(goal))

    async def take_announcement(self, request: Request) -> Response:
        target_id = request.path_params["target_id"]
        word = decode_announcement(target_id, await request.body())
        return _told(await self._control.announce(target_id, word))

    async def take_leave(self, request: Request) -> Response:
        target_id = request.path_params["target_id"]
        start = decode_leave(target_id, await request.body())
        return _told(await self._control.leave(target_id, start))


def _response(outcome: Accepted | Invalid | Unavailable) -> Response:
    match outcome:
        case Accepted(version=version):
            return JSONResponse({"version": version})
        case Invalid(fault=fault):
            return _bad(fault)
        case Unavailable(reason=reason):
            return JSONResponse({"error": reason}, 503)


def _bad(fault: str) -> Response:
    return JSONResponse({"error": fault}, 400)


def _told(taken: bool | Unusable) -> Response:
    if isinstance(taken, Unusable):
        return _bad(f"{taken.reason}: {taken.detail}")
    return JSONResponse({}, 200 if taken else 503)
