"""Measures staging time and origin traffic of real agents on paced links."""

import dataclasses
import datetime
import json
import pathlib
import re
import time

from damaskcroft.standins.fleet import (
    Fleet,
    FleetPlan,
    TargetPlan,
    running_fleet,
)
from damaskcroft.standins.measure import Measurement, usage
from damaskcroft.standins.models import ModelVersion, write_model

_MODEL = "burst"
_DOMAINS = ["east", "west", "south"]
_TIMEOUT_S = 150.0


@dataclasses.dataclass(frozen=True, slots=True)
class BurstCase:
    """Parameters of one measured burst.

    Attributes:
        agents: number of agents.
        strategy: peer selection strategy.
        size_bytes: size of the model.
        link_bytes_s: rate of each agent's link, each way; the origin's link
            has twice that rate, the ratio of four copies to two.
        chunk_bytes: size of a chunk.
        kill_share: share of the agents killed halfway through the burst.
        corrupt_every: the origin corrupts every n-th range; 0 for none.
        policy: burst policy of the deployment record.
        parallel_fetches: concurrent chunk fetches from peers.
        parallel_uploads: concurrent chunk uploads to peers.
    """

    agents: int
    strategy: str
    size_bytes: int = 16 * 2**20
    link_bytes_s: float = 2 * 2**20
    chunk_bytes: int = 256 * 1024
    kill_share: float = 0.0
    corrupt_every: int = 0
    policy: str = "fewest_origin_bytes"
    parallel_fetches: int = 64
    parallel_uploads: int = 1


_CASES = [
    BurstCase(10, "origin"),
    BurstCase(10, "chain"),
    BurstCase(10, "rendezvous"),
    BurstCase(10, "latin"),
    BurstCase(10, "latin", policy="least_time"),
    BurstCase(10, "latin", corrupt_every=5),
    BurstCase(10, "latin", kill_share=0.1),
    BurstCase(30, "latin"),
    BurstCase(30, "rendezvous"),
    BurstCase(100, "latin", link_bytes_s=2**19),
]


def run(folder: pathlib.Path) -> list[Measurement]:
    """Measures every burst case."""
    measurements = []
    for number, case in enumerate(_CASES):
        measurements += measure(folder / str(number), case)
    return measurements


def measure(folder: pathlib.Path, case: BurstCase) -> list[Measurement]:
    """Runs one burst on a fleet without other load."""
    targets = [
        TargetPlan(f"agent-{number:03}", "drafting", _DOMAINS[number % 3])
        for number in range(case.agents)
    ]
    plan = FleetPlan(
        targets,
        controls=1,
        entries=0,
        origin_bytes_s=2 * case.link_bytes_s,
        link_bytes_s=case.link_bytes_s,
        strategy=case.strategy,
        keys=False,
        corrupt_every=case.corrupt_every,
        start_targets=False,
        parallel_fetches=case.parallel_fetches,
        parallel_uploads=case.parallel_uploads,
    )
    folder.mkdir()
    with running_fleet(folder, plan) as fleet:
        version = write_model(
            fleet.weights_folder, _MODEL, "1", case.size_bytes, case.chunk_bytes
        )
        return _run_burst(fleet, case, version)


def _run_burst(
    fleet: Fleet, case: BurstCase, version: ModelVersion
) -> list[Measurement]:
    bound_s = version.size_bytes / case.link_bytes_s
    names = [target.name for target in fleet.plan.targets]
    killed = (
        set(names[:: max(1, round(1 / case.kill_share))])
        if (case.kill_share)
        else set()
    )
    cpu_before_s = _cpu_s(fleet, set(names) - killed)
    _apply(fleet, case, version)
    if killed:
        time.sleep(bound_s / 2)
        for name in killed:
            fleet.kill(name)
    remaining = set(names) - killed
    fleet.wait_for(
        lambda: _have_all_staged(fleet, remaining), "staged", _TIMEOUT_S
    )
    accepted_at = _first_logged_at(fleet, "control-0", "record_written")
    staged_s = max(_staged_times(fleet, remaining)) - accepted_at
    cpu_s = _cpu_s(fleet, remaining) - cpu_before_s
    counts = fleet.get_json("origin", "/counts")
    status = fleet.status()
    return _measurements(
        case, version, bound_s, staged_s, cpu_s, counts, status, remaining
    )


def _measurements(
    case: BurstCase,
    version: ModelVersion,
    bound_s: float,
    staged_s: float,
    cpu_s: float,
    counts: dict,
    status: dict,
    remaining: set[str],
) -> list[Measurement]:
    conditions = {**dataclasses.asdict(case), "bound_s": round(bound_s, 2)}
    copies_by_link = []
    for holder in status["holders"]:
        if holder["announcement"]["id"] in remaining:
            burst = holder["report"]["burst"]
            moved_bytes = sum(
                int(burst.get(f"{source}_bytes", 0))
                for source in ("origin", "store", "peer", "sent")
            )
            copies_by_link.append(moved_bytes / version.size_bytes)
    ratio = staged_s / bound_s
    copies = counts["sent_bytes"] / version.size_bytes
    gigabytes = len(remaining) * version.size_bytes / 1e9
    return [
        Measurement("burst.time_ratio", ratio, "ratio", 1.0, conditions),
        Measurement("burst.origin_copies", copies, "copies", 1.0, conditions),
        Measurement(
            "burst.link_copies", max(copies_by_link), "copies", 2.0, conditions
        ),
        Measurement(
            "burst.cpu_per_gb", cpu_s / gigabytes, "s/GB", None, conditions
        ),
    ]


def _apply(fleet: Fleet, case: BurstCase, version: ModelVersion) -> None:
    record = {
        "schema_version": 2,
        "kind": "deployment",
        "name": "burst",
        "model": _MODEL,
        "version": "1",
        "manifest": version.digest,
        "targets": {"roles": ["drafting"]},
        "rollout": {"floor": 0, "max_out": 100},
        "burst": {"policy": case.policy, "origin_copies_cap": 3},
    }
    path = fleet.folder / "record.json"
    path.write_text(json.dumps(record), encoding="utf-8")
    result = fleet.ctl("apply", str(path))
    if result.returncode:
        raise RuntimeError(result.stderr)


def _have_all_staged(fleet: Fleet, names: set[str]) -> bool:
    return len(_staged_times(fleet, names)) == len(names)


def _staged_times(fleet: Fleet, names: set[str]) -> list[float]:
    """Returns the times at which agents logged a complete version."""
    times = [_first_logged_at(fleet, name, "staged") for name in names]
    return [at for at in times if at]


def _first_logged_at(fleet: Fleet, name: str, event: str) -> float:
    """Returns the wall-clock time of the first such event, or 0."""
    text = fleet.log_path(name).read_text(encoding="utf-8")
    match = re.search(rf"time=(\S+) .*event={event} ", text)
    if match is None:
        return 0.0
    return datetime.datetime.fromisoformat(match.group(1)).timestamp()


def _cpu_s(fleet: Fleet, names: set[str]) -> float:
    return sum(usage(fleet.processes_by_name[name].pid).cpu_s for name in names)
