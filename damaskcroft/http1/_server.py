"""The face towards callers: one task for each connection."""

import abc
import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Callable

import h11

from damaskcroft.http1._channel import Channel, ChannelLostError
from damaskcroft.http1._client import Headers

__all__ = ["Answer", "CallerHandler", "CallerLimits", "CallerRequest",
           "callers_served"]  # fmt: skip

# More headers than any caller sends; a flood of them costs memory.
_MAX_HEADERS = 100
# Between two interim answers that show whether a caller that has ended its
# side still listens; one round trip, so that a reset has come back.
_PROBE_PAUSE_S = 0.1
# Queue of connections that the kernel holds for us.
_BACKLOG = 512


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send and how long it may take.

    Attributes:
        head_bytes: longest request line and headers.
        body_bytes: longest body.
        head_timeout_s: from a head's first byte to its last, and between
            two parts of a body.
        idle_timeout_s: between requests.
    """

    head_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    head_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """One whole request.

    Attributes:
        method: for example b"POST".
        target: path and query as sent.
        headers: names in lower case and values, in order.
        body: the whole body.
        arrived_at: loop time at which its last byte was read.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    arrived_at: float

    def value(self, name: bytes) -> str:
        """A header's value, or empty when it isn't there."""
        for known, value in self.headers:
            if known == name:
                return value.decode("latin-1")
        return ""


class Answer:
    """The answer to one request, given whole or part by part."""

    __slots__ = ("_channel", "_closing", "_parser", "begun", "ended")

    def __init__(
        self,
        parser: h11.Connection,
        channel: Channel,
        closing: Callable[[], bool],
    ):
        """Answers on a connection; `closing` asks to end it afterwards."""
        self._parser = parser
        self._channel = channel
        self._closing = closing
        self.begun = False
        self.ended = False

    async def give(self, status: int, headers: Headers, body: bytes) -> None:
        """Gives a whole answer.

        Raises:
            ChannelLostError: the caller has gone.
        """
        length = (b"content-length", str(len(body)).encode())
        data = self._head(status, [*headers, length])
        if body and self._parser.our_state is h11.SEND_BODY:
            data += self._parser.send(h11.Data(data=body)) or b""
        data += self._parser.send(h11.EndOfMessage()) or b""
        self.ended = True
        self._channel.put(data)
        await self._channel.drain()

    async def begin(self, status: int, headers: Headers) -> None:
        """Gives the head of an answer whose length isn't known."""
        self._channel.put(self._head(status, headers))

    async def part(self, body: bytes) -> None:
        """Gives some bytes of the body, after `begin`."""
        self._channel.put(self._parser.send(h11.Data(data=body)) or b"")
        await self._channel.drain()

    async def end(self) -> None:
        """Ends the answer as complete."""
        self._channel.put(self._parser.send(h11.EndOfMessage()) or b"")
        self.ended = True
        await self._channel.drain()

    def interim(self) -> None:
        """Says that the request is being worked on (RFC 2518, 10.1).

        A caller that has closed its connection answers with a reset.
        """
        processing = h11.InformationalResponse(status_code=102, headers=[])
        self._channel.put(self._parser.send(processing) or b"")

    def _head(self, status: int, headers: Headers) -> bytes:
        self.begun = True
        if self._closing():
            headers = [*headers, (b"connection", b"close")]
        response = h11.Response(status_code=status, headers=headers)
        return self._parser.send(response) or b""


class CallerHandler(abc.ABC):
    """Answers requests of callers."""

    @abc.abstractmethod
    async def handle(self, request: CallerRequest, answer: Answer) -> None:
        """Answers one request; cancelled when its caller leaves."""

    @abc.abstractmethod
    def limits(self) -> CallerLimits:
        """The limits in force."""

    @abc.abstractmethod
    def is_stopping(self) -> bool:
        """Whether each answer should be its connection's last."""

    @abc.abstractmethod
    def refused(self, status: int, reason: str) -> Headers:
        """Notes a request refused unread; gives headers for the answer."""


class CallerConnections:
    """All open connections of callers.

    Attributes:
        address: where they are accepted.
        answering: requests that are being answered.
    """

    def __init__(self, handler: CallerHandler):
        """Serves connections with `handler`."""
        self._handler = handler
        self._tasks: set[asyncio.Task] = set()
        self._idle: set[Channel] = set()
        self.answering = 0
        self.address = ""

    def accept(self) -> Channel:
        """Makes the protocol of one new connection."""
        return _AcceptedChannel(self._start)

    def close_idle(self) -> None:
        """Ends connections that wait for a request."""
        for channel in list(self._idle):
            channel.close()

    async def close(self) -> None:
        """Ends everything at once."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def open_count(self) -> int:
        """How many connections are open."""
        return len(self._tasks)

    def _start(self, channel: Channel) -> None:
        task = asyncio.create_task(self._serve(channel))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, channel: Channel) -> None:
        try:
            await self._serve_requests(channel)
        except ChannelLostError:
            # The caller is gone; whatever it wanted was cancelled.
            return
        finally:
            channel.close()

    async def _serve_requests(self, channel: Channel) -> None:
        limits = self._handler.limits()
        parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.head_bytes
        )
        reader = _RequestReader(parser, channel, self._handler)
        while True:
            self._idle.add(channel)
            try:
                if not await reader.wait_for_first_byte():
                    return
            finally:
                self._idle.discard(channel)
            answer = Answer(parser, channel, self._handler.is_stopping)
            request = await reader.read_request(answer)
            if request is None:
                await self._linger(channel)
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
            parser.start_next_cycle()

    async def _answer(
        self, request: CallerRequest, answer: Answer, channel: Channel
    ) -> None:
        self.answering += 1
        working = asyncio.create_task(self._handler.handle(request, answer))
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
            self.answering -= 1

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

    async def _linger(self, channel: Channel) -> None:
        """Lets a refusal reach a caller that is still sending."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_LINGER_S):
                while await channel.read():
                    pass


# Closing with unread bytes resets a connection and may take a refusal with it.
_LINGER_S = 0.5


class _AcceptedChannel(Channel):
    """Tells when it is connected."""

    def __init__(self, on_open: Callable[[Channel], None]):
        super().__init__()
        self._on_open = on_open

    def connection_made(self, transport) -> None:
        super().connection_made(transport)
        self._on_open(self)


class _RequestReader:
    """Reads whole requests from one connection."""

    __slots__ = ("_channel", "_handler", "_parser")

    def __init__(
        self, parser: h11.Connection, channel: Channel, handler: CallerHandler
    ):
        self._parser = parser
        self._channel = channel
        self._handler = handler

    async def wait_for_first_byte(self) -> bool:
        """Waits for the next request; False if the connection should end."""
        if self._parser.trailing_data[0]:
            return True
        limits = self._handler.limits()
        try:
            async with asyncio.timeout(limits.idle_timeout_s):
                data = await self._channel.read()
        except TimeoutError:
            return False
        if not data:
            return False
        self._parser.receive_data(data)
        return True

    async def read_request(self, answer: Answer) -> CallerRequest | None:
        """Reads a whole request, or refuses what can't be one.

        Returns:
            None if the connection should end; a refusal was sent.
        """
        limits = self._handler.limits()
        try:
            async with asyncio.timeout(limits.head_timeout_s):
                head = await self._next_event()
            if not isinstance(head, h11.Request):
                return None
            fault = _head_fault(head, limits)
            if fault:
                await self._refuse(answer, *fault)
                return None
            body = await self._read_body(limits)
        except TimeoutError:
            await self._refuse(answer, 408, "slow_request")
            return None
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            await self._refuse(answer, status, "malformed_request")
            return None
        if body is None:
            await self._refuse(answer, 413, "body_too_long")
            return None
        return CallerRequest(
            bytes(head.method),
            bytes(head.target),
            list(head.headers),
            body,
            asyncio.get_running_loop().time(),
        )

    async def _read_body(self, limits: CallerLimits) -> bytes | None:
        body = bytearray()
        while True:
            if self._parser.they_are_waiting_for_100_continue:
                go_on = h11.InformationalResponse(status_code=100, headers=[])
                self._channel.put(self._parser.send(go_on) or b"")
            async with asyncio.timeout(limits.head_timeout_s):
                event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if not isinstance(event, h11.Data):
                raise ChannelLostError("closed in the middle of a request")
            body += event.data
            if len(body) > limits.body_bytes:
                return None

    async def _next_event(self):
        while True:
            event = self._parser.next_event()
            if event is not h11.NEED_DATA:
                return event
            data = await self._channel.read()
            if not data and self._channel.lost:
                raise ChannelLostError("closed in the middle of a request")
            self._parser.receive_data(data)

    async def _refuse(self, answer: Answer, status: int, reason: str) -> None:
        headers = self._handler.refused(status, reason)
        if self._parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [*headers, (b"connection", b"close")]
        await answer.give(status, headers, b"")


def _head_fault(
    head: h11.Request, limits: CallerLimits
) -> tuple[int, str] | None:
    # The parser bounds only heads that come in several reads.
    size = sum(len(name) + len(value) for name, value in head.headers)
    if len(head.target) + size > limits.head_bytes:
        return 431, "head_too_long"
    if len(head.headers) > _MAX_HEADERS:
        return 431, "too_many_headers"
    names = [name for name, _ in head.headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        # Two framings are how requests are smuggled (RFC 9112, 6.1).
        return 400, "two_framings"
    if not head.target.startswith(b"/") and head.target != b"*":
        return 400, "bad_target"
    return None


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
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        connections.accept, host, int(port), backlog=_BACKLOG
    )
    bound_host, bound_port = server.sockets[0].getsockname()[:2]
    connections.address = f"{bound_host}:{bound_port}"
    try:
        yield connections
    finally:
        server.close()
        await connections.close()
