"""Time to N replicas and origin bytes, with real agents on paced links."""

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
    """One burst to be measured.

    Attributes:
        agents: how many.
        strategy: who fetches from whom.
        size_bytes: of the model.
        link_bytes_s: rate of each agent's link, each way; the origin's is
            twice that, as four copies are to two.
        chunk_bytes: size of a chunk.
        kill_share: share of the agents killed in the middle.
        corrupt_every: the origin corrupts every n-th range.
        policy: the record's burst policy.
        parallel_fetches: chunks asked of peers at once.
        parallel_uploads: chunks sent to peers at once.
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
    """Measures every case."""
    found = []
    for number, case in enumerate(_CASES):
        found += measure(folder / str(number), case)
    return found


def measure(folder: pathlib.Path, case: BurstCase) -> list[Measurement]:
    """Runs one burst on an idle fleet."""
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
    cpu_before = _cpu_s(fleet, set(names) - killed)
    _apply(fleet, case, version)
    if killed:
        time.sleep(bound_s / 2)
        for name in killed:
            fleet.kill(name)
    waiting = set(names) - killed
    fleet.wait_for(lambda: _all_staged(fleet, waiting), "staged", _TIMEOUT_S)
    accepted_at = _logged_at(fleet, "control-0", "record_written")
    staged_s = max(_staged_at(fleet, waiting)) - accepted_at
    cpu_s = _cpu_s(fleet, waiting) - cpu_before
    counts = fleet.get_json("origin", "/counts")
    status = fleet.status()
    return _measurements(
        case, version, bound_s, staged_s, cpu_s, counts, status, waiting
    )


def _measurements(
    case: BurstCase,
    version: ModelVersion,
    bound_s: float,
    staged_s: float,
    cpu_s: float,
    counts: dict,
    status: dict,
    waiting: set[str],
) -> list[Measurement]:
    conditions = {**dataclasses.asdict(case), "bound_s": round(bound_s, 2)}
    links = []
    for holder in status["holders"]:
        if holder["announcement"]["id"] in waiting:
            burst = holder["report"]["burst"]
            moved = sum(
                int(burst.get(f"{source}_bytes", 0))
                for source in ("origin", "store", "peer", "sent")
            )
            links.append(moved / version.size_bytes)
    ratio = staged_s / bound_s
    copies = counts["sent_bytes"] / version.size_bytes
    gigabytes = len(waiting) * version.size_bytes / 1e9
    return [
        Measurement("burst.time_ratio", ratio, "ratio", 1.0, conditions),
        Measurement("burst.origin_copies", copies, "copies", 1.0, conditions),
        Measurement("burst.link_copies", max(links), "copies", 2.0, conditions),
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
    done = fleet.ctl("apply", str(path))
    if done.returncode:
        raise RuntimeError(done.stderr)


def _all_staged(fleet: Fleet, names: set[str]) -> bool:
    return len(_staged_at(fleet, names)) == len(names)


def _staged_at(fleet: Fleet, names: set[str]) -> list[float]:
    """When agents logged that they hold the whole version."""
    times = [_logged_at(fleet, name, "staged") for name in names]
    return [at for at in times if at]


def _logged_at(fleet: Fleet, name: str, event: str) -> float:
    """Wall-clock time of a process's first event of a name; 0 for none."""
    text = fleet.log_path(name).read_text(encoding="utf-8")
    found = re.search(rf"time=(\S+) .*event={event} ", text)
    if found is None:
        return 0.0
    return datetime.datetime.fromisoformat(found.group(1)).timestamp()


def _cpu_s(fleet: Fleet, names: set[str]) -> float:
    return sum(usage(fleet.processes_by_name[name].pid).cpu_s for name in names)
