"""Runs the hosted programs as processes on loopback, for tests and the soak."""

import asyncio
import contextlib
import json
import shutil
import signal
import sys

from damaskcroft.http1 import CutShortError, NoAnswerError, connect
from damaskcroft.http1 import TargetConnection as Connection
from damaskcroft.standins.loopback import own_network, ports

_PREFIX = own_network().prefix
CONTROL_IPS = [f"{_PREFIX}.{number}" for number in (11, 12, 13)]
ENTRY_IP = f"{_PREFIX}.14"
ENTRY_IPS = [ENTRY_IP, f"{_PREFIX}.16"]
# For an entry that is added while the others run.
ADDED_ENTRY_IP = f"{_PREFIX}.17"
TARGET_IP = f"{_PREFIX}.15"
_PORTS = ports()
_ACCEPTED_TIMEOUT_S = 30
_RETRY_INTERVAL_S = 0.05
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
z0 = "r"
z1 = "r"
[listen]
{listen}
[limits]
link_mbps = 100.0
max_fds = 1000
[bounds]
grace_s = 8
retry_budget_extra = {retry_extra}
"""


def free_port():
    """Returns a port that is free on every address used here, each once."""
    return next(_PORTS)


def node_name(role, ip):
    """Returns the name of a node, such as control-11."""
    return f"{role}-{ip.rpartition('.')[2]}"


class Deployment:
    """Processes of the hosted programs, by names such as control-11.

    Args:
        folder: folder for settings, disks and logs.
        retry_extra: retries allowed in a window beyond the ratio.
    """

    def __init__(self, folder, retry_extra=0):
        self.folder = folder
        self.retry_extra = retry_extra
        self.rpc, self.control, self.front, self.ready, self.metrics = (
            free_port() for _ in range(5)
        )
        self.processes = {}

    def address(self, ip, port):
        return f"{ip}:{port}"

    async def start(self, role, ip, *, first=True, target="", service="s"):
        """Starts a program; an agent serves the target of a service."""
        name = node_name(role, ip)
        listen, data = "", ""
        if role == "control":
            listen = f'control = "{ip}:{self.control}"'
            data = f'data_dir = "{self.folder / name}"'
        if role == "agent":
            data = f'app = "{target}"\nservice = "{service}"'
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
                retry_extra=self.retry_extra,
            )
        )  # fmt: skip
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "damaskcroft.hosted", role,
            "--metrics-port", str(self.metrics),
            env={"DAMASKCROFT_NODE_FILE": str(file)},
            stdout=(self.folder / f"{name}.log").open("a"),
            stderr=(self.folder / f"{name}.err").open("a"),
        )  # fmt: skip
        self.processes[name] = process
        return process

    async def end(self, role, ip, how=signal.SIGKILL):
        """Ends a process by a signal and returns its exit status."""
        process = self.processes[node_name(role, ip)]
        if process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(how)
            await process.wait()
        return process.returncode

    def log(self, role, ip):
        """Returns the log of a node, over all its starts."""
        return (self.folder / f"{node_name(role, ip)}.log").read_text()

    def wipe(self, ip):
        """Erases the disk of a control node; its process must have ended."""
        folder = self.folder / node_name("control", ip)
        shutil.rmtree(folder, ignore_errors=True)

    async def call(self, ip, port, method, path, body=b"", **headers):
        """Sends a request; returns status (0 for none), headers and body."""
        try:
            channel = await connect(f"{ip}:{port}", 1.0)
        except OSError:
            return 0, None, b""
        connection = Connection(channel, "", "")
        fields = [(b"host", b"h")] + [
            (name.replace("_", "-").encode(), str(value).encode())
            for name, value in headers.items()
        ]
        try:
            await connection.send(method, path.encode(), fields, body)
            head = await connection.read_head(lambda _: True)
            answer = b""
            while part := await connection.read_part():
                answer += part
        except (NoAnswerError, CutShortError):
            return 0, None, b""
        finally:
            connection.close()
        return head.status, head, answer

    async def operator(self, method, path, values=None, ips=CONTROL_IPS):
        body = json.dumps(values).encode() if values is not None else b""
        for ip in ips:
            status, _, answer = await self.call(
                ip, self.control, method, path, body
            )
            if 200 <= status < 500:
                return status, answer
        return 0, b""

    async def order_until_accepted(
        self, path, values=None, ips=CONTROL_IPS, within_s=_ACCEPTED_TIMEOUT_S
    ):
        """Posts an operator's call until a node answers 200.

        Raises:
            TimeoutError: none did within that time.
        """
        async with asyncio.timeout(within_s):
            while True:
                status, _ = await self.operator(b"POST", path, values, ips)
                if status == 200:
                    return
                await asyncio.sleep(_RETRY_INTERVAL_S)

    async def stop(self):
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
