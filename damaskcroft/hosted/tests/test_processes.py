"""The hosted programs as real processes on loopback, met by the wire alone."""

import asyncio
import contextlib
import json
import signal
import socket
import sys

import pytest

from damaskcroft.http1 import CutShortError, NoAnswerError, connect
from damaskcroft.http1 import TargetConnection as Connection

CONTROL_IPS = ["127.0.0.11", "127.0.0.12", "127.0.0.13"]
ENTRY_IP = "127.0.0.14"
TARGET_IP = "127.0.0.15"
ROUTE = {
    "name": "r", "host": "h", "path_prefix": "/a/", "kind": "unsafe",
    "timeout_ms": 5000, "service": "s", "max_attempts": 1,
}  # fmt: skip
SETTINGS = """
node_name = "{name}"
ip = "{ip}"
zone = "z"
internal_ports = [{rpc}, {rpc}]
seeds = {seeds}
bootstrap = {first}
heartbeat_ms = 500
{data}
[zones]
z = "r"
[listen]
{listen}
[limits]
link_mbps = 100.0
max_fds = 1000
[bounds]
grace_s = 8
"""


def free_port():
    """A port that is free on every address used here."""
    while True:
        with contextlib.ExitStack() as stack:
            probe = stack.enter_context(socket.socket())
            probe.bind((CONTROL_IPS[0], 0))
            port = probe.getsockname()[1]
            try:
                for ip in (*CONTROL_IPS[1:], ENTRY_IP, TARGET_IP):
                    other = stack.enter_context(socket.socket())
                    other.bind((ip, port))
            except OSError:
                continue
            return port


class Deployment:
    """Three control nodes and an entry."""

    def __init__(self, folder):
        self.folder = folder
        self.rpc, self.control, self.front, self.ready = (
            free_port() for _ in range(4)
        )
        self.processes = {}

    def address(self, ip, port):
        return f"{ip}:{port}"

    async def start(self, role, ip, *, first=True):
        name = f"{role}-{ip.rpartition('.')[2]}"
        listen, data = "", ""
        if role == "control":
            listen = f'control = "{ip}:{self.control}"'
            data = f'data_dir = "{self.folder / name}"'
        if role == "entry":
            listen = (
                f'front = "{ip}:{self.front}"\n'
                f'ready_address = "{ip}:{self.ready}"'
            )
        seeds = [f"{seed}:{self.control}" for seed in CONTROL_IPS]
        file = self.folder / f"{name}.toml"
        file.write_text(
            SETTINGS.format(
                name=name, ip=ip, rpc=self.rpc, seeds=json.dumps(seeds),
                first=str(first).lower(), listen=listen, data=data,
            )
        )  # fmt: skip
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "damaskcroft.hosted", role,
            env={"DAMASKCROFT_NODE_FILE": str(file)},
            stderr=asyncio.subprocess.DEVNULL,
        )  # fmt: skip
        self.processes[name] = process
        return process

    async def call(self, ip, port, method, path, body=b"", **headers):
        """Status, headers and body; 0 if nobody answers."""
        try:
            channel = await connect(f"{ip}:{port}", 1.0)
        except OSError:
            return 0, None, b""
        connection = Connection(channel, "", "")
        named = [(b"host", b"h")] + [
            (name.replace("_", "-").encode(), str(value).encode())
            for name, value in headers.items()
        ]
        try:
            await connection.send(method, path.encode(), named, body)
            head = await connection.read_head(lambda _: True)
            answer = b""
            while part := await connection.read_part():
                answer += part
        except (NoAnswerError, CutShortError):
            return 0, None, b""
        finally:
            connection.close()
        return head.status, head, answer

    async def operator(self, method, path, values=None):
        body = json.dumps(values).encode() if values is not None else b""
        for ip in CONTROL_IPS:
            status, _, answer = await self.call(
                ip, self.control, method, path, body
            )
            if 200 <= status < 500:
                return status, answer
        return 0, b""

    async def stop(self):
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()


async def until(check):
    """Waits until an awaitable check holds."""
    async with asyncio.timeout(30):
        while not await check():
            await asyncio.sleep(0.05)


@contextlib.asynccontextmanager
async def target(port):
    """A target that answers once its gate is open."""
    gate = asyncio.Event()
    gate.set()
    asked = []

    async def serve(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                asked.append(head)
                await gate.wait()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nResponse-Seal: s\r\n"
                    b"Content-Length: 4\r\n\r\nbody"
                )
        writer.close()

    server = await asyncio.start_server(serve, TARGET_IP, port)
    try:
        yield gate, asked
    finally:
        gate.set()
        server.close()


@contextlib.asynccontextmanager
async def serving(folder):
    """A deployment with one target that serves a route."""
    deployment = Deployment(folder)
    port = free_port()
    try:
        for ip in CONTROL_IPS:
            await deployment.start("control", ip)
        await deployment.start("entry", ENTRY_IP)

        async def configured():
            values = {
                "version": 3, "routes": [ROUTE], "services": [{"name": "s"}],
            }  # fmt: skip
            status, _ = await deployment.operator(
                b"POST", "/api/config/put", values
            )
            return status == 200

        async def announced():
            values = {
                "service": "s", "address": f"{TARGET_IP}:{port}",
                "sequence": 1, "state": "ready", "slots": 4,
            }  # fmt: skip
            status, _ = await deployment.operator(
                b"POST", "/api/instances/i-1/heartbeat", values
            )
            return status == 200

        async def served():
            status, _, _ = await ask(deployment)
            return status == 200

        await until(configured)
        await until(announced)
        async with target(port) as (gate, asked):
            await until(served)
            yield deployment, gate, asked
    finally:
        await deployment.stop()


async def ask(deployment):
    return await deployment.call(
        ENTRY_IP, deployment.front, b"GET", "/a/b", request_id="r"
    )


@pytest.fixture
def play(tmp_path):
    def run(scenario):
        async def within():
            async with serving(tmp_path) as (deployment, gate, asked):
                await scenario(deployment, gate, asked)

        asyncio.run(asyncio.wait_for(within(), 120))

    return run


def test_a_stopping_entry_answers_what_it_has_read(play):
    async def scenario(deployment, gate, asked):
        gate.clear()
        before = len(asked)
        asking = asyncio.create_task(ask(deployment))

        async def running():
            return len(asked) > before

        await until(running)
        entry = deployment.processes["entry-14"]
        entry.send_signal(signal.SIGTERM)

        async def not_ready():
            status, _, _ = await deployment.call(
                ENTRY_IP, deployment.ready, b"GET", "/api/ready"
            )
            return status == 503

        await until(not_ready)
        gate.set()
        status, head, body = await asking
        assert (status, body) == (200, b"body")
        assert head.value(b"connection") == "close"
        assert await entry.wait() == 0

    play(scenario)


def test_a_changed_settings_file_ends_nothing(play):
    async def scenario(deployment, gate, asked):
        for process in deployment.processes.values():
            process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        assert (await ask(deployment))[0] == 200
        status, _ = await deployment.operator(b"GET", "/api/config/get")
        assert status == 200
        assert all(
            process.returncode is None
            for process in deployment.processes.values()
        )

    play(scenario)


def test_all_control_killed_at_once_comes_back_with_what_it_promised(play):
    async def scenario(deployment, gate, asked):
        for ip in CONTROL_IPS:
            process = deployment.processes[f"control-{ip[-2:]}"]
            process.kill()
            await process.wait()
        assert (await ask(deployment))[0] == 200
        for ip in CONTROL_IPS:
            await deployment.start("control", ip, first=False)

        async def read_back():
            status, body = await deployment.operator(b"GET", "/api/config/get")
            return status == 200 and json.loads(body)["version"] == 3

        await until(read_back)

    play(scenario)


def test_an_entry_that_starts_later_learns_all(play):
    async def scenario(deployment, gate, asked):
        entry = deployment.processes["entry-14"]
        entry.kill()
        await entry.wait()
        await deployment.start("entry", ENTRY_IP, first=False)

        async def served():
            status, _, _ = await ask(deployment)
            assert status not in (401, 404)
            return status == 200

        await until(served)

    play(scenario)


def test_a_wrong_field_ends_the_start_with_one_line(tmp_path):
    async def scenario():
        file = tmp_path / "settings.toml"
        file.write_text('node_name = "n"\nip = 5\n')
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "damaskcroft.hosted", "entry",
            env={"DAMASKCROFT_NODE_FILE": str(file)},
            stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        _, told = await process.communicate()
        assert process.returncode == 2
        assert len(told.decode().splitlines()) == 1

    asyncio.run(scenario())
