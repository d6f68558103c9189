"""Programs on a machine that was suspended for some seconds."""

import asyncio
import time
import types

import pytest

from damaskcroft._generated import fleet_pb2
from damaskcroft.fleet import FleetView
from damaskcroft.hosted import process
from damaskcroft.membership import Lease
from damaskcroft.rpc import _daemon

SUSPENDED_S = 5.0
WEIGHTS_S = 8.0


class Machine:
    """Clocks of a machine; the monotonic one stops during a suspension."""

    def __init__(self):
        self.suspended_s = 0.0
        self._read = time.clock_gettime

    def clock_gettime(self, clock):
        counts = clock in (time.CLOCK_BOOTTIME, time.CLOCK_REALTIME)
        return self._read(clock) + (self.suspended_s if counts else 0.0)


@pytest.fixture
def machine(monkeypatch):
    """Clocks that a test can advance by a suspension."""
    machine = Machine()
    monkeypatch.setattr(time, "clock_gettime", machine.clock_gettime)
    return machine


@pytest.fixture
def run_program(monkeypatch):
    """Runs a coroutine like a hosted program, without settings and logs."""
    settings = types.SimpleNamespace(
        name="e", ip="", failure_domain="", first_start=False, seeds=()
    )
    monkeypatch.setattr(process, "load_node_settings", lambda: settings)
    monkeypatch.setattr(process, "start_logs", lambda name: None)
    return lambda serve: process.run_hosted("entry", serve, 0)


@pytest.fixture
def run_daemon(monkeypatch):
    """Runs a coroutine like a daemon, without settings, keys and logs."""
    settings = types.SimpleNamespace(
        process=types.SimpleNamespace(name="a"), keys=None
    )
    monkeypatch.setattr(_daemon, "settings_or_exit", lambda *_, **__: settings)
    monkeypatch.setattr(_daemon, "load_keys", lambda keys: keys)
    monkeypatch.setattr(_daemon, "start_logs", lambda name: None)
    return lambda serve: _daemon.run_daemon(
        None, type(None), serve, check=False, reference=False
    )


def test_time_in_suspension_counts_towards_a_desired_version(
    machine, run_program
):
    """Guards against an entry that uses old weights after a suspension.

    The entry learned that version 2 had just been accepted, and its machine
    was suspended for 5 s. CLOCK_MONOTONIC, the only clock of every program's
    event loop, doesn't count a suspension, so the entry expected version 2
    to be served 8 s later by that clock, 13 s after its acceptance.
    """
    versions = []

    async def serve(settings, stop):
        del settings, stop
        view = FleetView()
        goal = fleet_pb2.WeightGoal(model="m", version=2, age_ms=3100)
        view.apply_update(fleet_pb2.FleetUpdate(goals=[goal]))
        versions.append(view.version_desired_for("m", WEIGHTS_S))
        machine.suspended_s = SUSPENDED_S
        versions.append(view.version_desired_for("m", WEIGHTS_S))

    run_program(serve)
    assert versions == [0, 2]


def test_a_lease_expires_during_a_suspension(machine, run_daemon):
    """Guards against a holder that acts on a lease that has long expired.

    The holder and the lease ledger measure a lease on their own clocks, and the
    holder's is to expire first. The clock of a holder that was suspended for
    5 s stopped meanwhile, so that its lease expired last. Every daemon's event
    loop used that clock.
    """
    held = []

    async def serve(settings, keys):
        del settings, keys
        lease = Lease()
        lease.grant(asyncio.get_running_loop().time(), 4.0)
        held.append(lease.is_held)
        machine.suspended_s = SUSPENDED_S
        held.append(lease.is_held)

    run_daemon(serve)
    assert held == [True, False]
