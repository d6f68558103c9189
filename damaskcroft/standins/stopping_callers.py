"""Callers of several habits that send over the whole stop of a server."""

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
# Time between a connection and its request, or between two parts of that.
_MOST_QUIET_S = 2.4
_MOST_SPLIT_S = 0.4
_SPLIT_AT = 40
_REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTemplate:
    """What each caller asks.

    Attributes:
        method: of HTTP.
        path: begins with a slash.
        headers_of: headers of the caller with this number.
        body: may be empty.
    """

    method: str
    path: str
    headers_of: Callable[[int], dict[str, str]]
    body: bytes = b""

    def raw(self, number: int) -> bytes:
        """The request's bytes."""
        headers = {
            "Host": "h",
            "Content-Length": str(len(self.body)),
            **self.headers_of(number),
        }
        lines = [f"{self.method} {self.path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        return "\r\n".join([*lines, "", ""]).encode() + self.body


class StoppingCallers:
    """As many callers of each habit, who send at moments drawn from a seed.

    `kept` and `library` hold a connection that has had an answer and send on
    it without a look; `fresh` connect and send; `quiet` connect and send
    later; `split` send their head in two parts.
    """

    def __init__(
        self, address: str, template: RequestTemplate, each: int, seed: int = 1
    ):
        """Nobody connects before `sending`."""
        host, _, port = address.rpartition(":")
        self._place = host, int(port)
        self._url = f"http://{address}{template.path}"
        self._template = template
        self._each = each
        self._rng = random.Random(seed)
        pool = PoolConfig(size=each, max_conn_idle_ms=60_000)
        connector = TCPConnector(pool_configs={":default": pool})
        self._library = aiosonic.HTTPClient(connector)

    @contextlib.asynccontextmanager
    async def sending(self, over_s: float) -> AsyncIterator[list[str]]:
        """Sends all requests within `over_s` of the block's beginning.

        Yields:
            Filled at the block's end with `habit status` or, for a lost
            request, `habit error`, one for each request that was sent.
        """
        outcomes: list[str] = []
        socks = [await self._kept() for _ in range(self._each)]
        await _all(self._ask_library(number) for number in range(self._each))
        tasks = [
            asyncio.create_task(self._one(habit, number, socks, over_s))
            for habit in ("kept", "fresh", "quiet", "split", "library")
            for number in range(self._each)
        ]
        try:
            yield outcomes
            outcomes += [o for o in await _all(tasks) if _REFUSED not in o]
        finally:
            for task in tasks:
                task.cancel()
            await self._library.aclose()

    async def _one(
        self,
        habit: str,
        number: int,
        socks: list[socket.socket],
        over_s: float,
    ) -> str:
        quiet_s = self._rng.uniform(0, min(_MOST_QUIET_S, over_s))
        after_s = self._rng.uniform(0, over_s)
        if habit == "quiet":
            after_s = max(0.0, after_s - quiet_s)
        await asyncio.sleep(after_s)
        if habit == "library":
            return f"{habit} {await self._ask_library(number)}"
        if habit == "kept":
            sock = socks[number]
        else:
            try:
                sock = await self._connected()
            except ConnectionRefusedError:
                return f"{habit} {_REFUSED}"
        pause_s = quiet_s if habit == "quiet" else 0.0
        return f"{habit} {await self._ask(sock, number, habit, pause_s)}"

    async def _connected(self) -> socket.socket:
        sock = socket.socket()
        sock.setblocking(False)
        try:
            await asyncio.get_running_loop().sock_connect(sock, self._place)
        except OSError:
            sock.close()
            raise
        return sock

    async def _kept(self) -> socket.socket:
        sock = await self._connected()
        raw = self._template.raw(0)
        await asyncio.get_running_loop().sock_sendall(sock, raw)
        await _status(sock)
        return sock

    async def _ask(
        self, sock: socket.socket, number: int, habit: str, pause_s: float
    ) -> str:
        loop = asyncio.get_running_loop()
        raw = self._template.raw(number)
        with contextlib.closing(sock):
            try:
                await asyncio.sleep(pause_s)
                if habit == "split":
                    await loop.sock_sendall(sock, raw[:_SPLIT_AT])
                    await asyncio.sleep(self._rng.uniform(0, _MOST_SPLIT_S))
                    raw = raw[_SPLIT_AT:]
                await loop.sock_sendall(sock, raw)
                return await _status(sock)
            except OSError as error:
                return type(error).__name__

    async def _ask_library(self, number: int) -> str:
        template = self._template
        try:
            response = await self._library.request(
                self._url,
                method=template.method,
                headers=template.headers_of(number),
                data=template.body or None,
            )
            await response.content()
        except ConnectionRefusedError:
            return _REFUSED
        except HTTP_ERRORS as error:
            return type(error).__name__
        return str(response.status_code)


async def _all(works: Iterable[Awaitable[str]]) -> list[str]:
    return list(await asyncio.gather(*works))


async def _status(sock: socket.socket) -> str:
    """The status of a whole answer, or `no byte` or `cut`."""
    loop = asyncio.get_running_loop()
    data = b""
    async with asyncio.timeout(_ANSWER_TIMEOUT_S):
        while not _is_whole(data):
            piece = await loop.sock_recv(sock, 65536)
            if not piece:
                return "cut" if data else "no byte"
            data += piece
    return data.split()[1].decode()


def _is_whole(data: bytes) -> bool:
    head, end, body = data.partition(b"\r\n\r\n")
    lengths = [
        int(line.partition(b":")[2])
        for line in head.lower().split(b"\r\n")
        if line.startswith(b"content-length:")
    ]
    return bool(end) and len(body) >= sum(lengths)
