"""All machines lose power; the processes are real, met by the wire alone."""

import asyncio
import contextlib

from damaskcroft.hosted.tests.deployment import (
    CONTROL_IPS,
    ROUTE,
    TARGET_IP,
    Deployment,
    free_port,
)

# A model's layers and pieces, few: nothing is loaded here.
LAYERS = 4
ANNOUNCE_EVERY_S = 0.5
# Many times what control may take to learn what targets serve and keep it.
CALM_S = 6.0
REPORT = b'{"models":[],"busy":false,"sequence":0,"active":0,"queued":0}'


@contextlib.asynccontextmanager
async def machine(port):
    """An empty target and an origin behind one address; yields what is asked.

    The origin has no manifest: that it is asked for one is all that counts.
    """
    asked = []

    async def serve(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split(b" ")[1].decode()
                asked.append(path)
                status, body = b"404 Not Found", b""
                if path == "/api/report":
                    status, body = b"200 OK", REPORT
                writer.write(
                    b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s"
                    % (status, len(body), body)
                )
        writer.close()

    server = await asyncio.start_server(serve, TARGET_IP, port)
    try:
        yield asked
    finally:
        server.close()


def configuration(port):
    engine = {"models": [{"name": "m"}], "layers": LAYERS, "chunks": 4}
    services = [
        {"name": "s", "engine": engine},
        {"name": "o", "origin": f"{TARGET_IP}:{port}"},
    ]
    return {"version": 3, "routes": [ROUTE], "services": services}


async def until_accepted(deployment, path, values):
    async with asyncio.timeout(30):
        while True:
            status, _ = await deployment.operator(b"POST", path, values)
            if status == 200:
                return
            await asyncio.sleep(0.05)


async def announce(deployment, life, held):
    """Announces three targets again and again; each life has its own ids."""
    sequence = 0
    while True:
        sequence += 1
        for number in range(3):
            values = {
                "service": "s", "address": f"127.0.0.{21 + number}:1",
                "sequence": sequence, "state": "ready", "slots": 4, **held,
            }  # fmt: skip
            await deployment.operator(
                b"POST", f"/api/instances/{life}-{number}/heartbeat", values
            )
        await asyncio.sleep(ANNOUNCE_EVERY_S)


@contextlib.asynccontextmanager
async def announcing(deployment, life, held):
    task = asyncio.create_task(announce(deployment, life, held))
    try:
        yield
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def lose_power(deployment):
    for process in deployment.processes.values():
        process.kill()
        await process.wait()


def test_empty_targets_get_the_version_that_was_in_service(tmp_path):
    """Weights that nobody had named are brought back after a loss of power.

    Users saw every streaming request refused, for good, after all machines
    had lost power. Targets had served version 1 since their start and no
    operator had named any. Then all machines went; targets came back empty,
    control elected a leader, agents had the configuration and heard every
    target: and did nothing. An agent brings the named version or, without
    one, what another target serves; there was neither. Which version is in
    service was known only by what targets held. Evidence: no agent wrote
    `staging`, and none `manifest_failed` or `staging_failed` either, so none
    had begun; each told `held="" staged=0` once, after `configuration_applied`
    and `control_in_touch`.
    """

    async def scenario():
        deployment, port = Deployment(tmp_path), free_port()
        target = f"{TARGET_IP}:{port}"
        serving = {
            "models": [{"name": "m", "version": 1}],
            "layers": {"from": 0, "target": LAYERS, "version": 1},
        }
        async with machine(port) as asked:
            try:
                for ip in CONTROL_IPS:
                    await deployment.start("control", ip)
                await until_accepted(
                    deployment, "/api/config/put", configuration(port)
                )
                async with announcing(deployment, "first", serving):
                    await asyncio.sleep(CALM_S)
                    await lose_power(deployment)
                for ip in CONTROL_IPS:
                    await deployment.start("control", ip, first=False)
                await deployment.start(
                    "agent", TARGET_IP, first=False, target=target
                )
                async with (
                    announcing(deployment, "second", {}),
                    asyncio.timeout(30),
                ):
                    while "/api/manifest/m?version=1" not in asked:
                        await asyncio.sleep(0.05)
            finally:
                await deployment.stop()

    asyncio.run(asyncio.wait_for(scenario(), 120))
