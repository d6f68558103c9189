"""Graceful shutdown of a server, independent of its HTTP library.

A caller that has read an answer without `Connection: close` may send its next
request at once, and many client libraries discard bytes that follow an answer.
Therefore a shutdown is announced before connections are closed:

1. Notice: each answer is the last one of its connection and says so with
   `Connection: close`. New connections are still accepted.
2. No more connections are accepted. A connection that has waited for a request
   for a while is closed by a 408 (see `_closing`); requests being processed
   are answered.
3. Half-closed connections are read until their callers close them.

Each step has a maximum length, and ends early once no connection is open.
"""

import abc
import asyncio
import dataclasses

from damaskcroft.observe import log_event

__all__ = [
    "MIN_IDLE_S",
    "GracefulServer",
    "ShutdownTimes",
    "drained",
    "remaining_times",
    "shut_down_server",
]

_POLL_INTERVAL_S = 0.02
# Least time between an answer that kept its connection open and the 408 that
# closes it, so that no caller receives both in one read.
MIN_IDLE_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class ShutdownTimes:
    """Maximum lengths of the steps of a shutdown.

    Attributes:
        shutdown_notice_s: time from the notice to the end of the first step.
        accept_s: time from the notice until connections are no longer
            accepted.
        close_wait_s: time from the call within which callers should have closed
            their connections if all connections are half closed.
        within_s: time from the call until remaining requests are cancelled.
    """

    shutdown_notice_s: float
    accept_s: float
    close_wait_s: float
    within_s: float


class GracefulServer(abc.ABC):
    """Interface of a server that can be shut down gracefully.

    Attributes:
        address: address on which the server listens.
        noticed_at: loop time of the notice; None before it.
        queued: number of connections that the kernel still held in its queue
            when the server stopped listening; they are served.
    """

    address = ""
    noticed_at: float | None = None
    queued = 0

    def announce_shutdown(self) -> None:
        """Makes each answer from now on the last one of its connection."""
        if self.noticed_at is None:
            self.noticed_at = asyncio.get_running_loop().time()

    @property
    @abc.abstractmethod
    def is_active(self) -> bool:
        """Whether a connection is open or a request is being processed."""

    @property
    @abc.abstractmethod
    def open_count(self) -> int:
        """Number of open connections."""

    @property
    @abc.abstractmethod
    def answering(self) -> int:
        """Number of requests being answered."""

    @property
    @abc.abstractmethod
    def only_lingering_open(self) -> bool:
        """Whether all open connections only wait for their callers to close."""

    @abc.abstractmethod
    async def stop_listening(self) -> None:
        """Stops accepting connections; may be called again."""

    @abc.abstractmethod
    def close_idle(self, min_idle_s: float = 0.0) -> None:
        """Closes connections that have waited `min_idle_s` for a request."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Cancels remaining requests, in bounded time."""


async def drained(server: GracefulServer, times: ShutdownTimes) -> None:
    """Drains a server within the given times; cancels no requests."""
    await _drain_since(asyncio.get_running_loop().time(), server, times)


async def shut_down_server(
    server: GracefulServer, times: ShutdownTimes
) -> None:
    """Shuts a server down; logs the requests cancelled and connections left."""
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    await _drain_since(began_at, server, times)
    await server.stop_listening()
    # Repeated for connections that the kernel still held in its queue.
    await _drain_since(began_at, server, times)
    cut, left_open = server.answering, server.open_count
    await server.close()
    log_event(
        "server_ended",
        address=server.address,
        took_s=loop.time() - began_at,
        queued=server.queued,
        cut=cut,
    )
    if left_open:
        log_event(
            "connections_left_open", address=server.address, count=left_open
        )


async def _drain_since(
    began_at: float, server: GracefulServer, times: ShutdownTimes
) -> None:
    loop = asyncio.get_running_loop()
    server.announce_shutdown()
    noticed_at = server.noticed_at or began_at
    while server.is_active and loop.time() - began_at < times.within_s:
        noticed_s = loop.time() - noticed_at
        if noticed_s >= times.accept_s:
            await server.stop_listening()
        if noticed_s >= times.shutdown_notice_s:
            server.close_idle(MIN_IDLE_S)
        is_close_wait_over = loop.time() - began_at >= times.close_wait_s
        if is_close_wait_over and server.only_lingering_open:
            return
        await asyncio.sleep(_POLL_INTERVAL_S)


def remaining_times(
    server: GracefulServer, shutdown_notice_s: float, end_s: float
) -> ShutdownTimes:
    """Times of a shutdown that begins now, after an optional notice.

    Args:
        server: server to shut down.
        shutdown_notice_s: time from the notice, given now or earlier, until
            connections are no longer accepted.
        end_s: maximum time after that for requests being processed.
    """
    now = asyncio.get_running_loop().time()
    noticed_at = now if server.noticed_at is None else server.noticed_at
    within_s = max(0.0, noticed_at + shutdown_notice_s - now) + end_s
    return ShutdownTimes(
        shutdown_notice_s, shutdown_notice_s, within_s, within_s
    )
