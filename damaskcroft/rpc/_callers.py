"""What a server knows of the caller of a request."""

import abc

from starlette.requests import Request

__all__ = ["ARRIVED_AFTER_S", "Caller", "HttpCaller"]

# Key of the earliest time of arrival in the state of an HTTP request's scope.
ARRIVED_AFTER_S = "arrived_after_s"


class Caller(abc.ABC):
    """The caller of a request that is being processed."""

    @property
    @abc.abstractmethod
    def arrived_after_s(self) -> float:
        """Earliest loop time at which the request can have arrived."""

    @abc.abstractmethod
    async def has_left(self) -> bool:
        """Whether the caller is known to have closed its connection."""


class HttpCaller(Caller):
    """The caller of an HTTP request, by its connection.

    Args:
        request: request whose body was read; before that, the end of its
            connection can't be told from its body.
    """

    __slots__ = ("_request",)

    def __init__(self, request: Request):
        """Keeps the request."""
        self._request = request

    @property
    def arrived_after_s(self) -> float:
        """Earliest loop time at which the request can have arrived."""
        return getattr(self._request.state, ARRIVED_AFTER_S)

    async def has_left(self) -> bool:
        """Whether the end of the connection was read."""
        return await self._request.is_disconnected()
