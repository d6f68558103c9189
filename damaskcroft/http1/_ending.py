"""One way to end a server, whichever HTTP library is below it.

A caller that has read an answer without `Connection: close` may send its next
request at once, and many client libraries drop whatever comes behind an
answer. So an end is told before it comes:

1. Notice: each answer is its connection's last and says so. Connections are
   still accepted.
2. No more connections are accepted. One that has waited for a request for a
   while is ended by a 408 (see `_closing`); what is under way is answered.
3. Ended connections are read until their callers close them.

Each step has a bound, and ends sooner once no connection is open.
"""

import abc
import asyncio
import dataclasses

from damaskcroft.observe import log_event

__all__ = [
    "AT_ONCE",
    "QUIET_S",
    "EndTimes",
    "EndingServer",
    "drained",
    "end_server",
]

_POLL_S = 0.02
# Between an answer that kept its connection and the 408 that ends it, so that
# nobody reads both at once.
QUIET_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class EndTimes:
    """How long each step may last.

    Attributes:
        notice_s: of the first step, from the notice on.
        listen_s: until connections are no longer accepted, from the notice on.
        told_s: until callers that have all been told should have closed their
            connections, from the call on.
        within_s: until what is still under way is cut, from the call on.
    """

    notice_s: float
    listen_s: float
    told_s: float
    within_s: float


AT_ONCE = EndTimes(0.0, 0.0, 0.0, 0.0)


class EndingServer(abc.ABC):
    """A server as its end sees it.

    Attributes:
        address: where it listens.
        noticed_at: loop time of the notice; None before it.
        queued: connections that the kernel still held when it stopped
            listening; they are served.
    """

    address = ""
    noticed_at: float | None = None
    queued = 0

    def give_notice(self) -> None:
        """Makes each answer from now on its connection's last."""
        if self.noticed_at is None:
            self.noticed_at = asyncio.get_running_loop().time()

    @property
    @abc.abstractmethod
    def is_used(self) -> bool:
        """Whether a connection is open, or a request is worked on."""

    @property
    @abc.abstractmethod
    def open_count(self) -> int:
        """How many connections are open."""

    @property
    @abc.abstractmethod
    def answering(self) -> int:
        """How many requests are being answered."""

    @property
    @abc.abstractmethod
    def are_all_told(self) -> bool:
        """Whether each open connection only waits for its caller's end."""

    @abc.abstractmethod
    async def stop_listening(self) -> None:
        """Accepts no more; may be called again."""

    @abc.abstractmethod
    def close_idle(self, quiet_s: float = 0.0) -> None:
        """Ends connections that have waited for a request for so long."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Cuts what is left, in bounded time."""


async def drained(server: EndingServer, times: EndTimes) -> None:
    """Takes a server through its end, up to what must be cut."""
    await _drained_since(asyncio.get_running_loop().time(), server, times)


async def end_server(server: EndingServer, times: EndTimes) -> None:
    """Ends a server; logs what it left."""
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    await _drained_since(began_at, server, times)
    await server.stop_listening()
    # Once more, for connections that the kernel still held.
    await _drained_since(began_at, server, times)
    cut, left_open = server.answering, server.open_count
    await server.close()
    log_event(
        "server_ended",
        address=server.address,
        took_s=loop.time() - began_at,
        queued=server.queued,
        cut=cut,
    )
    if left_open:
        log_event(
            "connections_left_open", address=server.address, count=left_open
        )


async def _drained_since(
    began_at: float, server: EndingServer, times: EndTimes
) -> None:
    loop = asyncio.get_running_loop()
    server.give_notice()
    noticed_at = server.noticed_at or began_at
    while server.is_used and loop.time() - began_at < times.within_s:
        noticed_s = loop.time() - noticed_at
        if noticed_s >= times.listen_s:
            await server.stop_listening()
        if noticed_s >= times.notice_s:
            server.close_idle(QUIET_S)
        told_over = loop.time() - began_at >= times.told_s
        if told_over and server.are_all_told:
            return
        await asyncio.sleep(_POLL_S)
