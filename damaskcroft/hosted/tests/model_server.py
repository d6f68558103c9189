"""A model server that loads staged pieces, and its origin of weights."""

import asyncio
import contextlib
import hashlib
import json
import signal
import time

from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from damaskcroft.rpc import serve_http

__all__ = [
    "MODEL",
    "PIECES",
    "AgentSuspender",
    "ModelServer",
    "engine_values",
]

MODEL = "w"
PIECES, PIECE_BYTES, LAYERS = 24, 64, 4
_LOAD_S = 0.2
_ANNOUNCE_INTERVAL_S = 0.5


def engine_values():
    """Returns the `engine` of the service in a configuration."""
    return {"models": [{"name": MODEL}], "layers": LAYERS, "chunks": PIECES}


def piece(version, index):
    """Returns the bytes of a piece."""
    return f"{version}/{index}/".encode().ljust(PIECE_BYTES, b".")


class ModelServer:
    """A server that holds version 1; it doesn't verify pieces.

    Attributes:
        version: the version held.
        taken: for each accepted load, how long each of its pieces had been
            bad, in seconds; 0 for a good one.
        on_read: called with the index of each piece that is read back.
    """

    def __init__(self, deployment, name, address, service="s"):
        self.version = 1
        self.taken = []
        self.on_read = lambda index: None
        self._deployment = deployment
        self._name = name
        self._address = address
        self._service = service
        self._sequence = 0
        self._born_ms = int(time.time() * 1000)
        self._busy = False
        self._staged = {index: piece(1, index) for index in range(PIECES)}
        self._changed_at = dict.fromkeys(range(PIECES), 0.0)
        self._loading = set()

    def spoil(self, index):
        """Makes a staged piece bad."""
        self._stage(index, b"bad")

    def is_staged(self, version):
        """Whether all pieces of a version are staged."""
        return all(self._staged[i] == piece(version, i) for i in range(PIECES))

    @contextlib.asynccontextmanager
    async def running(self):
        """Serves and announces itself until the block ends."""
        routes = [
            Route("/api/report", self._report),
            Route("/api/order", self._order, methods=["POST"]),
            Route("/api/stage-put/{model}", self._put, methods=["PUT"]),
            Route("/api/stage-get/{model}", self._get),
            Route("/api/manifest/{model}", _manifest),
            Route("/api/piece/{model}", _piece),
        ]
        async with serve_http(self._address, routes, shutdown_notice_s=0.0):
            announcing = asyncio.create_task(self._announce())
            try:
                yield self
            finally:
                announcing.cancel()
                await asyncio.gather(announcing, return_exceptions=True)

    async def _announce(self):
        for number in range(1, 10**6):
            values = {
                "service": self._service, "address": self._address,
                "state": "ready", "slots": 4, "sequence": number,
                "born": self._born_ms, **self._held(),
            }  # fmt: skip
            await self._deployment.operator(
                b"POST", f"/api/instances/{self._name}/heartbeat", values
            )
            await asyncio.sleep(_ANNOUNCE_INTERVAL_S)

    def _held(self):
        if not self.version:
            return {"models": [], "layers": None}
        return {
            "models": [{"name": MODEL, "version": self.version}],
            "layers": {"from": 0, "target": LAYERS, "version": self.version},
        }

    def _stage(self, index, data):
        self._staged[index] = data
        self._changed_at[index] = time.monotonic()

    async def _report(self, _: Request):
        return JSONResponse(
            {
                "busy": self._busy, "sequence": self._sequence, "active": 0,
                "queued": 0, "born": self._born_ms, **self._held(),
            }
        )  # fmt: skip

    async def _put(self, request: Request):
        self._stage(_index(request), await request.body())
        return Response()

    async def _get(self, request: Request):
        index = _index(request)
        data = self._staged[index]
        self.on_read(index)
        return Response(data)

    async def _order(self, request: Request):
        order = json.loads(await request.body())
        if self._busy or order["precondition"] != self._sequence:
            return JSONResponse({}, 409)
        if order["version"] == self.version:
            return JSONResponse({})
        self._sequence += 1
        self._busy = True
        now = time.monotonic()
        self.taken.append(
            [
                0.0
                if self._staged[index] == piece(order["version"], index)
                else now - self._changed_at[index]
                for index in range(PIECES)
            ]
        )
        task = asyncio.create_task(self._load(order["version"]))
        self._loading.add(task)
        task.add_done_callback(self._loading.discard)
        return JSONResponse({}, 202)

    async def _load(self, version):
        self.version = 0
        await asyncio.sleep(_LOAD_S)
        self.version, self._busy = version, False


class AgentSuspender:
    """Suspends an agent once, when it has read a piece of a version back.

    Args:
        server: the agent's server; its `on_read` is to be that of this object.
        process: the agent's process.
        version: the version; all of its pieces must be staged by then.
        at_piece: the piece that is read.
        spoilt: pieces that turn bad at that moment.

    Attributes:
        suspended: set when the agent is suspended.
    """

    def __init__(self, server, process, version, at_piece, spoilt):
        self._server = server
        self._process = process
        self._version = version
        self._at_piece = at_piece
        self._spoilt = spoilt
        self.suspended = asyncio.Event()

    def on_read(self, index):
        """Suspends the agent if this is the piece, for the first time."""
        if self.suspended.is_set() or index != self._at_piece:
            return
        if not self._server.is_staged(self._version):
            return
        for spoilt in self._spoilt:
            self._server.spoil(spoilt)
        self._send(signal.SIGSTOP)
        self.suspended.set()

    def resume(self):
        """Lets the agent continue."""
        self._send(signal.SIGCONT)

    def _send(self, number):
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(number)


async def _manifest(request: Request):
    version = int(request.query_params["version"])
    return JSONResponse(
        {
            "model": request.path_params["model"], "version": version,
            "chunk_bytes": PIECE_BYTES,
            "digests": [
                hashlib.sha256(piece(version, index)).hexdigest()
                for index in range(PIECES)
            ],
        }
    )  # fmt: skip


async def _piece(request: Request):
    version = int(request.query_params["version"])
    return Response(piece(version, _index(request)))


def _index(request):
    return int(request.query_params["sample_size"])
