"""A deployment with one target, for tests."""

import asyncio
import contextlib

from damaskcroft.hosted.tests.deployment import (
    CONTROL_IPS,
    ENTRY_IP,
    ROUTE,
    TARGET_IP,
    Deployment,
    free_port,
)


async def wait_until(check):
    """Waits until an asynchronous check returns true."""
    async with asyncio.timeout(30):
        while not await check():
            await asyncio.sleep(0.05)


@contextlib.asynccontextmanager
async def target(port):
    """Runs a target that answers while its gate is open; yields both."""
    gate = asyncio.Event()
    gate.set()
    received = []

    async def serve(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                received.append(head)
                await gate.wait()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nResponse-Seal: s\r\n"
                    b"Content-Length: 4\r\n\r\nbody"
                )
        writer.close()

    server = await asyncio.start_server(serve, TARGET_IP, port)
    try:
        yield gate, received
    finally:
        gate.set()
        server.close()


@contextlib.asynccontextmanager
async def serving(folder):
    """Runs a deployment with one target that serves a route."""
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
            status, _, _ = await send_request(deployment)
            return status == 200

        await wait_until(configured)
        await wait_until(announced)
        async with target(port) as (gate, received):
            await wait_until(served)
            yield deployment, gate, received
    finally:
        await deployment.stop()


async def send_request(deployment, name="r"):
    return await deployment.call(
        ENTRY_IP, deployment.front, b"GET", "/a/b", request_id=name
    )
