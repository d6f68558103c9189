"""The face towards callers: one task for each connection."""

import asyncio
import contextlib
import dataclasses
import sys
from collections.abc import AsyncIterator, Awaitable, Callable

import h11

from damaskcroft.http1._channel import Channel, ChannelLostError
from damaskcroft.http1._closing import Lingering, closing_answer
from damaskcroft.http1._ending import AT_ONCE, EndingServer, end_server
from damaskcroft.http1._exchange import Answer, CallerHandler, CallerRequest
from damaskcroft.http1._idle_limits import IdleLimits
from damaskcroft.http1._listening import stop_listening
from damaskcroft.http1._reader import RequestReader
from damaskcroft.observe import log_warning, metrics

__all__ = ["CallerConnections", "callers_served"]

# Between two interim answers that show whether a caller that has ended its
# side still listens; one round trip, so that a reset has come back.
_PROBE_PAUSE_S = 0.1
# For callers that connected while the server ended, to read that nothing ran.
_LAST_WORD_S = 0.2
# For connections that were cut, to clean up.
_CUT_S = 0.1
# The server ends before a request has come whole: it has not run.
_UNREAD = 408
# Whether the request has run isn't known.
_FAULT = 500
# Queue of connections that the kernel holds for us.
_BACKLOG = 512


class CallerConnections(EndingServer):
    """All open connections of callers; see `EndingServer`."""

    def __init__(self, handler: CallerHandler):
        """Serves connections with `handler`."""
        self._handler = handler
        self._tasks: set[asyncio.Task] = set()
        self._waits_by_channel: dict[Channel, _Wait] = {}
        self._lingering = Lingering()
        self._answering = 0
        self._listening: asyncio.Server | None = None
        self._idle_limits = IdleLimits(handler.limits().idle_timeout_s)

    def accept(self) -> Channel:
        """Makes the protocol of one new connection."""
        return _AcceptedChannel(self._start)

    async def listen(self, host: str, port: int) -> None:
        """Accepts connections from now on.

        Raises:
            OSError: the address can't be bound.
        """
        loop = asyncio.get_running_loop()
        self._listening = await loop.create_server(
            self.accept, host, port, backlog=_BACKLOG
        )
        host, port = self._listening.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop_listening(self) -> None:
        """See EndingServer."""
        listening, self._listening = self._listening, None
        if listening is not None:
            self.queued = await stop_listening(listening, self.accept)

    def close_idle(self, quiet_s: float = 0.0) -> None:
        """See EndingServer; each is ended by a 408."""
        until = asyncio.get_running_loop().time() - quiet_s
        for wait in self._waits_by_channel.values():
            if wait.quiet_since <= until:
                wait.task.cancel()

    def note_limits(self) -> None:
        """Takes note of the handler's limits; to be called at each change."""
        now = asyncio.get_running_loop().time()
        self._idle_limits.note(self._handler.limits().idle_timeout_s, now)

    async def close(self) -> None:
        """See EndingServer; idle callers get a moment to read a 408."""
        # Connections made just now begin to wait for a request.
        await asyncio.sleep(0)
        self.close_idle()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=_LAST_WORD_S)
        for task in self._tasks:
            task.cancel()
        if not self._tasks:
            return
        _, left = await asyncio.wait(self._tasks, timeout=_CUT_S)
        if left:
            log_warning("connections_held_up", count=len(left))

    @property
    def are_all_told(self) -> bool:
        """See EndingServer."""
        return len(self._lingering) == len(self._tasks)

    @property
    def open_count(self) -> int:
        """See EndingServer."""
        return len(self._tasks)

    @property
    def is_used(self) -> bool:
        """See EndingServer; each request ends with its connection."""
        return bool(self._tasks)

    @property
    def answering(self) -> int:
        """See EndingServer."""
        return self._answering

    def _is_ending(self) -> bool:
        return self.noticed_at is not None or self._handler.is_stopping()

    def _start(self, channel: Channel) -> None:
        task = asyncio.create_task(self._serve(channel))
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            # A fault of ours: the caller's connection was closed for it.
            log_warning("connection_failed", reason=repr(task.exception()))

    async def _serve(self, channel: Channel) -> None:
        try:
            await self._serve_requests(channel)
            # What the kernel hasn't taken is lost when the process ends.
            await self._taken(channel.flush())
        except ChannelLostError:
            # The caller is gone; whatever it wanted was cancelled.
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
        quiet_since = loop.time()
        while True:
            if not await self._request_comes(reader, channel, quiet_since):
                await self._close_idle_one(parser, channel)
                return
            answer = Answer(parser, channel, self._is_ending)
            request = await self._read(reader, answer, parser)
            if request is None:
                await self._read_on(channel)
                return
            await self._answer(request, answer, channel)
            if not answer.ended:
                # A body of chunks without its end doesn't look complete; one
                # that ends with its connection does, unless that is reset.
                if parser.their_http_version == b"1.0":
                    channel.abort()
                return
            if parser.our_state is not h11.DONE:
                return
            if parser.their_state is not h11.DONE:
                return
            await self._taken(channel.drain())
            quiet_since = loop.time()
            parser.start_next_cycle()

    async def _request_comes(
        self, reader: RequestReader, channel: Channel, quiet_since: float
    ) -> bool:
        """Waits for a request; False if the connection is to end instead."""
        self.note_limits()
        waiting = asyncio.create_task(reader.wait_for_first_byte())
        self._waits_by_channel[channel] = _Wait(waiting, quiet_since)
        try:
            await asyncio.wait({waiting})
        finally:
            del self._waits_by_channel[channel]
            waiting.cancel()
        if not waiting.cancelled():
            return waiting.result()
        # Told to end in the moment in which a request came: it is answered.
        return channel.has_unread and await reader.wait_for_first_byte()

    async def _read(
        self, reader: RequestReader, answer: Answer, parser: h11.Connection
    ) -> CallerRequest | None:
        """Reads a request; one whose rest doesn't come in time gets a 408."""
        try:
            return await reader.read_request(answer)
        except asyncio.CancelledError:
            if parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                await answer.give(_UNREAD, [(b"connection", b"close")], b"")
            raise

    async def _close_idle_one(
        self, parser: h11.Connection, channel: Channel
    ) -> None:
        """Ends an idle connection by a 408, see `_closing`."""
        if channel.ended:
            # The caller itself has closed it.
            return
        channel.put(closing_answer(parser))
        metrics.IDLE_CONNECTIONS_CLOSED.labels("idle").inc()
        if await self._read_on(channel):
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
        """Answers a request; a fault of ours is answered too."""
        try:
            await self._handler.handle(request, answer)
        except ChannelLostError:
            raise
        except asyncio.CancelledError as error:
            task = asyncio.current_task()
            if task is None or task.cancelling():
                raise
            # Nobody cancelled this request, only something that it waited for.
            await _answer_fault(answer, error)
        except Exception as error:
            await _answer_fault(answer, error)

    async def _answer_half_closed(
        self, working: asyncio.Task, answer: Answer, channel: Channel
    ) -> None:
        """The caller has ended its side: it may still read, or have left.

        Only writing tells (RFC 9112, 9.6 leaves it open): a caller that has
        left resets the connection upon the first bytes.
        """
        while not working.done() and not channel.lost:
            if not answer.begun:
                answer.interim()
            await asyncio.wait(
                {working, channel.when_lost},
                timeout=_PROBE_PAUSE_S,
                return_when=asyncio.FIRST_COMPLETED,
            )

    async def _taken(self, taking: Awaitable[None]) -> None:
        """Waits until the kernel has taken an answer.

        Raises:
            ChannelLostError: the caller has gone, or reads nothing for longer
                than it may be idle.
        """
        limits = self._handler.limits()
        try:
            async with asyncio.timeout(limits.idle_timeout_s):
                await taking
        except TimeoutError:
            log_warning("answer_unread", waited_s=limits.idle_timeout_s)
            raise ChannelLostError("answer unread") from None

    async def _read_on(self, channel: Channel) -> bool:
        """Lets the last answer reach a caller that is still sending.

        Returns:
            Whether bytes came, which nobody has looked at.
        """
        channel.half_close()
        came = False
        with contextlib.suppress(TimeoutError):
            async with self._kept_open(channel):
                while await channel.read():
                    came = True
        return came

    @contextlib.asynccontextmanager
    async def _kept_open(self, channel: Channel) -> AsyncIterator[None]:
        """Ends the block by TimeoutError once a connection lingers too long."""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(None) as bound:
            self._lingering.begin(
                channel, lambda: bound.reschedule(loop.time())
            )
            try:
                yield
            finally:
                self._lingering.done(channel)


async def _answer_fault(answer: Answer, error: BaseException) -> None:
    metrics.HTTP_FAULTS.labels(type(error).__name__).inc()
    log_warning("answer_failed", reason=repr(error))
    if not answer.begun:
        await answer.give(_FAULT, [(b"connection", b"close")], b"")


@dataclasses.dataclass(frozen=True, slots=True)
class _Wait:
    """A wait for the first byte of a next request.

    Attributes:
        task: waits; ends the connection when it is cancelled.
        quiet_since: loop time of the connection's last answer, or of its begin.
    """

    task: asyncio.Task[bool]
    quiet_since: float


class _AcceptedChannel(Channel):
    """Tells when it is connected."""

    def __init__(self, on_open: Callable[[Channel], None]):
        super().__init__()
        self._on_open = on_open

    def connection_made(self, transport) -> None:
        super().connection_made(transport)
        self._on_open(self)


@contextlib.asynccontextmanager
async def callers_served(
    address: str, handler: CallerHandler
) -> AsyncIterator[CallerConnections]:
    """Serves callers at `address` until the block ends.

    Raises:
        OSError: the address can't be bound.
    """
    connections = CallerConnections(handler)
    host, _, port = address.rpartition(":")
    await connections.listen(host, int(port))
    try:
        yield connections
    finally:
        await end_server(connections, AT_ONCE)
