"""Ends listening without losing a connection that was made meanwhile.

Closing a listening socket resets the connections that the kernel holds for it,
and asyncio drops without a word those that it has accepted but not yet handed
to a protocol. Their callers have connected and may have sent a request.

So new handshakes are refused first, as at a closed port, while those under way
still end and are accepted. Linux does so for a socket that is bound to another
network interface than the one on which the SYN comes (socket(7),
SO_BINDTODEVICE); it needs no privilege.
"""

import asyncio
import contextlib
import socket
import sys
from collections.abc import Callable, Iterable

from damaskcroft.observe import log_warning

__all__ = ["stop_listening"]

# For handshakes under way to end: some round trips within a region.
_HANDSHAKE_S = 0.05
# Linux 5.1; the socket module has no name for it.
_SO_BINDTOIFINDEX = 62
# The highest interface number; none has it.
_NO_INTERFACE = 2**31 - 1


async def stop_listening(
    server: asyncio.Server, make_protocol: Callable[[], asyncio.Protocol]
) -> int:
    """Closes a server's sockets after everything on them was accepted.

    Connections are refused before the last ones are accepted, so that none is
    made between that and the close.

    Args:
        server: listens no longer afterwards.
        make_protocol: of a connection; those made meanwhile get one too.

    Returns:
        How many connections the kernel still held.
    """
    loop = asyncio.get_running_loop()
    with contextlib.closing(server):
        if _handshakes_refused(server.sockets):
            await asyncio.sleep(_HANDSHAKE_S)
        # Keep the kernel's queues when the server closes its own sockets.
        kept: list[socket.socket] = []
        try:
            kept.extend(listening.dup() for listening in server.sockets)
        except OSError as error:
            # No descriptor is left: what the kernel holds is reset.
            log_warning("listening_not_kept", reason=error)
        for listening in server.sockets:
            loop.remove_reader(listening.fileno())
        # In the next step the server takes in what the loop has accepted.
        await asyncio.sleep(0)
    made = [each for listening in kept for each in _close(listening)]
    for connection in made:
        await loop.connect_accepted_socket(make_protocol, connection)
    return len(made)


def _handshakes_refused(sockets: Iterable[socket.socket]) -> bool:
    """Refuses new handshakes; False if the platform can't on some socket."""
    if sys.platform != "linux":
        log_warning("handshakes_not_refused", reason=sys.platform)
        return False
    try:
        for each in sockets:
            each.setsockopt(socket.SOL_SOCKET, _SO_BINDTOIFINDEX, _NO_INTERFACE)
    except OSError as error:
        log_warning("handshakes_not_refused", reason=error)
        return False
    return True


def _close(listening: socket.socket) -> list[socket.socket]:
    """Closes a socket; returns the connections that it still held.

    Where handshakes could not be refused, a connection made between finding
    none left and closing is reset; nothing comes between the two.
    """
    made = []
    with listening:
        while True:
            try:
                made.append(listening.accept()[0])
            except BlockingIOError:
                break
            except ConnectionAbortedError:
                # The caller has gone already.
                continue
            except OSError as error:
                log_warning("accept_failed", reason=error)
                break
    return made
