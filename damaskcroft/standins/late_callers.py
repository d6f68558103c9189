"""Callers that connect right after an event loop has polled its sockets.

A connection that arrives after the poll, and before the loop runs the callbacks
of that poll, is known only to the kernel. The same holds for a connection that
arrives after a server has found none to accept.
"""

import asyncio
import contextlib
import selectors
import socket
from collections.abc import Iterator
from unittest import mock

__all__ = ["LateCallers"]

# Bounds the file descriptors used when a loop never stops accepting.
_MAX_CALLERS = 200
_ANSWER_TIMEOUT_S = 3.0


class LateCallers(selectors.DefaultSelector):
    """A selector that makes a caller connect and send after each poll.

    Attributes:
        place: host and port to connect to; None disables the callers.
    """

    def __init__(self, request: bytes):
        """Opens no connection until `place` is set."""
        super().__init__()
        self.place: tuple[str, int] | None = None
        self._request = request
        self._sockets: list[socket.socket] = []

    def new_loop(self) -> asyncio.AbstractEventLoop:
        """Creates an event loop that polls with this selector."""
        return asyncio.SelectorEventLoop(self)

    def select(self, timeout=None):
        """Polls, then makes a caller connect and send."""
        events = super().select(timeout)
        self._connect()
        return events

    @contextlib.contextmanager
    def after_accepts(self) -> Iterator[None]:
        """Makes a caller connect and send after each accept that finds none."""
        accept = socket.socket.accept

        def accept_and_connect(listening: socket.socket):
            try:
                return accept(listening)
            except BlockingIOError:
                self._connect()
                raise

        with mock.patch.object(socket.socket, "accept", accept_and_connect):
            yield

    def _connect(self) -> None:
        if self.place is None or len(self._sockets) >= _MAX_CALLERS:
            return
        try:
            caller = socket.create_connection(self.place)
        except ConnectionRefusedError:
            self.place = None
            return
        caller.sendall(self._request)
        self._sockets.append(caller)

    def outcomes(self) -> list[str]:
        """Returns the status code, or the kind of failure, of each request."""
        return [_read_outcome(caller) for caller in self._sockets]


def _read_outcome(caller: socket.socket) -> str:
    caller.settimeout(_ANSWER_TIMEOUT_S)
    answer = b""
    with contextlib.closing(caller):
        try:
            while received := caller.recv(65536):
                answer += received
        except OSError as error:
            return type(error).__name__
    return answer.split()[1].decode() if answer else "no byte"
