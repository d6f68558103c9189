"""A control node goes on with its other work while it reads a large change.

What happened: a change of 4,000 routes was decoded in one step of the event
loop of the control node that it was put to, for longer than the time between
two heartbeats; a node that leads the others stood still meanwhile.
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


class TakingControl:
    """Takes each configuration at once."""

    def __init__(self):
        self.taken = []

    async def configure(self, configuration):
        self.taken.append(configuration)
        return Accepted(configuration.version)


async def put(control):
    """The status of a large change."""
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


def test_the_loop_goes_on_while_a_large_change_is_read():
    # Against a loop that stands still for nearly all of the time it takes.
    async def scenario():
        loop = asyncio.get_running_loop()
        control = TakingControl()
        looked_at = [loop.time()]

        async def look():
            while True:
                await asyncio.sleep(0.001)
                looked_at.append(loop.time())

        looking = asyncio.create_task(look())
        await asyncio.sleep(0.01)
        began_at = loop.time()
        assert await put(control) == 200
        took_s = loop.time() - began_at
        await asyncio.sleep(0.01)
        looking.cancel()
        assert len(control.taken[0].routes) == ROUTES
        later = zip(looked_at, looked_at[1:], strict=False)
        longest_s = max(b - a for a, b in later if b > began_at)
        assert longest_s < took_s / 2

    asyncio.run(scenario())
