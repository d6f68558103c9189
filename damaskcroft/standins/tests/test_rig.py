"""The harness itself: fleets beside each other, and processes that can't start.

What happened: of 48 runs of two tests, five at once, in two a process could
not bind its port (`Errno 98`). The harness had let the port go before it was
bound, and another fleet had taken it. The fleet ran on without that process,
and the test waited 60 s for what only that process could have brought: the
very sign of an accepted version that reaches no target.
"""

import contextlib
import socket
import time

import pytest

from damaskcroft.standins.fleet import Fleet, FleetPlan, ProcessEndedError
from damaskcroft.standins.loopback import own_network
from damaskcroft.standins.tests.conftest import targets


def test_two_owners_never_hold_one_network():
    networks = [own_network.__wrapped__() for _ in range(20)]
    assert len({network.prefix for network in networks}) == len(networks)


def test_two_fleets_share_no_address(tmp_path):
    fleets = [
        Fleet(tmp_path / str(number), FleetPlan(targets(), keys=False))
        for number in range(2)
    ]
    hosts = {fleet.host for fleet in fleets}
    assert len(hosts) == 2


@pytest.mark.parametrize(
    "name", ["control-0", "entry-1", "drafting-1", "target-drafting-0"]
)
def test_a_process_that_cannot_bind_fails_the_start_by_its_name(tmp_path, name):
    fleet = Fleet(tmp_path, FleetPlan(targets()[:2], keys=False))
    fleet.plan_addresses()
    host, _, port = fleet.http_by_name[name].rpartition(":")
    began_at = time.monotonic()
    with contextlib.ExitStack() as stack:
        taken = stack.enter_context(socket.socket())
        taken.bind((host, int(port)))
        stack.callback(fleet.stop)
        with pytest.raises(ProcessEndedError) as raised:
            fleet.start()
    assert raised.value.name == name
    assert f"{host}:{port}" in str(raised.value)
    assert "event=cannot_start" in str(raised.value)
    assert time.monotonic() - began_at < 20
