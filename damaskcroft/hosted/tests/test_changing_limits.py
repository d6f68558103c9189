"""An entry's kept connections while a configuration changes their limits."""

import asyncio

from damaskcroft.hosted.tests.deployment import ENTRY_IP, ROUTE
from damaskcroft.hosted.tests.one_target import until

SHORT_MS = 1000
LONG_MS = 4000
REQUEST = (
    b"POST /a/x HTTP/1.1\r\nHost: h\r\nRequest-Id: idle-%d\r\n"
    b"Deadline-Ms: 5000\r\nContent-Length: 4\r\n\r\nbody"
)


async def answer_to(number, reader, writer):
    """The status that a request gets on a kept connection."""
    writer.write(REQUEST % number)
    async with asyncio.timeout(5):
        head = await reader.readuntil(b"\r\n\r\n")
        await reader.readuntil(b"body")
    return head.split()[1]


def test_a_longer_idle_limit_holds_for_connections_that_wait(play):
    async def scenario(deployment, gate, asked):
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
                word = f"event=configuration_applied version={version} "
                return word in log

            await until(put)
            await until(applied)

        await configured(4, SHORT_MS)
        address = ENTRY_IP, deployment.front
        reader, writer = await asyncio.open_connection(*address)
        assert await answer_to(1, reader, writer) == b"200"
        await configured(5, LONG_MS)
        await asyncio.sleep(0.75 * LONG_MS / 1000)
        assert await answer_to(2, reader, writer) == b"200"
        writer.close()

    play(scenario)
