"""uvicorn connections that answer requests crossing their close.

uvicorn closes outright: a connection whose idle timeout has expired, all idle
ones at the shutdown of the server, and any after its last answer. A request
sent meanwhile would be reset or never answered, and the caller could not tell
whether it had run. `http1._closing` describes how a connection is closed
instead; the classes of this module do so below uvicorn.
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

from damaskcroft.clock import arrived_after_s
from damaskcroft.http1 import Lingering, closing_answer
from damaskcroft.observe import log_event, metrics
from damaskcroft.rpc._callers import ARRIVED_AFTER_S

__all__ = ["KeepAliveConnection", "SharedState"]

_JSON = b"application/json"


class _LingeringTransport(asyncio.Transport):
    """A transport whose close first closes only our own direction.

    Bytes received later are read and discarded, so that the kernel does not
    reset the connection before the caller has read its answer.

    Attributes:
        is_half_closed: whether our own direction was closed.
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
        self.is_half_closed = False

    def close(self) -> None:
        """Half-closes; closes when the caller has closed or lingering ends."""
        if self.is_closing():
            return
        self._on_close()
        self.is_half_closed = True
        self._lingering.begin(self, self._transport.close)
        self._transport.resume_reading()
        with contextlib.suppress(OSError):
            # The caller has reset the connection; connection_lost follows.
            self._transport.write_eof()

    def on_lost(self) -> None:
        """Stops lingering, because the connection is lost."""
        self._lingering.done(self)

    def is_closing(self) -> bool:
        return self.is_half_closed or self._transport.is_closing()

    def abort(self) -> None:
        self._transport.abort()

    def write(self, data: Any) -> None:
        if not self.is_half_closed:
            self._transport.write(data)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self._transport.get_extra_info(name, default)

    def pause_reading(self) -> None:
        if not self.is_half_closed:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        self._transport.resume_reading()


class SharedState:
    """State shared by all connections of one server.

    Attributes:
        closing_body: JSON body of the 408 that closes an idle connection.
        lingering: half-closed connections whose callers have not closed yet.
        is_ending: whether each answer is the last one of its connection.
    """

    __slots__ = ("_app", "closing_body", "is_ending", "lingering")

    def __init__(self, app: Starlette, closing_body: bytes):
        """Creates the state of a server of `app` without connections."""
        self._app = app
        self.closing_body = closing_body
        self.lingering = Lingering()
        self.is_ending = False

    def path_template(self, scope: Any) -> str:
        """Returns the path template of a request's route, or "" without one."""
        for route in self._app.routes:
            if route.matches(scope)[0] is Match.FULL:
                return getattr(route, "path", "")
        return ""


class KeepAliveConnection(HttpToolsProtocol):
    """One caller's persistent connection.

    Attributes:
        idle_since: loop time of its last complete answer, or of its start.
    """

    def __init__(
        self, shared: SharedState, config: Any, server_state: ServerState
    ):
        """Creates the protocol of a connection; uvicorn passes the last two."""
        super().__init__(config, server_state, {})
        self._shared = shared
        self._is_closing_answer_sent = False
        self._is_shutdown_forced = False
        self._request_read_at = 0.0
        self.idle_since = self.loop.time()

    # --- Called by asyncio and the parser ------------------------------------

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Wraps the transport into one that lingers when it is closed."""
        self._lingering_transport = _LingeringTransport(
            transport, self._shared.lingering, self._log_broken_answer
        )
        super().connection_made(self._lingering_transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Logs an unanswered request if the caller has disconnected."""
        if (
            not self._lingering_transport.is_half_closed
            and self._is_unanswered()
        ):
            self._log_unanswered("caller_left", "caller", "caller_left")
        self._lingering_transport.on_lost()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parses bytes; counts and discards those that cross the close."""
        if not self.transport.is_closing():
            super().data_received(data)
        elif self._is_closing_answer_sent:
            self._is_closing_answer_sent = False
            metrics.IDLE_CONNECTIONS_CLOSED.labels("crossed").inc()

    def on_message_begin(self) -> None:
        """Begins to read a request; records when it can have arrived."""
        super().on_message_begin()
        self.scope["state"][ARRIVED_AFTER_S] = arrived_after_s()

    def on_headers_complete(self) -> None:
        """Begins to answer a request; the last one during a shutdown."""
        super().on_headers_complete()
        if self._shared.is_ending:
            self.mark_answer_as_last()

    def on_message_complete(self) -> None:
        """Records when a request was read completely."""
        super().on_message_complete()
        self._request_read_at = self.loop.time()

    def on_response_complete(self) -> None:
        """Continues with the next request, or closes the connection."""
        super().on_response_complete()
        self.idle_since = self.loop.time()

    def timeout_keep_alive_handler(self) -> None:
        """Closes the connection, because its idle timeout has expired."""
        self.close_if_idle()

    # --- Used by the server --------------------------------------------------

    def mark_answer_as_last(self) -> None:
        """Makes the next answer the last one of the connection."""
        cycle = self.cycle
        if cycle is not None and not cycle.response_started:
            cycle.keep_alive = False

    def close_if_idle(self) -> None:
        """Closes a connection that waits for a request, by a 408."""
        if self._is_busy() or self.transport.is_closing():
            return
        self._send_closing_answer()
        self.transport.close()

    def end_incomplete(self) -> None:
        """Ends the wait of a shutdown; an incomplete request gets a 408."""
        self._is_shutdown_forced = True
        cycle = self.cycle
        if self.transport.is_closing() or cycle is None:
            return
        if cycle.more_body and not cycle.response_started:
            self._send_closing_answer()
            self.transport.close()

    # --- Internal ------------------------------------------------------------

    def _send_closing_answer(self) -> None:
        body = self._shared.closing_body
        idle_parser = h11.Connection(h11.SERVER)
        self._is_closing_answer_sent = True
        self.transport.write(
            closing_answer(idle_parser, body, _JSON if body else b"")
        )
        metrics.IDLE_CONNECTIONS_CLOSED.labels("idle").inc()

    def _is_busy(self) -> bool:
        """Whether a request is being read or answered.

        An answer may be complete before its request is; further bytes of the
        connection would then be read as a part of that answer.
        """
        cycle = self.cycle
        if cycle is None:
            return False
        return cycle.more_body or not cycle.response_complete

    def _is_unanswered(self) -> bool:
        """Whether a request was read and its answer is incomplete."""
        cycle = self.cycle
        if cycle is None:
            return False
        return not cycle.more_body and not cycle.response_complete

    def _log_broken_answer(self) -> None:
        if not self._is_unanswered():
            return
        reason = "server_ended" if self._is_shutdown_forced else "fault"
        self._log_unanswered("answer_broken_off", "server", reason)

    def _log_unanswered(self, event: str, ended_by: str, reason: str) -> None:
        metrics.UNANSWERED.labels(ended_by, reason).inc()
        scope = self.cycle.scope
        log_event(
            event,
            ended_by=ended_by,
            reason=reason,
            after_s=self.loop.time() - self._request_read_at,
            method=scope["method"],
            path=self._shared.path_template(scope),
            begun=self.cycle.response_started,
            state="stopping" if self._shared.is_ending else "serving",
        )
