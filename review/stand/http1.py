"""Minimal HTTP/1.1 client and message reader over asyncio streams."""

import asyncio
import contextlib
import dataclasses

__all__ = ["Message", "read_message", "request", "send"]


@dataclasses.dataclass
class Message:
    """One request or response.

    Attributes:
        start: the start line.
        headers: values by header name in lower case.
        body: the decoded body.
        complete: whether the whole body was received.
    """

    start: str
    headers: dict[str, str]
    body: bytes = b""
    complete: bool = False

    @property
    def status(self) -> int:
        """Status code of a response."""
        return int(self.start.split(" ", 2)[1])


async def read_message(
    reader: asyncio.StreamReader, *, is_response: bool = False
) -> Message | None:
    """Reads one message; None if the connection ended before its head."""
    while True:
        try:
            raw = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        lines = raw.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            if name:
                headers[name.strip().lower()] = value.strip()
        message = Message(lines[0], headers)
        if not (is_response and 100 <= message.status < 200):
            break
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        await _read_body(reader, message, is_response)
        message.complete = True
    return message


async def _read_body(
    reader: asyncio.StreamReader, message: Message, is_response: bool
) -> None:
    if "chunked" in message.headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            message.body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                return
    if "content-length" in message.headers:
        size = int(message.headers["content-length"])
        message.body = await reader.readexactly(size)
        return
    if is_response:
        message.body = await reader.read()


def send(
    writer: asyncio.StreamWriter,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
) -> None:
    """Writes one request."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    writer.write("\r\n".join(lines).encode() + body)


async def request(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    timeout_s: float = 1.0,
    **headers: str,
) -> Message | None:
    """Sends one request on a new connection.

    Args:
        address: IP address and port.
        method: for example GET.
        path: path and query.
        body: the body.
        timeout_s: longest wait; the connection is closed afterwards.
        **headers: headers, with underscores instead of hyphens.

    Returns:
        The response, or None if there was none in time.
    """
    host, _, port = address.rpartition(":")
    fields = {"Host": address}
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            send(writer, method, path, fields, body)
            return await read_message(reader, is_response=True)
    except (TimeoutError, OSError):
        return None
    finally:
        if writer is not None:
            writer.close()
