"""Decoding a large configuration does not block a control node's event loop.

Guards against decoding 4,000 routes in one step of the event loop: it took
longer than the heartbeat interval, and a leader was blocked meanwhile.
"""

import asyncio
import json

from starlette.applications import Starlette

from damaskcroft.control import Accepted
from damaskcroft.platform.control_face import control_routes

ROUTES = 4000
BODY = json.dumps(
    {
        "version": 7,
        "services": [{"name": "s"}],
        "routes": [
            {
                "name": f"r-{number}", "host": "h", "kind": "streaming",
                "path_prefix": f"/{number}/", "timeout_ms": 5000,
                "service": "s", "max_attempts": 2,
            }
            for number in range(ROUTES)
        ],
    }
).encode()  # fmt: skip


class AcceptingControl:
    """Accepts each configuration at once."""

    def __init__(self):
        self.accepted = []

    async def configure(self, configuration):
        self.accepted.append(configuration)
        return Accepted(configuration.version)


async def put(control):
    """Puts the large configuration; returns the status."""
    statuses = []

    async def receive():
        return {"type": "http.request", "body": BODY, "more_body": False}

    async def send(message):
        if message["type"] == "http.response.start":
            statuses.append(message["status"])

    scope = {
        "type": "http", "method": "POST", "headers": [],
        "path": "/api/config/put", "query_string": b"", "raw_path": b"",
        "root_path": "", "http_version": "1.1", "scheme": "http",
    }  # fmt: skip
    await Starlette(routes=control_routes(control))(scope, receive, send)
    return statuses[0]


def test_decoding_a_large_configuration_does_not_block_the_event_loop():
    # Fails if the loop is blocked for nearly all of the time of the call.
    async def scenario():
        loop = asyncio.get_running_loop()
        control = AcceptingControl()
        sampled_at = [loop.time()]

        async def sample():
            while True:
                await asyncio.sleep(0.001)
                sampled_at.append(loop.time())

        sampling = asyncio.create_task(sample())
        await asyncio.sleep(0.01)
        began_at = loop.time()
        assert await put(control) == 200
        took_s = loop.time() - began_at
        await asyncio.sleep(0.01)
        sampling.cancel()
        assert len(control.accepted[0].routes) == ROUTES
        later = zip(sampled_at, sampled_at[1:], strict=False)
        longest_s = max(b - a for a, b in later if b > began_at)
        assert longest_s < took_s / 2

    asyncio.run(scenario())
