"""Runs a complete fleet on loopback, for the demo, the benchmarks and tests.

The harness ends only processes that it has started, by pid. The processes of
the system neither start nor end other processes.
"""

import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import urllib.request
from collections.abc import Callable, Iterator
from typing import Any

import trustme

from damaskcroft.standins.loopback import own_network, ports

_BIN = pathlib.Path(sys.executable).parent
_START_TIMEOUT_S = 60.0
_STOP_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.05


class ProcessEndedError(Exception):
    """A process of the fleet ended unexpectedly.

    Attributes:
        name: name of the process.
    """

    def __init__(self, name: str, status: int, last_line: str):
        """Reports the exit status and the last log line of the process."""
        super().__init__(f"{name} ended with {status}: {last_line}")
        self.name = name


@dataclasses.dataclass(frozen=True, slots=True)
class TargetPlan:
    """A target to start, with its agent.

    Attributes:
        name: name of the agent.
        role: such as drafting, crew-alert or billing.
        region: district of the target, also used as its failure domain.
        service: name of the plain service; empty for a model engine.
        checks_fencing: whether the engine refuses old fencing numbers.
        fails_version: name of a version that the engine fails to load.
    """

    name: str
    role: str
    region: str
    service: str = ""
    checks_fencing: bool = False
    fails_version: str = ""


@dataclasses.dataclass(slots=True)
class FleetPlan:
    """Sizes, rates and timeouts of a fleet.

    Attributes:
        targets: all targets.
        controls: number of control replicas.
        entries: number of entries.
        origin_bytes_s: rate of the origin's link.
        store_requests_s: rate limit of the weight store; 0 for no store.
        link_bytes_s: rate of each agent's link.
        strategy: peer selection strategy.
        token_s: decoding time of one token.
        slots: concurrent requests of a target.
        keys: whether processes use mutual TLS.
        corrupt_every: the origin corrupts every n-th range; 0 for none.
        lease_s: duration of a lease.
        stall_s: time without data after which a chunk's source is replaced.
        parallel_fetches: concurrent chunk fetches from peers.
        parallel_uploads: concurrent chunk uploads to peers.
        start_targets: start a stand-in for each target; without targets the
            agents only transfer weights.
    """

    targets: list[TargetPlan]
    controls: int = 3
    entries: int = 2
    origin_bytes_s: float = 200e6
    store_requests_s: float = 0.0
    link_bytes_s: float = 100e6
    strategy: str = "latin"
    token_s: float = 0.002
    slots: int = 8
    keys: bool = True
    corrupt_every: int = 0
    lease_s: float = 3.0
    stall_s: float = 3.0
    parallel_fetches: int = 64
    parallel_uploads: int = 1
    start_targets: bool = True


class Fleet:
    """The processes of a fleet by name, with their addresses and commands."""

    def __init__(self, folder: pathlib.Path, plan: FleetPlan):
        """Creates folders and keys below `folder`; `start` starts processes."""
        self.folder = folder.resolve()
        self.plan = plan
        self.processes_by_name: dict[str, subprocess.Popen] = {}
        self.commands_by_name: dict[str, list[str]] = {}
        self.grpc_by_name: dict[str, str] = {}
        self.http_by_name: dict[str, str] = {}
        self.weights_folder = self.folder / "weights"
        self.weights_folder.mkdir(parents=True, exist_ok=True)
        self.host = own_network().next_host()
        self.ports = ports()
        self._write_keys()

    # --- Starting and stopping ------------------------------------------------

    def start(self) -> None:
        """Starts all processes and waits until they are ready.

        Raises:
            ProcessEndedError: a process failed to start.
            TimeoutError: a process was not ready in time.
        """
        if not self.http_by_name:
            self.plan_addresses()
        self._start_weight_servers()
        for number in range(self.plan.controls):
            self.start_control(number)
        for target in self.plan.targets:
            if self.plan.start_targets:
                self.start_target(target)
            self.start_agent(target)
        for number in range(self.plan.entries):
            self.start_entry(number)
        self._write_operator_settings()
        self.wait_for(self._all_ready, "every process ready")

    def start_control(self, number: int, *, form: bool = True) -> None:
        """Starts a replica; `form` formats a data folder that is new."""
        name = f"control-{number}"
        path = self._control_settings(number)
        if form and not (self.folder / name / "log" / "vote").exists():
            command = [str(_BIN / "damask-control"), "--format", str(path)]
            subprocess.run(command, check=True, stderr=subprocess.DEVNULL)
        self.start_program(name, [str(_BIN / "damask-control"), str(path)])

    def start_target(self, target: TargetPlan) -> None:
        """Starts the stand-in of a target."""
        name = f"target-{target.name}"
        listen = self.http_by_name[name]
        journal = str(self.journal_path(target.name))
        program = str(_BIN / "damask-standin")
        if target.service:
            command = [program, "service"]
        else:
            command = [
                program, "engine", "--slots", str(self.plan.slots),
                "--token-s", str(self.plan.token_s),
            ]  # fmt: skip
            if target.checks_fencing:
                command.append("--checks-fencing")
            if target.fails_version:
                command += ["--fails-version", target.fails_version]
        self.start_program(
            name, [*command, "--listen", listen, "--journal", journal]
        )

    def start_agent(self, target: TargetPlan) -> None:
        """Starts the agent of a target."""
        path = self._agent_settings(target)
        self.start_program(target.name, [str(_BIN / "damask-agent"), str(path)])

    def start_entry(self, number: int) -> None:
        """Starts an entry."""
        path = self._entry_settings(number)
        name = f"entry-{number}"
        self.start_program(name, [str(_BIN / "damask-entry"), str(path)])

    def restart(self, name: str) -> None:
        """Starts a process again with the command of its last start."""
        self.start_program(name, self.commands_by_name[name])

    def signal(self, name: str, number: int) -> None:
        """Sends a signal to a process."""
        self.processes_by_name[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kills a process, as a power failure of its instance would."""
        process = self.processes_by_name.pop(name)
        process.kill()
        process.wait()

    def terminate(self, name: str) -> int:
        """Ends a process with SIGTERM; returns its exit status."""
        process = self.processes_by_name.pop(name)
        process.terminate()
        return process.wait(timeout=_STOP_TIMEOUT_S)

    def stop(self) -> None:
        """Kills every process, suspended ones included."""
        for process in self.processes_by_name.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes_by_name.values():
            process.wait()
        self.processes_by_name.clear()

    # --- Inspection ---------------------------------------------------------

    def entry_urls(self) -> list[str]:
        """Returns the base URLs of the entries."""
        return [
            f"http://{self.http_by_name[f'entry-{number}']}"
            for number in range(self.plan.entries)
        ]

    def journal_path(self, target_name: str) -> pathlib.Path:
        """Returns the path of the run journal of a target."""
        return self.folder / "journals" / f"{target_name}.jsonl"

    def log_path(self, name: str) -> pathlib.Path:
        """Returns the path of the log of a process."""
        return self.folder / "logs" / f"{name}.log"

    def last_line(self, name: str) -> str:
        """Returns the last log line of a process, or an empty string."""
        lines = self.log_path(name).read_text().splitlines()
        return lines[-1] if lines else ""

    def get_json(self, name: str, path: str) -> Any:
        """Fetches a JSON page of a process; None if it does not answer."""
        url = f"http://{self.http_by_name[name]}{path}"
        try:
            with urllib.request.urlopen(url, timeout=2) as response:
                return json.load(response)
        except (OSError, ValueError):
            return None

    def ctl(self, *arguments: str) -> subprocess.CompletedProcess:
        """Runs damaskctl with the fleet's operator settings."""
        environment = {
            **os.environ,
            "DAMASKCTL_SETTINGS": str(self.folder / "operator.ini"),
        }
        return subprocess.run(
            [str(_BIN / "damaskctl"), *arguments],
            env=environment,
            capture_output=True,
            text=True,
            check=False,
        )

    def status(self) -> dict[str, Any]:
        """Returns the parsed output of `damaskctl status --json`."""
        result = self.ctl("status", "--json")
        return json.loads(result.stdout) if result.returncode == 0 else {}

    def wait_for(
        self,
        condition: Callable[[], bool],
        what: str,
        timeout_s: float = _START_TIMEOUT_S,
    ) -> float:
        """Waits until a condition holds; returns the time taken.

        Raises:
            TimeoutError: the condition did not hold in time.
            ProcessEndedError: a process ended unexpectedly meanwhile.
        """
        started_at = time.monotonic()
        while not condition():
            self._raise_if_ended()
            if time.monotonic() - started_at > timeout_s:
                raise TimeoutError(f"waited {timeout_s} s for: {what}")
            time.sleep(_POLL_INTERVAL_S)
        return time.monotonic() - started_at

    def leader(self) -> str:
        """Returns the name of the control leader, or an empty string."""
        for number in range(self.plan.controls):
            page = self.get_json(f"control-{number}", "/readyz")
            if page and page["leader"]:
                for name, address in self.grpc_by_name.items():
                    if address == page["leader"]:
                        return name
        return ""

    def serving(self, version: str) -> list[str]:
        """Returns the names of agents whose gate serves a version."""
        names = []
        for target in self.plan.targets:
            page = self.get_json(target.name, "/readyz")
            if page and page["version"] == version and not target.service:
                names.append(target.name)
        return names

    # --- Settings ------------------------------------------------------------

    def plan_addresses(self) -> None:
        """Assigns addresses to each process; `start` does it if needed."""
        names = ["origin", "store"]
        names += [f"control-{n}" for n in range(self.plan.controls)]
        names += [f"entry-{n}" for n in range(self.plan.entries)]
        names += [target.name for target in self.plan.targets]
        names += [f"target-{target.name}" for target in self.plan.targets]
        for name in names:
            self.grpc_by_name[name] = f"{self.host}:{next(self.ports)}"
            self.http_by_name[name] = f"{self.host}:{next(self.ports)}"

    def _start_weight_servers(self) -> None:
        program = str(_BIN / "damask-standin")
        origin = [
            program, "weights", str(self.weights_folder),
            "--listen", self.http_by_name["origin"],
            "--rate-bytes-s", str(self.plan.origin_bytes_s),
            "--corrupt-every", str(self.plan.corrupt_every),
        ]  # fmt: skip
        self.start_program("origin", origin)
        if self.plan.store_requests_s:
            store = [
                program, "weights", str(self.weights_folder),
                "--listen", self.http_by_name["store"],
                "--rate-bytes-s", str(self.plan.origin_bytes_s),
                "--requests-per-s", str(self.plan.store_requests_s),
            ]  # fmt: skip
            self.start_program("store", store)

    def _process_section(self, name: str, region: str) -> dict[str, Any]:
        return {
            "name": name,
            "region": region,
            "failure_domain": region,
            "listen": self.grpc_by_name[name],
            "http_listen": self.http_by_name[name],
            "data_folder": self.folder / name,
        }

    def _control_settings(self, number: int) -> pathlib.Path:
        members = [
            f"c{n}={self.grpc_by_name[f'control-{n}']}"
            for n in range(self.plan.controls)
        ]
        return self._write_settings(
            f"control-{number}",
            {
                "process": self._process_section(f"control-{number}", "core"),
                "keys": self._keys_section(),
                "replica": {
                    "id": f"c{number}",
                    "members": ", ".join(members),
                    "lease_s": self.plan.lease_s,
                },
            },
        )

    def _entry_settings(self, number: int) -> pathlib.Path:
        region = self.plan.targets[number % len(self.plan.targets)].region
        return self._write_settings(
            f"entry-{number}",
            {
                "process": self._process_section(f"entry-{number}", region),
                "keys": self._keys_section(),
                "control": {"addresses": self._control_addresses()},
            },
        )

    def _agent_settings(self, target: TargetPlan) -> pathlib.Path:
        burst: dict[str, Any] = {
            "origin": self.http_by_name["origin"],
            "link_bytes_s": self.plan.link_bytes_s,
            "strategy": self.plan.strategy,
            "stall_s": self.plan.stall_s,
            "parallel_fetches": self.plan.parallel_fetches,
            "parallel_uploads": self.plan.parallel_uploads,
        }
        if self.plan.store_requests_s:
            burst["store"] = self.http_by_name["store"]
        return self._write_settings(
            target.name,
            {
                "process": self._process_section(target.name, target.region),
                "keys": self._keys_section(),
                "control": {"addresses": self._control_addresses()},
                "target": {
                    "address": self.http_by_name[f"target-{target.name}"],
                    "role": target.role,
                    "service": target.service,
                    "slots": self.plan.slots,
                    "checks_fencing": "yes" if target.checks_fencing else "no",
                },
                "burst": burst,
            },
        )

    def _write_operator_settings(self) -> None:
        self._write_settings(
            "operator",
            {
                "keys": self._keys_section(),
                "control": {"addresses": self._control_addresses()},
            },
        )

    def _control_addresses(self) -> str:
        return ", ".join(
            self.grpc_by_name[f"control-{n}"] for n in range(self.plan.controls)
        )

    def _keys_section(self) -> dict[str, Any]:
        if not self.plan.keys:
            return {"open": "yes"}
        return {
            "certificate_file": self.folder / "keys" / "process.pem",
            "private_key_file": self.folder / "keys" / "process.key",
            "authority_file": self.folder / "keys" / "authority.pem",
        }

    def _write_keys(self) -> None:
        if not self.plan.keys:
            return
        folder = self.folder / "keys"
        folder.mkdir(exist_ok=True)
        authority = trustme.CA()
        certificate = authority.issue_cert(self.host)
        authority.cert_pem.write_to_path(str(folder / "authority.pem"))
        certificate.private_key_pem.write_to_path(str(folder / "process.key"))
        for position, blob in enumerate(certificate.cert_chain_pems):
            blob.write_to_path(str(folder / "process.pem"), append=position > 0)

    def _write_settings(
        self, name: str, sections: dict[str, dict[str, Any]]
    ) -> pathlib.Path:
        lines = []
        for section, values in sections.items():
            lines.append(f"[{section}]")
            lines += [f"{key} = {value}" for key, value in values.items()]
        path = self.folder / f"{name}.ini"
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        return path

    # --- Processes ---------------------------------------------------------

    def start_program(self, name: str, command: list[str]) -> None:
        """Starts a program under a name and logs its output to a file."""
        self.commands_by_name[name] = command
        log = self.log_path(name)
        log.parent.mkdir(exist_ok=True)
        with log.open("ab") as file:
            process = subprocess.Popen(
                command, stdout=file, stderr=file, stdin=subprocess.DEVNULL
            )
        self.processes_by_name[name] = process

    def _all_ready(self) -> bool:
        return all(self._is_ready(name) for name in self.processes_by_name)

    def _is_ready(self, name: str) -> bool:
        if name.startswith(("target-", "origin", "store")):
            return self._is_listening(name)
        return bool(self.get_json(name, "/readyz"))

    def _is_listening(self, name: str) -> bool:
        host, _, port = self.http_by_name[name].rpartition(":")
        try:
            with socket.create_connection((host, int(port)), timeout=2):
                return True
        except OSError:
            return False

    def _raise_if_ended(self) -> None:
        """Raises if a process has ended, so that no test waits for its work."""
        for name, process in self.processes_by_name.items():
            status = process.poll()
            if status is not None:
                raise ProcessEndedError(name, status, self.last_line(name))


@contextlib.contextmanager
def running_fleet(folder: pathlib.Path, plan: FleetPlan) -> Iterator[Fleet]:
    """Starts a fleet and kills its processes when the block ends."""
    fleet = Fleet(folder, plan)
    try:
        fleet.start()
        yield fleet
    finally:
        fleet.stop()
