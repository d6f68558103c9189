"""A TCP connection that distinguishes half-close, close and reset."""

import asyncio
import contextlib
import socket
import struct

__all__ = ["Channel", "ChannelLostError", "connect"]

# Unread bytes beyond which reading is paused, so that TCP slows the peer.
_MAX_UNREAD_BYTES = 256 * 1024
# Time without an acknowledgement after which a connection is given up: three
# times the retransmission time of a packet lost twice in a row (RFC 6298:
# 0.2 + 0.4 s).
_UNACKNOWLEDGED_TIMEOUT_MS = 2000
# SO_LINGER with a time of zero: closing sends a reset (socket(7)).
_LINGER_ZERO = struct.pack("ii", 1, 0)


class ChannelLostError(Exception):
    """The connection is lost; nothing more can be sent or read."""


class Channel(asyncio.Protocol):
    """One connection, read from and written to by one task.

    Attributes:
        ended: whether the peer has closed its direction.
        lost: whether both directions are closed.
        clean_end: whether it ended by the peer's FIN rather than a reset.
        when_ended: completes when `ended` is set.
        when_lost: completes when `lost` is set.
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
        """Stores the transport and disables Nagle's algorithm."""
        self._transport = transport
        peer = transport.get_extra_info("socket")
        if peer is not None:
            peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data: bytes) -> None:
        """Buffers received bytes; pauses reading when too many are unread."""
        self._unread += data
        self._readable.set()
        if len(self._unread) > _MAX_UNREAD_BYTES and not self._reading_paused:
            self._reading_paused = True
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        """Records the peer's half-close; keeps our own direction open."""
        self.clean_end = True
        self._end()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Records that the connection is lost and wakes its waiters."""
        self.clean_end = self.clean_end and exc is None
        self.lost = True
        self._end()
        self._writable.set()
        if not self.when_lost.done():
            self.when_lost.set_result(None)

    def pause_writing(self) -> None:
        """Makes `drain` wait."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Lets `drain` return."""
        self._writable.set()

    def _end(self) -> None:
        self.ended = True
        self._readable.set()
        if not self.when_ended.done():
            self.when_ended.set_result(None)

    # --- Used by the owning task -------------------------------------------

    @property
    def transport(self) -> asyncio.Transport:
        """The underlying transport.

        Raises:
            ChannelLostError: the channel is not connected yet.
        """
        if self._transport is None:
            raise ChannelLostError("not connected")
        return self._transport

    @property
    def has_unread(self) -> bool:
        """Whether received bytes have not been read yet."""
        return bool(self._unread)

    @property
    def is_readable(self) -> bool:
        """Whether `read` returns without waiting."""
        return bool(self._unread) or self.ended

    async def readable(self) -> None:
        """Waits until bytes are received or the peer has closed its side."""
        while not self.is_readable:
            self._readable.clear()
            await self._readable.wait()

    async def read(self) -> bytes:
        """Returns all received bytes; empty once the peer has closed."""
        await self.readable()
        data = bytes(self._unread)
        self._unread.clear()
        if self._reading_paused and not self.lost:
            self._reading_paused = False
            self.transport.resume_reading()
        return data

    def write(self, data: bytes) -> None:
        """Writes bytes to the transport without waiting.

        Raises:
            ChannelLostError: the connection is lost.
        """
        if self.lost or self.transport.is_closing():
            raise ChannelLostError("connection lost")
        self.transport.write(data)

    async def drain(self) -> None:
        """Waits while the write buffer is full because the peer reads slowly.

        Raises:
            ChannelLostError: the connection is lost.
        """
        await self._writable.wait()
        if self.lost:
            raise ChannelLostError("connection lost")

    async def flush(self) -> None:
        """Waits until the kernel has all written bytes; no more may be written.

        Raises:
            ChannelLostError: the connection is lost.
        """
        self.transport.set_write_buffer_limits(high=0)
        await self.drain()

    def half_close(self) -> None:
        """Closes our direction after the written bytes; reading continues."""
        if self.lost or self.transport.is_closing():
            return
        with contextlib.suppress(OSError):
            # The peer has reset the connection; asyncio calls connection_lost.
            self.transport.write_eof()

    def close(self) -> None:
        """Closes after sending written bytes; unread bytes cause a reset."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Resets the connection at once and discards unsent bytes.

        A plain close would let the kernel continue to deliver sent bytes.
        """
        if self._transport is None:
            return
        with contextlib.suppress(OSError):
            peer = self._transport.get_extra_info("socket")
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
        self._transport.abort()


async def connect(address: str, timeout_s: float) -> Channel:
    """Opens a connection.

    Raises:
        OSError: the connection was refused, the address is unreachable, or
            the time ran out (TimeoutError).
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        _, channel = await loop.create_connection(Channel, host, int(port))
    with contextlib.suppress(OSError):
        # A peer that lost power or is cut off never resets the connection.
        channel.transport.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            _UNACKNOWLEDGED_TIMEOUT_MS,
        )
    return channel
