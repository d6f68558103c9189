"""Starts the programs of the deploy file on loopback addresses."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import tempfile
import tomllib

from stand.http1 import Message, request

__all__ = ["ROOT", "Deployment", "Record"]

ROOT = pathlib.Path(__file__).resolve().parents[2]
_FRONT_PORT, _READY_PORT, _CONTROL_PORT, _INNER_PORT = 8005, 8002, 8000, 7700
_SETTINGS = """\
node_name = "{name}"
role = "{role}"
machine_class = "{machine_class}"
serves = ["{serves}"]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
internal_ports = [{inner}, {inner_last}]
seeds = {seeds}
bootstrap = {bootstrap}
in_failure_budget = {in_budget}
discovery = "registration"
entry = "vip"
heartbeat_ms = 1200
config_mode = "highest"
{extra}
[zones]
{zones}
[listen]
{listen}
[limits]
cpu_share = 0.8
cores = 1
memory_mb = 300
max_fds = 1024
link_mbps = {link_mbps}
disk_mb = 128
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
{bounds}
"""
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000,
    "ack_timeout_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
    "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250,
    "max_stretch_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10,
    "retry_budget_extra": 102, "recovery_s": 12, "pass_ms": 120,
    "version_ms": 8000, "version_all_ms": 0,
}  # fmt: skip


class Record:
    """The file in which a case records what was sent, answered and run."""

    def __init__(self, path: pathlib.Path):
        """Empties the file."""
        self._path = path
        self._began_at = 0.0
        path.write_text("")

    def __call__(self, text: str) -> None:
        """Appends a line with the time since the first one."""
        now = asyncio.get_running_loop().time()
        self._began_at = self._began_at or now
        with self._path.open("a") as file:
            file.write(f"{now - self._began_at:8.3f} {text}\n")


class Deployment:
    """Processes of one deployment, by node name.

    Attributes:
        zones: region of each zone.
        control_ips: addresses of the core machines.
    """

    def __init__(
        self,
        zones: dict[str, str],
        bounds: dict[str, float] | None = None,
    ):
        """Reserves a loopback network; starts nothing."""
        self.zones = zones
        self._bounds = BOUNDS | (bounds or {})
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._guard, self.prefix = _reserve_network()
        self.control_ips = [self.ip(number) for number in (11, 12, 13)]
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._roles = roles["roles"]

    def ip(self, number: int) -> str:
        """Returns an address of the deployment's network."""
        return f"{self.prefix}.{number}"

    def control(self, ip: str) -> str:
        """Returns the address of a control node for operators and servers."""
        return f"{ip}:{_CONTROL_PORT}"

    def front(self, ip: str) -> str:
        """Returns the address of an entry for clients."""
        return f"{ip}:{_FRONT_PORT}"

    async def start(
        self,
        role: str,
        ip: str,
        zone: str,
        *,
        bootstrap: bool = True,
        app: str = "",
        service: str = "",
    ) -> None:
        """Starts the program of a role as the deploy file says.

        Args:
            role: a role of the deploy file.
            ip: address of its machine.
            zone: zone of its machine.
            bootstrap: whether the whole system starts for the first time.
            app: address of the server on a side machine.
            service: service of that server.
        """
        name = f"{role}-{ip.rpartition('.')[2]}"
        placed = self._roles[role]
        listen, extra = "", ""
        if role == "entry":
            listen = (
                f'front = "{ip}:{_FRONT_PORT}"\n'
                f'ready_address = "{ip}:{_READY_PORT}"'
            )
        if role == "control":
            data = self._folder / "disks" / name
            data.mkdir(parents=True, exist_ok=True)
            listen = f'control = "{ip}:{_CONTROL_PORT}"'
            extra = f'data_dir = "{data}"'
        if role == "agent":
            extra = f'app = "{app}"\nservice = "{service}"'
        settings = self._folder / f"{name}.toml"
        settings.write_text(
            _SETTINGS.format(
                name=name, role=role, machine_class=placed["on"],
                serves=placed["serves"][0], ip=ip, zone=zone,
                region=self.zones[zone], inner=_INNER_PORT,
                inner_last=_INNER_PORT + 15,
                seeds=json.dumps([self.control(s) for s in self.control_ips]),
                bootstrap=json.dumps(bootstrap),
                in_budget=json.dumps(role == "control"), extra=extra,
                zones="\n".join(
                    f'{zone} = "{region}"'
                    for zone, region in self.zones.items()
                ),
                listen=listen, link_mbps=7.3 if role == "agent" else 1000.0,
                bounds="\n".join(
                    f"{key} = {value}" for key, value in self._bounds.items()
                ),
            )
        )  # fmt: skip
        kept = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        log = (self._folder / f"{name}.log").open("a")
        with log:
            self._processes[name] = await asyncio.create_subprocess_exec(
                *placed["run"].split(" "),
                cwd=ROOT,
                env=kept
                | {
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "DAMASKCROFT_NODE_FILE": str(settings),
                },
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, role: str, ip: str, number: signal.Signals) -> None:
        """Sends a signal to a process that this deployment started."""
        process = self._processes[f"{role}-{ip.rpartition('.')[2]}"]
        if process.returncode is None:
            process.send_signal(number)

    async def wait(self, role: str, ip: str) -> int:
        """Waits for the end of a process; returns its exit status."""
        return await self._processes[f"{role}-{ip.rpartition('.')[2]}"].wait()

    def log(self, role: str, ip: str) -> str:
        """Returns what a process has printed, over all its starts."""
        name = f"{role}-{ip.rpartition('.')[2]}.log"
        return (self._folder / name).read_text()

    def leader(self) -> str:
        """Returns the control node that was elected last."""
        elected = {}
        for ip in self.control_ips:
            for line in self.log("control", ip).splitlines():
                if "leader_elected" in line:
                    elected[int(line.partition("term=")[2].split()[0])] = ip
        return elected[max(elected)]

    async def operator(
        self,
        path: str,
        values: dict | None = None,
        ips: list[str] | None = None,
    ) -> tuple[str, Message | None]:
        """Posts an operator's call, node after node, until one answers it.

        Returns:
            The node that answered below 500, and its response.
        """
        body = json.dumps(values).encode() if values is not None else b""
        for ip in ips or self.control_ips:
            answer = await request(
                self.control(ip), "POST", path, body,
                Content_Type="application/json",
            )  # fmt: skip
            if answer is not None and answer.status < 500:
                return ip, answer
        return "", None

    async def acknowledged(
        self,
        path: str,
        values: dict | None = None,
        ips: list[str] | None = None,
        within_s: float = 20.0,
    ) -> str:
        """Resends an operator's call until a node acknowledges it.

        Raises:
            TimeoutError: no node acknowledged it in time.
        """
        async with asyncio.timeout(within_s):
            while True:
                ip, answer = await self.operator(path, values, ips)
                if answer is not None and answer.status == 200:
                    return ip
                await asyncio.sleep(0.2)

    async def stop(self) -> None:
        """Kills all processes and removes the folder."""
        for process in self._processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
        self._guard.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self._folder, ignore_errors=True)


def _reserve_network() -> tuple[socket.socket, str]:
    for _ in range(100):
        prefix = f"127.{random.randrange(130, 200)}.{random.randrange(256)}"
        guard = socket.socket()
        try:
            guard.bind((f"{prefix}.254", 19_998))
        except OSError:
            guard.close()
            continue
        return guard, prefix
    raise OSError("no loopback network is free")
