"""A caller of control that keeps its connection and uses it again."""

import asyncio
import contextlib
import json
import time

from damaskcroft.hosted.tests.soak._control_answers import ControlAsked
from damaskcroft.http1 import (
    CutShortError,
    NoAnswerError,
    TargetConnection,
    connect,
)

_CONNECT_S = 1.0
# Control answers within a second; the rest shows what comes late.
_PATIENCE_S = 6.0
_HEADERS = [(b"host", b"h"), (b"content-type", b"application/json")]


class ControlCaller:
    """Requests to one control node, one at a time, on a kept connection.

    A caller doesn't look whether its connection has ended before it sends,
    and takes for an answer what has come behind the one before.

    Args:
        node: IP number of the control node.
        address: where it listens.
        owed: notes each request.
    """

    def __init__(self, node, address, owed):
        self._node = node
        self._address = address
        self._owed = owed
        self._lock = asyncio.Lock()
        self._channel = None
        self._connection = None
        self._number = 0
        self._open_since = 0.0

    async def ask(self, what, method, path, values=None):
        """Sends one request; its status and body, 0 for no whole answer.

        Args:
            what: names it, see `ControlAsked`.
            method: for example b"GET".
            path: where.
            values: sent as JSON.
        """
        body = json.dumps(values).encode() if values is not None else b""
        async with self._lock:
            if self._connection is None and not await self._open():
                return 0, b""
            return await self._exchange(what, method, path, body)

    def close(self):
        """Ends the connection as the end of the caller's process does."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def _open(self):
        try:
            self._channel = await connect(self._address, _CONNECT_S)
        except OSError:
            return False
        self._connection = TargetConnection(self._channel, "", "")
        self._number = 0
        self._open_since = time.monotonic()
        return True

    async def _exchange(self, what, method, path, body):
        connection, channel = self._connection, self._channel
        self._number += 1
        asked = ControlAsked(
            what,
            self._node,
            self._number,
            self._open_since,
            ended_before=channel.ended and not channel.has_unread,
        )
        self._owed.asks(asked)
        answer, keeps_open = b"", False
        try:
            async with asyncio.timeout(_PATIENCE_S):
                # What came before the connection was lost can still be read.
                with contextlib.suppress(NoAnswerError):
                    await connection.send(method, path.encode(), _HEADERS, body)
                head = await connection.read_head(lambda _: True)
                asked.got_bytes = True
                while part := await connection.read_part():
                    answer += part
            asked.status = head.status
            keeps_open = head.value(b"connection").lower() != "close"
        except (NoAnswerError, CutShortError, TimeoutError):
            # Its status says so.
            answer = b""
        except asyncio.CancelledError:
            self.close()
            raise
        if self._connection is not connection:
            # Closed by its owner, which waits for nothing any more.
            return 0, b""
        asked.ended_at = self._open_since = time.monotonic()
        if not keeps_open:
            self.close()
        return asked.status, answer
