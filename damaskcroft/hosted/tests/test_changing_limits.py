"""Kept connections of an entry while a configuration changes their limits."""

import asyncio

from damaskcroft.hosted.tests.deployment import ENTRY_IP, ROUTE
from damaskcroft.hosted.tests.one_target import wait_until

SHORT_MS = 1000
LONG_MS = 4000
REQUEST = (
    b"POST /a/x HTTP/1.1\r\nHost: h\r\nRequest-Id: idle-%d\r\n"
    b"Deadline-Ms: 5000\r\nContent-Length: 4\r\n\r\nbody"
)


async def status_of(number, reader, writer):
    """Sends a request on a kept connection; returns the status."""
    writer.write(REQUEST % number)
    async with asyncio.timeout(5):
        head = await reader.readuntil(b"\r\n\r\n")
        await reader.readuntil(b"body")
    return head.split()[1]


def test_a_longer_idle_timeout_applies_to_connections_already_idle(play):
    async def scenario(deployment, gate, received):
        async def configured(version, idle_timeout_ms):
            values = {
                "version": version, "routes": [ROUTE],
                "services": [{"name": "s"}],
                "limits": {"idle_timeout_ms": idle_timeout_ms},
            }  # fmt: skip

            async def put():
                status, _ = await deployment.operator(
                    b"POST", "/api/config/put", values
                )
                return status == 200

            async def applied():
                log = (deployment.folder / "entry-14.log").read_text()
                line = f"event=configuration_applied version={version} "
                return line in log

            await wait_until(put)
            await wait_until(applied)

        await configured(4, SHORT_MS)
        address = ENTRY_IP, deployment.front
        reader, writer = await asyncio.open_connection(*address)
        assert await status_of(1, reader, writer) == b"200"
        await configured(5, LONG_MS)
        await asyncio.sleep(0.75 * LONG_MS / 1000)
        assert await status_of(2, reader, writer) == b"200"
        writer.close()

    play(scenario)
