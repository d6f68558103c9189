"""Parser of a target's answers, by httptools (the parser of Node.js).

Each event of a stream is a chunk of the body, and an entry handles hundreds of
them a second; h11, written in Python, takes a tenth of an entry's time for
them. The parser is strict: it rejects two content lengths, a content length
together with chunked encoding, bare line feeds and folded headers.
"""

import collections
import dataclasses

import httptools

from damaskcroft.http1._head import Head, Headers, is_interim

__all__ = ["AnswerParser", "AnswerFailure", "AnswerComplete"]

_MAX_HEAD_BYTES = 64 * 1024
# Of a chunk's size and extensions, or of trailers (RFC 9112, 7.1): none of the
# targets sends more than a few.
_MAX_FRAMING_BYTES = 16 * 1024
_BODILESS_STATUSES = frozenset({204, 304})
# Requests never ask for an upgrade, so an upgrade is a parser error here.
_PARSER_ERRORS = (httptools.HttpParserError, httptools.HttpParserUpgrade)


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerComplete:
    """An answer is complete."""


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerFailure:
    """The bytes are no valid answer, or the answer is truncated."""

    reason: str


class AnswerParser:
    """Parses the successive answers on one connection.

    Attributes:
        is_persistent: whether the connection may carry another request after
            the last complete answer.
        is_bodiless: whether the next answer has no body regardless of its
            head, because it answers a HEAD request (RFC 9112, 6.3).
        ended_by_close: whether the end of the connection was the only sign that
            the last answer is complete (RFC 9112, 8).
    """

    __slots__ = (
        "_body",
        "_events",
        "_framing_bytes",
        "_head_bytes",
        "_headers",
        "_in_body",
        "_in_message",
        "_parser",
        "_ends_at_close",
        "ended_by_close",
        "is_persistent",
        "is_bodiless",
    )

    def __init__(self) -> None:
        """Creates a parser that has received no bytes."""
        self._parser = httptools.HttpResponseParser(self)
        self._events: collections.deque[
            Head | bytes | AnswerComplete | AnswerFailure
        ] = collections.deque()
        self._headers: Headers = []
        # Chunks of a body received in one read are joined into one part.
        self._body: list[bytes] = []
        self._head_bytes = 0
        # Bytes received since the last bytes of a body.
        self._framing_bytes = 0
        self._in_message = False
        self._in_body = False
        self._ends_at_close = False
        self.is_persistent = False
        self.is_bodiless = False
        self.ended_by_close = False

    @property
    def is_between_answers(self) -> bool:
        """Whether nothing was received since the last complete answer."""
        return not (self._events or self._in_message)

    def next(self) -> Head | bytes | AnswerComplete | AnswerFailure | None:
        """Returns the next event in order; None if none is available yet."""
        return self._events.popleft() if self._events else None

    def receive(self, data: bytes) -> None:
        """Parses bytes received from the target."""
        if not self._in_body:
            self._head_bytes += len(data)
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except _PARSER_ERRORS as error:
            self._flush_body()
            self._events.append(AnswerFailure(f"malformed: {error}"))
            return
        self._flush_body()
        if not self._in_body and self._head_bytes > _MAX_HEAD_BYTES:
            self._events.append(AnswerFailure("malformed: a head without end"))
        if self._in_body and self._framing_bytes > _MAX_FRAMING_BYTES:
            self._events.append(
                AnswerFailure("malformed: a chunk's head without end")
            )

    def end(self, *, clean: bool) -> None:
        """Handles that the target has closed its side.

        Args:
            clean: whether the connection ended by a FIN rather than a reset.
        """
        if self._ends_at_close and clean:
            self._ends_at_close = False
            self._in_message = False
            self.ended_by_close = True
            self._events.append(AnswerComplete())
            return
        self._events.append(
            AnswerFailure("ended early" if clean else "connection reset")
        )

    # --- Called by httptools -------------------------------------------------

    def on_message_begin(self) -> None:
        """Begins a new answer."""
        self._flush_body()
        self._in_message = True
        self._in_body = False
        self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Records a header; trailers are ignored because nothing uses them."""
        if not self._in_body:
            # The parser keeps trailing whitespace of a value (RFC 9110, 5.5).
            self._headers.append((name.lower(), value.rstrip(b" \t")))

    def on_headers_complete(self) -> None:
        """Emits the head and determines how the body is framed."""
        status = self._parser.get_status_code()
        self._in_body = True
        self._head_bytes = 0
        self._framing_bytes = 0
        self._events.append(Head(status, self._headers))
        if is_interim(status):
            return
        if self.is_bodiless:
            self._complete_bodiless()
            return
        self.is_persistent = self._parser.should_keep_alive()
        names = {name for name, _ in self._headers}
        framing_headers = names & {b"content-length", b"transfer-encoding"}
        self._ends_at_close = (
            not framing_headers and status not in _BODILESS_STATUSES
        )

    def on_body(self, body: bytes) -> None:
        """Buffers some bytes of a body."""
        self._body.append(body)
        self._framing_bytes = 0

    def on_message_complete(self) -> None:
        """Completes the answer, unless it is an interim one."""
        self._flush_body()
        self._in_message = False
        self._in_body = False
        self._ends_at_close = False
        if not is_interim(self._parser.get_status_code()):
            self._events.append(AnswerComplete())

    def _complete_bodiless(self) -> None:
        # The parser would wait for a body that is never sent.
        self.is_persistent = False
        self._in_message = False
        self._events.append(AnswerComplete())

    def _flush_body(self) -> None:
        if self._body:
            self._events.append(b"".join(self._body))
            self._body.clear()
