"""The server for /metrics: answers, idle cost and end."""

import asyncio

import pytest

from damaskcroft.http1 import NoAnswerError, TargetConnection, connect
from damaskcroft.rpc import serve_metrics
from damaskcroft.standins.loopback import own_network, ports

ADDRESS = f"{own_network().prefix}.32:{next(ports())}"
END_S = 0.2
SERVED_S = 0.5


async def fetch(method, target):
    """Returns the head and the body of the answer to a request."""
    connection = TargetConnection(await connect(ADDRESS, 1), "", "")
    try:
        await connection.send(method, target, [(b"host", b"h")], b"")
        head = await connection.read_head(lambda _: True)
        body = b""
        while part := await connection.read_part():
            body += part
        return head, body
    finally:
        connection.close()


def served(scenario):
    async def run():
        async with serve_metrics(ADDRESS, END_S):
            return await scenario()

    return asyncio.run(run())


def test_metrics_are_answered_whole():
    head, body = served(lambda: fetch(b"GET", b"/metrics"))
    assert head.status == 200
    assert b"# TYPE damask_unanswered_total counter" in body
    assert head.value(b"content-type").startswith("text/plain")
    assert head.value(b"date")


@pytest.mark.parametrize(
    "method, target, status",
    [(b"GET", b"/", 404), (b"POST", b"/metrics", 405)],
)
def test_other_requests_are_refused(method, target, status):
    head, _ = served(lambda: fetch(method, target))
    assert head.status == status


def test_a_head_that_arrives_in_parts_is_answered():
    async def scenario():
        reader, writer = await asyncio.open_connection(*ADDRESS.split(":"))
        for part in (b"GET /met", b"rics HTTP/1.1\r\nHost: h\r\n", b"\r\n"):
            writer.write(part)
            await asyncio.sleep(0.01)
        status_line = await reader.readline()
        writer.close()
        return status_line

    assert served(scenario).startswith(b"HTTP/1.1 200 ")


def test_a_head_without_end_is_refused():
    # Guards against a buffer that grows for as long as a caller sends.
    async def scenario():
        reader, writer = await asyncio.open_connection(*ADDRESS.split(":"))
        writer.write(b"GET /metrics HTTP/1.1\r\nX: " + b"x" * 20_000)
        status_line = await reader.readline()
        writer.close()
        return status_line

    assert served(scenario).startswith(b"HTTP/1.1 431 ")


def test_an_idle_server_sets_no_timer(monkeypatch):
    # Guards against wake-ups of an idle process.
    timers = []
    call_at = asyncio.BaseEventLoop.call_at

    def count_call(self, *args, **options):
        timers.append(args)
        return call_at(self, *args, **options)

    async def scenario():
        monkeypatch.setattr(asyncio.BaseEventLoop, "call_at", count_call)
        await asyncio.sleep(SERVED_S)
        monkeypatch.undo()

    served(scenario)
    assert len(timers) == 1, "only that of the test's own sleep"


def test_an_open_connection_does_not_delay_the_end_of_the_server():
    async def scenario():
        reader, writer = await asyncio.open_connection(*ADDRESS.split(":"))
        return reader, writer, asyncio.get_running_loop().time()

    async def run():
        async with serve_metrics(ADDRESS, END_S):
            reader, writer, ending_at = await scenario()
        writer.close()
        assert asyncio.get_running_loop().time() - ending_at < 3 * END_S
        with pytest.raises((NoAnswerError, OSError)):
            await fetch(b"GET", b"/metrics")

    asyncio.run(run())


def test_an_address_in_use_is_reported_with_the_address():
    async def scenario():
        async with serve_metrics(ADDRESS, END_S):
            pass

    ip, _, port = ADDRESS.partition(":")
    with pytest.raises(OSError, match=f"{ip}.*{port}"):
        served(scenario)
