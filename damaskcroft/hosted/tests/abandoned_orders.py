"""An operator's order at a node that does not answer in time."""

import asyncio
import dataclasses
import enum
import json
import re
import socket
import struct

__all__ = [
    "OPERATOR_TIMEOUT_S",
    "ConnectionEnd",
    "OrderAnswer",
    "abandon_order",
]

# An operator without an answer for this long asks another node.
OPERATOR_TIMEOUT_S = 1.0
_NO_LINGERING = struct.pack("ii", 1, 0)


class ConnectionEnd(enum.Enum):
    """How an operator ends the connection of an abandoned order."""

    CLOSED = "closed"
    RESET = "reset"
    # It is closed only when the node has long read the order.
    LATE = "late"


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAnswer:
    """A node's answer to an order.

    Attributes:
        status: HTTP status.
        revision: log index of the last change of the domain's state; 0 if the
            order was not accepted.
    """

    status: int
    revision: int


async def abandon_order(address, path, end, closed_late_at=0.0):
    """Sends an order and leaves if there is no answer in time.

    Args:
        address: IP address and port of the node.
        path: path of the order.
        end: how the connection ends.
        closed_late_at: loop time at which a late connection is closed.

    Returns:
        The answer that came in time, or None; and the task that closes a late
        connection, or None.
    """
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = f"POST {path} HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n"
    writer.write(head.encode())
    answer, closing = None, None
    try:
        async with asyncio.timeout(OPERATOR_TIMEOUT_S):
            answer = await _read_answer(reader)
    except (asyncio.IncompleteReadError, ConnectionError):
        pass  # The node has ended.
    except TimeoutError:
        if end is ConnectionEnd.RESET:
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGERING
            )
        if end is ConnectionEnd.LATE:
            closing = asyncio.create_task(_close_at(writer, closed_late_at))
    if closing is None:
        writer.close()
    return answer, closing


async def _read_answer(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    size = int(re.search(rb"content-length: (\d+)", head)[1])
    body = json.loads(await reader.readexactly(size))
    return OrderAnswer(int(head.split()[1]), body.get("version", 0))


async def _close_at(writer, closed_at):
    await asyncio.sleep(closed_at - asyncio.get_running_loop().time())
    writer.close()
