"""One attempt of a request at one target, and its possible outcomes.

The outcomes distinguish whether the request may have run, because a request
that is not repeatable may be sent again only if it has certainly not run.
"""

import asyncio
import contextlib
import dataclasses
import math
from collections.abc import AsyncIterator, Awaitable, Callable

from damaskcroft.clock import now_s
from damaskcroft.forwarding._call import (
    AnswerFacts,
    AttemptMetadata,
    Call,
    Wire,
)
from damaskcroft.http1 import (
    ConnectionPool,
    CutShortError,
    Head,
    NoAnswerError,
    Place,
    TargetConnection,
)
from damaskcroft.observe import log_event

__all__ = [
    "Answered",
    "Attempt",
    "Lost",
    "NotRun",
    "NotSent",
    "open_attempt",
]

# Several round trips between regions, including one retransmitted packet.
_CONNECT_TIMEOUT_S = 0.5
# Maximum body of a refusal that is read to keep the connection usable; with a
# larger one, closing the connection costs less.
_MAX_REFUSAL_BYTES = 64 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request was sent; it can't have run.

    Attributes:
        reason: the cause, also a counter's label.
        unreachable: whether connecting failed; otherwise the entry withheld
            the request, which is no failure of the target.
        at_once: whether the target refused the connection immediately.
    """

    reason: str
    unreachable: bool = False
    at_once: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The target certifies that the request has not run and never will."""

    status: int
    facts: AnswerFacts


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The request was sent without a usable answer; it may have run.

    Attributes:
        reason: the cause, also a counter's label.
        cut: whether the other side closed the connection before the end of
            the answer.
        given_up: whether the entry ended the attempt.
    """

    reason: str
    cut: bool = False
    given_up: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The target has begun its answer to this request."""

    head: Head
    facts: AnswerFacts


class Attempt:
    """A request on a connection to one target."""

    __slots__ = (
        "_new_connection",
        "_call",
        "_connection",
        "_known_end",
        "_on_data",
        "_passing",
        "_place",
        "_pool",
        "_why_not_send",
        "_wire",
        "abort_reason",
        "begun",
        "connect_s",
        "ended_by_close",
        "finished",
        "is_sent",
        "is_waiting",
        "last_data_at",
    )

    def __init__(
        self,
        wire: Wire,
        pool: ConnectionPool,
        place: Place,
        call: Call,
        passing: AttemptMetadata,
        on_data: Callable[[], None],
        why_not_send: Callable[[float], str | None],
        known_end: Callable[[], bool | None],
        new_connection: bool,
    ):
        """Prepares an attempt; `begin` sends it.

        Args:
            wire: encoding of headers.
            pool: connections to use.
            place: the target.
            call: the caller's request.
            passing: metadata of this attempt.
            on_data: called whenever data arrives from the target.
            why_not_send: called right before the first byte is sent, with the
                seconds that connecting took, because conditions may have
                changed meanwhile; returns a reason to withhold the request, or
                None to send it.
            known_end: whether the target's process has ended without notice;
                None if its address has to be asked.
            new_connection: whether to open a new connection, because idle ones
                may be as silent as the one whose attempt is hedged.
        """
        self._known_end = known_end
        self._new_connection = new_connection
        self._on_data = on_data
        self._why_not_send = why_not_send
        # Reason for which the entry ended the attempt; empty otherwise.
        self.abort_reason = ""
        self._wire = wire
        self._pool = pool
        self._place = place
        self._call = call
        self._passing = passing
        self._connection: TargetConnection | None = None
        # Whether any byte of the request may have been sent.
        self.is_sent = False
        # Whether it currently waits for the target rather than the caller.
        self.is_waiting = False
        # Whether the answer is complete, so that the connection can be reused.
        self.finished = False
        # Whether only the close of the connection marks the answer's end.
        self.ended_by_close = False
        # Whether the target has begun to answer.
        self.begun = False
        # Loop time at which data last arrived; minus infinity before that.
        self.last_data_at = -math.inf
        # Duration of connecting; None before it and for a reused connection.
        self.connect_s: float | None = None

    @property
    def is_open(self) -> bool:
        """Whether the target may still answer."""
        return self._connection is not None and not self.abort_reason

    async def begin(self) -> NotSent | NotRun | Lost | Answered:
        """Sends the request and reads the head of its answer."""
        connection = (
            None if self._new_connection else self._pool.idle(self._place)
        )
        began_at = now_s()
        if connection is None:
            try:
                connection = await self._pool.opened(
                    self._place, _CONNECT_TIMEOUT_S
                )
            except OSError as error:
                return _not_connected(error)
            self.connect_s = now_s() - began_at
        self._connection = connection
        why_not = self._why_not_send(self.connect_s or 0.0)
        if why_not is not None:
            self.finished = True
            return NotSent(why_not)
        headers = self._wire.target_headers(self._call, self._passing)
        self.is_sent = True
        try:
            await connection.send(
                self._call.method, self._call.target, headers, self._call.body
            )
            self.is_waiting = True
            head = await connection.read_head(self._is_ours)
        except NoAnswerError as error:
            return self.lost(_lost_reason(error, connection))
        finally:
            self.is_waiting = False
        if self.abort_reason:
            # The head was received before the connection was closed.
            return self.lost(self.abort_reason)
        self._record_data()
        self.begun = True
        facts = self._wire.facts(head)
        if not facts.not_run:
            return Answered(head, facts)
        with contextlib.suppress(CutShortError):
            await _read_up_to(_MAX_REFUSAL_BYTES, self._next_part)
        return NotRun(head.status, facts)

    def _record_data(self) -> None:
        self.last_data_at = now_s()
        self._on_data()

    async def read_part(self) -> bytes:
        """Reads the next bytes of the answer's body; empty at its end.

        A target that crashes may close its connections like one that has
        completed an answer without a length. Such an end counts only if the
        target still accepts connections.

        Raises:
            CutShortError: the body was truncated.
        """
        part = await self._next_part()
        if not part and self.ended_by_close and await self._has_target_ended():
            self.finished = False
            raise CutShortError("ended with its target")
        return part

    async def _next_part(self) -> bytes:
        assert self._connection is not None, "begin comes first"
        self.is_waiting = True
        try:
            part = await self._connection.read_part()
        finally:
            self.is_waiting = False
        if self.abort_reason:
            # The part was received before the connection was closed.
            raise CutShortError(self.abort_reason)
        self._record_data()
        self.finished = not part
        self.ended_by_close = not part and self._connection.ended_by_close
        return part

    async def _has_target_ended(self) -> bool:
        """Whether the target's process has ended without notice.

        Unless that is known, its address is asked for a connection, which is
        kept for the next request.
        """
        known_end = self._known_end()
        if known_end is not None:
            return known_end
        try:
            connection = await self._pool.opened(
                self._place, _CONNECT_TIMEOUT_S
            )
        except ConnectionRefusedError:
            return True
        except OSError as error:
            log_event("target_not_checked", target=self._place.id, reason=error)
            return False
        self._pool.keep(self._place, connection)
        return False

    def lost(self, reason: str) -> Lost:
        """Outcome of an attempt that ended before its answer was complete.

        Args:
            reason: the connection's error; ignored if the entry ended the
                attempt, because the error then only reflects that.
        """
        if self.abort_reason:
            return Lost(self.abort_reason, given_up=True)
        return Lost(reason, cut=True)

    def abort(self, reason: str) -> None:
        """Ends the attempt by closing its connection; it counts as lost."""
        if self._connection is not None:
            self.abort_reason = reason
            self._connection.close()

    async def read_whole(self, max_bytes: int) -> tuple[bytes, bool]:
        """Reads the body up to a size.

        Returns:
            The bytes read, and whether the body is complete.

        Raises:
            CutShortError: the body was truncated.
        """
        return await _read_up_to(max_bytes, self.read_part)

    def close(self) -> None:
        """Returns the connection to the pool if the answer is complete."""
        connection, self._connection = self._connection, None
        if connection is None:
            return
        if self.finished:
            self._pool.give_back(self._place, connection)
        else:
            connection.close()

    def _is_ours(self, head: Head) -> bool:
        answered_id = self._wire.facts(head).request_id
        return answered_id in ("", self._call.request_id)


@contextlib.asynccontextmanager
async def open_attempt(
    wire: Wire,
    pool: ConnectionPool,
    place: Place,
    call: Call,
    passing: AttemptMetadata,
    on_data: Callable[[], None],
    why_not_send: Callable[[float], str | None] = lambda _: None,
    *,
    known_end: Callable[[], bool | None] = lambda: None,
    new_connection: bool = False,
) -> AsyncIterator[Attempt]:
    """Yields an attempt; its connection is released after the block.

    Closing the connection of an incomplete answer lets the target stop working
    on the request.
    """
    new_attempt = Attempt(
        wire,
        pool,
        place,
        call,
        passing,
        on_data,
        why_not_send,
        known_end,
        new_connection,
    )
    try:
        yield new_attempt
    finally:
        new_attempt.close()


async def _read_up_to(
    max_bytes: int, read_part: Callable[[], Awaitable[bytes]]
) -> tuple[bytes, bool]:
    """Reads parts of a body up to a size; see `Attempt.read_whole`."""
    body = bytearray()
    while len(body) <= max_bytes:
        part = await read_part()
        if not part:
            return bytes(body), True
        body += part
    return bytes(body), False


def _not_connected(error: OSError) -> NotSent:
    if isinstance(error, TimeoutError | asyncio.TimeoutError):
        return NotSent("connect_timeout", unreachable=True)
    return NotSent("connect_refused", unreachable=True, at_once=True)


def _lost_reason(error: NoAnswerError, connection: TargetConnection) -> str:
    connection_age = "kept" if connection.answered else "new"
    return f"no_answer_on_{connection_age}_connection: {error}"
