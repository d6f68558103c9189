"""One kept connection to a target, one request at a time."""

import dataclasses
from collections.abc import Callable

import h11

from damaskcroft.http1._channel import Channel, ChannelLostError

__all__ = ["CutShortError", "Head", "Headers", "NoAnswerError",
           "TargetConnection"]  # fmt: skip

Headers = list[tuple[bytes, bytes]]
# Interim and crossed answers skipped before a connection is given up.
_MAX_SKIPPED = 8
_MAX_HEAD_BYTES = 64 * 1024


class NoAnswerError(Exception):
    """The connection gave no answer to the request that was sent on it."""


class CutShortError(Exception):
    """An answer began and did not come whole."""


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Status line and headers of an answer.

    Attributes:
        status: status code.
        headers: names in lower case and values, in order.
    """

    status: int
    headers: Headers

    def value(self, name: bytes) -> str:
        """A header's value, or empty when it isn't there.

        Args:
            name: in lower case.
        """
        for known, value in self.headers:
            if known == name:
                return value.decode("latin-1")
        return ""


class TargetConnection:
    """A connection to one target.

    Attributes:
        address: where it leads.
        target_id: the target that it was opened for.
        answered: how many answers it has given.
        idle_since: loop time at which the last answer ended.
        kept_s: how long the target says it keeps idle connections; 0 if it
            doesn't say.
    """

    __slots__ = (
        "_channel",
        "_parser",
        "_request",
        "address",
        "answered",
        "idle_since",
        "kept_s",
        "target_id",
    )

    def __init__(self, channel: Channel, address: str, target_id: str):
        """Uses an open channel."""
        self._channel = channel
        self._parser = _new_parser()
        self._request: h11.Request | None = None
        self.address = address
        self.target_id = target_id
        self.answered = 0
        self.idle_since = 0.0
        self.kept_s = 0.0

    @property
    def is_silent(self) -> bool:
        """Whether nothing has come on it since the last answer ended."""
        return not (self._channel.ended or self._channel.has_unread)

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent on it."""
        finished = (
            self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
        )
        return finished and not self._parser.trailing_data[0] and self.is_silent

    async def send(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> None:
        """Sends one request.

        Args:
            method: as the caller sent it.
            target: path and query as the caller sent them.
            headers: of the request; framing is added here.
            body: the whole body.

        Raises:
            NoAnswerError: the connection was lost; part may have arrived.
        """
        if self._parser.our_state is h11.DONE:
            self._parser.start_next_cycle()
        framed = [*headers, *_framing(method, body)]
        self._request = h11.Request(
            method=method, target=target, headers=framed
        )
        data = self._parser.send(self._request) or b""
        if body:
            data += self._parser.send(h11.Data(data=body)) or b""
        data += self._parser.send(h11.EndOfMessage()) or b""
        try:
            self._channel.put(data)
            await self._channel.drain()
        except ChannelLostError as error:
            raise NoAnswerError("lost while sending") from error

    async def read_head(self, is_ours: Callable[[Head], bool]) -> Head:
        """Reads the head of the answer, past those of other requests.

        Args:
            is_ours: whether an answer's head belongs to the request.

        Raises:
            NoAnswerError: none came, or bytes that are no answer.
        """
        for _ in range(_MAX_SKIPPED):
            try:
                event = await self._next_event()
            except CutShortError as error:
                raise NoAnswerError(str(error)) from error
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise NoAnswerError("closed without an answer")
            head = Head(event.status_code, list(event.headers))
            if is_ours(head):
                self._note_kept(head)
                return head
            await self._skip_crossed()
        raise NoAnswerError("too many answers of other requests")

    async def read_part(self) -> bytes:
        """The next bytes of the body; empty when it has ended whole.

        Raises:
            CutShortError: it ended before its end.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self.answered += 1
            return b""
        raise CutShortError(f"unexpected {type(event).__name__}")

    def close(self) -> None:
        """Closes at once, so that the target stops its work."""
        self._channel.abort()

    async def _next_event(self):
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                raise CutShortError(f"malformed: {error}") from error
            if event is not h11.NEED_DATA:
                return event
            data = await self._channel.read()
            if not data and not self._channel.clean_end:
                raise CutShortError("connection reset")
            self._parser.receive_data(data)

    async def _skip_crossed(self) -> None:
        """Reads over another request's answer; ours may follow it."""
        try:
            while not isinstance(await self._next_event(), h11.EndOfMessage):
                pass
        except CutShortError as error:
            raise NoAnswerError(str(error)) from error
        rest = self._parser.trailing_data[0]
        request = self._request
        assert request is not None, "an answer is only read after a request"
        self._parser = _new_parser()
        # The request is on its way already; the bytes given are dropped and
        # only the parser's state matters, so no length needs to be met.
        without_body = [h for h in request.headers if h[0] != b"content-length"]
        self._parser.send(
            h11.Request(
                method=request.method,
                target=request.target,
                headers=without_body,
            )
        )
        self._parser.send(h11.EndOfMessage())
        self._parser.receive_data(rest)

    def _note_kept(self, head: Head) -> None:
        for part in head.value(b"keep-alive").split(","):
            name, _, seconds = part.strip().partition("=")
            if name.lower() == "timeout" and seconds.isdecimal():
                self.kept_s = float(seconds)


def _new_parser() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES)


def _framing(method: bytes, body: bytes) -> Headers:
    if not body and method in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
        return []
    return [(b"content-length", str(len(body)).encode())]
