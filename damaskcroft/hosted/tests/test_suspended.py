"""A program on a machine that was suspended for some seconds."""

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
    """Its clocks: the steady one stands still while it is suspended."""

    def __init__(self):
        self.suspended_s = 0.0
        self._read = time.clock_gettime

    def clock_gettime(self, clock):
        counts = clock in (time.CLOCK_BOOTTIME, time.CLOCK_REALTIME)
        return self._read(clock) + (self.suspended_s if counts else 0.0)


@pytest.fixture
def machine(monkeypatch):
    """Clocks that a test may let a suspension pass by."""
    machine = Machine()
    monkeypatch.setattr(time, "clock_gettime", machine.clock_gettime)
    return machine


@pytest.fixture
def run_program(monkeypatch):
    """Runs work as a hosted program does, without settings and logs."""
    settings = types.SimpleNamespace(
        name="e", ip="", failure_domain="", first_start=False, seeds=()
    )
    monkeypatch.setattr(process, "load_node_settings", lambda: settings)
    monkeypatch.setattr(process, "start_logs", lambda name: None)
    return lambda serve: process.run_hosted("entry", serve, 0)


@pytest.fixture
def run_daemon(monkeypatch):
    """Runs work as a daemon does, without settings, keys and logs."""
    settings = types.SimpleNamespace(
        process=types.SimpleNamespace(name="a"), keys=None
    )
    monkeypatch.setattr(_daemon, "settings_or_exit", lambda *_, **__: settings)
    monkeypatch.setattr(_daemon, "load_keys", lambda keys: keys)
    monkeypatch.setattr(_daemon, "start_logs", lambda name: None)
    return lambda serve: _daemon.run_daemon(
        None, type(None), serve, check=False, reference=False
    )


def test_time_on_a_suspended_machine_counts(machine, run_program):
    """An entry sent to old weights for as long as it had been suspended.

    It heard that version 2 had just been accepted, and its machine was
    suspended for 5 s. It asked the steady clock, which doesn't count that
    time, and held version 2 to be due 8 s later by that clock: 13 s after
    its acceptance. Evidence: CLOCK_MONOTONIC stands still in a suspension,
    and the loop of every program asked nothing else.
    """
    due = []

    async def serve(settings, stop):
        del settings, stop
        view = FleetView()
        goal = fleet_pb2.WeightGoal(model="m", version=2, age_ms=3100)
        view.apply_update(fleet_pb2.FleetUpdate(goals=[goal]))
        due.append(view.due_version("m", WEIGHTS_S))
        machine.suspended_s = SUSPENDED_S
        due.append(view.due_version("m", WEIGHTS_S))

    run_program(serve)
    assert due == [0, 2]


def test_a_lease_runs_out_on_a_suspended_machine(machine, run_daemon):
    """A holder acted on a lease that the ledger had long taken for lapsed.

    Holder and ledger each count a lease on a clock of their own, and the
    holder ends first. A holder that was suspended for 5 s had its clock stand
    still meanwhile, and ended last. Evidence: as above; every daemon's loop
    asked the same clock.
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
