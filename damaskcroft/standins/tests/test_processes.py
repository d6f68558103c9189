"""Real processes that are killed, suspended or restarted without data.

Most tests run under a load that checks every answer, and then compare it with
the journals of the targets: no request with an idempotency key may run twice,
and none that was answered may be missing there.
"""

import json
import shutil
import signal
import socket
import time

from damaskcroft.standins._journal import read_journal


def test_rollout_completes_when_leader_is_killed_during_burst(site):
    site.deploy("1")
    with site.load() as load:
        time.sleep(0.5)
        version = site.write_version("2")
        load.plan.weights_by_version["2"] = version.weights_digest
        assert site.apply(version).returncode == 0
        leader = site.fleet.leader()
        site.fleet.kill(leader)
        site.wait_served("2")
        site.fleet.restart(leader)
        time.sleep(1.0)
    load.assert_guarantees()


def test_suspended_leader_does_not_revert_version(site):
    site.deploy("1")
    version = site.write_version("2")
    leader = site.fleet.leader()
    with site.load() as load:
        load.plan.weights_by_version["2"] = version.weights_digest
        site.fleet.signal(leader, signal.SIGSTOP)
        site.fleet.wait_for(
            lambda: site.apply(version).returncode == 0,
            "a new leader accepts the record",
        )
        site.wait_served("2")
        site.fleet.signal(leader, signal.SIGCONT)
        time.sleep(2.0)
        assert len(site.fleet.serving("2")) == 3
    load.assert_guarantees()


def test_agent_suspended_beyond_its_lease_runs_nothing_twice(site):
    site.deploy("1")
    with site.load() as load:
        site.fleet.signal("drafting-1", signal.SIGSTOP)
        time.sleep(4.0)
        site.fleet.signal("drafting-1", signal.SIGCONT)
        time.sleep(1.5)
    # Runs that began before the suspension may have an unknown outcome.
    load.assert_guarantees(unknown_allowed=site.fleet.plan.slots)


def test_records_survive_second_replica_loss_after_first_is_repaired(site):
    site.deploy("1")
    before = site.fleet.status()["records"]
    for name in ("control-0", "control-1"):
        site.fleet.kill(name)
        shutil.rmtree(site.fleet.folder / name / "log")
        site.fleet.restart(name)
        number = name.removeprefix("control-")
        promoted = f"event=learner_promoted id=c{number} "
        site.fleet.wait_for(
            lambda promoted=promoted: any(
                promoted in site.fleet.log_path(f"control-{n}").read_text()
                for n in range(3)
            ),
            f"{name} is a voter again",
        )
    assert site.fleet.status()["records"] == before
    version = site.write_version("2")
    assert site.apply(version).returncode == 0
    site.wait_served("2")


def test_entry_killed_while_callers_retry_runs_nothing_twice(site):
    site.deploy("1")
    with site.load(once_share=0.8) as load:
        time.sleep(1.0)
        site.fleet.kill("entry-0")
        time.sleep(1.0)
        site.fleet.restart("entry-0")
        time.sleep(2.0)
    load.assert_guarantees()


def test_restarted_agents_do_not_truncate_streams(site):
    site.deploy("1")
    with site.load(tokens=60, once_share=0.3) as load:
        time.sleep(1.0)
        for name in ("drafting-0", "drafting-1"):
            assert site.fleet.terminate(name) == 0
            site.fleet.restart(name)
            site.wait_served("1")
    counts = load.counts
    load.assert_guarantees()
    assert "target_lost" not in counts.refusals_by_reason
    assert "outcome_unknown" not in counts.refusals_by_reason


def test_entry_stopped_gracefully_finishes_its_answers(site):
    site.deploy("1")
    with site.load(tokens=60) as load:
        time.sleep(1.0)
        assert site.fleet.terminate("entry-1") == 0
        site.fleet.restart("entry-1")
        time.sleep(2.0)
    load.assert_guarantees()
    cut = [r for r in load.counts.refusals_by_reason if "Disconnect" in r]
    assert cut == []


def test_version_that_fails_to_load_stops_at_its_first_target(site):
    site.deploy("1")
    first_target = site.fleet.plan.targets[0]
    for target in site.fleet.plan.targets[:3]:
        site.fleet.kill(f"target-{target.name}")
        site.fleet.kill(target.name)
        site.fleet.start_target(
            type(target)(target.name, target.role, target.region,
                         fails_version="2")
        )  # fmt: skip
        site.fleet.restart(target.name)
    site.wait_served("1")
    assert site.apply(site.write_version("2")).returncode == 0
    site.fleet.wait_for(
        lambda: any(
            "rollout_stopped" in event
            for event in site.fleet.status().get("events", [])
        ),
        "the rollout is stopped",
    )
    assert len(site.fleet.serving("1")) == 3
    assert first_target.name in site.fleet.ctl("status").stdout


def test_drained_target_receives_no_requests(site):
    site.deploy("1")
    with site.load(once_share=0.0) as load:
        time.sleep(0.5)
        assert site.fleet.ctl("drain", "drafting-2").returncode == 0
        time.sleep(2.0)
        drained_at = time.time()
        time.sleep(1.0)
    load.assert_guarantees()
    journal = site.fleet.journal_path("drafting-2").read_text().splitlines()
    runs = [json.loads(line) for line in journal if '"run"' in line]
    assert [run for run in runs if run["at"] > drained_at] == []


def test_disconnected_caller_cancels_run_at_target(site):
    site.deploy("1")
    host, port = site.fleet.entry_urls()[0].removeprefix("http://").split(":")
    body = json.dumps(
        {"model": "draft", "prompt": "p", "max_tokens": 5000}
    ).encode()
    head = (
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
        "Damask-Customer: notary\r\nX-Request-Id: leaver\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    with socket.create_connection((host, int(port))) as caller:
        caller.sendall(head.encode() + body)
        time.sleep(0.5)

    def cancelled():
        end_events = [
            event
            for target in site.fleet.plan.targets
            for event in read_journal(site.fleet.journal_path(target.name))
            if event["event"] == "ended" and event["request_id"] == "leaver"
        ]
        return [event["how"] for event in end_events] == ["cancelled"]

    # Without cancellation the run takes ten seconds.
    site.fleet.wait_for(cancelled, "the run is cancelled", 5)


def test_of_concurrent_operator_writes_one_is_accepted(site):
    version = site.write_version("1")
    assert site.apply(version).returncode == 0
    path = str(site.fleet.folder / "record-1.json")
    revision = next(r["revision"] for r in site.fleet.status()["records"])
    first = site.fleet.ctl(
        "apply", path, "--revision", revision, "--request-id", "one"
    )
    second = site.fleet.ctl(
        "apply", path, "--revision", revision, "--request-id", "two"
    )
    again = site.fleet.ctl(
        "apply", path, "--revision", revision, "--request-id", "one"
    )
    assert (first.returncode, second.returncode) == (0, 4)
    assert again.stdout == first.stdout
    assert "conflict" in second.stderr
