"""Callers with various connection handling while an entry stops."""

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

CALLERS_EACH = 20
# Longer than until a stopping entry closes idle connections.
LOAD_AFTER_STOP_S = 6.0
# As in the deployment's settings.
GRACE_S = 8.0


@pytest.mark.parametrize("seed", [1, 2])
def test_no_request_is_lost_while_an_entry_stops(play, seed):
    # Guards against requests that get a reset or no byte when an entry stops.
    async def scenario(deployment, gate, received):
        template = RequestTemplate(
            "POST",
            "/a/b",
            lambda number: {"Host": "h", "Request-Id": f"{seed}-{number}"},
            b"body",
        )
        address = f"{ENTRY_IP}:{deployment.front}"
        callers = StoppingCallers(address, template, CALLERS_EACH, seed)
        process = deployment.processes["entry-14"]
        async with callers.sending(LOAD_AFTER_STOP_S) as outcomes:
            process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
        print(collections.Counter(outcomes))
        lost = [o for o in outcomes if not o.rpartition(" ")[2].isdigit()]
        assert lost == []

    play(scenario)


def test_open_connections_do_not_delay_the_stop_of_an_entry(play):
    # Guards against an entry that the platform has to kill at the end of the
    # grace period.
    async def scenario(deployment, gate, received):
        loop = asyncio.get_running_loop()
        opened = [
            await asyncio.open_connection(ENTRY_IP, port)
            for port in (deployment.front, deployment.ready, deployment.metrics)
        ]
        process = deployment.processes["entry-14"]
        process.send_signal(signal.SIGTERM)
        signalled_at = loop.time()
        assert await process.wait() == 0
        assert loop.time() - signalled_at < GRACE_S
        for _, writer in opened:
            writer.close()

    play(scenario)


@pytest.mark.parametrize("grace_s", [0.5, 2.0, 4.0, 8.0, 30.0])
def test_answers_are_not_cut_before_the_last_sixth_of_the_grace_period(grace_s):
    # Guards against a margin that takes most of a short grace period.
    assert 0 < entry._shutdown_margin_s(grace_s) < grace_s / 6
