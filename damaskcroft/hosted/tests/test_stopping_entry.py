"""Callers of every habit while a hosted entry stops."""

import asyncio
import collections
import signal

import pytest

from damaskcroft.hosted import entry
from damaskcroft.hosted.tests.deployment import ENTRY_IP
from damaskcroft.standins.stopping_callers import (
    RequestTemplate,
    StoppingCallers,
)

EACH = 20
# Past the moment at which a stopping entry ends idle connections.
OVER_S = 6.0
# Of the deployment's settings.
GRACE_S = 8.0


@pytest.mark.parametrize("seed", [1, 2])
def test_no_request_is_lost_while_an_entry_stops(play, seed):
    # Against requests that get a reset or no byte when an entry ends.
    async def scenario(deployment, gate, asked):
        template = RequestTemplate(
            "POST",
            "/a/b",
            lambda number: {"Host": "h", "Request-Id": f"{seed}-{number}"},
            b"body",
        )
        address = f"{ENTRY_IP}:{deployment.front}"
        callers = StoppingCallers(address, template, EACH, seed)
        process = deployment.processes["entry-14"]
        async with callers.sending(OVER_S) as outcomes:
            process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
        print(collections.Counter(outcomes))
        lost = [o for o in outcomes if not o.rpartition(" ")[2].isdigit()]
        assert lost == []

    play(scenario)


def test_callers_that_close_nothing_do_not_hold_up_an_entry(play):
    # Against an entry that the platform has to kill at the end of its grace.
    async def scenario(deployment, gate, asked):
        loop = asyncio.get_running_loop()
        opened = [
            await asyncio.open_connection(ENTRY_IP, port)
            for port in (deployment.front, deployment.ready, deployment.metrics)
        ]
        process = deployment.processes["entry-14"]
        process.send_signal(signal.SIGTERM)
        told_at = loop.time()
        assert await process.wait() == 0
        assert loop.time() - told_at < GRACE_S
        for _, writer in opened:
            writer.close()

    play(scenario)


@pytest.mark.parametrize("grace_s", [0.5, 2.0, 4.0, 8.0, 30.0])
def test_nothing_is_ended_before_the_last_sixth_of_the_grace(grace_s):
    # Against a short grace period of which most is kept back.
    assert 0 < entry._spare_s(grace_s) < grace_s / 6
