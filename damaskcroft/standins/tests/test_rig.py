"""Tests of the harness: concurrent fleets, and processes that fail to start.

They guard against port collisions: in 2 of 48 runs, five at once, a process
could not bind its port (`Errno 98`). The harness had released the port before
the process bound it, and another fleet had taken it in between. The fleet ran
on without that process, and the test waited 60 s for work of that process, with
the same symptom as an accepted version that reaches no target.
"""

import contextlib
import socket
import time

import pytest

from damaskcroft.standins.fleet import Fleet, FleetPlan, ProcessEndedError
from damaskcroft.standins.loopback import own_network
from damaskcroft.standins.tests.conftest import targets


def test_two_owners_never_reserve_the_same_network():
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
        occupying_socket = stack.enter_context(socket.socket())
        occupying_socket.bind((host, int(port)))
        stack.callback(fleet.stop)
        with pytest.raises(ProcessEndedError) as raised:
            fleet.start()
    assert raised.value.name == name
    assert f"{host}:{port}" in str(raised.value)
    assert "event=cannot_start" in str(raised.value)
    assert time.monotonic() - began_at < 20
