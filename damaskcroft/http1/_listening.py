"""Closing of listening sockets without losing established connections.

Closing a listening socket resets the connections in its kernel queue, and
asyncio silently drops those that it has accepted but not yet passed to a
protocol. Their callers are connected and may have sent a request.

Therefore new handshakes are refused first, as at a closed port, while those in
progress complete and are accepted. Linux refuses handshakes on a socket bound
to another network interface than the one that receives the SYN (socket(7),
SO_BINDTODEVICE); this needs no privilege.
"""

import asyncio
import contextlib
import socket
import sys
from collections.abc import Callable, Iterable

from damaskcroft.observe import log_warning

__all__ = ["stop_listening"]

# For handshakes in progress to complete: some round trips within a region.
_HANDSHAKE_WAIT_S = 0.05
# Linux 5.1; the socket module has no name for it.
_SO_BINDTOIFINDEX = 62
# The highest interface index; no interface has it.
_NO_INTERFACE = 2**31 - 1


async def stop_listening(
    server: asyncio.Server, make_protocol: Callable[[], asyncio.Protocol]
) -> int:
    """Closes a server's sockets after accepting all queued connections.

    New connections are refused before the last queued ones are accepted, so
    that none is established between the last accept and the close.

    Args:
        server: server to stop; its sockets are closed afterwards.
        make_protocol: creates the protocol of a connection, also for those
            still in the queue.

    Returns:
        The number of connections that were in the kernel's queue.
    """
    loop = asyncio.get_running_loop()
    with contextlib.closing(server):
        if _refuse_handshakes(server.sockets):
            await asyncio.sleep(_HANDSHAKE_WAIT_S)
        # The duplicates keep the kernel's queues when the server closes its own
        # sockets.
        duplicates: list[socket.socket] = []
        try:
            duplicates.extend(listening.dup() for listening in server.sockets)
        except OSError as error:
            # Out of file descriptors: queued connections are reset.
            log_warning("listening_not_kept", reason=error)
        for listening in server.sockets:
            loop.remove_reader(listening.fileno())
        # In its next iteration the loop passes accepted connections to their
        # protocols.
        await asyncio.sleep(0)
    accepted = [each for listening in duplicates for each in _close(listening)]
    for connection in accepted:
        await loop.connect_accepted_socket(make_protocol, connection)
    return len(accepted)


def _refuse_handshakes(sockets: Iterable[socket.socket]) -> bool:
    """Refuses new handshakes; returns False if the platform cannot do so."""
    if sys.platform != "linux":
        log_warning("handshakes_not_refused", reason=sys.platform)
        return False
    try:
        for listening in sockets:
            listening.setsockopt(
                socket.SOL_SOCKET, _SO_BINDTOIFINDEX, _NO_INTERFACE
            )
    except OSError as error:
        log_warning("handshakes_not_refused", reason=error)
        return False
    return True


def _close(listening: socket.socket) -> list[socket.socket]:
    """Closes a socket; returns the connections that were in its queue.

    If handshakes could not be refused, a connection established between the
    last accept and the close is reset; no other code runs between the two.
    """
    accepted = []
    with listening:
        while True:
            try:
                accepted.append(listening.accept()[0])
            except BlockingIOError:
                break
            except ConnectionAbortedError:
                # The caller has already disconnected.
                continue
            except OSError as error:
                log_warning("accept_failed", reason=error)
                break
    return accepted
