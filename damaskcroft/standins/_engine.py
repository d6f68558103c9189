"""Stand-in for a model engine: batches, streams, loads versions by order.

What it answers depends only on the prompt, the request id and the bytes of
the loaded weights, so that the harness can tell a whole answer from a cut or
mixed one.
"""

import asyncio
import hashlib
import json
import pathlib
from collections.abc import AsyncGenerator, AsyncIterator
from typing import Any

from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from damaskcroft.rpc import CallerLeft, unless_caller_leaves
from damaskcroft.standins._journal import Journal

_DEFAULT_TOKENS = 8


class _Version:
    __slots__ = ("digest", "manifest", "name")

    def __init__(self, manifest: str, name: str, digest: str):
        self.manifest = manifest
        self.name = name
        self.digest = digest


class StandInEngine:
    """One engine with continuous batching.

    Args:
        journal: where every run and order is written.
        slots: requests decoded at once; others wait by priority.
        token_s: time for one token.
        checks_fencing: refuse orders with an old fencing number.
        fails_version: a version name that it can't load; empty for none.
    """

    def __init__(
        self,
        journal: Journal,
        slots: int,
        token_s: float,
        checks_fencing: bool,
        fails_version: str,
    ):
        """See the class."""
        self._journal = journal
        self._token_s = token_s
        self._checks_fencing = checks_fencing
        self._fails_version = fails_version
        self._slots = _PrioritySlots(slots)
        self._versions_by_manifest: dict[str, _Version] = {}
        self._failed: dict[str, str] = {}
        self._active: _Version | None = None
        self._fencing = 0
        self._loading: set[asyncio.Task] = set()

    def routes(self) -> list[Route]:
        """Its protocol: OpenAI-style calls and orders."""
        return [
            Route("/v1/completions", self._complete, methods=["POST"]),
            Route("/v1/chat/completions", self._complete, methods=["POST"]),
            Route("/engine/load", self._load, methods=["POST"]),
            Route("/engine/activate", self._activate, methods=["POST"]),
            Route("/engine/state", self._state),
        ]

    async def _state(self, _: Request) -> Response:
        return JSONResponse(
            {
                "active": self._active.manifest if self._active else "",
                "loaded": list(self._versions_by_manifest),
                "failed": self._failed,
                "fencing": self._fencing,
            }
        )

    async def _load(self, request: Request) -> Response:
        order = await request.json()
        if self._is_old(order):
            return Response("old fencing number", 409)
        task = asyncio.create_task(self._load_files(order))
        self._loading.add(task)
        task.add_done_callback(self._loading.discard)
        return JSONResponse({}, 202)

    async def _load_files(self, order: dict[str, Any]) -> None:
        manifest = order["manifest"]
        if order["version"] == self._fails_version:
            self._failed[manifest] = "out of memory"
            return
        folder = pathlib.Path(order["folder"])
        digest = await asyncio.to_thread(folder_digest, folder)
        self._failed.pop(manifest, None)
        self._versions_by_manifest[manifest] = _Version(
            manifest, order["version"], digest
        )
        self._journal.write("loaded", version=order["version"], weights=digest)

    async def _activate(self, request: Request) -> Response:
        order = await request.json()
        if self._is_old(order):
            return Response("old fencing number", 409)
        manifest = order["manifest"]
        if manifest and manifest not in self._versions_by_manifest:
            return Response("not loaded", 404)
        self._active = self._versions_by_manifest.get(manifest)
        self._versions_by_manifest = {
            m: v for m, v in self._versions_by_manifest.items() if m == manifest
        }
        self._journal.write(
            "activated",
            version=self._active.name if self._active else "",
            fencing=order["fencing"],
        )
        return JSONResponse({})

    def _is_old(self, order: dict[str, Any]) -> bool:
        if not self._checks_fencing:
            return False
        if order["fencing"] < self._fencing:
            return True
        self._fencing = order["fencing"]
        return False

    async def _complete(self, request: Request) -> Response:
        request_id = request.headers.get("X-Request-Id", "")
        document = await request.json()
        version = self._active
        if version is None:
            return JSONResponse({"error": "no model"}, 503)
        self._journal.write(
            "run", request_id=request_id, version=version.name,
            key=document.get("key", ""),
        )  # fmt: skip
        count = int(document.get("max_tokens", _DEFAULT_TOKENS))
        tokens = answer_tokens(document, version.digest, count)
        priority = int(request.headers.get("X-Priority", "2"))
        headers = {"X-Request-Id": request_id, "X-Version": version.name}
        decoded = self._decode(request_id, tokens, priority)
        if document.get("stream"):
            return StreamingResponse(
                _as_events(decoded, version.name),
                media_type="text/event-stream",
                headers=headers,
            )
        collected = await unless_caller_leaves(request, _collect(decoded))
        if isinstance(collected, CallerLeft):
            await decoded.aclose()
            return Response(status_code=499)
        text = " ".join(collected)
        body = {
            "choices": [{"text": text, "index": 0, "finish_reason": "stop"}],
            "version": version.name,
        }
        return JSONResponse(body, headers=headers)

    async def _decode(
        self, request_id: str, tokens: list[str], priority: int
    ) -> AsyncGenerator[str, None]:
        ended = "cancelled"
        await self._slots.acquire(priority)
        try:
            for token in tokens:
                await asyncio.sleep(self._token_s)
                yield token
            ended = "whole"
        finally:
            self._slots.release()
            self._journal.write("ended", request_id=request_id, how=ended)


class _PrioritySlots:
    """Slots given to the most urgent waiter first."""

    def __init__(self, count: int):
        self._free = count
        self._waiting: asyncio.PriorityQueue[
            tuple[int, int, asyncio.Future]
        ] = asyncio.PriorityQueue()
        self._number = 0

    async def acquire(self, priority: int) -> None:
        if self._free:
            self._free -= 1
            return
        turn = asyncio.get_running_loop().create_future()
        self._number += 1
        self._waiting.put_nowait((priority, self._number, turn))
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.release()
            raise

    def release(self) -> None:
        while not self._waiting.empty():
            turn = self._waiting.get_nowait()[2]
            if not turn.done():
                turn.set_result(None)
                return
        self._free += 1


def answer_tokens(
    document: dict[str, Any], weights: str, count: int
) -> list[str]:
    """The tokens that given weights answer a prompt with."""
    prompt = document.get("prompt") or json.dumps(document.get("messages", ""))
    seed = hashlib.sha256(f"{weights}/{prompt}".encode()).hexdigest()
    return [f"{seed[:8]}-{number}" for number in range(count)]


def folder_digest(folder: pathlib.Path) -> str:
    """One digest over all files of a folder, manifests left out."""
    whole = hashlib.sha256()
    for path in sorted(p for p in folder.rglob("*") if p.is_file()):
        if path.name == "manifest.pb":
            continue
        whole.update(path.relative_to(folder).as_posix().encode())
        with path.open("rb") as file:
            while piece := file.read(1024 * 1024):
                whole.update(piece)
    return whole.hexdigest()


async def _collect(tokens: AsyncIterator[str]) -> list[str]:
    return [token async for token in tokens]


async def _as_events(
    tokens: AsyncIterator[str], version: str
) -> AsyncIterator[bytes]:
    async for token in tokens:
        body = {"choices": [{"text": token + " "}], "version": version}
        yield f"data: {json.dumps(body)}\n\n".encode()
    yield b"data: [DONE]\n\n"
