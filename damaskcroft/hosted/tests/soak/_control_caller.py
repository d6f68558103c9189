"""A client of control that reuses its connection."""

import asyncio
import contextlib
import json
import time

from damaskcroft.hosted.tests.soak._control_answer_checks import ControlRequest
from damaskcroft.http1 import (
    CutShortError,
    NoAnswerError,
    TargetConnection,
    connect,
)

_CONNECT_S = 1.0
# Control answers within a second; the longer time-out shows late answers.
_ANSWER_TIMEOUT_S = 6.0
_HEADERS = [(b"host", b"h"), (b"content-type", b"application/json")]


class ControlCaller:
    """Sends requests to one control node, one at a time, on a kept connection.

    It doesn't check before sending whether its connection has been closed, and
    treats bytes that arrived behind the previous answer as the next answer.

    Args:
        node: IP address of the control node.
        address: address at which the node listens.
        checker: records each request.
    """

    def __init__(self, node, address, checker):
        self._node = node
        self._address = address
        self._checker = checker
        self._lock = asyncio.Lock()
        self._channel = None
        self._connection = None
        self._number = 0
        self._open_since = 0.0

    async def send_request(self, operation, method, path, values=None):
        """Sends one request; returns status and body, 0 if incomplete.

        Args:
            operation: name of the operation, see `ControlRequest`.
            method: for example b"GET".
            path: path of the request.
            values: content, sent as JSON.
        """
        body = json.dumps(values).encode() if values is not None else b""
        async with self._lock:
            if self._connection is None and not await self._open():
                return 0, b""
            return await self._exchange(operation, method, path, body)

    def close(self):
        """Closes the connection as the end of the caller's process would."""
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

    async def _exchange(self, operation, method, path, body):
        connection, channel = self._connection, self._channel
        self._number += 1
        record = ControlRequest(
            operation,
            self._node,
            self._number,
            self._open_since,
            ended_before=channel.ended and not channel.has_unread,
        )
        self._checker.add_request(record)
        answer, keeps_open = b"", False
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                # Bytes received before the connection was lost can still be
                # read.
                with contextlib.suppress(NoAnswerError):
                    await connection.send(method, path.encode(), _HEADERS, body)
                head = await connection.read_head(lambda _: True)
                record.got_bytes = True
                while part := await connection.read_part():
                    answer += part
            record.status = head.status
            keeps_open = head.value(b"connection").lower() != "close"
        except (NoAnswerError, CutShortError, TimeoutError):
            # The recorded status stays 0.
            answer = b""
        except asyncio.CancelledError:
            self.close()
            raise
        if self._connection is not connection:
            # Closed by `close`: the owner no longer waits for an answer.
            return 0, b""
        record.ended_at = self._open_since = time.monotonic()
        if not keeps_open:
            self.close()
        return record.status, answer
