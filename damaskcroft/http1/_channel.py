"""A TCP connection that tells its ends apart: half closed, closed, reset."""

import asyncio
import contextlib
import socket
import struct

__all__ = ["Channel", "ChannelLostError", "connect"]

# Bytes kept unread before the peer is asked to wait.
_MAX_UNREAD_BYTES = 256 * 1024
# Silence on unacknowledged bytes that ends a connection: three times the
# retransmission of a packet lost twice in a row (RFC 6298: 0.2 + 0.4 s).
_UNACKNOWLEDGED_MS = 2000
# Linger for no time: closing sends a reset (socket(7)).
_RESET = struct.pack("ii", 1, 0)


class ChannelLostError(Exception):
    """The connection is gone; nothing more can be sent or read."""


class Channel(asyncio.Protocol):
    """One connection, read and written by one task.

    Attributes:
        ended: whether the peer has sent its last byte.
        lost: whether the connection is gone altogether.
        clean_end: whether it ended by the peer's FIN, not by a reset.
        when_ended: done when `ended` is set.
        when_lost: done when `lost` is set.
    """

    def __init__(self) -> None:
        """Creates an unconnected channel; asyncio connects it."""
        self.ended = False
        self.lost = False
        self.clean_end = False
        self._transport: asyncio.Transport | None = None
        self._unread = bytearray()
        self._reading_paused = False
        self._readable = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        loop = asyncio.get_running_loop()
        self.when_ended: asyncio.Future[None] = loop.create_future()
        self.when_lost: asyncio.Future[None] = loop.create_future()

    # --- Called by asyncio -------------------------------------------------

    def connection_made(self, transport) -> None:
        """See asyncio.Protocol."""
        self._transport = transport
        peer = transport.get_extra_info("socket")
        if peer is not None:
            peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data: bytes) -> None:
        """See asyncio.Protocol."""
        self._unread += data
        self._readable.set()
        if len(self._unread) > _MAX_UNREAD_BYTES and not self._reading_paused:
            self._reading_paused = True
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        """See asyncio.Protocol; keeps our own direction open."""
        self.clean_end = True
        self._end()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """See asyncio.Protocol."""
        self.clean_end = self.clean_end and exc is None
        self.lost = True
        self._end()
        self._writable.set()
        if not self.when_lost.done():
            self.when_lost.set_result(None)

    def pause_writing(self) -> None:
        """See asyncio.Protocol."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """See asyncio.Protocol."""
        self._writable.set()

    def _end(self) -> None:
        self.ended = True
        self._readable.set()
        if not self.when_ended.done():
            self.when_ended.set_result(None)

    # --- Used by the owning task -------------------------------------------

    @property
    def transport(self) -> asyncio.Transport:
        """The transport below.

        Raises:
            ChannelLostError: not connected yet.
        """
        if self._transport is None:
            raise ChannelLostError("not connected")
        return self._transport

    @property
    def has_unread(self) -> bool:
        """Whether bytes have come that nobody has read."""
        return bool(self._unread)

    @property
    def is_readable(self) -> bool:
        """Whether `read` gives something, or the end, at once."""
        return bool(self._unread) or self.ended

    async def readable(self) -> None:
        """Waits until bytes have come or the peer has ended."""
        while not self.is_readable:
            self._readable.clear()
            await self._readable.wait()

    async def read(self) -> bytes:
        """All bytes that have come; empty once the peer has ended."""
        await self.readable()
        data = bytes(self._unread)
        self._unread.clear()
        if self._reading_paused and not self.lost:
            self._reading_paused = False
            self.transport.resume_reading()
        return data

    def put(self, data: bytes) -> None:
        """Hands bytes to the kernel or its queue, without waiting.

        Raises:
            ChannelLostError: the connection is gone.
        """
        if self.lost or self.transport.is_closing():
            raise ChannelLostError("connection lost")
        self.transport.write(data)

    async def drain(self) -> None:
        """Waits while the peer reads too slowly.

        Raises:
            ChannelLostError: the connection is gone.
        """
        await self._writable.wait()
        if self.lost:
            raise ChannelLostError("connection lost")

    async def flush(self) -> None:
        """Waits until the kernel has all that was put; nothing follows it.

        Raises:
            ChannelLostError: the connection is gone.
        """
        self.transport.set_write_buffer_limits(high=0)
        await self.drain()

    def half_close(self) -> None:
        """Ends our own direction after what was put; reading goes on."""
        if self.lost or self.transport.is_closing():
            return
        with contextlib.suppress(OSError):
            # Reset by the peer meanwhile; asyncio will tell so.
            self.transport.write_eof()

    def close(self) -> None:
        """Closes after what was put is sent; unread bytes reset it."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Resets the connection at once; what has not arrived is dropped.

        A plain close would let the kernel go on delivering what was sent.
        """
        if self._transport is None:
            return
        with contextlib.suppress(OSError):
            peer = self._transport.get_extra_info("socket")
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        self._transport.abort()


async def connect(address: str, timeout_s: float) -> Channel:
    """Opens a connection.

    Raises:
        OSError: refused, unreachable, or not open in time (TimeoutError).
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        _, channel = await loop.create_connection(Channel, host, int(port))
    with contextlib.suppress(OSError):
        # A peer without power or behind a cut never resets the connection.
        channel.transport.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS
        )
    return channel
