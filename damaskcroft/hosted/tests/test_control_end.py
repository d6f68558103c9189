"""Operators' changes during a planned stop of the leading control node."""

import asyncio
import itertools
import json
import re
import signal
import time

import pytest

from damaskcroft.hosted.tests.deployment import (
    CONTROL_IPS,
    ROUTE,
    Deployment,
)

# Well below the election timeout of 0.5 s, and well above the duration of a
# leadership transfer.
MAX_GAP_S = 0.4
WRITERS = 3
LOAD_S = 1.5
# After this time all nodes have started, and the first leader still leads.
SETTLE_S = 1.0


def configuration(version):
    return {"version": version, "routes": [ROUTE], "services": [{"name": "s"}]}


def leader_ip(deployment):
    """Returns the address of the last elected leader, by the logs."""
    terms = {}
    for ip in CONTROL_IPS:
        text = deployment.log("control", ip)
        found = re.findall(r"event=leader_elected term=(\d+)", text)
        terms[ip] = max(map(int, found), default=-1)
    return max(terms, key=terms.get)


class Operators:
    """Put version after version on the nodes that keep running."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.version = 3
        self.accepted = []
        self.refused = []

    async def put(self, ip):
        self.version += 1
        version = self.version
        body = json_of(configuration(version))
        status, _, answer = await self.deployment.call(
            ip, self.deployment.control, b"POST", "/api/config/put", body
        )
        if status == 200:
            self.accepted.append((time.monotonic(), version))
        else:
            self.refused.append((time.monotonic(), status, answer))

    async def run(self, ips):
        while True:
            for ip in ips:
                await self.put(ip)

    def longest_gap_s(self):
        times = [at for at, _ in self.accepted]
        return max(b - a for a, b in itertools.pairwise(times))


def json_of(values):
    return json.dumps(values).encode()


@pytest.fixture
def deployment(tmp_path):
    return Deployment(tmp_path)


async def wait_until_in_service(deployment):
    for ip in CONTROL_IPS:
        await deployment.start("control", ip)
    await deployment.order_until_accepted("/api/config/put", configuration(3))


def test_changes_go_on_while_the_leader_ends(deployment):
    """Guards against a stop without a leadership transfer.

    Each change was then refused for an election timeout and more.
    """

    async def scenario():
        try:
            await wait_until_in_service(deployment)
            operators = Operators(deployment)
            await asyncio.sleep(SETTLE_S)
            ending = leader_ip(deployment)
            staying = [ip for ip in CONTROL_IPS if ip != ending]
            tasks = [
                asyncio.create_task(operators.run(staying))
                for _ in range(WRITERS)
            ]
            await asyncio.sleep(LOAD_S)
            await deployment.end("control", ending, signal.SIGTERM)
            await asyncio.sleep(LOAD_S)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        finally:
            await deployment.stop()
        return operators, deployment.log("control", ending)

    operators, log = asyncio.run(asyncio.wait_for(scenario(), 90))
    assert "event=stopping role=control leader=True" in log
    assert operators.longest_gap_s() < MAX_GAP_S
