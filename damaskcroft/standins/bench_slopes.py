"""Measures the marginal costs for docs/CAPACITY.md: per agent, claim, holder.

Each slope is fitted by least squares to measurements at three or more sizes.
"""

import pathlib
import time

import numpy as np

from damaskcroft._generated import control_pb2
from damaskcroft.control._state import ControlState
from damaskcroft.membership import Roster
from damaskcroft.routing import PoolTable
from damaskcroft.standins.fleet import (
    Fleet,
    FleetPlan,
    TargetPlan,
    running_fleet,
)
from damaskcroft.standins.measure import Measurement, usage
from damaskcroft.weights import Participant, make_planner

_IDLE_SECONDS = 10.0
_AGENT_COUNTS = (5, 20, 60)
_CLAIM_COUNTS = (5_000, 20_000, 50_000)
_HOLDER_COUNTS = (500, 1500, 4000)
_ANSWER_BYTES = 2000
_PLANNED_CHUNKS = 2000
_US = 1e6


def run(folder: pathlib.Path) -> list[Measurement]:
    """Measures all marginal costs."""
    return [
        *_measure_idle(folder),
        *_measure_claims(),
        *_measure_roster(),
        *_measure_planning(),
    ]


def _measure_idle(folder: pathlib.Path) -> list[Measurement]:
    samples = []
    for count in _AGENT_COUNTS:
        samples.append(_idle_usage(folder / str(count), count))
    measurements = []
    slopes = (
        ("idle.network_bytes_s", "bytes/s/agent"),
        ("idle.leader_cpu", "core/agent"),
    )
    for position, (name, unit) in enumerate(slopes):
        values = [sample[position] for sample in samples]
        measurements.append(_fit_slope(name, unit, _AGENT_COUNTS, values))
    last = samples[-1]
    figures = (
        ("idle.agent_cpu", "core"),
        ("idle.agent_resident", "bytes"),
        ("idle.control_resident", "bytes"),
        ("idle.entry_resident", "bytes"),
        ("idle.entry_cpu", "core"),
    )
    for position, (name, unit) in enumerate(figures):
        conditions = {"agents": _AGENT_COUNTS[-1]}
        value = last[2 + position]
        measurements.append(Measurement(name, value, unit, None, conditions))
    return measurements


def _idle_usage(folder: pathlib.Path, count: int) -> tuple[float, ...]:
    targets = [
        TargetPlan(f"agent-{n:03}", "drafting", f"domain-{n % 3}")
        for n in range(count)
    ]
    plan = FleetPlan(targets, entries=1, start_targets=False)
    folder.mkdir()
    with running_fleet(folder, plan) as fleet:
        time.sleep(3.0)
        leader = fleet.leader()
        agents = [target.name for target in targets]
        bytes_before = _loopback_bytes()
        names = [leader, "entry-0", *agents]
        before = {name: _usage(fleet, name).cpu_s for name in names}
        time.sleep(_IDLE_SECONDS)
        bytes_s = (_loopback_bytes() - bytes_before) / _IDLE_SECONDS
        shares = {
            name: (_usage(fleet, name).cpu_s - before[name]) / _IDLE_SECONDS
            for name in names
        }
        return (
            bytes_s,
            shares[leader],
            sum(shares[name] for name in agents) / count,
            max(_usage(fleet, name).resident_bytes for name in agents),
            _usage(fleet, leader).resident_bytes,
            _usage(fleet, "entry-0").resident_bytes,
            shares["entry-0"],
        )


def _measure_claims() -> list[Measurement]:
    sizes, times_us = [], []
    for count in _CLAIM_COUNTS:
        state = ControlState(10**9, 10**9)
        commands = [_claim_command(n) for n in range(count)]
        started_at = time.process_time()
        for index, (claim, settle) in enumerate(commands):
            state.apply(2 * index + 1, claim)
            state.apply(2 * index + 2, settle(2 * index + 1))
        times_us.append((time.process_time() - started_at) * _US)
        sizes.append(float(len(state.snapshot())))
    conditions = {"answer_bytes": _ANSWER_BYTES}
    return [
        _fit_slope(
            "claims.state", "bytes/claim", _CLAIM_COUNTS, sizes, conditions
        ),
        _fit_slope(
            "claims.apply", "us/claim", _CLAIM_COUNTS, times_us, conditions
        ),
    ]


def _claim_command(number: int):
    key = f"voucher-{number:08}"
    claim = control_pb2.Command(
        claim=control_pb2.ClaimRequest(
            customer=f"customer-{number % 10}",
            key=key,
            body_digest=bytes(32),
            entry="entry-0",
            agent="agent-000",
            agent_incarnation="0123456789abcdef",
        )
    ).SerializeToString()

    def settle(run_number: int) -> bytes:
        return control_pb2.Command(
            settle=control_pb2.SettleRequest(
                customer=f"customer-{number % 10}",
                key=key,
                run_number=run_number,
                result=control_pb2.RESULT_DONE,
                answer=control_pb2.KeptAnswer(
                    status=200, body=bytes(_ANSWER_BYTES)
                ),
            )
        ).SerializeToString()

    return claim, settle


def _measure_roster() -> list[Measurement]:
    sizes, rebuilds_us, changes = [], [], []
    for count in _HOLDER_COUNTS:
        state = ControlState(10**9, 10**9)
        for number in range(count):
            command = control_pb2.Command(announce=_holder(number))
            state.apply(number + 1, command.SerializeToString())
        full_delta = state.delta_since(0)
        sizes.append(float(full_delta.ByteSize()))
        changes.append(float(state.delta_since(count - 1).ByteSize()))
        roster = Roster()
        roster.apply(full_delta)
        for holder in full_delta.holders:
            roster.reports_by_id[holder.id] = control_pb2.TargetReport(
                id=holder.id,
                incarnation=holder.incarnation,
                model="m",
                manifest="f" * 64,
            )
        table = PoolTable(roster)
        started_at = time.process_time()
        table.rebuild()
        rebuilds_us.append((time.process_time() - started_at) * _US)
    return [
        _fit_slope("roster.snapshot", "bytes/holder", _HOLDER_COUNTS, sizes),
        _fit_slope("roster.rebuild", "us/holder", _HOLDER_COUNTS, rebuilds_us),
        Measurement("roster.change", changes[-1], "bytes", None, {}),
    ]


def _holder(number: int) -> control_pb2.Announcement:
    return control_pb2.Announcement(
        id=f"agent-{number:05}",
        kind=control_pb2.HOLDER_AGENT,
        incarnation="0123456789abcdef",
        address=f"10.20.{number // 250}.{number % 250}:7001",
        region=f"region-{number % 8}",
        failure_domain=f"domain-{number % 22}",
        role="drafting",
        slots=8,
    )


def _measure_planning() -> list[Measurement]:
    times_us = []
    counts = (100, 500, 1500)
    for count in counts:
        participants = [
            Participant(f"agent-{n:05}", "", f"domain-{n % 22}")
            for n in range(count)
        ]
        planner = make_planner("latin", "agent-00007", participants)
        started_at = time.process_time()
        for index in range(_PLANNED_CHUNKS):
            planner.parent(index, frozenset())
        times_us.append(
            (time.process_time() - started_at) * _US / _PLANNED_CHUNKS
        )
    return [_fit_slope("burst.plan_chunk", "us/chunk/agent", counts, times_us)]


def _fit_slope(
    name: str,
    unit: str,
    sizes: tuple[int, ...],
    values: list[float],
    conditions: dict | None = None,
) -> Measurement:
    slope, intercept = np.polyfit(sizes, values, 1)
    slope_conditions = {
        **(conditions or {}),
        "sizes": list(sizes),
        "values": [round(value, 6) for value in values],
        "at_zero": round(float(intercept), 6),
    }
    return Measurement(name, float(slope), unit, None, slope_conditions)


def _usage(fleet: Fleet, name: str):
    return usage(fleet.processes_by_name[name].pid)


def _loopback_bytes() -> int:
    """Returns bytes received on the loopback interface (proc(5), net/dev)."""
    for line in pathlib.Path("/proc/net/dev").read_text().splitlines():
        if line.strip().startswith("lo:"):
            return int(line.split()[1])
    raise RuntimeError("no loopback interface")
