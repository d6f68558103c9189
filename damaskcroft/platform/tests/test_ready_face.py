"""Probes of an entry's readiness over one connection."""

import asyncio

import pytest

from damaskcroft.http1 import TargetConnection, connect, serve_callers
from damaskcroft.platform.ready_face import ReadyFace
from damaskcroft.standins.loopback import own_network, ports

ADDRESS = f"{own_network().prefix}.33:{next(ports())}"
END_S = 0.2


async def probe(connection, method=b"GET", target=b"/api/ready"):
    """Returns the head of the answer to one probe."""
    await connection.send(method, target, [(b"host", b"h")], b"")
    head = await connection.read_head(lambda _: True)
    while await connection.read_part():
        pass
    return head


def served(scenario, is_ready=lambda: True):
    """Runs a scenario with the server and one connection to it."""

    async def run():
        async with serve_callers(
            ADDRESS, ReadyFace(is_ready), shutdown_notice_s=END_S, end_s=END_S
        ) as server:
            connection = TargetConnection(await connect(ADDRESS, 1), "", "")
            try:
                return await scenario(connection, server)
            finally:
                connection.close()

    return asyncio.run(run())


def test_a_change_of_readiness_shows_on_the_open_connection():
    ready = True

    async def scenario(connection, _):
        nonlocal ready
        before = await probe(connection)
        ready = False
        return before, await probe(connection)

    before, after = served(scenario, lambda: ready)
    assert (before.status, after.status) == (200, 503)
    assert before.value(b"date")


@pytest.mark.parametrize(
    "method, target, status",
    [
        (b"GET", b"/api/ready?x=1", 200),
        (b"GET", b"/api/other", 404),
        (b"POST", b"/api/ready", 405),
    ],
)
def test_only_reads_of_the_probed_path_are_answered(method, target, status):
    async def scenario(connection, _):
        return await probe(connection, method, target)

    assert served(scenario).status == status


def test_an_answer_after_the_notice_is_the_last_one_of_its_connection():
    # Guards against a probe that is sent on a connection about to close.
    async def scenario(connection, server):
        before = await probe(connection)
        server.announce_shutdown()
        return before, await probe(connection)

    before, after = served(scenario)
    assert before.value(b"connection") == ""
    assert after.value(b"connection") == "close"
