"""Recovery after all machines lose power, with real processes."""

import asyncio
import contextlib

from damaskcroft.hosted.tests.deployment import (
    CONTROL_IPS,
    ROUTE,
    TARGET_IP,
    Deployment,
    free_port,
)

# Layers and pieces of the model; few, because nothing is loaded here.
LAYERS = 4
ANNOUNCE_EVERY_S = 0.5
# Many times what control needs to learn and record which weights targets serve.
SETTLE_S = 6.0
REPORT = b'{"models":[],"busy":false,"sequence":0,"active":0,"queued":0}'


@contextlib.asynccontextmanager
async def empty_target_and_origin(port):
    """Runs an empty target and an origin at one address; yields the paths.

    The origin has no manifest, because the test only checks that the manifest
    is requested.
    """
    received = []

    async def serve(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split(b" ")[1].decode()
                received.append(path)
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
        yield received
    finally:
        server.close()


def configuration(port):
    engine = {"models": [{"name": "m"}], "layers": LAYERS, "chunks": 4}
    services = [
        {"name": "s", "engine": engine},
        {"name": "o", "origin": f"{TARGET_IP}:{port}"},
    ]
    return {"version": 3, "routes": [ROUTE], "services": services}


async def announce(deployment, generation, fields):
    """Announces three targets periodically, with ids of their generation."""
    sequence = 0
    while True:
        sequence += 1
        for number in range(3):
            values = {
                "service": "s", "address": f"127.0.0.{21 + number}:1",
                "sequence": sequence, "state": "ready", "slots": 4, **fields,
            }  # fmt: skip
            await deployment.operator(
                b"POST",
                f"/api/instances/{generation}-{number}/heartbeat",
                values,
            )
        await asyncio.sleep(ANNOUNCE_EVERY_S)


@contextlib.asynccontextmanager
async def announcing(deployment, generation, fields):
    task = asyncio.create_task(announce(deployment, generation, fields))
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
    """Guards against weights that are never fetched again after a power loss.

    Every streaming request was then refused for good. Targets had served
    version 1 since their start, and no operator had put a desired version.
    An agent fetches the desired version or, without one, the version that
    another target serves. After the power loss all targets were empty and
    there was neither, because the version in service was known only from what
    targets held. No agent logged `staging`, `manifest_failed` or
    `staging_failed`, so none had begun; each logged `held="" staged=0` once,
    after `configuration_applied` and `control_in_touch`.
    """

    async def scenario():
        deployment, port = Deployment(tmp_path), free_port()
        target = f"{TARGET_IP}:{port}"
        serving = {
            "models": [{"name": "m", "version": 1}],
            "layers": {"from": 0, "target": LAYERS, "version": 1},
        }
        async with empty_target_and_origin(port) as received:
            try:
                for ip in CONTROL_IPS:
                    await deployment.start("control", ip)
                await deployment.order_until_accepted(
                    "/api/config/put", configuration(port)
                )
                async with announcing(deployment, "first", serving):
                    await asyncio.sleep(SETTLE_S)
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
                    while "/api/manifest/m?version=1" not in received:
                        await asyncio.sleep(0.05)
            finally:
                await deployment.stop()

    asyncio.run(asyncio.wait_for(scenario(), 120))
