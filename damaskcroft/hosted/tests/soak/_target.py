"""A target that records its requests, announces itself, drains and crashes."""

import asyncio
import contextlib
import enum
import time

from damaskcroft.hosted.tests.deployment import CONTROL_IPS, TARGET_IP
from damaskcroft.hosted.tests.soak._control_caller import ControlCaller
from damaskcroft.hosted.tests.soak._proxy import Proxy

EVENTS = 12
# A target crashes when it executes a request with this in its body.
CRASH_MARKER = b"crashes whoever runs it"
# It crashes as well under a prompt with this part anywhere but at the end.
CRASHING_PART = "bad0"
_EVENT_INTERVAL_S = 0.03
_SERVICE_TIME_S = 0.05
_CRASH_DELAY_S = 0.04
_RESTART_DELAY_S = 2.5
_ANNOUNCE_INTERVAL_S = 0.4
_DRAIN_S = 2.0
# Time in which the last bytes of a crashed process still reach its peers.
_FLUSH_S = 0.03


class CrashEnding(enum.Enum):
    """How the answer ends under which a target crashes.

    All but `NO_ANSWER` end by a FIN, as when a kernel closes the connections
    of a process.
    """

    NO_ANSWER = "no-answer"
    SHORT_LENGTH = "short-length"
    SHORT_CHUNKS = "short-chunks"
    WITHIN_EVENT = "within-event"
    AFTER_EVENT = "after-event"
    SHORT_BODY = "short-body"


class Target:
    """A target at one address, which may be restarted.

    With `keeps_id` the id stays the same over restarts, and announcements have
    the time of the start; otherwise each start has a new id.
    """

    def __init__(self, name, deployment, history, *, keeps_id=False, domain=""):
        self._keeps_id = keeps_id
        self._domain = domain
        self.name = name
        self.deployment = deployment
        self.history = history
        self.boot = 0
        self.proxy = None
        self._server = None
        self._announce_task = None
        self._writers = set()
        self._state = "ready"
        self._sequence = 0
        self._is_up = False
        # Faults may stop and restart the target concurrently.
        self._lifecycle_lock = asyncio.Lock()
        self._restarting = None
        self._control = [
            ControlCaller(
                ip, f"{ip}:{deployment.control}", history.control_checker
            )
            for ip in CONTROL_IPS
        ]
        # The event is cleared while one or more pauses are active.
        self._pause_count = 0
        self._resumed = asyncio.Event()
        self._resumed.set()
        # Back-off that its refusals ask for; None while it serves.
        self.back_off_s = None
        # Share of its answers that are lost after the request has run.
        self.lost_share = 0.0
        self._answers = 0
        # Whether its answers announce that it is draining.
        self.announces_leaving = False
        # Rate limit that its answers announce, in requests a second; None to
        # announce none.
        self.limit = None

    @property
    def id(self):
        return f"i-{self.name}" if self._keeps_id else self._start_id

    @property
    def start_id(self):
        """Id of the current start in the form that entries use."""
        return f"{self.id}@{self._born_ms}" if self._keeps_id else self.id

    @property
    def _start_id(self):
        return f"i-{self.name}-{self.boot}"

    async def start(self, port=0):
        async with self._lifecycle_lock:
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
        self.back_off_s, self.announces_leaving, self.limit = None, False, None
        self._born_ms = time.time_ns() // 1_000_000
        self._announce_task = asyncio.create_task(self._announce_periodically())
        self._is_up = True

    async def crash(self, last_answer=None):
        """Ends without notice and aborts all answers.

        Args:
            last_answer: writer of an answer whose bytes still reach the entry,
                with a FIN after them.
        """
        async with self._lifecycle_lock:
            if not self._is_up:
                return
            self._is_up = False
            self.history.record_abort(self._start_id)
            self._announce_task.cancel()
            for caller in self._control:
                caller.close()
            self._server.close()
            self.proxy.stop_listening()
            if last_answer is not None:
                last_answer.close()
                await asyncio.sleep(_FLUSH_S)
            for writer in list(self._writers):
                writer.transport.abort()
            self.proxy.stop()

    async def restart(self):
        await self.start(self.port)

    @contextlib.contextmanager
    def paused(self):
        """Context in which no part of any answer is sent; all resume after it.

        The target still accepts requests and announces itself.
        """
        self._pause_count += 1
        self._resumed.clear()
        try:
            yield
        finally:
            self._pause_count -= 1
            if not self._pause_count:
                self._resumed.set()

    async def stop(self):
        """Ends the target and cancels a pending restart."""
        if self._restarting is not None:
            self._restarting.cancel()
        await self.crash()

    async def _crash_during(self, head, request_id, writer):
        """Crashes after a short delay and restarts some seconds later."""
        await asyncio.sleep(_CRASH_DELAY_S)
        if not self._is_up:
            return
        self.history.crashed(request_id, self._start_id)
        ending = CrashEnding(head.get("crash-ending", "no-answer"))
        if ending is CrashEnding.NO_ANSWER:
            await self.crash()
        else:
            first = int(head.get("last-event-id", 0)) + 1
            writer.write(_truncated_answer(ending, request_id.encode(), first))
            await self.crash(writer)
        self._restarting = asyncio.create_task(self._restart_later())

    async def _restart_later(self):
        await asyncio.sleep(_RESTART_DELAY_S)
        await self.restart()

    async def leave(self):
        """Announces that it drains, serves for a while longer, and ends."""
        self._state = "draining"
        await asyncio.sleep(_DRAIN_S)
        await self._announce("leave")
        await self.crash()

    async def _announce_periodically(self):
        while True:
            await self._announce("heartbeat")
            await asyncio.sleep(_ANNOUNCE_INTERVAL_S)

    async def _announce(self, operation):
        self._sequence += 1
        values = {
            "service": "s", "address": self.proxy.address, "slots": 8,
            "sequence": self._sequence, "state": self._state,
        }  # fmt: skip
        if self._domain:
            values["zone"] = self._domain
        if self._keeps_id:
            values["born"] = self._born_ms
        path = f"/api/instances/{self.id}/{operation}"
        for caller in self._control:
            status, _ = await caller.send_request(
                operation, b"POST", path, values
            )
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
        request_body = await reader.readexactly(
            int(head.get("content-length", 0))
        )
        if not self._is_up:
            # A process that has ended reads nothing more.
            return False
        request_id = head["request-id"]
        self.history.arrived(request_id, self.name, self._start_id)
        limit_line = self._limit_line(request_id)
        if head.get("expect-instance") != self.id:
            writer.write(
                b"HTTP/1.1 421 No\r\nNot-Executed: 1\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
            return True
        if self.back_off_s is not None:
            self.history.back_off_requested(
                request_id, self._start_id, self.back_off_s
            )
            writer.write(
                b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n"
                b"%sRetry-After: %g\r\nContent-Length: 0\r\n\r\n"
                % (limit_line, self.back_off_s)
            )
            return True
        with self.history.executing(request_id, self.name, self._start_id):
            shared_parts = head.get("prompt-prefix", "").split(",")[:-1]
            if CRASH_MARKER in request_body or CRASHING_PART in shared_parts:
                await self._crash_during(head, request_id, writer)
                return False
            if self._loses_answer():
                await asyncio.sleep(_SERVICE_TIME_S)
                return False
            if "/stream/" in lines[0]:
                return await self._stream(head, request_id, writer, limit_line)
            return await self._answer_whole(request_id, writer, limit_line)

    def _loses_answer(self):
        """Whether the next answer is lost; evenly spread by the share."""
        before = self._answers * self.lost_share
        self._answers += 1
        return int(before + self.lost_share) > int(before)

    async def _answer_whole(self, request_id, writer, limit_line):
        await asyncio.sleep(_SERVICE_TIME_S)
        await self._resumed.wait()
        body = self.history.body(request_id)
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
        self.history.limit_announced(request_id, self._start_id, self.limit)
        if self.limit is None:
            return b""
        return b"Server-Limit: %s\r\n" % str(self.limit).encode("latin-1")

    def _leaving_line(self, request_id):
        if not self.announces_leaving:
            return b""
        self.history.leaving_announced(request_id, self._start_id)
        return b"Server-Leaving: 1\r\n"

    async def _stream(self, head, request_id, writer, limit_line):
        first = int(head.get("last-event-id", 0)) + 1
        await self._resumed.wait()
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
            await asyncio.sleep(_EVENT_INTERVAL_S)
            await self._resumed.wait()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def _truncated_answer(ending, request_id, first):
    """The bytes of an answer under which a target crashes.

    Args:
        ending: how it ends.
        request_id: id of the request.
        first: number of the stream's first event.
    """
    head = (
        b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n"
        % request_id
    )
    event = b"id: %d\ndata: %s\n\n" % (first, request_id)
    match ending:
        case CrashEnding.SHORT_LENGTH:
            return head + b"Content-Length: 100\r\n\r\n" + event
        case CrashEnding.SHORT_CHUNKS:
            return head + (
                b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n"
                % (len(event), event)
            )
        case CrashEnding.WITHIN_EVENT:
            return head + b"\r\n" + event + event[:6]
        case CrashEnding.AFTER_EVENT:
            return head + b"\r\n" + event
    return head + b"\r\nanswer to"
