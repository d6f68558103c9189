"""A caller's request, the answer to it, and the interface of handlers."""

import abc
import dataclasses
from collections.abc import Callable

import h11

from damaskcroft.http1._channel import Channel
from damaskcroft.http1._head import Headers

__all__ = ["Answer", "CallerHandler", "CallerLimits", "CallerRequest"]


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Maximum sizes and times of a caller's requests.

    Attributes:
        head_bytes: maximum size of request line and headers.
        body_bytes: maximum size of a body.
        head_timeout_s: maximum time from a head's first byte to its last, and
            between two parts of a body.
        idle_timeout_s: maximum time between requests.
    """

    head_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    head_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """One complete request.

    Attributes:
        method: method, for example b"POST".
        target: path and query as sent.
        headers: names in lower case and values, in order.
        body: the complete body.
        arrived_at: loop time at which its last byte was read.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    arrived_at: float

    def value(self, name: bytes) -> str:
        """Returns a header's value, or an empty string if it is absent."""
        for header, value in self.headers:
            if header == name:
                return value.decode("latin-1")
        return ""


class Answer:
    """The answer to one request, sent at once or part by part."""

    __slots__ = ("_channel", "_closing", "_parser", "begun", "ended")

    def __init__(
        self,
        parser: h11.Connection,
        channel: Channel,
        closing: Callable[[], bool],
    ):
        """Creates the answer; `closing` tells whether it is the last one."""
        self._parser = parser
        self._channel = channel
        self._closing = closing
        self.begun = False
        self.ended = False

    @property
    def caller_has_half_closed(self) -> bool:
        """Whether the caller has closed its side of the connection."""
        return self._channel.ended

    @property
    def is_last(self) -> bool:
        """Whether the connection is closed after this answer."""
        return self._closing()

    async def send_whole(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        """Sends a complete answer, without waiting until the caller reads it.

        Raises:
            ChannelLostError: the caller has disconnected.
        """
        length = (b"content-length", str(len(body)).encode())
        data = self._head(status, [*headers, length])
        if body and self._parser.our_state is h11.SEND_BODY:
            data += self._parser.send(h11.Data(data=body)) or b""
        data += self._parser.send(h11.EndOfMessage()) or b""
        self.ended = True
        self._channel.write(data)

    async def send_head(self, status: int, headers: Headers) -> None:
        """Sends the head of an answer whose length is unknown."""
        self._channel.write(self._head(status, headers))

    async def send_part(self, body: bytes) -> None:
        """Sends some bytes of the body, after `send_head`."""
        self._channel.write(self._parser.send(h11.Data(data=body)) or b"")
        await self._channel.drain()

    async def end(self) -> None:
        """Sends the end of the body, so that the answer is complete."""
        self._channel.write(self._parser.send(h11.EndOfMessage()) or b"")
        self.ended = True

    def interim(self) -> None:
        """Sends a 102: the request is being processed (RFC 2518, 10.1).

        A caller that has closed its connection replies with a reset. Nothing is
        sent to an HTTP/1.0 caller, because HTTP/1.0 has no interim answers
        (RFC 9110, 15.2) and the caller would read it as the final one.
        """
        if self._parser.their_http_version == b"1.0":
            return
        processing = h11.InformationalResponse(status_code=102, headers=[])
        self._channel.write(self._parser.send(processing) or b"")

    def _head(self, status: int, headers: Headers) -> bytes:
        if self._closing():
            headers = [*headers, (b"connection", b"close")]
        response = h11.Response(status_code=status, headers=headers)
        data = self._parser.send(response) or b""
        # Set after encoding: if h11 rejects the head, another one can be sent.
        self.begun = True
        return data


class CallerHandler(abc.ABC):
    """Interface of an object that answers the requests of callers."""

    @abc.abstractmethod
    async def handle(self, request: CallerRequest, answer: Answer) -> None:
        """Answers one request; cancelled when the caller disconnects."""

    @abc.abstractmethod
    def limits(self) -> CallerLimits:
        """Returns the limits in force."""

    @abc.abstractmethod
    def is_stopping(self) -> bool:
        """Whether each answer should be the last one of its connection."""

    @abc.abstractmethod
    def refused(self, status: int, reason: str) -> Headers:
        """Records a request refused unread; returns headers for the answer."""
