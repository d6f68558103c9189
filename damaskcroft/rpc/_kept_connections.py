"""uvicorn's connections, ended so that no caller is left without a word.

The library closes outright: a connection that has been idle for too long, all
idle ones when the server ends, and any after an answer that is its last. What
a caller had sent meanwhile would be reset, or never answered, and the caller
could not tell whether it had run. `http1._closing` says how a connection is
ended instead; these classes do so below uvicorn.
"""

import asyncio
import contextlib
from typing import Any

import h11
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from damaskcroft.http1 import Lingering, closing_answer
from damaskcroft.observe import metrics

__all__ = ["KeptConnection"]

_JSON = b"application/json"


class _LingeringTransport(asyncio.Transport):
    """A transport whose close ends only our own direction at first.

    Bytes that come later are read and dropped, so that the kernel has no
    reason to reset the connection before the caller has read its answer.
    """

    def __init__(self, transport: asyncio.Transport, lingering: Lingering):
        super().__init__()
        self._transport = transport
        self._lingering = lingering
        self._ending = False

    def close(self) -> None:
        """Half-closes; closes when the caller has, or after a while."""
        if self.is_closing():
            return
        self._ending = True
        self._lingering.begin(self, self._transport.close)
        self._transport.resume_reading()
        with contextlib.suppress(OSError):
            # Reset by the caller meanwhile; the loop will tell so.
            self._transport.write_eof()

    def lost(self) -> None:
        """Takes note that the connection is gone."""
        self._lingering.done(self)

    def is_closing(self) -> bool:
        return self._ending or self._transport.is_closing()

    def abort(self) -> None:
        self._transport.abort()

    def write(self, data: Any) -> None:
        if not self._ending:
            self._transport.write(data)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self._transport.get_extra_info(name, default)

    def pause_reading(self) -> None:
        if not self._ending:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        self._transport.resume_reading()


class KeptConnection(HttpToolsProtocol):
    """One caller's connection.

    Attributes:
        closing_body: JSON of the answer that ends an idle connection.
        lingering: shared by all connections of a server.
    """

    closing_body = b""
    lingering: Lingering

    def __init__(self, *args: Any, **options: Any):
        """See the library's class."""
        super().__init__(*args, **options)
        self._end_announced = False
        self._ends_after_answer = False

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """See asyncio.Protocol."""
        self._lingering_transport = _LingeringTransport(
            transport, self.lingering
        )
        super().connection_made(self._lingering_transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """See asyncio.Protocol."""
        self._lingering_transport.lost()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """See asyncio.Protocol."""
        if not self.transport.is_closing():
            super().data_received(data)
        elif self._end_announced:
            self._end_announced = False
            metrics.IDLE_CONNECTIONS_CLOSED.labels("crossed").inc()

    def shutdown(self) -> None:
        """Ends the connection once its answer, if any, has been given."""
        if self._has_promised_to_keep():
            self._ends_after_answer = True
            return
        self._announce_end_if_idle()
        super().shutdown()

    def on_response_complete(self) -> None:
        """Goes on to the next request, or ends the connection."""
        super().on_response_complete()
        if self._ends_after_answer:
            self._announce_end_if_idle()
            self.transport.close()

    def timeout_keep_alive_handler(self) -> None:
        """Ends the connection, since nobody has used it for long."""
        self._announce_end_if_idle()
        super().timeout_keep_alive_handler()

    def _announce_end_if_idle(self) -> None:
        if self._is_busy() or self.transport.is_closing():
            return
        kind = _JSON if self.closing_body else b""
        idle = h11.Connection(h11.SERVER)
        promise = closing_answer(idle, self.closing_body, kind)
        self._end_announced = True
        self.transport.write(promise)
        metrics.IDLE_CONNECTIONS_CLOSED.labels("idle").inc()

    def _has_promised_to_keep(self) -> bool:
        """Whether an answer is under way whose head names no end."""
        cycle = self.cycle
        if cycle is None or cycle.response_complete:
            return False
        return cycle.response_started and cycle.keep_alive

    def _is_busy(self) -> bool:
        """Whether a request is being read or answered.

        An answer may come before its request has ended; then more bytes would
        be taken for a part of it.
        """
        cycle = self.cycle
        if cycle is None:
            return False
        return cycle.more_body or not cycle.response_complete
