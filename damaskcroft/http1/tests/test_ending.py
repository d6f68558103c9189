"""The order of steps in which a server ends, in virtual time."""

import asyncio

import pytest

from damaskcroft.http1 import EndingServer, EndTimes, end_server

TIMES = EndTimes(notice_s=1.0, listen_s=2.0, told_s=3.0, within_s=4.0)


class FakeServer(EndingServer):
    """Notes when each step comes first; its callers do as they are told."""

    answering = 0
    are_all_told = False
    open_count = 0

    def __init__(self, open_count):
        self.open_count = open_count
        self.first_at = {}
        self.began_at = asyncio.get_running_loop().time()

    @property
    def is_used(self):
        return self.open_count > 0

    def give_notice(self):
        super().give_notice()
        self._note("notice")

    async def stop_listening(self):
        self._note("stop_listening")

    def close_idle(self, quiet_s=0.0):
        assert quiet_s > 0
        self._note("close_idle")

    async def close(self):
        self._note("close")

    def _note(self, step):
        lasted_s = asyncio.get_running_loop().time() - self.began_at
        self.first_at.setdefault(step, pytest.approx(lasted_s, abs=0.05))


def ended(loop, open_count, then=lambda server: None, times=TIMES):
    async def scenario():
        server = FakeServer(open_count)
        loop.call_later(0.5, then, server)
        await end_server(server, times)
        return server.first_at

    return loop.run_until_complete(scenario())


def test_each_step_comes_in_its_time_and_the_last_in_any_case(loop):
    assert ended(loop, 1) == {
        "notice": 0.0,
        "close_idle": 1.0,
        "stop_listening": 2.0,
        "close": 4.0,
    }


def test_callers_that_were_told_are_waited_for_less_long(loop):
    def told(server):
        server.are_all_told = True

    assert ended(loop, 1, told)["close"] == 3.0


def test_a_server_without_connections_ends_at_once(loop):
    steps = ended(loop, 0)
    assert steps == {"notice": 0.0, "stop_listening": 0.0, "close": 0.0}


def test_the_notice_ends_with_the_last_connection(loop):
    def leaves(server):
        server.open_count = 0

    assert ended(loop, 1, leaves)["close"] == 0.5


def test_connections_that_the_kernel_held_get_the_rest_of_the_time(loop):
    # Against an end that cuts whoever connected at its last moment.
    class Held(FakeServer):
        async def stop_listening(self):
            await super().stop_listening()
            self.open_count = 1

    async def scenario():
        server = Held(0)
        await end_server(server, TIMES)
        return server.first_at

    steps = loop.run_until_complete(scenario())
    assert steps["stop_listening"] == 0.0
    assert steps["close"] == 4.0
