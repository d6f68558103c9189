"""Fixtures that run a fleet of real processes."""

import asyncio
import collections
import json
import threading

import pytest

from damaskcroft.standins._journal import read_journal
from damaskcroft.standins.fleet import FleetPlan, TargetPlan, running_fleet
from damaskcroft.standins.load import Load, LoadPlan
from damaskcroft.standins.models import write_model

MODEL = "draft"
CHUNK_BYTES = 64 * 1024
SIZE_BYTES = 2 * 2**20
DISTRICTS = ["tunis", "sfax", "littoral"]


def targets():
    plans = [
        TargetPlan(
            f"drafting-{number}",
            "drafting",
            DISTRICTS[number % 3],
            checks_fencing=number == 0,
        )
        for number in range(3)
    ]
    plans.append(
        TargetPlan("register-0", "register", "tunis", service="register")
    )
    return plans


def deployment_record(version, **rollout):
    return {
        "schema_version": 2,
        "kind": "deployment",
        "name": "drafting",
        "model": MODEL,
        "version": version.version,
        "manifest": version.digest,
        "targets": {"roles": ["drafting"]},
        "rollout": {"floor": 1, "max_out": 1, **rollout},
    }


class Site:
    """A running fleet, with helpers to deploy versions and wait for them."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.versions = {}

    def write_version(self, name):
        version = write_model(
            self.fleet.weights_folder, MODEL, name, SIZE_BYTES, CHUNK_BYTES
        )
        self.versions[name] = version
        return version

    def apply(self, version, **rollout):
        path = self.fleet.folder / f"record-{version.version}.json"
        path.write_text(json.dumps(deployment_record(version, **rollout)))
        return self.fleet.ctl("apply", str(path))

    def deploy(self, name):
        version = self.write_version(name)
        result = self.apply(version)
        assert result.returncode == 0, result.stderr
        self.wait_served(name)
        return version

    def wait_served(self, name, count=3, timeout_s=60):
        self.fleet.wait_for(
            lambda: len(self.fleet.serving(name)) >= count,
            f"version {name} on {count} targets",
            timeout_s,
        )

    def runs_by_key(self):
        runs = collections.Counter()
        for target in self.fleet.plan.targets:
            for event in read_journal(self.fleet.journal_path(target.name)):
                if event["event"] == "run" and event.get("key"):
                    runs[event["key"]] += 1
        return runs

    def load(self, **options):
        return BackgroundLoad(self, options)


class BackgroundLoad:
    """A load that runs in a thread while the test injects faults."""

    def __init__(self, site, options):
        weights = {n: v.weights_digest for n, v in site.versions.items()}
        plan = LoadPlan(
            model=MODEL,
            weights_by_version=weights,
            service="register",
            customers=["notary", "accountant", "registrar"],
            districts=DISTRICTS,
            **{"workers": 6, **options},
        )
        self.site = site
        self.plan = plan
        self.thread = threading.Thread(target=self.run_load)

    def run_load(self):
        async def run():
            self.load = Load(self.site.fleet.entry_urls(), self.plan)
            self.loop = asyncio.get_running_loop()
            self.ready.set()
            return await self.load.run()

        self.counts = asyncio.run(run())

    def __enter__(self):
        self.ready = threading.Event()
        self.thread.start()
        self.ready.wait()
        return self

    def __exit__(self, *_):
        self.loop.call_soon_threadsafe(self.load.stop)
        self.thread.join(timeout=120)
        assert not self.thread.is_alive()

    def assert_guarantees(self, *, unknown_allowed=0):
        counts, runs = self.counts, self.site.runs_by_key()
        assert counts.wrong == 0, counts.wrong_answers[:3]
        assert counts.given_up == 0, counts.refusals_by_reason
        assert [key for key, n in runs.items() if n > 1] == []
        assert counts.answered_keys <= set(runs)
        assert len(counts.unknown_keys) <= unknown_allowed
        assert counts.asked == counts.answered + len(counts.unknown_keys)
        assert counts.answered > 20


@pytest.fixture
def site(tmp_path):
    plan = FleetPlan(targets(), lease_s=1.5, stall_s=1.0)
    with running_fleet(tmp_path, plan) as fleet:
        yield Site(fleet)
