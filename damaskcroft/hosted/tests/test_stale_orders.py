"""Orders that a suspended control node reads after their operator has left."""

import asyncio
import re
import signal

import pytest

from damaskcroft.hosted.tests.abandoned_orders import (
    ConnectionEnd,
    abandon_order,
)
from damaskcroft.hosted.tests.deployment import (
    CONTROL_IPS,
    ROUTE,
    Deployment,
    node_name,
)
from damaskcroft.hosted.tests.test_control_end import leader_ip

DOMAIN = "z0"
START, END = (f"/api/evacuate/{DOMAIN}/{order}" for order in ("start", "end"))
SUSPENDED_S = 2.5
# The end of a connection that travels behind its order.
LATE_END_S = 0.3
SETTLE_S = 2.0
CONFIGURATION = {"version": 1, "routes": [ROUTE], "services": [{"name": "s"}]}


@pytest.fixture
def run(tmp_path):
    """Runs a scenario with three started control nodes."""

    async def within(scenario):
        deployment = Deployment(tmp_path)
        try:
            for ip in CONTROL_IPS:
                await deployment.start("control", ip)
            await deployment.order_until_accepted(
                "/api/config/put", CONFIGURATION
            )
            await asyncio.sleep(SETTLE_S)
            return await scenario(deployment)
        finally:
            await deployment.stop()

    return lambda scenario: asyncio.run(asyncio.wait_for(within(scenario), 90))


def suspended_node(deployment, role):
    leader = leader_ip(deployment)
    if role == "leader":
        return leader
    return next(ip for ip in CONTROL_IPS if ip != leader)


def is_evacuated(deployment, ip):
    """Whether a node has last applied an evacuation, by its log."""
    applied = re.findall(
        rf"event=evacuation_applied failure_domain={DOMAIN} evacuated=(\w+)",
        deployment.log("control", ip),
    )
    return bool(applied) and applied[-1] == "True"


async def play_stale_order(deployment, role, stale, later, end):
    """Suspends a node that has an unread order while later ones are given.

    Returns:
        Whether each node has the domain evacuated in the end, and the log of
        the suspended one.
    """
    suspended = suspended_node(deployment, role)
    others = [ip for ip in CONTROL_IPS if ip != suspended]
    process = deployment.processes[node_name("control", suspended)]
    loop = asyncio.get_running_loop()
    if stale == END:
        await deployment.order_until_accepted(START, ips=others)
    process.send_signal(signal.SIGSTOP)
    wakes_at = loop.time() + SUSPENDED_S
    _, closing = await abandon_order(
        f"{suspended}:{deployment.control}", stale, end, wakes_at + LATE_END_S
    )
    for path in later:
        await deployment.order_until_accepted(path, ips=others)
    await asyncio.sleep(max(0.0, wakes_at - loop.time()))
    process.send_signal(signal.SIGCONT)
    await asyncio.sleep(SETTLE_S)
    if closing is not None:
        await closing
    evacuated = {is_evacuated(deployment, ip) for ip in CONTROL_IPS}
    return evacuated, deployment.log("control", suspended)


@pytest.mark.parametrize(
    ("stale", "later", "end"),
    [
        (END, (END, START), ConnectionEnd.CLOSED),
        (END, (END, START), ConnectionEnd.RESET),
        (END, (END, START), ConnectionEnd.LATE),
        (START, (START, END), ConnectionEnd.CLOSED),
        (START, (START, END), ConnectionEnd.LATE),
        (START, (END,), ConnectionEnd.LATE),
    ],
)
@pytest.mark.parametrize("role", ["follower", "leader"])
def test_an_order_whose_operator_left_changes_nothing(
    run, role, stale, later, end
):
    """Guards against an order that takes effect after later ones."""
    evacuated, log = run(
        lambda deployment: play_stale_order(deployment, role, stale, later, end)
    )
    assert evacuated == {later[-1] == START}
    assert re.search("event=control_refused call=evacuate reason=", log)


def test_orders_in_a_row_are_accepted_by_the_first_node_asked(run):
    """Guards against refusals by followers that are slightly behind."""

    async def scenario(deployment):
        statuses = []
        for number in range(60):
            ip = CONTROL_IPS[number % len(CONTROL_IPS)]
            path = END if number % 2 else START
            status, _, _ = await deployment.call(
                ip, deployment.control, b"POST", path
            )
            statuses.append(status)
        return statuses

    assert set(run(scenario)) == {200}
