"""Measures entry and agent against a pass-through in the same run."""

import asyncio
import json
import pathlib
import sys
import time
from typing import Any

from damaskcroft.standins.closed_loop import (
    ClosedLoopPlan,
    ClosedLoopResult,
    run_closed_loop,
)
from damaskcroft.standins.fleet import (
    Fleet,
    FleetPlan,
    TargetPlan,
    running_fleet,
)
from damaskcroft.standins.measure import (
    Measurement,
    median,
    percentile,
    usage,
)
from damaskcroft.standins.models import ModelVersion, write_model

_MODEL = "bench"
_SECONDS = 6.0
_STREAM_TOKENS = 200
_MS = 1000.0


def run(folder: pathlib.Path) -> list[Measurement]:
    """Measures latency, request rate, token rate and overload."""
    plan = FleetPlan(
        [TargetPlan("agent-0", "drafting", "tunis")],
        controls=3,
        entries=1,
        token_s=0.0,
        slots=256,
    )
    with running_fleet(folder, plan) as fleet:
        deploy(fleet, make_version(fleet))
        _start_baseline(fleet)
        entry_url = fleet.entry_urls()[0]
        baseline_url = f"http://{fleet.http_by_name['baseline']}"
        measurements = _measure_latency(entry_url, baseline_url)
        measurements += _measure_rate(fleet, entry_url, baseline_url)
        measurements += _measure_tokens(fleet, entry_url, baseline_url)
        measurements += _measure_claims(entry_url)
    return measurements


def make_version(fleet: Fleet, size_bytes: int = 2**20) -> ModelVersion:
    """Writes a small model."""
    return write_model(fleet.weights_folder, _MODEL, "1", size_bytes, 2**18)


def deploy(fleet: Fleet, version: ModelVersion) -> None:
    """Deploys a version to every model engine of a fleet."""
    record = {
        "schema_version": 2,
        "kind": "deployment",
        "name": "bench",
        "model": _MODEL,
        "version": version.version,
        "manifest": version.digest,
        "targets": {},
        "rollout": {"floor": 0, "max_out": 100},
    }
    path = fleet.folder / "record.json"
    path.write_text(json.dumps(record), encoding="utf-8")
    result = fleet.ctl("apply", str(path))
    if result.returncode:
        raise RuntimeError(result.stderr)
    count = sum(1 for target in fleet.plan.targets if not target.service)
    fleet.wait_for(
        lambda: len(fleet.serving(version.version)) == count, "deployed"
    )
    time.sleep(0.5)


def measure_closed_loop(
    url: str, workers: int, **options: Any
) -> ClosedLoopResult:
    """Runs a closed-loop load, for the default duration unless given."""
    plan = ClosedLoopPlan(
        url=url,
        model=_MODEL,
        workers=workers,
        **{"seconds": _SECONDS, **options},
    )
    return asyncio.run(run_closed_loop(plan))


def _start_baseline(fleet: Fleet) -> None:
    fleet.http_by_name["baseline"] = f"{fleet.host}:{next(fleet.ports)}"
    program = pathlib.Path(sys.executable).parent / "damask-standin"
    target = fleet.http_by_name["target-agent-0"]
    fleet.start_program(
        "baseline",
        [
            str(program), "passthrough", target,
            "--listen", fleet.http_by_name["baseline"],
        ],
    )  # fmt: skip
    time.sleep(2.0)


def _measure_latency(entry_url: str, baseline_url: str) -> list[Measurement]:
    measurements = []
    conditions = {"workers": 1, "tokens": 1}
    baseline = measure_closed_loop(baseline_url, 1).latencies_s
    through_entry = measure_closed_loop(entry_url, 1).latencies_s
    for name, share in (("median", 0.5), ("p99", 0.99)):
        before = percentile(baseline, share) * _MS
        after = percentile(through_entry, share) * _MS
        measurements.append(
            Measurement(
                f"requests.added_{name}", after - before, "ms", before,
                conditions,
            )
        )  # fmt: skip
    return measurements


def _measure_rate(
    fleet: Fleet, entry_url: str, baseline_url: str
) -> list[Measurement]:
    conditions = {"workers": 32, "tokens": 1}
    before = _per_core(fleet, ["baseline"], baseline_url, stream=False)
    after = _per_core(fleet, ["entry-0", "agent-0"], entry_url, stream=False)
    entry = _per_core(fleet, ["entry-0"], entry_url, stream=False)
    agent = _per_core(fleet, ["agent-0"], entry_url, stream=False)
    return [
        Measurement(
            "requests.per_core", after[0], "1/s/core", before[0], conditions
        ),
        Measurement(
            "requests.per_core_entry", entry[0], "1/s/core", None, conditions
        ),
        Measurement(
            "requests.per_core_agent", agent[0], "1/s/core", None, conditions
        ),
    ]


def _measure_tokens(
    fleet: Fleet, entry_url: str, baseline_url: str
) -> list[Measurement]:
    conditions = {"workers": 32, "tokens": _STREAM_TOKENS}
    before = _per_core(fleet, ["baseline"], baseline_url, stream=True)
    after = _per_core(fleet, ["entry-0", "agent-0"], entry_url, stream=True)
    entry = _per_core(fleet, ["entry-0"], entry_url, stream=True)
    return [
        Measurement(
            "tokens.per_core", after[1], "1/s/core", before[1], conditions
        ),
        Measurement(
            "tokens.per_core_entry", entry[1], "1/s/core", None, conditions
        ),
    ]


def _per_core(
    fleet: Fleet, names: list[str], url: str, *, stream: bool
) -> tuple[float, float]:
    """Returns requests and tokens per second of processor time."""
    pids = [fleet.processes_by_name[name].pid for name in names]
    before_s = sum(usage(pid).cpu_s for pid in pids)
    tokens = _STREAM_TOKENS if stream else 1
    result = measure_closed_loop(url, 32, tokens=tokens, stream=stream)
    cpu_s = sum(usage(pid).cpu_s for pid in pids) - before_s
    return len(result.latencies_s) / cpu_s, result.tokens / cpu_s


def _measure_claims(entry_url: str) -> list[Measurement]:
    plain = measure_closed_loop(entry_url, 4).latencies_s
    once = measure_closed_loop(entry_url, 4, once=True).latencies_s
    added_ms = (median(once) - median(plain)) * _MS
    return [
        Measurement(
            "claims.added_median", added_ms, "ms", median(plain) * _MS,
            {"workers": 4, "replicas": 3},
        )
    ]  # fmt: skip
