"""HTTP/1.1 server for callers and client for targets, over h11 and httptools.

A high-level client or server hides facts that decide whether a request may be
repeated: which persistent connection answered, whether any byte was sent or
read, whether a body was complete, when the caller disconnected. Therefore both
the server and the client drive parsers over asyncio (RFC 9110, RFC 9112).
"""

import typing

from damaskcroft._lazy_imports import lazy_imports

if typing.TYPE_CHECKING:
    from damaskcroft.http1._channel import Channel, ChannelLostError, connect
    from damaskcroft.http1._client import (
        CutShortError,
        NoAnswerError,
        TargetConnection,
    )
    from damaskcroft.http1._closing import Lingering, closing_answer
    from damaskcroft.http1._endpoint import Endpoint
    from damaskcroft.http1._exchange import (
        Answer,
        CallerHandler,
        CallerLimits,
        CallerRequest,
    )
    from damaskcroft.http1._head import Head, Headers
    from damaskcroft.http1._listening import stop_listening
    from damaskcroft.http1._pool import ConnectionPool, Place
    from damaskcroft.http1._retry_after import retry_after_s
    from damaskcroft.http1._server import CallerConnections, serve_callers
    from damaskcroft.http1._shutdown import (
        GracefulServer,
        ShutdownTimes,
        drained,
        remaining_times,
        shut_down_server,
    )

__all__ = [
    "Answer",
    "CallerConnections",
    "CallerHandler",
    "CallerLimits",
    "CallerRequest",
    "Channel",
    "ChannelLostError",
    "ConnectionPool",
    "CutShortError",
    "Endpoint",
    "GracefulServer",
    "Head",
    "Headers",
    "Lingering",
    "NoAnswerError",
    "Place",
    "ShutdownTimes",
    "TargetConnection",
    "closing_answer",
    "connect",
    "drained",
    "remaining_times",
    "retry_after_s",
    "serve_callers",
    "shut_down_server",
    "stop_listening",
]

__getattr__ = lazy_imports(
    __name__,
    {
        "Answer": "_exchange",
        "CallerConnections": "_server",
        "CallerHandler": "_exchange",
        "CallerLimits": "_exchange",
        "CallerRequest": "_exchange",
        "Channel": "_channel",
        "ChannelLostError": "_channel",
        "ConnectionPool": "_pool",
        "CutShortError": "_client",
        "Endpoint": "_endpoint",
        "GracefulServer": "_shutdown",
        "Head": "_head",
        "Headers": "_head",
        "Lingering": "_closing",
        "NoAnswerError": "_client",
        "Place": "_pool",
        "ShutdownTimes": "_shutdown",
        "TargetConnection": "_client",
        "closing_answer": "_closing",
        "connect": "_channel",
        "drained": "_shutdown",
        "remaining_times": "_shutdown",
        "retry_after_s": "_retry_after",
        "serve_callers": "_server",
        "shut_down_server": "_shutdown",
        "stop_listening": "_listening",
    },
)
