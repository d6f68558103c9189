"""Callers of every connection pattern while an entry stops.

The entry is suspended repeatedly, as on a busy machine.
"""

import asyncio
import collections
import json
import random
import signal

import pytest

from damaskcroft.standins.stopping_callers import (
    RequestTemplate,
    StoppingCallers,
)
from damaskcroft.standins.tests.conftest import MODEL

EACH = 20
SENDING_PERIOD_S = 3.2
SUSPENSION_PERIOD_S = 1.5
BODY = json.dumps({"model": MODEL, "prompt": "p", "max_tokens": 2}).encode()


def headers_for(_):
    return {"Content-Type": "application/json", "Damask-Customer": "notary"}


@pytest.mark.parametrize("seed", [1, 2])
def test_no_request_is_lost_while_an_entry_stops(site, seed):
    # Guards against requests that get a reset or no byte when an entry ends.
    site.deploy("1")

    async def scenario():
        template = RequestTemplate("POST", "/v1/completions", headers_for, BODY)
        address = site.fleet.http_by_name["entry-1"]
        callers = StoppingCallers(address, template, EACH, seed)
        async with callers.sending(SENDING_PERIOD_S) as outcomes:
            stopping = asyncio.create_task(
                asyncio.to_thread(site.fleet.terminate, "entry-1")
            )
            await suspend_repeatedly(
                site.fleet.processes_by_name["entry-1"], seed
            )
        assert await stopping == 0
        return outcomes

    outcomes = asyncio.run(scenario())
    print(collections.Counter(outcomes))
    lost = [o for o in outcomes if not o.rpartition(" ")[2].isdigit()]
    assert lost == []


async def suspend_repeatedly(process, seed):
    """Suspends and resumes a process at random, as a busy machine does."""
    rng = random.Random(seed)
    loop = asyncio.get_running_loop()
    until = loop.time() + SUSPENSION_PERIOD_S
    while loop.time() < until:
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(rng.choice((0.03, 0.1, 0.3)))
        process.send_signal(signal.SIGCONT)
        await asyncio.sleep(rng.uniform(0.02, 0.3))
