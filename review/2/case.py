"""A frozen agent orders a load of pieces that it verified too long ago."""

import asyncio
import os
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand.case import run_case  # noqa: E402
from stand.deployment import Deployment, Record  # noqa: E402
from stand.http1 import request  # noqa: E402
from stand.server import Run  # noqa: E402
from stand.weights import (  # noqa: E402
    CHUNKS,
    MODEL,
    ModelServer,
    Origin,
    configuration,
)

_ZONES = {
    "kochi-hall-a": "kochi",
    "kzd-hall-b": "kozhikode",
    "tcr-hall-c": "thrissur",
}
# The longest freeze of a side machine that the site names.
_FROZEN_S = 4.0
# The piece that turns bad, and the read of a later one at which the agent's
# machine freezes.
_SPOILT_PIECE = 5
_FROZEN_AT_PIECE = 60
_REQUESTS = 60


async def _call(deployment, number: int, entry: str) -> int:
    answer = await request(
        deployment.front(entry), "POST", f"/draft/{number}", b"{}",
        timeout_s=6.0, Host="draft.example", Request_Id=f"q-{number}",
        Deadline_Ms="6097", Model=MODEL, Token_Counts="100,6",
        Prompt_Prefix=f"{number:x}:100",
    )  # fmt: skip
    return answer.status if answer is not None else 0


def _freeze_while_verifying(deployment, record, server, agent, done) -> None:
    """Freezes an agent while it reads version 2 back, once."""
    expected = 0

    def on_read(index: int) -> None:
        nonlocal expected
        # The agent reads all pieces in order before it sends its order.
        is_staged = all(server.staged_version(i) == 2 for i in range(CHUNKS))
        expected = index + 1 if index in (0, expected) else 0
        if done.is_set() or not is_staged or expected <= _FROZEN_AT_PIECE:
            return
        done.set()
        server.spoil(_SPOILT_PIECE)
        record(f"the agent of {server.id} freezes")
        deployment.signal("agent", agent, signal.SIGSTOP)

    server.on_read = on_read


async def _run(trouble: bool, record: Record) -> int:
    deployment = Deployment(_ZONES)
    runs: list[Run] = []
    origin = Origin(deployment.ip(50))
    servers: list[ModelServer] = []
    try:
        await origin.start()
        for ip, zone in zip(deployment.control_ips, _ZONES, strict=True):
            await deployment.start("control", ip, zone)
        entry = deployment.ip(21)
        await deployment.start("entry", entry, "kochi-hall-a")
        zones = list(_ZONES) * 3
        agents = [deployment.ip(31 + number) for number in range(len(zones))]
        for number, zone in enumerate(zones):
            server = ModelServer(
                deployment, record, runs, f"i-{number}", "draft",
                agents[number], zone,
            )  # fmt: skip
            await server.start()
            servers.append(server)
            await deployment.start(
                "agent", agents[number], zone, app=server.address,
                service="draft",
            )  # fmt: skip
        await deployment.acknowledged(
            "/api/config/put", configuration(origin.address)
        )
        async with asyncio.timeout(30):
            while await _call(deployment, 0, entry) != 200:
                await asyncio.sleep(0.1)
        await asyncio.sleep(3.0)

        frozen = asyncio.Event()
        server, agent = servers[0], agents[0]
        if trouble:
            _freeze_while_verifying(deployment, record, server, agent, frozen)
        origin.newest = 2
        await deployment.acknowledged(
            "/api/version-put", {"model": MODEL, "version": 2}
        )
        record("version 2 is acknowledged")
        if trouble:
            async with asyncio.timeout(15):
                await frozen.wait()
            await asyncio.sleep(_FROZEN_S)
            record(f"the agent of {server.id} wakes")
            deployment.signal("agent", agent, signal.SIGCONT)
        async with asyncio.timeout(20):
            while any(s.part is None or s.part.version < 2 for s in servers):
                await asyncio.sleep(0.1)
        await asyncio.sleep(1.0)
        statuses = await asyncio.gather(
            *(_call(deployment, n, entry) for n in range(1, _REQUESTS + 1))
        )
        record(f"{statuses.count(200)} of {_REQUESTS} requests are served")
        broken = [line for each in servers for line in each.broken]
        record(f"{len(broken)} runs with a piece that was bad for over 3 s")
        if statuses.count(200) < _REQUESTS // 2:
            return 2
        return 1 if broken else 0
    finally:
        for each in (*servers, origin):
            await each.stop()
        await deployment.stop()


if __name__ == "__main__":
    TROUBLE = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(run_case(_run, HERE, TROUBLE))
