"""Callers with several connection patterns that send while a server stops."""

import asyncio
import contextlib
import dataclasses
import random
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable

import aiosonic
from aiosonic.connectors import TCPConnector
from aiosonic.pools import PoolConfig

from damaskcroft.rpc import HTTP_ERRORS

__all__ = ["RequestTemplate", "StoppingCallers"]

_ANSWER_TIMEOUT_S = 10.0
# Time between connecting and sending, and between two parts of a request.
_MAX_IDLE_BEFORE_REQUEST_S = 2.4
_MAX_SPLIT_PAUSE_S = 0.4
_SPLIT_AT = 40
_REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTemplate:
    """The request that each caller sends.

    Attributes:
        method: HTTP method.
        path: request path, with a leading slash.
        headers_for: returns the headers for a caller number.
        body: request body; may be empty.
    """

    method: str
    path: str
    headers_for: Callable[[int], dict[str, str]]
    body: bytes = b""

    def raw(self, number: int) -> bytes:
        """Returns the request of a caller as raw bytes."""
        headers = {
            "Host": "h",
            "Content-Length": str(len(self.body)),
            **self.headers_for(number),
        }
        lines = [f"{self.method} {self.path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        return "\r\n".join([*lines, "", ""]).encode() + self.body


class StoppingCallers:
    """The same number of callers for each pattern, sending at seeded times.

    `kept` and `library` reuse a connection that has carried an answer, without
    checking that it is still open; `fresh` connect and send at once; `quiet`
    connect and send later; `split` send their request head in two parts.
    """

    def __init__(
        self,
        address: str,
        template: RequestTemplate,
        callers_per_pattern: int,
        seed: int = 1,
    ):
        """Opens no connection before `sending`."""
        host, _, port = address.rpartition(":")
        self._address = host, int(port)
        self._url = f"http://{address}{template.path}"
        self._template = template
        self._callers_per_pattern = callers_per_pattern
        self._rng = random.Random(seed)
        pool = PoolConfig(size=callers_per_pattern, max_conn_idle_ms=60_000)
        connector = TCPConnector(pool_configs={":default": pool})
        self._library_client = aiosonic.HTTPClient(connector)

    @contextlib.asynccontextmanager
    async def sending(self, over_s: float) -> AsyncIterator[list[str]]:
        """Sends all requests within `over_s` of entering the block.

        Yields:
            A list filled at the end of the block: `pattern status` or, for a
            lost request, `pattern error`, for each request that was sent.
        """
        outcomes: list[str] = []
        kept_sockets = [
            await self._open_kept_connection()
            for _ in range(self._callers_per_pattern)
        ]
        await _gather(
            self._send_with_library(number)
            for number in range(self._callers_per_pattern)
        )
        tasks = [
            asyncio.create_task(
                self._run_caller(pattern, number, kept_sockets, over_s)
            )
            for pattern in ("kept", "fresh", "quiet", "split", "library")
            for number in range(self._callers_per_pattern)
        ]
        try:
            yield outcomes
            outcomes += [o for o in await _gather(tasks) if _REFUSED not in o]
        finally:
            for task in tasks:
                task.cancel()
            await self._library_client.aclose()

    async def _run_caller(
        self,
        pattern: str,
        number: int,
        kept_sockets: list[socket.socket],
        over_s: float,
    ) -> str:
        idle_s = self._rng.uniform(0, min(_MAX_IDLE_BEFORE_REQUEST_S, over_s))
        delay_s = self._rng.uniform(0, over_s)
        if pattern == "quiet":
            delay_s = max(0.0, delay_s - idle_s)
        await asyncio.sleep(delay_s)
        if pattern == "library":
            return f"{pattern} {await self._send_with_library(number)}"
        if pattern == "kept":
            sock = kept_sockets[number]
        else:
            try:
                sock = await self._connect()
            except ConnectionRefusedError:
                return f"{pattern} {_REFUSED}"
        pause_s = idle_s if pattern == "quiet" else 0.0
        return f"{pattern} {await self._send(sock, number, pattern, pause_s)}"

    async def _connect(self) -> socket.socket:
        sock = socket.socket()
        sock.setblocking(False)
        try:
            await asyncio.get_running_loop().sock_connect(sock, self._address)
        except OSError:
            sock.close()
            raise
        return sock

    async def _open_kept_connection(self) -> socket.socket:
        sock = await self._connect()
        raw = self._template.raw(0)
        await asyncio.get_running_loop().sock_sendall(sock, raw)
        await _read_status(sock)
        return sock

    async def _send(
        self, sock: socket.socket, number: int, pattern: str, pause_s: float
    ) -> str:
        loop = asyncio.get_running_loop()
        raw = self._template.raw(number)
        with contextlib.closing(sock):
            try:
                await asyncio.sleep(pause_s)
                if pattern == "split":
                    await loop.sock_sendall(sock, raw[:_SPLIT_AT])
                    await asyncio.sleep(
                        self._rng.uniform(0, _MAX_SPLIT_PAUSE_S)
                    )
                    raw = raw[_SPLIT_AT:]
                await loop.sock_sendall(sock, raw)
                return await _read_status(sock)
            except OSError as error:
                return type(error).__name__

    async def _send_with_library(self, number: int) -> str:
        template = self._template
        try:
            response = await self._library_client.request(
                self._url,
                method=template.method,
                headers=template.headers_for(number),
                data=template.body or None,
            )
            await response.content()
        except ConnectionRefusedError:
            return _REFUSED
        except HTTP_ERRORS as error:
            return type(error).__name__
        return str(response.status_code)


async def _gather(awaitables: Iterable[Awaitable[str]]) -> list[str]:
    return list(await asyncio.gather(*awaitables))


async def _read_status(sock: socket.socket) -> str:
    """Returns the status of a complete answer, or `no byte` or `cut`."""
    loop = asyncio.get_running_loop()
    data = b""
    async with asyncio.timeout(_ANSWER_TIMEOUT_S):
        while not _is_complete(data):
            received = await loop.sock_recv(sock, 65536)
            if not received:
                return "cut" if data else "no byte"
            data += received
    return data.split()[1].decode()


def _is_complete(data: bytes) -> bool:
    head, end, body = data.partition(b"\r\n\r\n")
    lengths = [
        int(line.partition(b":")[2])
        for line in head.lower().split(b"\r\n")
        if line.startswith(b"content-length:")
    ]
    return bool(end) and len(body) >= sum(lengths)
