"""One request at one target, and what can be said of it afterwards."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Callable

from damaskcroft.clock import now_s
from damaskcroft.forwarding._call import AnswerFacts, Call, Passing, Wire
from damaskcroft.http1 import (
    ConnectionPool,
    CutShortError,
    Head,
    NoAnswerError,
    Place,
    TargetConnection,
)

__all__ = [
    "Answered",
    "Attempt",
    "Lost",
    "NotRun",
    "NotSent",
    "attempt",
]

# Several round trips between regions, with a packet lost and sent again.
_CONNECT_TIMEOUT_S = 0.5
# A refusal's body explains itself; more than this isn't worth a connection.
_MAX_REFUSAL_BYTES = 64 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request has left; it can't have run.

    Attributes:
        reason: why, also a counter's label.
        unreachable: whether the target could not be connected to; else there
            was a reason of our own, which doesn't speak against it.
        at_once: whether it refused the connection, which takes no time.
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
    """Sent, with no usable answer: it may have run.

    Attributes:
        reason: how, also a counter's label.
        cut: whether the connection ended, from the other side, before the
            answer did.
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
    """A request that is being sent to one target."""

    __slots__ = (
        "_anew",
        "_call",
        "_connection",
        "_heard",
        "_passing",
        "_place",
        "_pool",
        "_why_not_send",
        "_wire",
        "begun",
        "connect_s",
        "finished",
        "given_up",
        "is_sent",
        "is_waiting",
    )

    def __init__(
        self,
        wire: Wire,
        pool: ConnectionPool,
        place: Place,
        call: Call,
        passing: Passing,
        heard: Callable[[], None],
        why_not_send: Callable[[float], str | None],
        anew: bool,
    ):
        """Prepares an attempt; `begin` sends it.

        Args:
            wire: how it is written down.
            pool: connections to use.
            place: the target.
            call: the caller's request.
            passing: what this attempt says beyond it.
            heard: called whenever something comes from the target.
            why_not_send: asked right before the first byte is sent, with
                the seconds that connecting took: much may have changed by
                then. None to send it.
            anew: whether on a new connection: kept ones may be as silent as
                the one that made it needed.
        """
        self._anew = anew
        self._heard = heard
        self._why_not_send = why_not_send
        # Why it was ended from outside; empty while it wasn't.
        self.given_up = ""
        self._wire = wire
        self._pool = pool
        self._place = place
        self._call = call
        self._passing = passing
        self._connection: TargetConnection | None = None
        # Whether any byte of the request may have left.
        self.is_sent = False
        # Whether it waits for the target now, and not for the caller.
        self.is_waiting = False
        # Whether the answer came whole, so that the connection may be kept.
        self.finished = False
        # Whether the target has begun to answer.
        self.begun = False
        # What connecting took; None for a kept connection, or before it.
        self.connect_s: float | None = None

    @property
    def is_open(self) -> bool:
        """Whether its target may still answer."""
        return self._connection is not None and not self.given_up

    async def begin(self) -> NotSent | NotRun | Lost | Answered:
        """Sends the request and reads the head of its answer."""
        connection = None if self._anew else self._pool.idle(self._place)
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
        if self.given_up:
            # What had come before the connection was closed.
            return self.lost(self.given_up)
        self._heard()
        self.begun = True
        facts = self._wire.facts(head)
        if not facts.not_run:
            return Answered(head, facts)
        with contextlib.suppress(CutShortError):
            await self.read_whole(_MAX_REFUSAL_BYTES)
        return NotRun(head.status, facts)

    async def read_part(self) -> bytes:
        """The next bytes of the answer's body; empty at its end.

        Raises:
            CutShortError: the body ended before its end.
        """
        assert self._connection is not None, "begin comes first"
        self.is_waiting = True
        try:
            part = await self._connection.read_part()
        finally:
            self.is_waiting = False
        if self.given_up:
            # What had come before the connection was closed.
            raise CutShortError(self.given_up)
        self._heard()
        self.finished = not part
        return part

    def lost(self, reason: str) -> Lost:
        """How the attempt ended before its answer did.

        Args:
            reason: what the connection told; an attempt that was given up ends
                for that, whatever its own closing looked like.
        """
        if self.given_up:
            return Lost(self.given_up, given_up=True)
        return Lost(reason, cut=True)

    def give_up(self, reason: str) -> None:
        """Ends the attempt from outside; it counts as lost."""
        if self._connection is not None:
            self.given_up = reason
            self._connection.close()

    async def read_whole(self, max_bytes: int) -> tuple[bytes, bool]:
        """Reads the body up to a size.

        Returns:
            What was read, and whether that is all.

        Raises:
            CutShortError: the body ended before its end.
        """
        body = bytearray()
        while len(body) <= max_bytes:
            part = await self.read_part()
            if not part:
                return bytes(body), True
            body += part
        return bytes(body), False

    def close(self) -> None:
        """Keeps the connection if the answer came whole, else ends it."""
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
async def attempt(
    wire: Wire,
    pool: ConnectionPool,
    place: Place,
    call: Call,
    passing: Passing,
    heard: Callable[[], None],
    why_not_send: Callable[[float], str | None] = lambda _: None,
    *,
    anew: bool = False,
) -> AsyncIterator[Attempt]:
    """One attempt; whatever ends the block also ends the target's work."""
    made = Attempt(wire, pool, place, call, passing, heard, why_not_send, anew)
    try:
        yield made
    finally:
        made.close()


def _not_connected(error: OSError) -> NotSent:
    if isinstance(error, TimeoutError | asyncio.TimeoutError):
        return NotSent("connect_timeout", unreachable=True)
    return NotSent("connect_refused", unreachable=True, at_once=True)


def _lost_reason(error: NoAnswerError, connection: TargetConnection) -> str:
    kept = "kept" if connection.answered else "new"
    return f"no_answer_on_{kept}_connection: {error}"
