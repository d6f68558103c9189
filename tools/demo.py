"""Demo: rolls versions of a model out to a fleet that is under load."""

import argparse
import asyncio
import collections
import json
import pathlib
import shutil
import sys
import tempfile
import time
from typing import Any

from damaskcroft.standins._journal import read_journal
from damaskcroft.standins.fleet import (
    Fleet,
    FleetPlan,
    TargetPlan,
    running_fleet,
)
from damaskcroft.standins.load import Load, LoadCounts, LoadPlan
from damaskcroft.standins.models import (
    ModelVersion,
    describe_model,
    write_model,
)

_MODEL = "pipe-draft"
_CHUNK_BYTES = 1024 * 1024
_DISTRICTS = ["kochi", "kozhikode", "thrissur"]
_CUSTOMERS = [f"contractor-{number}" for number in range(10)]
_LOAD_BEFORE_S = 1.0
_LOAD_AFTER_S = 2.0
_ROLLOUT_TIMEOUT_S = 180.0
_BUILD = pathlib.Path(__file__).resolve().parent.parent / "build"


def make_target_plans() -> list[TargetPlan]:
    """Returns the demo fleet: six drafting, three crew-alert, one billing."""
    targets = [
        TargetPlan(
            f"drafting-{number}",
            "drafting",
            _DISTRICTS[number % 3],
            checks_fencing=number % 2 == 0,
        )
        for number in range(6)
    ]
    targets += [
        TargetPlan(f"alert-{number}", "crew-alert", _DISTRICTS[number % 3])
        for number in range(3)
    ]
    targets.append(
        TargetPlan("billing-0", "billing", _DISTRICTS[0], service="billing")
    )
    return targets


def deployment(version: ModelVersion) -> dict:
    """Returns the deployment record for one version."""
    return {
        "schema_version": 2,
        "kind": "deployment",
        "name": "drafting",
        "model": version.model,
        "version": version.version,
        "manifest": version.digest,
        "targets": {"roles": ["drafting", "crew-alert"]},
        "rollout": {"floor": 5, "max_out": 3, "old_and_new_fit": True},
        "burst": {"policy": "fewest_origin_bytes"},
    }


def apply(fleet: Fleet, version: ModelVersion) -> None:
    """Applies a version's deployment record with damaskctl."""
    path = fleet.folder / f"record-{version.version}.json"
    path.write_text(json.dumps(deployment(version)), encoding="utf-8")
    done = fleet.ctl("apply", str(path))
    if done.returncode:
        raise SystemExit(f"damaskctl apply failed: {done.stderr}")


def roll_out(fleet: Fleet, version: ModelVersion) -> dict:
    """Applies a version and waits until every replica serves it."""
    replicas = [t.name for t in fleet.plan.targets if not t.service]
    before = fleet.get_json("origin", "/counts")["sent_bytes"]
    apply(fleet, version)
    took_s = fleet.wait_for(
        lambda: len(fleet.serving(version.version)) == len(replicas),
        f"version {version.version} everywhere",
        _ROLLOUT_TIMEOUT_S,
    )
    sent = fleet.get_json("origin", "/counts")["sent_bytes"] - before
    return {
        "version": version.version,
        "live_replicas": len(replicas),
        "time_to_n_s": round(took_s, 2),
        "origin_copies": round(sent / version.size_bytes, 3),
    }


def check_requests(fleet: Fleet, counts: LoadCounts) -> dict[str, Any]:
    """Checks the callers' counts against the targets' journals."""
    runs_by_key: collections.Counter[str] = collections.Counter()
    for target in fleet.plan.targets:
        for event in read_journal(fleet.journal_path(target.name)):
            if event["event"] == "run" and event.get("key"):
                runs_by_key[event["key"]] += 1
    duplicated = [key for key, runs in runs_by_key.items() if runs > 1]
    answered_not_run = counts.answered_keys - set(runs_by_key)
    return {
        "asked": counts.asked,
        "answered": counts.answered,
        "refused_by_reason": dict(counts.refusals_by_reason),
        "given_up": counts.given_up,
        "unknown": len(counts.unknown_keys),
        "duplicated": len(duplicated),
        "answered_but_never_run": len(answered_not_run),
        "wrong_version_or_cut": counts.wrong,
        "answers_by_version": dict(counts.versions),
    }


async def run_under_load(
    fleet: Fleet, versions: list[ModelVersion]
) -> tuple[list[dict], LoadCounts]:
    """Rolls out the first version, and then the others in turn under load."""
    plan = LoadPlan(
        model=_MODEL,
        weights_by_version={v.version: v.weights_digest for v in versions},
        service="billing",
        customers=_CUSTOMERS,
        districts=_DISTRICTS,
    )
    rollouts = [await asyncio.to_thread(roll_out, fleet, versions[0])]
    load = Load(fleet.entry_urls(), plan)
    running = asyncio.create_task(load.run())
    await asyncio.sleep(_LOAD_BEFORE_S)
    for version in versions[1:]:
        rollouts.append(await asyncio.to_thread(roll_out, fleet, version))
    await asyncio.sleep(_LOAD_AFTER_S)
    load.stop()
    return rollouts, await running


def make_versions(
    fleet: Fleet, size_mib: int, model: pathlib.Path | None
) -> list[ModelVersion]:
    """Returns two versions, of seeded numbers or of the folder `model`."""
    versions = []
    for name in ("1", "2"):
        if model is not None:
            folder = fleet.weights_folder / _MODEL / name
            shutil.copytree(model, folder)
            (folder / "VERSION").write_text(name, encoding="utf-8")
            versions.append(
                describe_model(fleet.weights_folder, _MODEL, name, _CHUNK_BYTES)
            )
            continue
        versions.append(
            write_model(
                fleet.weights_folder,
                _MODEL,
                name,
                size_mib * 2**20,
                _CHUNK_BYTES,
                changed_share=0.5,
            )  # fmt: skip
        )
    return versions


def main() -> None:
    """Runs the demo; exits with status 1 if any request was handled wrongly."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--size-mib", type=int, default=64)
    parser.add_argument("--model", type=pathlib.Path)
    parser.add_argument("--folder", type=pathlib.Path)
    arguments = parser.parse_args()
    folder = arguments.folder or pathlib.Path(tempfile.mkdtemp("-damaskcroft"))
    plan = FleetPlan(make_target_plans(), store_requests_s=20.0)
    started_at = time.monotonic()
    with running_fleet(folder, plan) as fleet:
        print(f"fleet ready after {time.monotonic() - started_at:.1f} s")
        versions = make_versions(fleet, arguments.size_mib, arguments.model)
        rollouts, counts = asyncio.run(run_under_load(fleet, versions))
        print(fleet.ctl("status").stdout)
    result: dict[str, Any] = {
        "rollouts": rollouts,
        "requests": check_requests(fleet, counts),
    }
    _BUILD.mkdir(exist_ok=True)
    (_BUILD / "demo.json").write_text(json.dumps(result, indent=2))
    requests = result["requests"]
    failures = (
        requests["given_up"]
        + requests["duplicated"]
        + requests["answered_but_never_run"]
        + requests["wrong_version_or_cut"]
        + requests["unknown"]
    )
    for answer in counts.wrong_answers[:3]:
        print(f"wrong: {answer}", file=sys.stderr)
    if not arguments.folder and not failures:
        shutil.rmtree(folder)
    print(json.dumps(result))
    if failures:
        print(
            f"requests lost, duplicated or wrong; logs are in {folder}",
            file=sys.stderr,
        )
        raise SystemExit(1)


if __name__ == "__main__":
    main()
