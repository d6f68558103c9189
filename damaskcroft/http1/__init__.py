"""HTTP/1.1 towards callers and targets, over h11 and httptools.

A high-level client or server hides facts that decide what may be repeated:
which kept connection answered, whether any byte was sent or read, whether a
body was whole, when the caller left. So both faces drive parsers over asyncio
(RFC 9110, RFC 9112).
"""

from damaskcroft.http1._channel import Channel, ChannelLostError, connect
from damaskcroft.http1._client import (
    CutShortError,
    NoAnswerError,
    TargetConnection,
)
from damaskcroft.http1._closing import Lingering, closing_answer
from damaskcroft.http1._ending import (
    EndingServer,
    EndTimes,
    drained,
    end_server,
)
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
from damaskcroft.http1._server import CallerConnections, callers_served

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
    "EndTimes",
    "EndingServer",
    "Head",
    "Headers",
    "NoAnswerError",
    "Lingering",
    "Place",
    "TargetConnection",
    "callers_served",
    "connect",
    "closing_answer",
    "drained",
    "end_server",
    "retry_after_s",
    "stop_listening",
]
