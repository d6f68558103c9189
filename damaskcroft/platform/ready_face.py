"""Readiness endpoint that the platform's load balancer polls on entries."""

from collections.abc import Callable

from damaskcroft.http1 import Endpoint, Headers

__all__ = ["ReadyFace"]

_PATH = b"/api/ready"


class ReadyFace(Endpoint):
    """Answers probes: 200 if new connections are accepted, otherwise 503."""

    __slots__ = ("_is_ready",)

    def __init__(self, is_ready: Callable[[], bool]):
        """Takes a function that tells whether the entry is ready."""
        super().__init__(_PATH)
        self._is_ready = is_ready

    def read(self) -> tuple[int, Headers, bytes]:
        """Returns the status, without a body."""
        return 200 if self._is_ready() else 503, [], b""
