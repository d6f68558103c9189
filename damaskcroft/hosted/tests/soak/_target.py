"""A target that journals what it runs, announces itself, leaves or crashes."""

import asyncio
import contextlib
import time

from damaskcroft.hosted.tests.deployment import CONTROL_IPS, TARGET_IP
from damaskcroft.hosted.tests.soak._control_caller import ControlCaller
from damaskcroft.hosted.tests.soak._proxy import Proxy

EVENTS = 12
# A target that begins to run a request with this in its body crashes.
CRASHING = b"crashes whoever runs it"
_EVENT_S = 0.03
_WORK_S = 0.05
_CRASHES_AFTER_S = 0.04
_BACK_AFTER_S = 2.5
_ANNOUNCE_S = 0.4
_DRAIN_S = 2.0


class Target:
    """One address, started again and again.

    Some targets keep their id over a restart and tell when they were born;
    the others have a new id at each start.
    """

    def __init__(self, name, deployment, book, *, keeps_id=False):
        self._keeps_id = keeps_id
        self.name = name
        self.deployment = deployment
        self.book = book
        self.boot = 0
        self.proxy = None
        self._server = None
        self._announcing = None
        self._writers = set()
        self._state = "ready"
        self._sequence = 0
        self._is_up = False
        # A fault may end it while another one starts it again.
        self._changing = asyncio.Lock()
        self._restarting = None
        self._control = [
            ControlCaller(ip, f"{ip}:{deployment.control}", book.control_owed)
            for ip in CONTROL_IPS
        ]
        # Cleared while its answers pause, for one reason or several.
        self._pauses = 0
        self._going_on = asyncio.Event()
        self._going_on.set()
        # How long it asks for rest in refusals; None while it serves.
        self.rest_s = None
        # Whether its answers say that it leaves.
        self.says_leaving = False
        # What its answers name as its limit in requests a second; None for
        # nothing.
        self.limit = None

    @property
    def id(self):
        return f"i-{self.name}" if self._keeps_id else self._start_id

    @property
    def start_id(self):
        """This start, as entries name it."""
        return f"{self.id}@{self._born_ms}" if self._keeps_id else self.id

    @property
    def _start_id(self):
        return f"i-{self.name}-{self.boot}"

    async def start(self, port=0):
        async with self._changing:
            if not self._is_up:
                await self._start(port)

    async def _start(self, port):
        self._server = await asyncio.start_server(self._serve, TARGET_IP, port)
        self.port = self._server.sockets[0].getsockname()[1]
        if self.proxy is None:
            self.proxy = Proxy(f"{TARGET_IP}:{self.port}")
        await self.proxy.start(TARGET_IP)
        self.boot += 1
        self._state, self._sequence = "ready", 0
        self.rest_s, self.says_leaving, self.limit = None, False, None
        self._born_ms = time.time_ns() // 1_000_000
        self._announcing = asyncio.create_task(self._announce_forever())
        self._is_up = True

    async def crash(self):
        """Ends without a word; whatever runs is cut."""
        async with self._changing:
            if not self._is_up:
                return
            self._is_up = False
            self.book.cut_off(self._start_id)
            self._announcing.cancel()
            for caller in self._control:
                caller.close()
            self._server.close()
            for writer in list(self._writers):
                writer.transport.abort()
            self.proxy.stop()

    async def restart(self):
        await self.start(self.port)

    @contextlib.contextmanager
    def paused(self):
        """Sends nothing of any answer meanwhile; all of them go on after.

        It takes requests and announces itself all the while.
        """
        self._pauses += 1
        self._going_on.clear()
        try:
            yield
        finally:
            self._pauses -= 1
            if not self._pauses:
                self._going_on.set()

    async def stop(self):
        """Ends, also if it is about to be back."""
        if self._restarting is not None:
            self._restarting.cancel()
        await self.crash()

    async def _crash_under(self, request_id):
        """Crashes soon, and is back after some seconds."""
        await asyncio.sleep(_CRASHES_AFTER_S)
        if not self._is_up:
            return
        self.book.crashed(request_id, self._start_id)
        await self.crash()
        self._restarting = asyncio.create_task(self._back_later())

    async def _back_later(self):
        await asyncio.sleep(_BACK_AFTER_S)
        await self.restart()

    async def leave(self):
        """Says that it leaves, serves on for a while, and ends."""
        self._state = "draining"
        await asyncio.sleep(_DRAIN_S)
        await self._tell("leave")
        await self.crash()

    async def _announce_forever(self):
        while True:
            await self._tell("heartbeat")
            await asyncio.sleep(_ANNOUNCE_S)

    async def _tell(self, what):
        self._sequence += 1
        values = {
            "service": "s", "address": self.proxy.address, "slots": 8,
            "sequence": self._sequence, "state": self._state,
        }  # fmt: skip
        if self._keeps_id:
            values["born"] = self._born_ms
        path = f"/api/instances/{self.id}/{what}"
        for caller in self._control:
            status, _ = await caller.ask(what, b"POST", path, values)
            if status == 200:
                return

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            with contextlib.suppress(
                asyncio.IncompleteReadError, ConnectionError
            ):
                while await self._answer(reader, writer):
                    pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, reader, writer):
        lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        head = dict(line.split(": ", 1) for line in lines[1:] if line)
        head = {name.lower(): value for name, value in head.items()}
        asked = await reader.readexactly(int(head.get("content-length", 0)))
        request_id = head["request-id"]
        self.book.arrived(request_id, self.name, self._start_id)
        limit_line = self._limit_line(request_id)
        if head.get("expect-instance") != self.id:
            writer.write(
                b"HTTP/1.1 421 No\r\nNot-Executed: 1\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
            return True
        if self.rest_s is not None:
            self.book.asked_for_rest(request_id, self._start_id, self.rest_s)
            writer.write(
                b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n"
                b"%sRetry-After: %g\r\nContent-Length: 0\r\n\r\n"
                % (limit_line, self.rest_s)
            )
            return True
        with self.book.running(request_id, self.name, self._start_id):
            if CRASHING in asked:
                await self._crash_under(request_id)
                return False
            if "/stream/" in lines[0]:
                return await self._stream(head, request_id, writer, limit_line)
            return await self._answer_whole(request_id, writer, limit_line)

    async def _answer_whole(self, request_id, writer, limit_line):
        await asyncio.sleep(_WORK_S)
        await self._going_on.wait()
        body = self.book.body(request_id)
        writer.write(
            b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n"
            b"%sContent-Length: %d\r\n\r\n%s"
            % (
                request_id.encode(),
                self._leaving_line(request_id) + limit_line,
                len(body),
                body,
            )
        )
        await writer.drain()
        return True

    def _limit_line(self, request_id):
        self.book.limit_told(request_id, self._start_id, self.limit)
        if self.limit is None:
            return b""
        return b"Server-Limit: %s\r\n" % str(self.limit).encode("latin-1")

    def _leaving_line(self, request_id):
        if not self.says_leaving:
            return b""
        self.book.said_leaving(request_id, self._start_id)
        return b"Server-Leaving: 1\r\n"

    async def _stream(self, head, request_id, writer, limit_line):
        first = int(head.get("last-event-id", 0)) + 1
        await self._going_on.wait()
        writer.write(
            b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n"
            b"Content-Type: text/event-stream\r\n%s"
            b"Transfer-Encoding: chunked\r\n\r\n"
            % (
                request_id.encode(),
                self._leaving_line(request_id) + limit_line,
            )
        )
        for number in range(first, EVENTS + 1):
            event = b"id: %d\ndata: %s\n\n" % (number, request_id.encode())
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(_EVENT_S)
            await self._going_on.wait()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True
