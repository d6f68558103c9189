"""Readiness endpoint that the platform's load balancer polls on entries."""

import email.utils
from collections.abc import Callable

from damaskcroft.http1 import (
    Answer,
    CallerHandler,
    CallerLimits,
    CallerRequest,
    Headers,
)

__all__ = ["ReadyFace"]

_PATH = b"/api/ready"
_READ_METHODS = (b"GET", b"HEAD")
# Idle time after which a probe's connection is closed.
_IDLE_TIMEOUT_S = 5.0


class ReadyFace(CallerHandler):
    """Answers probes: 200 if new connections are accepted, otherwise 503."""

    __slots__ = ("_is_ready", "_limits")

    def __init__(self, is_ready: Callable[[], bool]):
        """Takes a function that tells whether the entry is ready."""
        self._is_ready = is_ready
        self._limits = CallerLimits(idle_timeout_s=_IDLE_TIMEOUT_S)

    async def handle(self, request: CallerRequest, answer: Answer) -> None:
        """Answers one request."""
        date = email.utils.formatdate(usegmt=True).encode()
        await answer.send_whole(self._status(request), [(b"date", date)], b"")

    def limits(self) -> CallerLimits:
        """Returns the limits of probes."""
        return self._limits

    def is_stopping(self) -> bool:
        """Answers carry their notice by `announce_shutdown` alone."""
        return False

    def refused(self, status: int, reason: str) -> Headers:
        """Adds no headers; an invalid probe concerns nobody else."""
        return []

    def _status(self, request: CallerRequest) -> int:
        if request.target.partition(b"?")[0] != _PATH:
            return 404
        if request.method not in _READ_METHODS:
            return 405
        return 200 if self._is_ready() else 503
