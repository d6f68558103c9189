"""Stand-ins for the platform's model servers and its origin of weights."""

import asyncio
import contextlib
import dataclasses
import hashlib
import json
import urllib.parse
from collections.abc import Callable

from stand.deployment import Deployment, Record
from stand.http1 import Message, read_message
from stand.server import Run, Server

__all__ = [
    "CHUNKS",
    "LAYERS",
    "MODEL",
    "ModelServer",
    "Origin",
    "Part",
    "configuration",
    "piece",
]

MODEL = "daka510000"
LAYERS = 16
CHUNKS = 96
CHUNK_BYTES = 24_576
_ORIGIN_BYTES_S = 7.3e6 / 8
_LOAD_S = 0.3
_TOKEN_S = 0.04
# A step takes 6.73 ms and more, and an event holds 6 tokens.
_EVENT_S = 0.07


def piece(version: int, index: int) -> bytes:
    """Returns the bytes of a piece of a version."""
    seed = hashlib.sha256(f"{version}/{index}".encode()).digest()
    return seed * (CHUNK_BYTES // len(seed))


def _json_answer(status: int, values: dict) -> bytes:
    return _answer(status, json.dumps(values).encode(), "application/json")


def _answer(
    status: int, body: bytes, content_type: str = "text/plain"
) -> bytes:
    return (
        f"HTTP/1.1 {status} S\r\nContent-Type: {content_type}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


class Origin:
    """Serves manifests and pieces of the versions named so far."""

    def __init__(self, ip: str):
        """Stores the address; `start` listens."""
        self._ip = ip
        self.newest = 1
        self._link = asyncio.Lock()

    async def start(self) -> None:
        """Listens."""
        self._listening = await asyncio.start_server(self._serve, self._ip, 0)
        port = self._listening.sockets[0].getsockname()[1]
        self.address = f"{self._ip}:{port}"

    async def stop(self) -> None:
        """Stops to listen."""
        self._listening.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while (message := await read_message(reader)) is not None:
                writer.write(await self._answer_to(message))
                await writer.drain()
        writer.close()

    async def _answer_to(self, message: Message) -> bytes:
        url = urllib.parse.urlsplit(message.start.split(" ")[1])
        query = dict(urllib.parse.parse_qsl(url.query))
        version = int(query.get("version", self.newest))
        if version > self.newest or version <= self.newest - 2:
            return _answer(410, b"")
        if "/manifest/" in url.path:
            digests = [
                hashlib.sha256(piece(version, index)).hexdigest()
                for index in range(CHUNKS)
            ]
            return _json_answer(
                200,
                {
                    "model": MODEL, "version": version,
                    "chunk_bytes": CHUNK_BYTES, "layers": LAYERS,
                    "digests": digests,
                },
            )  # fmt: skip
        async with self._link:
            await asyncio.sleep(CHUNK_BYTES / _ORIGIN_BYTES_S)
        return _answer(200, piece(version, int(query["sample_size"])))


@dataclasses.dataclass
class Part:
    """The layers in memory.

    Attributes:
        version: version of the weights that was ordered.
        first: the first layer.
        end: the layer after the last one.
        bad_for_s: by piece that was wrong when it was taken, for how long it
            had been wrong.
    """

    version: int
    first: int
    end: int
    bad_for_s: dict[int, float]


class ModelServer(Server):
    """A model server with a staging area, orders and requests.

    Attributes:
        part: the layers in memory; None for none.
        on_read: called with the index of each staged piece that is read.
        events: number of events of each answer.
        broken: tokens that were made with pieces that were wrong for too long.
    """

    def __init__(
        self,
        deployment: Deployment,
        record: Record,
        runs: list[Run],
        server_id: str,
        service: str,
        ip: str,
        zone: str,
    ):
        """Holds version 1, which is also staged."""
        super().__init__(deployment, record, runs, server_id, service, ip, zone)
        self._staged = {index: piece(1, index) for index in range(CHUNKS)}
        self._changed_at = dict.fromkeys(range(CHUNKS), 0.0)
        self.part: Part | None = Part(1, 0, LAYERS, {})
        self._busy = False
        self._orders = 0
        self._active = 0
        self.on_read: Callable[[int], None] = lambda _: None
        self.broken: list[str] = []
        self.events = 1
        self._starts = 1
        self._writers: set[asyncio.StreamWriter] = set()

    def staged_version(self, index: int) -> int:
        """Returns the version of a staged piece; 0 for a spoilt one."""
        return next(
            (v for v in (1, 2, 3) if self._staged[index] == piece(v, index)), 0
        )

    def spoil(self, index: int) -> None:
        """Spoils a staged piece."""
        data = self._staged[index]
        self._staged[index] = bytes([data[0] ^ 1]) + data[1:]
        self._changed_at[index] = asyncio.get_running_loop().time()
        self._record(f"{self.id}: staged piece {index} turns bad")

    async def crash(self) -> None:
        """Ends without notice; the staged pieces survive."""
        self._record(f"{self.id} crashes")
        for task in self._tasks:
            task.cancel()
        self._tasks.clear()
        self._listening.close()
        for writer in self._writers:
            writer.transport.abort()
        self.part, self._busy, self._orders = None, False, 0

    async def restart(self) -> None:
        """Starts again at the same address, with another id and no layers."""
        self._starts += 1
        self.id = f"{self.id.partition('.')[0]}.{self._starts}"
        self._sequence = self._active = 0
        host, _, port = self.address.rpartition(":")
        self._listening = await asyncio.start_server(self._serve, host, port)
        self._tasks.add(asyncio.create_task(self._announce_forever()))
        self._record(f"{self.id} starts")

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self._writers.discard(writer)

    def announcement(self) -> dict:
        """Returns the fields of the next heartbeat."""
        values = super().announcement()
        return values | {"slots": 16, "stage": "both"} | self._held()

    def _held(self) -> dict:
        if self.part is None:
            return {"models": []}
        version = self.part.version
        return {
            "models": [{"name": MODEL, "version": version, "adapters": []}],
            "layers": {
                "from": self.part.first, "target": self.part.end,
                "version": version,
            },
        }  # fmt: skip

    async def answer(
        self, message: Message, writer: asyncio.StreamWriter
    ) -> None:
        """Answers a call of the agent or a request."""
        method, target, _ = message.start.split(" ", 2)
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/api/report":
            report = {
                "stage": "both", "busy": self._busy, "sequence": self._orders,
                "queued": 0, "active": self._active, "kv_used": 0,
                "kv_total": 1_640_000, "handles": 0,
            }  # fmt: skip
            writer.write(_json_answer(200, report | self._held()))
        elif url.path.startswith("/api/stage-put/"):
            index = int(query["sample_size"])
            self._staged[index] = message.body
            self._changed_at[index] = asyncio.get_running_loop().time()
            writer.write(_answer(200, b""))
        elif url.path.startswith("/api/stage-get/"):
            index = int(query["sample_size"])
            data = self._staged[index]
            self.on_read(index)
            writer.write(_answer(200, data))
        elif url.path == "/api/order":
            writer.write(self._order(json.loads(message.body)))
        else:
            await self._run(message, writer)

    def _order(self, order: dict) -> bytes:
        wanted = order.get("precondition", self._orders)
        if self._busy or wanted != self._orders:
            return _json_answer(409, {})
        version = order["version"]
        first, end = order.get("from", 0), order.get("target", LAYERS)
        self._record(f"{self.id} is ordered to {version}[{first}:{end}]")
        part = self.part
        if part is not None and part.version == version:
            if (part.first, part.end) == (first, end):
                return _json_answer(200, {})
            if part.first <= first and end <= part.end:
                self._orders += 1
                self.part = dataclasses.replace(part, first=first, end=end)
                return _json_answer(202, {})
        self._orders += 1
        self._busy = True
        now = asyncio.get_running_loop().time()
        bad_for_s = {
            index: now - self._changed_at[index]
            for index in range(first * CHUNKS // LAYERS, end * CHUNKS // LAYERS)
            if self._staged[index] != piece(version, index)
        }
        if bad_for_s:
            self._record(
                f"{self.id} takes wrong pieces for version {version}: "
                + ", ".join(
                    f"{index} (wrong for {age:.1f} s, version"
                    f" {self.staged_version(index)})"
                    for index, age in bad_for_s.items()
                )
            )
        task = asyncio.create_task(
            self._load(Part(version, first, end, bad_for_s))
        )
        self._tasks.add(task)
        return _json_answer(202, {})

    async def _load(self, part: Part) -> None:
        self.part = None
        while self._active > 0:
            await asyncio.sleep(0.01)
        await asyncio.sleep(_LOAD_S)
        self.part = part
        self._busy = False
        self._record(f"{self.id} holds version {part.version}")

    async def _run(
        self, message: Message, writer: asyncio.StreamWriter
    ) -> None:
        request_id = message.headers.get("request-id", "")
        wanted = message.headers.get("expect-instance", self.id)
        part = self.part
        whole = part is not None and (part.first, part.end) == (0, LAYERS)
        if wanted != self.id or not whole or part is None:
            writer.write(
                b"HTTP/1.1 421 Misdirected\r\nNot-Executed: 1\r\n"
                b"Request-Id: %s\r\nContent-Length: 0\r\n\r\n"
                % request_id.encode()
            )
            return
        now = asyncio.get_running_loop().time()
        self.runs.append(Run(self.id, request_id, now))
        late = {i: age for i, age in part.bad_for_s.items() if age > 3.0}
        text = f"{self.id} runs {request_id} on version {part.version}"
        if late:
            text += f" with pieces that were wrong for over 3 s: {late}"
            self.broken.append(text)
        self._record(text)
        self._active += 1
        try:
            await asyncio.sleep(_TOKEN_S)
            writer.write(
                b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n"
                b"Weight-Versions: %d\r\nContent-Type: text/event-stream\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n"
                % (request_id.encode(), part.version)
            )
            first = int(message.headers.get("last-event-id", "0")) + 1
            for number in range(first, self.events + 1):
                event = b"id: %d\ndata: %s\n\n" % (number, request_id.encode())
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                if number < self.events:
                    await asyncio.sleep(_EVENT_S)
            writer.write(b"0\r\n\r\n")
        finally:
            self._active -= 1


def configuration(origin: str) -> dict:
    """Returns a configuration with one model service and its origin."""
    engine = {
        "slots": 16, "kv_capacity_tokens": 1640000, "kv_token_bytes": 163840,
        "link_mbps": 400000.0, "stride": 6,
        "models": [
            {"name": MODEL, "pace": 1.0, "load_s": 4.0, "warmup_s": _LOAD_S}
        ],
        "mb": 282000.0, "adapter_slots": 8, "loads_per_s": 0.0,
        "step_ms": 6.73, "per_seq_ms": 0.0219, "context_per_k": 0.0068,
        "read_per_s": 30600.0, "pairs_per_m": 0.647, "chunk": 2048,
        "report_lag_ms": 200.0, "loads_at_once": 8, "delays": [],
        "usual": {"prompt": 964, "answer": 119}, "layers": LAYERS,
        "layer_mb": 4540.0, "act_bytes": 16384, "pipe_mbps": 0.0,
        "chunks": CHUNKS, "chunk_bytes": CHUNK_BYTES,
    }  # fmt: skip
    return {
        "version": 1,
        "routes": [
            {
                "name": "r-draft", "host": "draft.example",
                "path_prefix": "/draft/", "kind": "streaming",
                "timeout_ms": 6000, "target_latency_ms": 406, "priority": 1,
                "service": "draft", "max_attempts": 2, "public": False,
                "sticky": True, "resumable": True, "target_gap_ms": 300,
            }
        ],
        "services": [
            {
                "name": "draft", "health_path": "/health",
                "max_connections": 264, "protocol": "h1", "tls": False,
                "engine": engine,
            },
            {
                "name": "origin", "origin": origin, "zone": "kzd-hall-b",
                "link_mbps": 7.3, "max_connections": 48,
            },
        ],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 4194304,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
        },
    }  # fmt: skip
