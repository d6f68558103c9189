"""Callers of a client library that keeps its connections.

They read one answer at a time. Bytes that came in the same read behind it are
dropped, as many libraries do, and the connection is not looked at before the
next request is sent.
"""

import asyncio
import collections
import contextlib
import dataclasses
import socket

__all__ = ["Got", "KeptCaller", "asks_on"]

# From sending to reading, as of a caller beside other work.
_READS_AFTER_S = 0.02
_LONGEST_S = 10.0


@dataclasses.dataclass(slots=True)
class Got:
    """One answer.

    Attributes:
        status: its number; empty if the connection ended without one.
        keeps: whether it promises to keep the connection.
        followed_by: bytes that came behind it in the same reads.
    """

    status: str
    keeps: bool
    followed_by: int


class KeptCaller:
    """A kept connection; what comes behind an answer is dropped."""

    def __init__(self, sock: socket.socket):
        """Uses a connected socket; see `connected`."""
        self._sock = sock

    @classmethod
    async def connected(cls, address: str) -> "KeptCaller":
        """Connects.

        Raises:
            OSError: nobody accepts.
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
        """Sends a request; its answer."""
        try:
            await asyncio.get_running_loop().sock_sendall(self._sock, request)
        except OSError:
            return _NONE
        await asyncio.sleep(_READS_AFTER_S)
        return await self.answer()

    async def answer(self) -> Got:
        """The next answer."""
        data = b""
        while (got := _one_answer(data)) is None:
            piece = await self._piece()
            if not piece:
                return _NONE
            data += piece
        return got

    async def _piece(self) -> bytes:
        async with asyncio.timeout(_LONGEST_S):
            with contextlib.suppress(ConnectionError):
                loop = asyncio.get_running_loop()
                return await loop.sock_recv(self._sock, 65536)
        return b""


_NONE = Got("", keeps=False, followed_by=0)


def _one_answer(data: bytes) -> Got | None:
    head, found, rest = data.partition(b"\r\n\r\n")
    if not found:
        return None
    lines = head.lower().split(b"\r\n")
    lengths = [
        int(line.split(b":")[1])
        for line in lines
        if line.startswith(b"content-length:")
    ]
    # Without a length it isn't known where the answer ends.
    if not lengths or len(rest) < lengths[0]:
        return None
    keeps = b"connection: close" not in lines
    return Got(lines[0].split()[1].decode(), keeps, len(rest) - lengths[0])


async def asks_on(
    address: str, request: bytes, outcomes: collections.Counter[str]
) -> None:
    """Asks on one connection until an answer says that it ends.

    Args:
        address: of the server.
        request: sent again and again.
        outcomes: counts statuses, `lost` for a request without an answer, and
            `glued` for bytes behind an answer that keeps the connection.

    Raises:
        OSError: nobody accepts.
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
