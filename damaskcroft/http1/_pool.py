"""Kept connections to targets, reused only while silent and clean."""

import asyncio
import dataclasses

from damaskcroft.http1._channel import connect
from damaskcroft.http1._client import TargetConnection

__all__ = ["ConnectionPool", "Place"]

# A target that says nothing of how long it keeps idle connections.
_KEPT_S = 4.0
# A connection is no longer used this long before its target would close it,
# so that a request doesn't cross the close: a round trip and a slow wake-up.
_MARGIN_S = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Which target a connection is for.

    Attributes:
        id: one start of the target.
        address: where it listens.
    """

    id: str
    address: str


class ConnectionPool:
    """Idle connections by target."""

    __slots__ = ("_idle_by_place",)

    def __init__(self) -> None:
        """Creates an empty pool."""
        self._idle_by_place: dict[Place, list[TargetConnection]] = {}

    def idle(self, place: Place) -> TargetConnection | None:
        """A kept connection that looks usable, or None."""
        kept = self._idle_by_place.get(place, [])
        now = asyncio.get_running_loop().time()
        while kept:
            connection = kept.pop()
            if connection.is_silent and not _is_old(connection, now):
                return connection
            connection.close()
        return None

    async def opened(self, place: Place, timeout_s: float) -> TargetConnection:
        """A new connection.

        Raises:
            OSError: none could be opened in time; nothing was sent.
        """
        channel = await connect(place.address, timeout_s)
        return TargetConnection(channel, place.address, place.id)

    def give_back(self, place: Place, connection: TargetConnection) -> None:
        """Keeps a connection for the next request, or closes it."""
        if not connection.is_reusable:
            connection.close()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        self._idle_by_place.setdefault(place, []).append(connection)

    def drop(self, target_id: str) -> None:
        """Closes the idle connections to one start of a target."""
        for place in list(self._idle_by_place):
            if place.id == target_id:
                for connection in self._idle_by_place.pop(place):
                    connection.close()

    def close_old(self) -> None:
        """Closes connections that their targets are about to close."""
        now = asyncio.get_running_loop().time()
        for place, kept in list(self._idle_by_place.items()):
            usable = []
            for connection in kept:
                if connection.is_silent and not _is_old(connection, now):
                    usable.append(connection)
                else:
                    connection.close()
            if usable:
                self._idle_by_place[place] = usable
            else:
                del self._idle_by_place[place]

    def close(self) -> None:
        """Closes every idle connection."""
        for kept in self._idle_by_place.values():
            for connection in kept:
                connection.close()
        self._idle_by_place.clear()


def _is_old(connection: TargetConnection, now: float) -> bool:
    kept_s = connection.kept_s or _KEPT_S
    return now - connection.idle_since > kept_s - _MARGIN_S
