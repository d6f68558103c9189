"""Stand-in for an application server of the platform."""

import asyncio
import contextlib
import dataclasses
import json

from stand.deployment import Deployment, Record
from stand.http1 import Message, read_message, request

__all__ = ["Run", "Server"]

_HEARTBEAT_S = 1.2
_SERVICE_TIME_S = 0.02


@dataclasses.dataclass
class Run:
    """One execution of a request.

    Attributes:
        server: id of the server.
        request_id: id of the request.
        at: loop time at which it began.
    """

    server: str
    request_id: str
    at: float


class Server:
    """Announces itself, checks whom a request is for, and answers it.

    Attributes:
        runs: executions, shared by all servers of a case.
    """

    def __init__(
        self,
        deployment: Deployment,
        record: Record,
        runs: list[Run],
        server_id: str,
        service: str,
        ip: str,
        zone: str,
    ):
        """Stores the arguments; `start` begins to serve."""
        self._deployment = deployment
        self._record = record
        self.runs = runs
        self.id = server_id
        self._service = service
        self._ip = ip
        self.zone = zone
        self.state = "ready"
        self._sequence = 0
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listens and begins to send heartbeats."""
        self._listening = await asyncio.start_server(self._serve, self._ip, 0)
        port = self._listening.sockets[0].getsockname()[1]
        self.address = f"{self._ip}:{port}"
        self._tasks.add(asyncio.create_task(self._announce_forever()))

    async def stop(self) -> None:
        """Stops to listen and to send heartbeats."""
        for task in self._tasks:
            task.cancel()
        self._listening.close()

    def announcement(self) -> dict:
        """Returns the fields of the next heartbeat."""
        self._sequence += 1
        return {
            "service": self._service, "address": self.address,
            "zone": self.zone, "version": "v1", "slots": 8,
            "state": self.state, "cold_remaining_ms": 0,
            "sequence": self._sequence,
        }  # fmt: skip

    async def _announce_forever(self) -> None:
        while True:
            await self._announce()
            await asyncio.sleep(_HEARTBEAT_S)

    async def _announce(self) -> None:
        path = f"/api/instances/{self.id}/heartbeat"
        body = json.dumps(self.announcement()).encode()
        for ip in self._deployment.control_ips:
            address = self._deployment.control(ip)
            answer = await request(address, "POST", path, body)
            if answer is not None and answer.status == 200:
                return

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (message := await read_message(reader)) is not None:
                if not message.complete:
                    return
                await self.answer(message, writer)
                await writer.drain()
        except ConnectionError:
            return
        finally:
            with contextlib.suppress(RuntimeError):
                writer.close()

    async def answer(
        self, message: Message, writer: asyncio.StreamWriter
    ) -> None:
        """Answers one request."""
        request_id = message.headers.get("request-id", "")
        wanted = message.headers.get("expect-instance", self.id)
        if wanted != self.id:
            self._record(f"{self.id} refuses {request_id} with 421")
            writer.write(
                b"HTTP/1.1 421 Misdirected\r\nNot-Executed: 1\r\n"
                b"Request-Id: %s\r\nContent-Length: 0\r\n\r\n"
                % request_id.encode()
            )
            return
        now = asyncio.get_running_loop().time()
        self.runs.append(Run(self.id, request_id, now))
        self._record(f"{self.id} in {self.zone} runs {request_id}")
        await asyncio.sleep(_SERVICE_TIME_S)
        body = f"{self.id} {request_id}".encode()
        writer.write(
            b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n"
            b"Content-Length: %d\r\n\r\n%s"
            % (request_id.encode(), len(body), body)
        )
