"""Handler of one resource that a platform reads, such as a health check."""

import abc
import email.utils

from damaskcroft.http1._exchange import (
    Answer,
    CallerHandler,
    CallerLimits,
    CallerRequest,
)
from damaskcroft.http1._head import Headers

__all__ = ["Endpoint"]

_READ_METHODS = (b"GET", b"HEAD")
# Idle time after which a reader's connection is closed.
_IDLE_TIMEOUT_S = 5.0


class Endpoint(CallerHandler):
    """Answers GET and HEAD of one path; 404 and 405 for all else."""

    __slots__ = ("_limits", "_path")

    def __init__(self, path: bytes):
        """Sets the path, which a query may follow."""
        self._path = path
        self._limits = CallerLimits(idle_timeout_s=_IDLE_TIMEOUT_S)

    @abc.abstractmethod
    def read(self) -> tuple[int, Headers, bytes]:
        """Returns status, headers and body of the resource now."""

    async def handle(self, request: CallerRequest, answer: Answer) -> None:
        """Answers one request."""
        status, headers, body = self._answer_to(request)
        date = email.utils.formatdate(usegmt=True).encode()
        await answer.send_whole(status, [(b"date", date), *headers], body)

    def limits(self) -> CallerLimits:
        """Returns the limits of readers."""
        return self._limits

    def is_stopping(self) -> bool:
        """Answers carry their notice by `announce_shutdown` alone."""
        return False

    def refused(self, status: int, reason: str) -> Headers:
        """Adds no headers; an invalid request concerns nobody else."""
        return []

    def _answer_to(self, request: CallerRequest) -> tuple[int, Headers, bytes]:
        if request.target.partition(b"?")[0] != self._path:
            return 404, [], b""
        if request.method not in _READ_METHODS:
            return 405, [], b""
        return self.read()
