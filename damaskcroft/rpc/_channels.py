"""One gRPC channel for each address, opened when first used."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

import grpclib
import grpclib.client
import grpclib.exceptions
from grpclib.config import Configuration

from damaskcroft.rpc._keys import Keys

_T = TypeVar("_T")

# What a gRPC call raises when its peer is away, slow, or refuses it.
CALL_ERRORS = (
    OSError,  # Covers TimeoutError and refused connections.
    grpclib.GRPCError,
    grpclib.exceptions.StreamTerminatedError,
    grpclib.exceptions.ProtocolError,
)
# A peer that answers no ping for this long is taken as gone.
_KEEPALIVE_S = 5.0
_CONNECTION_WINDOW_BYTES = 8 * 1024 * 1024
_STREAM_WINDOW_BYTES = 4 * 1024 * 1024


def split_address(address: str) -> tuple[str, int]:
    """Splits `IP:port`; an IPv6 number stands in square brackets."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class Channel(grpclib.client.Channel):
    """A channel that uses no connection which is being closed.

    The library goes on using one until its close has ended; with TLS and a
    peer that is gone that takes half a minute, in which every call fails by an
    error that no caller of an RPC expects.
    """

    @property
    def _connected(self) -> bool:
        protocol = self._protocol
        if protocol is None or not super()._connected:
            return False
        return hasattr(protocol.processor.connection, "_transport")


class ChannelPool:
    """Channels by address. Owned by one process; closed at its end."""

    __slots__ = ("_channels_by_address", "_keys")

    def __init__(self, keys: Keys):
        """Creates an empty pool that dials with `keys`."""
        self._keys = keys
        self._channels_by_address: dict[str, Channel] = {}

    def channel(self, address: str) -> Channel:
        """The channel to `address`; connects only when a call is made."""
        channel = self._channels_by_address.get(address)
        if channel is None:
            channel = self._open(address)
            self._channels_by_address[address] = channel
        return channel

    def drop(self, address: str) -> None:
        """Closes the channel to an address that is known to be gone."""
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
    """Awaits a call in a task of its own, for a bounded time.

    The library turns a cancellation that meets a failure of the call into that
    failure, so that whoever was cancelled goes on as if nothing had been said:
    a former leader of control went on sending heartbeats, and no other could
    be elected. Here the cancellation reaches the one who awaits.

    Args:
        call: a unary call that has not begun.
        timeout_s: longest wait for its answer.

    Raises:
        TimeoutError: it is not back in time, or the library gave it up.
    """
    calling = asyncio.ensure_future(call)
    calling.add_done_callback(_outcome_seen)
    try:
        await asyncio.wait({calling}, timeout=timeout_s)
        if not calling.done() or calling.cancelled():
            raise TimeoutError("no answer")
        return calling.result()
    finally:
        calling.cancel()


def _outcome_seen(ended: asyncio.Future) -> None:
    """Looks at how a call ended that nobody may be waiting for any more."""
    if not ended.cancelled():
        ended.exception()
