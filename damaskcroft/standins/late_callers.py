"""Callers that connect at the worst moment: when a loop has just looked.

A connection that comes after an event loop's look at its sockets, and before
the loop runs what it has found, is known to the kernel alone. So is one that
comes after a server has found no connection to accept.
"""

import asyncio
import contextlib
import selectors
import socket
from collections.abc import Iterator
from unittest import mock

__all__ = ["LateCallers"]

# A loop that never stops accepting shall not use up all descriptors.
_MOST = 200
_ANSWER_TIMEOUT_S = 3.0


class LateCallers(selectors.DefaultSelector):
    """A selector that lets a caller connect and send after each look.

    Attributes:
        place: host and port to connect to; None for no callers.
    """

    def __init__(self, request: bytes):
        """Connects nobody until `place` is set."""
        super().__init__()
        self.place: tuple[str, int] | None = None
        self._request = request
        self._sockets: list[socket.socket] = []

    def new_loop(self) -> asyncio.AbstractEventLoop:
        """Makes the event loop that looks through this selector."""
        return asyncio.SelectorEventLoop(self)

    def select(self, timeout=None):
        """See selectors.BaseSelector."""
        events = super().select(timeout)
        self._connect()
        return events

    @contextlib.contextmanager
    def after_accepts(self) -> Iterator[None]:
        """Lets a caller connect and send after each accept that finds none."""
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
        if self.place is None or len(self._sockets) >= _MOST:
            return
        try:
            caller = socket.create_connection(self.place)
        except ConnectionRefusedError:
            self.place = None
            return
        caller.sendall(self._request)
        self._sockets.append(caller)

    def outcomes(self) -> list[str]:
        """What each caller got: a status, or how its request was lost."""
        return [_outcome(caller) for caller in self._sockets]


def _outcome(caller: socket.socket) -> str:
    caller.settimeout(_ANSWER_TIMEOUT_S)
    answer = b""
    with contextlib.closing(caller):
        try:
            while piece := caller.recv(65536):
                answer += piece
        except OSError as error:
            return type(error).__name__
    return answer.split()[1].decode() if answer else "no byte"
