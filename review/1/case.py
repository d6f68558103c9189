"""A held-up copy of an order to end an evacuation undoes a later one."""

import asyncio
import os
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand.case import run_case  # noqa: E402
from stand.deployment import Deployment, Record  # noqa: E402
from stand.http1 import read_message, request, send  # noqa: E402
from stand.server import Run, Server  # noqa: E402

_ZONES = {
    "scl-a": "santiago",
    "vap-a": "valparaiso",
    "anf-a": "antofagasta",
}
_EVACUATED = "vap-a"
# The bounds of the site.
_BOUNDS = {
    "contact_ms": 4000, "ack_timeout_ms": 5000, "catch_up_s": 6,
    "drain_ms": 2500, "config_apply_ms": 2500, "max_stretch_ms": 6000,
    "evacuate_ms": 5000, "retry_budget_extra": 118, "recovery_s": 15,
    "pass_ms": 200, "version_ms": 10300, "cold_overage": 1.5, "cold_slack": 5,
}  # fmt: skip
_EVACUATE_S = 5.0
_CONTACT_S = 4.0
# The shortest evacuation that the site names.
_EVACUATED_S = 8.0
# A freeze of a core machine, as the site names it.
_FROZEN_S = 4.0
# An operator moves on to another node after a second without a response.
_OPERATOR_TIMEOUT_S = 1.0
_REQUESTS = 40
_CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "r-claim", "host": "claims.example",
            "path_prefix": "/claim/", "kind": "safe", "timeout_ms": 3000,
            "target_latency_ms": 305, "priority": 1, "service": "pagos",
            "max_attempts": 2, "public": False, "sticky": False,
        }
    ],
    "services": [
        {"name": "pagos", "health_path": "/health", "max_connections": 190}
    ],
    "limits": {
        "max_header_bytes": 16384, "max_body_bytes": 4194304,
        "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
    },
}  # fmt: skip


async def _send_order_unanswered(address: str, path: str, record) -> None:
    """Sends an order and leaves after the operator's timeout."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    send(writer, "POST", path, {"Host": address})
    try:
        async with asyncio.timeout(_OPERATOR_TIMEOUT_S):
            answer = await read_message(reader, is_response=True)
        record(f"{address} answers {path}: {answer and answer.start}")
    except TimeoutError:
        record(f"{address} does not answer {path}; the operator leaves")
    finally:
        writer.close()


async def _order(deployment, record, order: str, ips: list[str]) -> None:
    path = f"/api/evacuate/{_EVACUATED}/{order}"
    ip = await deployment.acknowledged(path, None, ips)
    record(f"{ip} acknowledges {path}")


async def _call(deployment, number: int, entry: str) -> int:
    answer = await request(
        deployment.front(entry), "GET", f"/claim/{number}", timeout_s=4.0,
        Host="claims.example", Request_Id=f"q-{number}", Deadline_Ms="3047",
    )  # fmt: skip
    return answer.status if answer is not None else 0


async def _run(trouble: bool, record: Record) -> int:
    deployment = Deployment(_ZONES, _BOUNDS)
    runs: list[Run] = []
    servers = []
    try:
        for ip, zone in zip(deployment.control_ips, _ZONES, strict=True):
            await deployment.start("control", ip, zone)
        entries = [deployment.ip(number) for number in (21, 22)]
        # Entries prefer servers of their own zone.
        for ip, zone in zip(entries, ("scl-a", _EVACUATED), strict=True):
            await deployment.start("entry", ip, zone)
        await deployment.acknowledged("/api/config/put", _CONFIGURATION)
        for number, zone in enumerate(_ZONES):
            server = Server(
                deployment, record, runs, f"i-{zone}", "pagos",
                deployment.ip(31 + number), zone,
            )  # fmt: skip
            await server.start()
            servers.append(server)
        async with asyncio.timeout(30):
            number = 0
            while {run.server for run in runs} != {"i-scl-a", "i-vap-a"}:
                number += 1
                await _call(deployment, number, entries[number % 2])
                await asyncio.sleep(0.02)
        await asyncio.sleep(_CONTACT_S)

        leader = deployment.leader()
        frozen = next(ip for ip in deployment.control_ips if ip != leader)
        others = [ip for ip in deployment.control_ips if ip != frozen]
        record(f"leader {leader}, other control node {frozen}")
        await _order(deployment, record, "start", others)
        await asyncio.sleep(_EVACUATED_S)
        if trouble:
            record(f"control {frozen} freezes")
            deployment.signal("control", frozen, signal.SIGSTOP)
        frozen_at = asyncio.get_running_loop().time()
        # The operator picks this node first, and moves on after a second.
        await _send_order_unanswered(
            deployment.control(frozen),
            f"/api/evacuate/{_EVACUATED}/end",
            record,
        )
        await _order(deployment, record, "end", others)
        await asyncio.sleep(0.5)
        await _order(deployment, record, "start", others)
        acknowledged_at = asyncio.get_running_loop().time()
        await asyncio.sleep(frozen_at + _FROZEN_S - acknowledged_at)
        if trouble:
            record(f"control {frozen} wakes")
            deployment.signal("control", frozen, signal.SIGCONT)
        due_at = acknowledged_at + _EVACUATE_S
        woken_at = asyncio.get_running_loop().time()
        await asyncio.sleep(max(due_at, woken_at + _CONTACT_S) - woken_at + 1.0)

        since = asyncio.get_running_loop().time()
        statuses = []
        for number in range(1000, 1000 + _REQUESTS):
            status = await _call(deployment, number, entries[number % 2])
            statuses.append(status)
        record(f"statuses {sorted(set(statuses))}")
        late = [
            run
            for run in runs
            if run.at > since and run.server == f"i-{_EVACUATED}"
        ]
        record(
            f"{len(late)} of {_REQUESTS} requests ran in {_EVACUATED}, more"
            f" than {_EVACUATE_S} s after its evacuation was acknowledged"
        )
        if statuses.count(200) < _REQUESTS // 2:
            record("too few requests were served; the case did not run")
            return 2
        return 1 if late else 0
    finally:
        for server in servers:
            await server.stop()
        await deployment.stop()


if __name__ == "__main__":
    TROUBLE = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(run_case(_run, HERE, TROUBLE))
