"""A persistent connection to a target that carries one request at a time."""

from collections.abc import Callable

import h11

from damaskcroft.http1._answers import (
    AnswerComplete,
    AnswerFailure,
    AnswerParser,
)
from damaskcroft.http1._channel import Channel, ChannelLostError
from damaskcroft.http1._head import Head, Headers, is_interim

__all__ = ["CutShortError", "NoAnswerError", "TargetConnection"]

# Interim and unrelated answers skipped before a connection is given up.
_MAX_SKIPPED = 8
# Maximum bytes of bodies of unrelated answers skipped before that; a new
# connection costs less than reading more.
_MAX_SKIPPED_BYTES = 1024 * 1024


class NoAnswerError(Exception):
    """The connection returned no answer to the request sent on it."""


class CutShortError(Exception):
    """An answer began but is truncated."""


class TargetConnection:
    """A connection to one target.

    Attributes:
        address: address of the target.
        target_id: the target that the connection was opened for.
        answered: number of complete answers received.
        idle_since: loop time at which the last answer ended.
        keep_alive_s: time for which the target announces to keep idle
            connections open; 0 if it announces none.
    """

    __slots__ = (
        "_channel",
        "_parser",
        "address",
        "answered",
        "idle_since",
        "keep_alive_s",
        "target_id",
    )

    def __init__(self, channel: Channel, address: str, target_id: str):
        """Creates a connection over an open channel."""
        self._channel = channel
        self._parser = AnswerParser()
        self.address = address
        self.target_id = target_id
        self.answered = 0
        self.idle_since = 0.0
        self.keep_alive_s = 0.0

    @property
    def has_no_unread_input(self) -> bool:
        """Whether nothing was received since the last answer ended."""
        return not (self._channel.ended or self._channel.has_unread)

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent on the connection."""
        parser = self._parser
        return (
            parser.is_persistent
            and parser.is_between_answers
            and self.has_no_unread_input
        )

    @property
    def ended_by_close(self) -> bool:
        """Whether only the close of the connection marks the answer's end."""
        return self._parser.ended_by_close

    async def send(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> None:
        """Sends one request.

        Args:
            method: method as sent by the caller.
            target: path and query as sent by the caller.
            headers: headers of the request; framing headers are added here.
            body: the complete body.

        Raises:
            NoAnswerError: the connection was lost; a part of the request may
                have arrived.
        """
        writer = h11.Connection(h11.CLIENT)
        framed = [*headers, *_framing(method, body)]
        request = h11.Request(method=method, target=target, headers=framed)
        data = writer.send(request) or b""
        if body:
            data += writer.send(h11.Data(data=body)) or b""
        data += writer.send(h11.EndOfMessage()) or b""
        self._parser.is_persistent = False
        self._parser.is_bodiless = method == b"HEAD"
        try:
            self._channel.write(data)
            await self._channel.drain()
        except ChannelLostError as error:
            raise NoAnswerError("lost while sending") from error

    async def read_head(self, is_for_request: Callable[[Head], bool]) -> Head:
        """Reads the head of the answer, skipping answers to other requests.

        Args:
            is_for_request: tells whether an answer's head belongs to the
                request.

        Raises:
            NoAnswerError: the connection ended without an answer, or sent
                bytes that are no valid answer.
        """
        skipped_bytes = 0
        for _ in range(_MAX_SKIPPED):
            head = await self._next()
            if isinstance(head, AnswerFailure):
                raise NoAnswerError(head.reason)
            if not isinstance(head, Head):
                raise NoAnswerError("a body without a head")
            if is_interim(head.status):
                continue
            if is_for_request(head):
                self._read_keep_alive(head)
                return head
            skipped_bytes = await self._skip_unrelated_answer(skipped_bytes)
        raise NoAnswerError("too many answers of other requests")

    async def read_part(self) -> bytes:
        """Returns the next bytes of the body; empty when it is complete.

        Raises:
            CutShortError: the body is truncated.
        """
        part = await self._next()
        if isinstance(part, bytes):
            return part
        if isinstance(part, AnswerComplete):
            self.answered += 1
            return b""
        raise CutShortError(
            part.reason if isinstance(part, AnswerFailure) else "a second head"
        )

    def close(self) -> None:
        """Resets the connection, so that the target stops its work."""
        self._channel.abort()

    async def _next(self) -> Head | bytes | AnswerComplete | AnswerFailure:
        while True:
            event = self._parser.next()
            if event is not None:
                return event
            data = await self._channel.read()
            if data:
                self._parser.receive(data)
            else:
                self._parser.end(clean=self._channel.clean_end)

    async def _skip_unrelated_answer(self, skipped_bytes: int) -> int:
        """Skips another request's answer; the expected one may follow.

        Args:
            skipped_bytes: bytes skipped before.

        Returns:
            All bytes skipped by then.
        """
        while True:
            event = await self._next()
            if isinstance(event, AnswerComplete):
                return skipped_bytes
            if isinstance(event, AnswerFailure):
                raise NoAnswerError(event.reason)
            if isinstance(event, bytes):
                skipped_bytes += len(event)
            if skipped_bytes > _MAX_SKIPPED_BYTES:
                raise NoAnswerError("too much of other requests' answers")

    def _read_keep_alive(self, head: Head) -> None:
        for part in head.value(b"keep-alive").split(","):
            name, _, seconds = part.strip().partition("=")
            if name.lower() == "timeout" and seconds.isdecimal():
                self.keep_alive_s = float(seconds)


def _framing(method: bytes, body: bytes) -> Headers:
    if not body and method in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
        return []
    return [(b"content-length", str(len(body)).encode())]
