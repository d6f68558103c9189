"""Ends listening without losing a connection that was made meanwhile.

Closing a listening socket resets the connections that the kernel holds for it,
and asyncio drops without a word those that it has accepted but not yet handed
to a protocol. Their callers have connected and may have sent a request.
"""

import asyncio
import socket
from collections.abc import Callable

from damaskcroft.observe import log_warning

__all__ = ["stop_listening"]


async def stop_listening(
    server: asyncio.Server, make_protocol: Callable[[], asyncio.Protocol]
) -> int:
    """Closes a server's sockets after everything on them was accepted.

    Args:
        server: listens no longer afterwards.
        make_protocol: of a connection; those made meanwhile get one too.

    Returns:
        How many connections the kernel still held.
    """
    loop = asyncio.get_running_loop()
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
    server.close()
    made = [each for listening in kept for each in _close(listening)]
    for connection in made:
        await loop.connect_accepted_socket(make_protocol, connection)
    return len(made)


def _close(listening: socket.socket) -> list[socket.socket]:
    """Closes a socket; returns the connections that it still held.

    Nothing comes between finding none left and closing, so that as few as
    possible are made meanwhile.
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
