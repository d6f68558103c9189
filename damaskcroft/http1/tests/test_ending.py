"""The steps of a graceful shutdown and their times, in virtual time."""

import asyncio

import pytest

from damaskcroft.http1 import GracefulServer, ShutdownTimes, shut_down_server

TIMES = ShutdownTimes(
    shutdown_notice_s=1.0, accept_s=2.0, close_wait_s=3.0, within_s=4.0
)


class FakeServer(GracefulServer):
    """Records when each step of the shutdown first occurs."""

    answering = 0
    only_lingering_open = False
    open_count = 0

    def __init__(self, open_count):
        self.open_count = open_count
        self.first_at = {}
        self.began_at = asyncio.get_running_loop().time()

    @property
    def is_active(self):
        return self.open_count > 0

    def announce_shutdown(self):
        super().announce_shutdown()
        self._note("notice")

    async def stop_listening(self):
        self._note("stop_listening")

    def close_idle(self, min_idle_s=0.0):
        assert min_idle_s > 0
        self._note("close_idle")

    async def close(self):
        self._note("close")

    def _note(self, step):
        lasted_s = asyncio.get_running_loop().time() - self.began_at
        self.first_at.setdefault(step, pytest.approx(lasted_s, abs=0.05))


def run_shutdown(loop, open_count, then=lambda server: None, times=TIMES):
    async def scenario():
        server = FakeServer(open_count)
        loop.call_later(0.5, then, server)
        await shut_down_server(server, times)
        return server.first_at

    return loop.run_until_complete(scenario())


def test_each_step_occurs_at_its_time_and_close_always(loop):
    assert run_shutdown(loop, 1) == {
        "notice": 0.0,
        "close_idle": 1.0,
        "stop_listening": 2.0,
        "close": 4.0,
    }


def test_half_closed_connections_are_waited_for_less_long(loop):
    def half_close_all(server):
        server.only_lingering_open = True

    assert run_shutdown(loop, 1, half_close_all)["close"] == 3.0


def test_a_server_without_connections_shuts_down_at_once(loop):
    steps = run_shutdown(loop, 0)
    assert steps == {"notice": 0.0, "stop_listening": 0.0, "close": 0.0}


def test_the_notice_ends_with_the_last_connection(loop):
    def close_last(server):
        server.open_count = 0

    assert run_shutdown(loop, 1, close_last)["close"] == 0.5


def test_connections_from_the_kernel_queue_get_the_remaining_time(loop):
    # Guards against a shutdown that cancels requests on connections accepted
    # from the kernel's queue.
    class ServerWithQueue(FakeServer):
        async def stop_listening(self):
            await super().stop_listening()
            self.open_count = 1

    async def scenario():
        server = ServerWithQueue(0)
        await shut_down_server(server, TIMES)
        return server.first_at

    steps = loop.run_until_complete(scenario())
    assert steps["stop_listening"] == 0.0
    assert steps["close"] == 4.0
