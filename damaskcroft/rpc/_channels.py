"""Pool of gRPC channels, one for each address, opened on first use."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

import grpclib
import grpclib.client
import grpclib.exceptions
from grpclib.config import Configuration

from damaskcroft.rpc._keys import Keys

_T = TypeVar("_T")

# Raised by a gRPC call whose peer is unreachable, slow or refuses it.
CALL_ERRORS = (
    OSError,  # Covers TimeoutError and refused connections.
    grpclib.GRPCError,
    grpclib.exceptions.StreamTerminatedError,
    grpclib.exceptions.ProtocolError,
)
# A peer that answers no ping for this long is considered lost.
_KEEPALIVE_S = 5.0
_CONNECTION_WINDOW_BYTES = 8 * 1024 * 1024
_STREAM_WINDOW_BYTES = 4 * 1024 * 1024


def split_address(address: str) -> tuple[str, int]:
    """Splits `IP:port`; an IPv6 address is in square brackets."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class Channel(grpclib.client.Channel):
    """A channel that does not use a connection that is being closed.

    The library uses such a connection until its close has finished. With TLS
    and a lost peer that takes half a minute, in which every call fails with an
    AttributeError, which callers of an RPC do not handle.
    """

    @property
    def _connected(self) -> bool:
        protocol = self._protocol
        if protocol is None or not super()._connected:
            return False
        return hasattr(protocol.processor.connection, "_transport")


class ChannelPool:
    """Channels by address, owned by one process and closed at its end."""

    __slots__ = ("_channels_by_address", "_keys")

    def __init__(self, keys: Keys):
        """Creates an empty pool that connects with `keys`."""
        self._keys = keys
        self._channels_by_address: dict[str, Channel] = {}

    def channel(self, address: str) -> Channel:
        """Returns the channel to `address`; it connects when a call is made."""
        channel = self._channels_by_address.get(address)
        if channel is None:
            channel = self._open(address)
            self._channels_by_address[address] = channel
        return channel

    def drop(self, address: str) -> None:
        """Closes the channel to an address whose connection may be dead.

        The next call opens a new one.
        """
        channel = self._channels_by_address.pop(address, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Closes every channel."""
        for channel in self._channels_by_address.values():
            channel.close()
        self._channels_by_address.clear()

    def _open(self, address: str) -> Channel:
        host, port = split_address(address)
        config = Configuration(
            _keepalive_time=_KEEPALIVE_S,
            _keepalive_timeout=_KEEPALIVE_S,
            _keepalive_permit_without_calls=True,
            _http2_max_pings_without_data=0,
            http2_connection_window_size=_CONNECTION_WINDOW_BYTES,
            http2_stream_window_size=_STREAM_WINDOW_BYTES,
        )
        return Channel(host, port, ssl=self._keys.client, config=config)


async def called(call: Awaitable[_T], timeout_s: float) -> _T:
    """Awaits a call in a separate task, for a bounded time.

    If a call fails at the moment of its cancellation, the library raises the
    failure instead of CancelledError, so that the cancelled task continues: a
    former leader of control continued to send heartbeats, and no other leader
    could be elected. Here the cancellation reaches the awaiting task.

    Args:
        call: a unary call that has not begun.
        timeout_s: maximum time to wait for the reply.

    Raises:
        TimeoutError: no reply came in time, or the library cancelled the call.
    """
    task = asyncio.ensure_future(call)
    task.add_done_callback(_retrieve_outcome)
    try:
        await asyncio.wait({task}, timeout=timeout_s)
        if not task.done() or task.cancelled():
            raise TimeoutError("no answer")
        return task.result()
    finally:
        task.cancel()


def _retrieve_outcome(done: asyncio.Future) -> None:
    """Retrieves the exception of a call that may no longer be awaited.

    Otherwise asyncio logs that the exception was never retrieved.
    """
    if not done.cancelled():
        done.exception()
