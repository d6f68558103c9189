"""Measures claim rate, time until a record is in force, overload and gaps."""

import asyncio
import json
import pathlib
import re
import signal
import time

from damaskcroft._generated import control_grpc, control_pb2, settings_pb2
from damaskcroft.config import SettingsFaults, load_settings
from damaskcroft.rpc import CALL_ERRORS, ChannelPool, load_keys
from damaskcroft.standins.bench_requests import (
    deploy,
    make_version,
    measure_closed_loop,
)
from damaskcroft.standins.closed_loop import ClosedLoopResult
from damaskcroft.standins.fleet import (
    Fleet,
    FleetPlan,
    TargetPlan,
    running_fleet,
)
from damaskcroft.standins.measure import Measurement, median, percentile, usage

_CLAIM_WORKERS = 128
_CLAIM_SECONDS = 5.0
_WRITES = 60
_GAP_TRIALS = 3
_PROBE_TIMEOUT_S = 0.5
_IN_FORCE = re.compile(r"event=in_force revision=\d+ took_s=(\S+)")
_MS = 1000.0


def run(folder: pathlib.Path) -> list[Measurement]:
    """Measures control with 3 replicas, 2 entries and 10 agents."""
    targets = [
        TargetPlan(f"agent-{n}", "drafting", f"domain-{n % 3}")
        for n in range(10)
    ]
    plan = FleetPlan(targets, token_s=0.02, slots=4)
    with running_fleet(folder, plan) as fleet:
        deploy(fleet, make_version(fleet))
        measurements = asyncio.run(_measure_claims_and_writes(fleet))
        measurements += _measure_in_force(fleet)
        measurements += _measure_overload(fleet)
        for name, signal_number in (
            ("control.gap_killed", signal.SIGKILL),
            ("control.gap_frozen", signal.SIGSTOP),
        ):
            measurements.append(_measure_gap(fleet, name, signal_number))
        return measurements


async def _measure_claims_and_writes(fleet: Fleet) -> list[Measurement]:
    pool = _channel_pool(fleet)
    leader = fleet.grpc_by_name[fleet.leader()]
    stub = control_grpc.ControlStub(pool.channel(leader))
    end_at = time.monotonic() + _CLAIM_SECONDS
    granted = 0
    process = fleet.processes_by_name[fleet.leader()]
    cpu_before_s = usage(process.pid).cpu_s

    async def claim(worker: int) -> None:
        nonlocal granted
        serial = 0
        while time.monotonic() < end_at:
            serial += 1
            request = control_pb2.ClaimRequest(
                customer=f"c{worker}",
                key=f"key-{serial}",
                body_digest=bytes(32),
                agent="agent-0",
                agent_incarnation="x",
            )
            reply = await stub.Claim(request)
            granted += reply.outcome == control_pb2.CLAIM_GRANTED

    await asyncio.gather(*(claim(n) for n in range(_CLAIM_WORKERS)))
    cpu_s = usage(process.pid).cpu_s - cpu_before_s
    for number in range(_WRITES):
        body = {"schema_version": 2, "kind": "drain", "name": "nobody"}
        request = control_pb2.WriteRequest(
            request_id=f"bench-{number}",
            kind="drain",
            name="nobody",
            body=json.dumps(body).encode(),
            withdraw=number % 2 == 1,
        )
        current = await stub.Read(control_pb2.ReadRequest())
        for record in current.records:
            if record.kind == "drain" and not record.withdrawn:
                request.expected_revision = record.revision
        await stub.Write(request)
        await asyncio.sleep(0.05)
    pool.close()
    return [
        Measurement(
            "claims.rate", granted / _CLAIM_SECONDS, "1/s", 2000.0,
            {"replicas": 3, "workers": _CLAIM_WORKERS},
        ),
        Measurement(
            "claims.leader_cpu", cpu_s / granted * 1e6, "us/claim", None,
            {"replicas": 3, "workers": _CLAIM_WORKERS},
        ),
    ]  # fmt: skip


def _measure_in_force(fleet: Fleet) -> list[Measurement]:
    time.sleep(1.0)
    times = []
    for number in range(fleet.plan.controls):
        text = fleet.log_path(f"control-{number}").read_text(encoding="utf-8")
        times += [float(t) for t in _IN_FORCE.findall(text)]
    conditions = {"control": 3, "entries": 2, "agents": 10, "n": len(times)}
    return [
        Measurement(
            "control.in_force_p99", percentile(times, 0.99), "s", 1.0,
            conditions,
        ),
        Measurement(
            "control.in_force_median", median(times), "s", None, conditions
        ),
    ]  # fmt: skip


def _measure_overload(fleet: Fleet) -> list[Measurement]:
    """Measures alerts and fairness between customers at twice the capacity."""
    url = fleet.entry_urls()[0]
    slots = fleet.plan.slots * len(fleet.plan.targets) // fleet.plan.entries
    alerts_alone = measure_closed_loop(
        url, 2, stream=True, tokens=10, priority="alert"
    )

    async def run_concurrently() -> list[ClosedLoopResult]:
        options = {"stream": True, "tokens": 10, "seconds": 8.0}
        calls = [
            _measure_in_thread(url, slots * 2, customer="large", **options),
            _measure_in_thread(url, 4, customer="small", **options),
            _measure_in_thread(
                url, 2, customer="crew", priority="alert", **options
            ),
        ]
        return list(await asyncio.gather(*calls))

    large, small, alerts = asyncio.run(run_concurrently())
    before_s = percentile(alerts_alone.first_token_s, 0.95)
    after_s = percentile(alerts.first_token_s, 0.95)
    conditions = {"load": "2x", "slots": slots, "token_s": 0.02}
    share = len(small.latencies_s) / 4 / (len(large.latencies_s) / slots / 2)
    return [
        Measurement(
            "overload.alert_first_token_ratio", after_s / before_s, "ratio",
            1.2, conditions,
        ),
        Measurement(
            "overload.small_customer_rate_ratio", share, "ratio", 1.0,
            conditions,
        ),
    ]  # fmt: skip


async def _measure_in_thread(
    url: str, workers: int, **options
) -> ClosedLoopResult:
    return await asyncio.to_thread(measure_closed_loop, url, workers, **options)


def _measure_gap(
    fleet: Fleet, name: str, signal_number: signal.Signals
) -> Measurement:
    """Measures the longest time without a granted claim after a leader loss."""
    gaps = []
    for _ in range(_GAP_TRIALS):
        leader = fleet.leader()
        gaps.append(
            asyncio.run(_gap_after_signal(fleet, leader, signal_number))
        )
        if signal_number == signal.SIGKILL:
            fleet.processes_by_name.pop(leader).wait()
            fleet.restart(leader)
        else:
            fleet.signal(leader, signal.SIGCONT)
        time.sleep(3.0)
    conditions = {"replicas": 3, "tries": [round(gap, 3) for gap in gaps]}
    return Measurement(name, max(gaps), "s", 2.0, conditions)


async def _gap_after_signal(
    fleet: Fleet, leader: str, signal_number: signal.Signals
) -> float:
    pool = _channel_pool(fleet)
    addresses = [
        fleet.grpc_by_name[f"control-{n}"]
        for n in range(fleet.plan.controls)
        if f"control-{n}" != leader
    ]
    fleet.signal(leader, signal_number)
    started_at = time.monotonic()
    serial = 0
    while True:
        serial += 1
        for address in addresses:
            stub = control_grpc.ControlStub(pool.channel(address))
            request = control_pb2.ClaimRequest(
                customer="gap", key=f"{started_at}-{serial}"
            )
            try:
                reply = await stub.Claim(request, timeout=_PROBE_TIMEOUT_S)
            except CALL_ERRORS:
                continue
            if reply.outcome == control_pb2.CLAIM_GRANTED:
                pool.close()
                return time.monotonic() - started_at
        await asyncio.sleep(0.01)


def _channel_pool(fleet: Fleet) -> ChannelPool:
    path = fleet.folder / "operator.ini"
    settings = load_settings(path, settings_pb2.OperatorSettings)
    if isinstance(settings, SettingsFaults):
        raise RuntimeError(str(settings.faults))
    return ChannelPool(load_keys(settings.keys))
