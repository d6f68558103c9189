"""Kept connections of operators and targets to a control node that stops.

Guards against requests that get neither an answer nor a refusal. The node
closed the connection right after an answer that kept it open, and the caller
dropped the 408 along with the other bytes that it had read.
"""

import asyncio
import collections
import json
import signal

import pytest

from damaskcroft.hosted.tests.deployment import (
    CONTROL_IPS,
    TARGET_IP,
    Deployment,
)
from damaskcroft.standins.kept_callers import send_until_closed

CALLERS_EACH = 10
LOAD_S = 0.5
TIMEOUT_S = 60
CONFIGURATION = {"version": 5, "routes": [], "services": [{"name": "s"}]}


def request(method, path, values=None):
    body = json.dumps(values).encode() if values else b""
    head = f"{method} {path} HTTP/1.1\r\nHost: h\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


REQUESTS = [
    request("POST", "/api/config/put", CONFIGURATION),
    request("GET", "/api/config/get"),
    request("POST", "/api/version-put", {"model": "m", "version": 1}),
    request(
        "POST",
        "/api/instances/i-1/heartbeat",
        {
            "service": "s",
            "address": f"{TARGET_IP}:20000",
            "sequence": 1,
            "state": "ready",
            "slots": 4,
        },
    ),
]


@pytest.mark.parametrize("node", [0, 1, 2])
def test_each_request_to_a_stopping_control_node_is_answered(tmp_path, node):
    outcomes = collections.Counter()

    async def scenario(deployment):
        for ip in CONTROL_IPS:
            await deployment.start("control", ip)
        put = b"POST", "/api/config/put", CONFIGURATION
        while (await deployment.operator(*put))[0] != 200:
            await asyncio.sleep(0.1)
        ip = CONTROL_IPS[node]
        address = f"{ip}:{deployment.control}"
        callers = [
            asyncio.create_task(send_until_closed(address, each, outcomes))
            for each in REQUESTS * CALLERS_EACH
        ]
        await asyncio.sleep(LOAD_S)
        status = await deployment.end("control", ip, signal.SIGTERM)
        await asyncio.gather(*callers)
        return status

    async def run_scenario():
        deployment = Deployment(tmp_path)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                return await scenario(deployment)
        finally:
            await deployment.stop()

    assert asyncio.run(run_scenario()) == 0
    print(outcomes)
    assert set(outcomes) <= {"200", "408", "503"}
    assert outcomes["200"] > len(REQUESTS) * CALLERS_EACH
