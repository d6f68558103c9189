"""uvicorn's connections, ended so that no caller is left without a word.

The library closes outright: a connection that has been idle for too long, all
idle ones when the server ends, and any after an answer that is its last. What
a caller had sent meanwhile would be reset, or never answered, and the caller
could not tell whether it had run. `http1._closing` says how a connection is
ended instead; these classes do so below uvicorn.
"""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

import h11
from starlette.applications import Starlette
from starlette.routing import Match
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol
from uvicorn.server import ServerState

from damaskcroft.http1 import Lingering, closing_answer
from damaskcroft.observe import log_event, metrics

__all__ = ["Face", "KeptConnection"]

_JSON = b"application/json"


class _LingeringTransport(asyncio.Transport):
    """A transport whose close ends only our own direction at first.

    Bytes that come later are read and dropped, so that the kernel has no
    reason to reset the connection before the caller has read its answer.

    Attributes:
        ended: whether our own direction was ended.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        lingering: Lingering,
        on_close: Callable[[], None],
    ):
        super().__init__()
        self._transport = transport
        self._lingering = lingering
        self._on_close = on_close
        self.ended = False

    def close(self) -> None:
        """Half-closes; closes when the caller has, or after a while."""
        if self.is_closing():
            return
        self._on_close()
        self.ended = True
        self._lingering.begin(self, self._transport.close)
        self._transport.resume_reading()
        with contextlib.suppress(OSError):
            # Reset by the caller meanwhile; the loop will tell so.
            self._transport.write_eof()

    def lost(self) -> None:
        """Takes note that the connection is gone."""
        self._lingering.done(self)

    def is_closing(self) -> bool:
        return self.ended or self._transport.is_closing()

    def abort(self) -> None:
        self._transport.abort()

    def write(self, data: Any) -> None:
        if not self.ended:
            self._transport.write(data)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self._transport.get_extra_info(name, default)

    def pause_reading(self) -> None:
        if not self.ended:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        self._transport.resume_reading()


class Face:
    """What all connections of one server share.

    Attributes:
        closing_body: JSON of the answer that ends an idle connection.
        lingering: connections that wait for their callers' end.
        is_ending: whether each answer is its connection's last.
    """

    __slots__ = ("_app", "closing_body", "is_ending", "lingering")

    def __init__(self, app: Starlette, closing_body: bytes):
        """Serves `app`."""
        self._app = app
        self.closing_body = closing_body
        self.lingering = Lingering()
        self.is_ending = False

    def path_template(self, scope: Any) -> str:
        """The route that a request was for, or empty."""
        for route in self._app.routes:
            if route.matches(scope)[0] is Match.FULL:
                return getattr(route, "path", "")
        return ""


class KeptConnection(HttpToolsProtocol):
    """One caller's connection.

    Attributes:
        idle_since: loop time of its last whole answer, or of its begin.
    """

    def __init__(self, face: Face, config: Any, server_state: ServerState):
        """See the library's class."""
        super().__init__(config, server_state, {})
        self._face = face
        self._end_announced = False
        self._is_cut = False
        self._read_at = 0.0
        self.idle_since = self.loop.time()

    # --- Called by asyncio and the parser ------------------------------------

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """See asyncio.Protocol."""
        self._lingering_transport = _LingeringTransport(
            transport, self._face.lingering, self._note_our_end
        )
        super().connection_made(self._lingering_transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """See asyncio.Protocol."""
        if not self._lingering_transport.ended and self._is_unanswered():
            self._log_unanswered("caller_left", "caller", "caller_left")
        self._lingering_transport.lost()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """See asyncio.Protocol."""
        if not self.transport.is_closing():
            super().data_received(data)
        elif self._end_announced:
            self._end_announced = False
            metrics.IDLE_CONNECTIONS_CLOSED.labels("crossed").inc()

    def on_headers_complete(self) -> None:
        """Begins to answer a request."""
        super().on_headers_complete()
        if self._face.is_ending:
            self.note_end()

    def on_message_complete(self) -> None:
        """A request has been read whole."""
        super().on_message_complete()
        self._read_at = self.loop.time()

    def on_response_complete(self) -> None:
        """Goes on to the next request, or ends the connection."""
        super().on_response_complete()
        self.idle_since = self.loop.time()

    def timeout_keep_alive_handler(self) -> None:
        """Ends the connection, since nobody has used it for long."""
        self.close_if_idle()

    # --- Used by the server --------------------------------------------------

    def note_end(self) -> None:
        """Makes the answer that comes next the connection's last."""
        cycle = self.cycle
        if cycle is not None and not cycle.response_started:
            cycle.keep_alive = False

    def close_if_idle(self) -> None:
        """Ends a connection that waits for a request, by a 408."""
        if self._is_busy() or self.transport.is_closing():
            return
        self._announce_end()
        self.transport.close()

    def cut(self) -> None:
        """The server waits no longer; what has not come whole is told so."""
        self._is_cut = True
        cycle = self.cycle
        if self.transport.is_closing() or cycle is None:
            return
        if cycle.more_body and not cycle.response_started:
            self._announce_end()
            self.transport.close()

    # --- What it is about ----------------------------------------------------

    def _announce_end(self) -> None:
        body = self._face.closing_body
        idle = h11.Connection(h11.SERVER)
        self._end_announced = True
        self.transport.write(closing_answer(idle, body, _JSON if body else b""))
        metrics.IDLE_CONNECTIONS_CLOSED.labels("idle").inc()

    def _is_busy(self) -> bool:
        """Whether a request is being read or answered.

        An answer may come before its request has ended; then more bytes would
        be taken for a part of it.
        """
        cycle = self.cycle
        if cycle is None:
            return False
        return cycle.more_body or not cycle.response_complete

    def _is_unanswered(self) -> bool:
        """Whether a request was read whole, and its answer isn't whole."""
        cycle = self.cycle
        if cycle is None:
            return False
        return not cycle.more_body and not cycle.response_complete

    def _note_our_end(self) -> None:
        if not self._is_unanswered():
            return
        reason = "server_ended" if self._is_cut else "fault"
        self._log_unanswered("answer_broken_off", "server", reason)

    def _log_unanswered(self, event: str, ended_by: str, reason: str) -> None:
        metrics.UNANSWERED.labels(ended_by, reason).inc()
        scope = self.cycle.scope
        log_event(
            event,
            ended_by=ended_by,
            reason=reason,
            after_s=self.loop.time() - self._read_at,
            method=scope["method"],
            path=self._face.path_template(scope),
            begun=self.cycle.response_started,
            state="stopping" if self._face.is_ending else "serving",
        )
