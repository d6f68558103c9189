"""Stand-in for a model engine: batches, streams, loads versions on command.

An answer depends only on the prompt and the bytes of the loaded weights; its
headers and the journal carry the request id. The test harness can therefore
tell a complete answer from a truncated one, or one mixed from two versions.
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

from damaskcroft.rpc import CallerDisconnected, run_unless_disconnected
from damaskcroft.standins._journal import Journal

_DEFAULT_TOKENS = 8


class _Version:
    __slots__ = ("digest", "manifest", "name")

    def __init__(self, manifest: str, name: str, digest: str):
        self.manifest = manifest
        self.name = name
        self.digest = digest


class StandInEngine:
    """A model engine with continuous batching.

    Args:
        journal: records every run, load and activation.
        slots: requests decoded concurrently; others wait by priority.
        token_s: decoding time of one token.
        checks_fencing: refuse commands with a stale fencing number.
        fails_version: name of a version that fails to load; empty for none.
    """

    def __init__(
        self,
        journal: Journal,
        slots: int,
        token_s: float,
        checks_fencing: bool,
        fails_version: str,
    ):
        """Starts with no version loaded or active."""
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
        """Returns the HTTP routes: OpenAI-style calls and engine commands."""
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
        command = await request.json()
        if self._is_stale(command):
            return Response("old fencing number", 409)
        task = asyncio.create_task(self._load_version(command))
        self._loading.add(task)
        task.add_done_callback(self._loading.discard)
        return JSONResponse({}, 202)

    async def _load_version(self, command: dict[str, Any]) -> None:
        manifest = command["manifest"]
        if command["version"] == self._fails_version:
            self._failed[manifest] = "out of memory"
            return
        folder = pathlib.Path(command["folder"])
        digest = await asyncio.to_thread(folder_digest, folder)
        self._failed.pop(manifest, None)
        self._versions_by_manifest[manifest] = _Version(
            manifest, command["version"], digest
        )
        self._journal.write(
            "loaded", version=command["version"], weights=digest
        )

    async def _activate(self, request: Request) -> Response:
        command = await request.json()
        if self._is_stale(command):
            return Response("old fencing number", 409)
        manifest = command["manifest"]
        if manifest and manifest not in self._versions_by_manifest:
            return Response("not loaded", 404)
        self._active = self._versions_by_manifest.get(manifest)
        self._versions_by_manifest = {
            m: v for m, v in self._versions_by_manifest.items() if m == manifest
        }
        self._journal.write(
            "activated",
            version=self._active.name if self._active else "",
            fencing=command["fencing"],
        )
        return JSONResponse({})

    def _is_stale(self, command: dict[str, Any]) -> bool:
        if not self._checks_fencing:
            return False
        if command["fencing"] < self._fencing:
            return True
        self._fencing = command["fencing"]
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
        token_stream = self._decode(request_id, tokens, priority)
        if document.get("stream"):
            return StreamingResponse(
                _as_events(token_stream, version.name),
                media_type="text/event-stream",
                headers=headers,
            )
        collected = await run_unless_disconnected(
            request, _collect(token_stream)
        )
        if isinstance(collected, CallerDisconnected):
            await token_stream.aclose()
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
        outcome = "cancelled"
        await self._slots.acquire(priority)
        try:
            for token in tokens:
                await asyncio.sleep(self._token_s)
                yield token
            outcome = "whole"
        finally:
            self._slots.release()
            self._journal.write("ended", request_id=request_id, how=outcome)


class _PrioritySlots:
    """Semaphore that grants a slot to the most urgent waiter first."""

    def __init__(self, count: int):
        self._free = count
        self._waiting: asyncio.PriorityQueue[
            tuple[int, int, asyncio.Future]
        ] = asyncio.PriorityQueue()
        self._last_sequence = 0

    async def acquire(self, priority: int) -> None:
        if self._free:
            self._free -= 1
            return
        waiter = asyncio.get_running_loop().create_future()
        self._last_sequence += 1
        self._waiting.put_nowait((priority, self._last_sequence, waiter))
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self.release()
            raise

    def release(self) -> None:
        while not self._waiting.empty():
            waiter = self._waiting.get_nowait()[2]
            if not waiter.done():
                waiter.set_result(None)
                return
        self._free += 1


def answer_tokens(
    document: dict[str, Any], weights: str, count: int
) -> list[str]:
    """Returns the tokens with which given weights answer a prompt."""
    prompt = document.get("prompt") or json.dumps(document.get("messages", ""))
    seed = hashlib.sha256(f"{weights}/{prompt}".encode()).hexdigest()
    return [f"{seed[:8]}-{number}" for number in range(count)]


def folder_digest(folder: pathlib.Path) -> str:
    """Returns one digest over all files of a folder except manifests."""
    digest = hashlib.sha256()
    for path in sorted(p for p in folder.rglob("*") if p.is_file()):
        if path.name == "manifest.pb":
            continue
        digest.update(path.relative_to(folder).as_posix().encode())
        with path.open("rb") as file:
            while block := file.read(1024 * 1024):
                digest.update(block)
    return digest.hexdigest()


async def _collect(tokens: AsyncIterator[str]) -> list[str]:
    return [token async for token in tokens]


async def _as_events(
    tokens: AsyncIterator[str], version: str
) -> AsyncIterator[bytes]:
    async for token in tokens:
        body = {"choices": [{"text": token + " "}], "version": version}
        yield f"data: {json.dumps(body)}\n\n".encode()
    yield b"data: [DONE]\n\n"
