"""Refusals for unknown pools, before and after the first roster.

A restarted entry that had no roster yet refused a call with
`refused reason=unknown_model ran=not_run`, status 404, 67 ms after `started`.
Callers take a 404 as final and give up on a model that is being served. The
same reason was given for a plain service whose only target was draining, and
for a model that was on record but not yet on any target.
"""

import json

import pytest

from damaskcroft._generated import control_pb2
from damaskcroft.entry.tests.fakes import POOL, SERVICE, Entry
from damaskcroft.records.tests.fakes import deployment_record


@pytest.fixture
def send(loop, cluster):
    """Sends a call for a pool; returns status, error and Retry-After."""

    def send(entry, pool=POOL):
        cluster.entries.append(entry)
        task = cluster.send(len(cluster.entries) - 1, "key", pool=pool)
        response = loop.run(task)
        error = json.loads(response.body)["error"]
        return response.status_code, error, response.headers.get("Retry-After")

    return send


@pytest.fixture
def entry(loop, cluster):
    """An entry that has no roster yet."""

    async def start():
        return Entry("late", cluster.pool)

    entry = loop.run(start())
    yield entry
    entry.lapse_task.cancel()


def apply_snapshot(entry, revision=1, **parts):
    """Gives an entry a roster snapshot, as control does."""
    entry.client.roster.apply(
        control_pb2.RosterDelta(
            snapshot=True, from_revision=0, to_revision=revision, **parts
        )
    )
    entry.pools.rebuild()


def test_entry_without_a_roster_refuses_with_retry_after(send, entry):
    status, error, retry_after = send(entry)
    assert status == 503
    assert error["type"] == "not_ready"
    assert error["ran"] == "not_run"
    assert int(error["retry_after_ms"]) > 0
    assert retry_after


def test_unknown_pool_is_refused_with_404(send, entry):
    apply_snapshot(entry)
    status, error, _ = send(entry, "nobody")
    assert (status, error["type"]) == (404, "unknown_model")


@pytest.mark.parametrize("lapsed", [[], ["agent-0"]], ids=["leaves", "lapsed"])
def test_service_without_an_available_target_is_still_known(
    send, entry, lapsed
):
    agent = control_pb2.Announcement(
        id="agent-0",
        kind=control_pb2.HOLDER_AGENT,
        incarnation="one",
        service=SERVICE,
        slots=8,
    )
    report = control_pb2.TargetReport(
        id="agent-0", incarnation="one", draining=True
    )
    apply_snapshot(entry, holders=[agent], reports=[report], lapsed=lapsed)
    status, error, retry_after = send(entry)
    assert (status, error["type"]) == (503, "no_target")
    assert error["ran"] == "not_run"
    assert retry_after


def test_model_on_record_is_known_before_any_target_serves_it(send, entry):
    apply_snapshot(entry, records=[deployment_record()])
    status, error, _ = send(entry, "draft")
    assert (status, error["type"]) == (503, "no_target")


def test_model_with_a_withdrawn_record_is_unknown(send, entry):
    apply_snapshot(entry, records=[deployment_record(withdrawn=True)])
    assert send(entry, "draft")[0] == 404
