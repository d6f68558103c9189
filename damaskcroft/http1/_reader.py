"""Reader of complete requests; refuses malformed and oversized ones."""

import asyncio
import contextlib

import h11

from damaskcroft.http1._channel import Channel, ChannelLostError
from damaskcroft.http1._exchange import (
    Answer,
    CallerHandler,
    CallerLimits,
    CallerRequest,
)
from damaskcroft.http1._idle_limits import IdleLimits

__all__ = ["RequestReader"]

# More headers than any real caller sends; bounds the memory they take.
_MAX_HEADERS = 100


class RequestReader:
    """Reads complete requests from one connection."""

    __slots__ = ("_channel", "_handler", "_idle_limits", "_limits", "_parser")

    def __init__(
        self,
        parser: h11.Connection,
        channel: Channel,
        handler: CallerHandler,
        idle_limits: IdleLimits,
    ):
        """Creates a reader that feeds the bytes of `channel` to `parser`.

        Args:
            parser: parser without a size limit of its own, because that limit
                could not change.
            channel: the connection.
            handler: provides the limits.
            idle_limits: idle timeouts, shared by all connections of a server.
        """
        self._parser = parser
        self._channel = channel
        self._handler = handler
        self._idle_limits = idle_limits
        # The limits in force at a request's first byte apply to all of it.
        self._limits = handler.limits()

    async def wait_for_first_byte(self) -> bool:
        """Waits for a request; returns False if the connection should close."""
        if self._parser.trailing_data[0]:
            self._limits = self._handler.limits()
            return True
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        while not self._channel.is_readable:
            ends_at = began_at + self._idle_limits.longest_timeout_s(began_at)
            if loop.time() >= ends_at:
                return False
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(ends_at):
                    await self._channel.readable()
        data = await self._channel.read()
        if not data:
            return False
        self._limits = self._handler.limits()
        self._parser.receive_data(data)
        return True

    async def read_request(self, answer: Answer) -> CallerRequest | None:
        """Reads a complete request, or refuses an invalid one.

        Returns:
            None if the connection should close; a refusal was sent unless the
            caller had closed it.
        """
        limits = self._limits
        try:
            async with asyncio.timeout(limits.head_timeout_s):
                head = await self._next_event()
            if not isinstance(head, h11.Request):
                return None
            fault = _find_head_fault(head, limits)
            if fault:
                await self._refuse(answer, *fault)
                return None
            body = await self._read_body()
        except TimeoutError:
            await self._refuse(answer, 408, "slow_request")
            return None
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            await self._refuse(answer, status, "malformed_request")
            return None
        if body is None:
            await self._refuse(answer, 413, "body_too_long")
            return None
        return CallerRequest(
            bytes(head.method),
            bytes(head.target),
            list(head.headers),
            body,
            asyncio.get_running_loop().time(),
        )

    async def _read_body(self) -> bytes | None:
        limits = self._limits
        body = bytearray()
        while True:
            if self._parser.they_are_waiting_for_100_continue:
                continue_answer = h11.InformationalResponse(
                    status_code=100, headers=[]
                )
                self._channel.write(self._parser.send(continue_answer) or b"")
            async with asyncio.timeout(limits.head_timeout_s):
                event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if not isinstance(event, h11.Data):
                raise ChannelLostError("connection closed within a request")
            body += event.data
            if len(body) > limits.body_bytes:
                return None

    async def _next_event(self):
        while True:
            event = self._parser.next_event()
            if event is not h11.NEED_DATA:
                return event
            if len(self._parser.trailing_data[0]) > self._limits.head_bytes:
                raise h11.RemoteProtocolError("head too long", 431)
            data = await self._channel.read()
            if not data and self._channel.lost:
                raise ChannelLostError("connection closed within a request")
            self._parser.receive_data(data)

    async def _refuse(self, answer: Answer, status: int, reason: str) -> None:
        headers = self._handler.refused(status, reason)
        if self._parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [*headers, (b"connection", b"close")]
        await answer.send_whole(status, headers, b"")


def _find_head_fault(
    head: h11.Request, limits: CallerLimits
) -> tuple[int, str] | None:
    # Heads received in several reads are also checked as their bytes arrive.
    size = sum(len(name) + len(value) for name, value in head.headers)
    if len(head.target) + size > limits.head_bytes:
        return 431, "head_too_long"
    if len(head.headers) > _MAX_HEADERS:
        return 431, "too_many_headers"
    names = [name for name, _ in head.headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        # Two framings allow request smuggling (RFC 9112, 6.1).
        return 400, "two_framings"
    if not head.target.startswith(b"/") and head.target != b"*":
        return 400, "bad_target"
    if head.method == b"CONNECT":
        # Its target is an authority (RFC 9110, 9.3.6), and after a successful
        # answer the parser treats the following bytes as a tunnel.
        return 400, "bad_target"
    return None
