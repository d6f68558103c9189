"""A deployment with one target that serves a route, for tests."""

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


async def ask(deployment, name="r"):
    return await deployment.call(
        ENTRY_IP, deployment.front, b"GET", "/a/b", request_id=name
    )
