"""HTTP server for callers, with one task for each connection."""

import asyncio
import contextlib
import dataclasses
import sys
from collections.abc import AsyncIterator, Awaitable, Callable

import h11

from damaskcroft.http1._channel import Channel, ChannelLostError
from damaskcroft.http1._closing import Lingering, closing_answer
from damaskcroft.http1._exchange import Answer, CallerHandler, CallerRequest
from damaskcroft.http1._idle_limits import IdleLimits
from damaskcroft.http1._listening import stop_listening
from damaskcroft.http1._reader import RequestReader
from damaskcroft.http1._shutdown import (
    GracefulServer,
    remaining_times,
    shut_down_server,
)
from damaskcroft.observe import log_warning, metrics

__all__ = ["CallerConnections", "serve_callers"]

# Time between two interim answers that probe whether a caller that has
# half-closed its connection still reads; covers one round trip, so that a
# reset has arrived.
_PROBE_INTERVAL_S = 0.1
# For callers that connected during the shutdown, to read that nothing ran.
_FINAL_ANSWER_TIMEOUT_S = 0.2
# For the tasks of cancelled connections to finish.
_CANCEL_TIMEOUT_S = 0.1
# Status for a request that is incomplete at the shutdown: it has not run.
_REQUEST_TIMEOUT = 408
# Status for a fault of the handler: whether the request has run is unknown.
_INTERNAL_SERVER_ERROR = 500
# Length of the kernel's queue of connections to be accepted.
_BACKLOG = 512


class CallerConnections(GracefulServer):
    """The open connections of all callers."""

    def __init__(self, handler: CallerHandler):
        """Creates a server whose requests are answered by `handler`."""
        self._handler = handler
        self._tasks: set[asyncio.Task] = set()
        self._waits_by_channel: dict[Channel, _IdleWait] = {}
        self._lingering = Lingering()
        self._answering = 0
        self._listening: asyncio.Server | None = None
        self._idle_limits = IdleLimits(handler.limits().idle_timeout_s)

    def accept(self) -> Channel:
        """Creates the protocol of a new connection."""
        return _AcceptedChannel(self._start_serving)

    async def listen(self, host: str, port: int) -> None:
        """Starts to accept connections.

        Raises:
            OSError: the address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        self._listening = await loop.create_server(
            self.accept, host, port, backlog=_BACKLOG
        )
        host, port = self._listening.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop_listening(self) -> None:
        """Stops listening; connections in the kernel's queue are served."""
        listening, self._listening = self._listening, None
        if listening is not None:
            self.queued = await stop_listening(listening, self.accept)

    def close_idle(self, min_idle_s: float = 0.0) -> None:
        """Closes connections idle for `min_idle_s`, each by a 408."""
        until = asyncio.get_running_loop().time() - min_idle_s
        for wait in self._waits_by_channel.values():
            if wait.idle_since <= until:
                wait.task.cancel()

    def apply_limits(self) -> None:
        """Applies the handler's idle timeout; to be called at each change."""
        now = asyncio.get_running_loop().time()
        self._idle_limits.note(self._handler.limits().idle_timeout_s, now)

    async def close(self) -> None:
        """Cancels remaining requests; idle callers get time to read a 408."""
        # Lets tasks of just accepted connections begin to wait for a request.
        await asyncio.sleep(0)
        self.close_idle()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=_FINAL_ANSWER_TIMEOUT_S)
        for task in self._tasks:
            task.cancel()
        if not self._tasks:
            return
        _, left = await asyncio.wait(self._tasks, timeout=_CANCEL_TIMEOUT_S)
        if left:
            log_warning("connections_held_up", count=len(left))

    @property
    def only_lingering_open(self) -> bool:
        """Whether all open connections are half closed by this server."""
        return len(self._lingering) == len(self._tasks)

    @property
    def open_count(self) -> int:
        """Number of open connections."""
        return len(self._tasks)

    @property
    def is_active(self) -> bool:
        """Whether a connection is open; no request outlives its connection."""
        return bool(self._tasks)

    @property
    def answering(self) -> int:
        """Number of requests being answered."""
        return self._answering

    def _is_ending(self) -> bool:
        return self.noticed_at is not None or self._handler.is_stopping()

    def _start_serving(self, channel: Channel) -> None:
        task = asyncio.create_task(self._serve(channel))
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            # A fault of the server, which closed the caller's connection.
            log_warning("connection_failed", reason=repr(task.exception()))

    async def _serve(self, channel: Channel) -> None:
        try:
            await self._serve_requests(channel)
            # Bytes not passed to the kernel are lost when the process exits.
            await self._wait_for_write(channel.flush())
        except ChannelLostError:
            # The caller has disconnected and its request was cancelled.
            return
        finally:
            channel.close()

    async def _serve_requests(self, channel: Channel) -> None:
        parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=sys.maxsize
        )
        reader = RequestReader(
            parser, channel, self._handler, self._idle_limits
        )
        loop = asyncio.get_running_loop()
        idle_since = loop.time()
        while True:
            if not await self._wait_for_request(reader, channel, idle_since):
                await self._close_idle_connection(parser, channel)
                return
            answer = Answer(parser, channel, self._is_ending)
            request = await self._read(reader, answer, parser)
            if request is None:
                await self._discard_until_closed(channel)
                return
            await self._answer(request, answer, channel)
            if not answer.ended:
                # A chunked body without its last chunk is visibly truncated;
                # one that ends with its connection (HTTP/1.0) looks complete
                # unless the connection is reset.
                if parser.their_http_version == b"1.0":
                    channel.abort()
                return
            if parser.our_state is not h11.DONE:
                return
            if parser.their_state is not h11.DONE:
                return
            await self._wait_for_write(channel.drain())
            idle_since = loop.time()
            parser.start_next_cycle()

    async def _wait_for_request(
        self, reader: RequestReader, channel: Channel, idle_since: float
    ) -> bool:
        """Waits for a request; returns False if the connection should close."""
        self.apply_limits()
        waiting = asyncio.create_task(reader.wait_for_first_byte())
        self._waits_by_channel[channel] = _IdleWait(waiting, idle_since)
        try:
            await asyncio.wait({waiting})
        finally:
            del self._waits_by_channel[channel]
            waiting.cancel()
        if not waiting.cancelled():
            return waiting.result()
        # A request that arrived just before the cancellation is answered.
        return channel.has_unread and await reader.wait_for_first_byte()

    async def _read(
        self, reader: RequestReader, answer: Answer, parser: h11.Connection
    ) -> CallerRequest | None:
        """Reads a request; one incomplete at the shutdown gets a 408."""
        try:
            return await reader.read_request(answer)
        except asyncio.CancelledError:
            if parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                await answer.send_whole(
                    _REQUEST_TIMEOUT, [(b"connection", b"close")], b""
                )
            raise

    async def _close_idle_connection(
        self, parser: h11.Connection, channel: Channel
    ) -> None:
        """Closes an idle connection by a 408, see `_closing`."""
        if channel.ended:
            # The caller has already closed its side.
            return
        channel.write(closing_answer(parser))
        metrics.IDLE_CONNECTIONS_CLOSED.labels("idle").inc()
        if await self._discard_until_closed(channel):
            metrics.IDLE_CONNECTIONS_CLOSED.labels("crossed").inc()

    async def _answer(
        self, request: CallerRequest, answer: Answer, channel: Channel
    ) -> None:
        self._answering += 1
        working = asyncio.create_task(self._handle(request, answer))
        try:
            await asyncio.wait(
                {working, channel.when_ended},
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not working.done() and not channel.lost:
                await self._answer_half_closed(working, answer, channel)
            if working.done():
                working.result()
        finally:
            working.cancel()
            await asyncio.gather(working, return_exceptions=True)
            self._answering -= 1

    async def _handle(self, request: CallerRequest, answer: Answer) -> None:
        """Answers a request; a fault of the handler is answered by a 500."""
        try:
            await self._handler.handle(request, answer)
        except ChannelLostError:
            raise
        except asyncio.CancelledError as error:
            task = asyncio.current_task()
            if task is None or task.cancelling():
                raise
            # The request itself was not cancelled, only something it awaited.
            await _answer_internal_error(answer, error)
        except Exception as error:
            await _answer_internal_error(answer, error)

    async def _answer_half_closed(
        self, working: asyncio.Task, answer: Answer, channel: Channel
    ) -> None:
        """Probes a caller that has closed its side but may still read.

        Only writing shows whether it reads, because RFC 9112, 9.6 allows both:
        a caller that has fully closed resets the connection upon the first
        bytes.
        """
        while not working.done() and not channel.lost:
            if not answer.begun:
                answer.interim()
            await asyncio.wait(
                {working, channel.when_lost},
                timeout=_PROBE_INTERVAL_S,
                return_when=asyncio.FIRST_COMPLETED,
            )

    async def _wait_for_write(self, writing: Awaitable[None]) -> None:
        """Waits until the kernel has accepted the bytes of an answer.

        Raises:
            ChannelLostError: the caller has disconnected, or reads nothing for
                longer than the idle timeout.
        """
        limits = self._handler.limits()
        try:
            async with asyncio.timeout(limits.idle_timeout_s):
                await writing
        except TimeoutError:
            log_warning("answer_unread", waited_s=limits.idle_timeout_s)
            raise ChannelLostError(
                "caller did not read the answer in time"
            ) from None

    async def _discard_until_closed(self, channel: Channel) -> bool:
        """Half-closes, and discards input until the caller closes its side.

        This lets the last answer reach a caller that is still sending.

        Returns:
            Whether any bytes were received and discarded.
        """
        channel.half_close()
        has_received = False
        with contextlib.suppress(TimeoutError):
            async with self._limit_linger(channel):
                while await channel.read():
                    has_received = True
        return has_received

    @contextlib.asynccontextmanager
    async def _limit_linger(self, channel: Channel) -> AsyncIterator[None]:
        """Raises TimeoutError in the block once the linger time is over."""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(None) as bound:
            self._lingering.begin(
                channel, lambda: bound.reschedule(loop.time())
            )
            try:
                yield
            finally:
                self._lingering.done(channel)


async def _answer_internal_error(answer: Answer, error: BaseException) -> None:
    metrics.HTTP_FAULTS.labels(type(error).__name__).inc()
    log_warning("answer_failed", reason=repr(error))
    if not answer.begun:
        await answer.send_whole(
            _INTERNAL_SERVER_ERROR, [(b"connection", b"close")], b""
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _IdleWait:
    """A connection's wait for the first byte of its next request.

    Attributes:
        task: task that waits; its cancellation closes the connection.
        idle_since: loop time of the connection's last answer, or of its
            start.
    """

    task: asyncio.Task[bool]
    idle_since: float


class _AcceptedChannel(Channel):
    """Channel that calls a function once it is connected."""

    def __init__(self, on_open: Callable[[Channel], None]):
        super().__init__()
        self._on_open = on_open

    def connection_made(self, transport) -> None:
        super().connection_made(transport)
        self._on_open(self)


@contextlib.asynccontextmanager
async def serve_callers(
    address: str,
    handler: CallerHandler,
    *,
    shutdown_notice_s: float = 0.0,
    end_s: float = 0.0,
) -> AsyncIterator[CallerConnections]:
    """Serves callers at `address` until the block ends.

    Args:
        address: IP address and port.
        handler: answers the requests.
        shutdown_notice_s: see `remaining_times`.
        end_s: see `remaining_times`.

    Raises:
        OSError: the address cannot be bound.
    """
    connections = CallerConnections(handler)
    host, _, port = address.rpartition(":")
    await connections.listen(host, int(port))
    try:
        yield connections
    finally:
        await shut_down_server(
            connections, remaining_times(connections, shutdown_notice_s, end_s)
        )
