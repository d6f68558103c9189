"""Callers with keep-alive connections, as client libraries have them.

They read one answer at a time. Like many libraries, they discard bytes that
arrive in the same read after the answer, and they do not check the connection
before they send the next request on it.
"""

import asyncio
import collections
import contextlib
import dataclasses
import socket

__all__ = ["Got", "KeptCaller", "send_until_closed"]

# Delay between sending and reading, as of a caller with other work to do.
_READ_DELAY_S = 0.02
_READ_TIMEOUT_S = 10.0


@dataclasses.dataclass(slots=True)
class Got:
    """An answer as the caller received it.

    Attributes:
        status: status code; empty if the connection ended without an answer.
        keeps: whether the server keeps the connection open afterwards.
        followed_by: number of bytes after the answer in the same reads.
    """

    status: str
    keeps: bool
    followed_by: int


class KeptCaller:
    """A keep-alive connection that discards bytes after an answer."""

    def __init__(self, sock: socket.socket):
        """Wraps a connected socket; see `connected`."""
        self._sock = sock

    @classmethod
    async def connected(cls, address: str) -> "KeptCaller":
        """Connects to an address.

        Raises:
            OSError: no server accepts the connection.
        """
        host, _, port = address.rpartition(":")
        sock = socket.socket()
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (host, int(port)))
        return cls(sock)

    def close(self) -> None:
        """Closes the connection."""
        self._sock.close()

    async def asks(self, request: bytes) -> Got:
        """Sends a request and returns its answer."""
        try:
            await asyncio.get_running_loop().sock_sendall(self._sock, request)
        except OSError:
            return _NO_ANSWER
        await asyncio.sleep(_READ_DELAY_S)
        return await self.answer()

    async def answer(self) -> Got:
        """Reads the next answer."""
        data = b""
        while (got := _parse_answer(data)) is None:
            received = await self._receive()
            if not received:
                return _NO_ANSWER
            data += received
        return got

    async def _receive(self) -> bytes:
        async with asyncio.timeout(_READ_TIMEOUT_S):
            with contextlib.suppress(ConnectionError):
                loop = asyncio.get_running_loop()
                return await loop.sock_recv(self._sock, 65536)
        return b""


_NO_ANSWER = Got("", keeps=False, followed_by=0)


def _parse_answer(data: bytes) -> Got | None:
    head, found, rest = data.partition(b"\r\n\r\n")
    if not found:
        return None
    lines = head.lower().split(b"\r\n")
    lengths = [
        int(line.split(b":")[1])
        for line in lines
        if line.startswith(b"content-length:")
    ]
    # Without Content-Length the end of the answer is unknown.
    if not lengths or len(rest) < lengths[0]:
        return None
    keeps = b"connection: close" not in lines
    return Got(lines[0].split()[1].decode(), keeps, len(rest) - lengths[0])


async def send_until_closed(
    address: str, request: bytes, outcomes: collections.Counter[str]
) -> None:
    """Sends requests on one connection until an answer ends it or none comes.

    Args:
        address: address of the server.
        request: raw bytes of the request, sent repeatedly.
        outcomes: counts status codes, `lost` for each request without an
            answer, and `glued` for each answer that keeps the connection and
            is followed by further bytes.

    Raises:
        OSError: no server accepts the connection.
    """
    caller = await KeptCaller.connected(address)
    keeps = True
    while keeps:
        got = await caller.asks(request)
        outcomes[got.status or "lost"] += 1
        keeps = got.keeps
        if keeps and got.followed_by:
            outcomes["glued"] += 1
    caller.close()
