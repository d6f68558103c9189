"""Pool of persistent connections to targets.

A connection is reused only if its last answer was complete and nothing was
received since.
"""

import asyncio
import dataclasses

from damaskcroft.http1._channel import connect
from damaskcroft.http1._client import TargetConnection

__all__ = ["ConnectionPool", "Place"]

# For targets that announce no keep-alive time.
_DEFAULT_KEEP_ALIVE_S = 4.0
# A connection is no longer used this long before its target would close it, so
# that no request crosses the close. Covers a round trip and a late wake-up.
_KEEP_ALIVE_MARGIN_S = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """The target that a connection is opened for.

    Attributes:
        id: identifies one start of the target.
        address: address on which the target listens.
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
        """Takes a usable idle connection from the pool, or returns None."""
        connections = self._idle_by_place.get(place, [])
        now = asyncio.get_running_loop().time()
        while connections:
            connection = connections.pop()
            if connection.has_no_unread_input and not _is_expiring(
                connection, now
            ):
                return connection
            connection.close()
        return None

    async def opened(self, place: Place, timeout_s: float) -> TargetConnection:
        """Opens a new connection.

        Raises:
            OSError: no connection was established in time; nothing was sent.
        """
        channel = await connect(place.address, timeout_s)
        return TargetConnection(channel, place.address, place.id)

    def give_back(self, place: Place, connection: TargetConnection) -> None:
        """Returns a connection to the pool, or closes it if not reusable."""
        if not connection.is_reusable:
            connection.close()
            return
        self.keep(place, connection)

    def keep(self, place: Place, connection: TargetConnection) -> None:
        """Adds an idle connection, which may have carried no request yet."""
        connection.idle_since = asyncio.get_running_loop().time()
        self._idle_by_place.setdefault(place, []).append(connection)

    def drop(self, target_id: str) -> None:
        """Closes the idle connections to one start of a target."""
        for place in list(self._idle_by_place):
            if place.id == target_id:
                for connection in self._idle_by_place.pop(place):
                    connection.close()

    def close_expired(self) -> None:
        """Closes connections that their targets are about to close."""
        now = asyncio.get_running_loop().time()
        for place, connections in list(self._idle_by_place.items()):
            usable = []
            for connection in connections:
                if connection.has_no_unread_input and not _is_expiring(
                    connection, now
                ):
                    usable.append(connection)
                else:
                    connection.close()
            if usable:
                self._idle_by_place[place] = usable
            else:
                del self._idle_by_place[place]

    def close(self) -> None:
        """Closes every idle connection."""
        for connections in self._idle_by_place.values():
            for connection in connections:
                connection.close()
        self._idle_by_place.clear()


def _is_expiring(connection: TargetConnection, now: float) -> bool:
    keep_alive_s = connection.keep_alive_s or _DEFAULT_KEEP_ALIVE_S
    return now - connection.idle_since > keep_alive_s - _KEEP_ALIVE_MARGIN_S
