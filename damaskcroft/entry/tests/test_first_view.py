"""What an entry says of a name before it has heard of all names.

What happened: an entry that had been started again answered
`refused reason=unknown_model ran=not_run`, status 404, 67 ms after `started`.
It had no roster yet. A caller takes a 404 as final and gives up on a model
that is served all the while. The same word came for a plain service whose
only target was leaving, and for a model that was on record and not yet on any
target.
"""

import json

import pytest

from damaskcroft._generated import control_pb2
from damaskcroft.entry.tests.fakes import POOL, SERVICE, Entry
from damaskcroft.records.tests.fakes import deployment_record


@pytest.fixture
def ask(loop, world):
    """Asks an entry for a pool; gives status, error and Retry-After."""

    def ask(entry, pool=POOL):
        world.entries.append(entry)
        task = world.ask(len(world.entries) - 1, "key", pool=pool)
        response = loop.run(task)
        error = json.loads(response.body)["error"]
        return response.status_code, error, response.headers.get("Retry-After")

    return ask


@pytest.fixture
def entry(loop, world):
    """An entry that has just been started."""

    async def start():
        return Entry("late", world.pool)

    entry = loop.run(start())
    yield entry
    entry.watching.cancel()


def view(entry, revision=1, **parts):
    """Gives an entry a whole view, as control would."""
    entry.client.roster.apply(
        control_pb2.RosterDelta(
            snapshot=True, from_revision=0, to_revision=revision, **parts
        )
    )
    entry.pools.rebuild()


def test_an_entry_without_a_view_says_when_to_come_back(ask, entry):
    status, error, retry_after = ask(entry)
    assert status == 503
    assert error["type"] == "not_ready"
    assert error["ran"] == "not_run"
    assert int(error["retry_after_ms"]) > 0
    assert retry_after


def test_a_name_that_nothing_speaks_of_is_unknown(ask, entry):
    view(entry)
    status, error, _ = ask(entry, "nobody")
    assert (status, error["type"]) == (404, "unknown_model")


@pytest.mark.parametrize("lapsed", [[], ["agent-0"]], ids=["leaves", "lapsed"])
def test_a_service_without_a_target_now_is_still_known(ask, entry, lapsed):
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
    view(entry, holders=[agent], reports=[report], lapsed=lapsed)
    status, error, retry_after = ask(entry)
    assert (status, error["type"]) == (503, "no_target")
    assert error["ran"] == "not_run"
    assert retry_after


def test_a_model_on_record_is_known_before_any_target_has_it(ask, entry):
    view(entry, records=[deployment_record()])
    status, error, _ = ask(entry, "draft")
    assert (status, error["type"]) == (503, "no_target")


def test_a_model_whose_record_is_withdrawn_is_unknown(ask, entry):
    view(entry, records=[deployment_record(withdrawn=True)])
    assert ask(entry, "draft")[0] == 404
