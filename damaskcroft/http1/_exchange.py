"""A caller's request, the answer to it, and who gives it."""

import abc
import dataclasses
from collections.abc import Callable

import h11

from damaskcroft.http1._channel import Channel
from damaskcroft.http1._head import Headers

__all__ = ["Answer", "CallerHandler", "CallerLimits", "CallerRequest"]


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

    @property
    def caller_has_ended(self) -> bool:
        """Whether the caller has closed its side of the connection."""
        return self._channel.ended

    @property
    def is_last(self) -> bool:
        """Whether the connection ends after this answer."""
        return self._closing()

    async def give(self, status: int, headers: Headers, body: bytes) -> None:
        """Gives a whole answer, without waiting until the caller reads it.

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

    async def begin(self, status: int, headers: Headers) -> None:
        """Gives the head of an answer whose length isn't known."""
        self._channel.put(self._head(status, headers))

    async def part(self, body: bytes) -> None:
        """Gives some bytes of the body, after `begin`."""
        self._channel.put(self._parser.send(h11.Data(data=body)) or b"")
        await self._channel.drain()

    async def end(self) -> None:
        """Ends the answer as complete; see `give`."""
        self._channel.put(self._parser.send(h11.EndOfMessage()) or b"")
        self.ended = True

    def interim(self) -> None:
        """Says that the request is being worked on (RFC 2518, 10.1).

        A caller that has closed its connection answers with a reset. One that
        speaks HTTP/1.0 is told nothing: it knows no interim answers (RFC 9110,
        15.2) and would take this one for the whole.
        """
        if self._parser.their_http_version == b"1.0":
            return
        processing = h11.InformationalResponse(status_code=102, headers=[])
        self._channel.put(self._parser.send(processing) or b"")

    def _head(self, status: int, headers: Headers) -> bytes:
        if self._closing():
            headers = [*headers, (b"connection", b"close")]
        response = h11.Response(status_code=status, headers=headers)
        data = self._parser.send(response) or b""
        # Not before: a head that was refused leaves room for another one.
        self.begun = True
        return data


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
