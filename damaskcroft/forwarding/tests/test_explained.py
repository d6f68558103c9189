"""Steps of features/explained.feature: from a request's id to its cause."""

import asyncio
import contextlib

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from damaskcroft.ctl._log_lines import parsed
from damaskcroft.ctl._why import story
from damaskcroft.forwarding.tests.fakes import (
    FakeTarget,
    configuration,
    entry_before,
    route,
)
from damaskcroft.observe import _logs

scenarios("features/explained.feature")


@pytest.fixture
def made():
    """What an entry is made of, and what a caller heard."""
    return {}


@given("a target whose only slot is taken")
def taken(made):
    made["targets"] = [FakeTarget("a", "whole")]
    made["config"] = configuration(1, route(timeout_ms=300))
    made["taken"] = 4


@given("ready targets of which none holds the weights that are due")
def no_weights(made):
    made["targets"] = [FakeTarget("a", "whole"), FakeTarget("b", "whole")]
    made["config"] = configuration(1, route(timeout_ms=1200))
    made["model"] = "m"


@given("a target that never answers")
def never_answers(made):
    made["targets"] = [FakeTarget("a", "hangs")]
    made["config"] = configuration(1, route())


@given("a target that breaks off without an answer")
def breaks_off(made):
    made["targets"] = [FakeTarget("a", "silent_close")]
    made["config"] = configuration(1, route())


@given("two targets that answer with their own failure")
def both_fail(made):
    made["targets"] = [FakeTarget("a", "fails"), FakeTarget("b", "fails")]
    made["config"] = configuration(1, route(idempotent=True))


@given("a target that answers with its own failure")
def fails(made):
    made["targets"] = [FakeTarget("a", "fails")]
    made["config"] = configuration(1, route())


@given("a target that breaks off in the middle of its events")
def cuts(made):
    made["targets"] = [FakeTarget("a", "stream_cut")]
    made["config"] = configuration(1, route(streaming=True))


@given("an entry that has not heard of the newest routes")
def old(made):
    made["targets"] = [FakeTarget("a", "whole")]
    made["config"] = configuration(1, route(path_prefix="/old/"))


@contextlib.asynccontextmanager
async def entry_of(made):
    async with entry_before(*made["targets"], config=made["config"]) as entry:
        placed = entry.placer.choose(entry.candidates(), ())
        for _ in range(made.get("taken", 0)):
            entry.placer.take(placed.candidate)
        yield entry


def ask(made, path="/a"):
    async def scenario():
        async with entry_of(made) as entry:
            made["status"], made["head"], made["body"] = await entry.ask(
                path, x_id="complaint-1", x_model=made.get("model", "")
            )

    asyncio.run(scenario())


@when("a caller asks and is refused")
def refused(made, logs):
    ask(made)
    assert made["status"] == 503


@when("a caller asks and its entry is killed while it waits")
def killed(made, logs):
    """What the killed entry would still have written never reaches a log."""
    made["config"].routes[0].timeout_ms = 2000

    async def scenario():
        async with entry_of(made) as entry:
            asking = asyncio.create_task(entry.ask(x_id="complaint-1"))
            await asyncio.sleep(0.5)
            made["written"] = list(logs)
            asking.cancel()
            await asyncio.gather(asking, return_exceptions=True)

    asyncio.run(scenario())
    logs[:] = made["written"]
    _logs.log_event("starting", role="entry")


@when("a caller asks and is told that it may have run")
def may_have_run(made, logs):
    ask(made)
    assert made["status"] == 502


@when("a caller asks and gets that failure")
def gets_failure(made, logs):
    ask(made)
    assert made["status"] == 500


@when("a caller asks for events and gets some")
def some_events(made, logs):
    ask(made)
    assert made["status"] == 200
    assert b"id: 3" in made["body"]


@when("a caller asks on a new route and hears that there is none")
def no_route(made, logs):
    ask(made, "/new/x")
    assert made["status"] == 404


@then(parsers.parse('the cause names "{words}"'))
def cause_names(words, logs):
    told = story("complaint-1", parsed(logs))
    assert told[-1].startswith("cause: ")
    assert words in told[-1]


@then("it names every target")
def every_target(made, logs):
    told = story("complaint-1", parsed(logs))
    for target in made["targets"]:
        words = f"target {target.name} at {target.address} answered with 500"
        assert words in told[-1]


@then("it says when the caller was to come back")
def come_back(made, logs):
    wait_s = made["head"].split("retry-after: ")[1].split("\r\n")[0]
    told = story("complaint-1", parsed(logs))
    said_s = told[-1].split("come back in ")[1].removesuffix(" s")
    assert round(float(said_s), 2) == float(wait_s)


def test_lines_with_anything_before_them_and_quotes_are_read():
    text = (
        " 12.5 front time=2026-01-01T10:00:00.000 process=p event=e"
        ' a="b \\"c" d=1'
    )
    (line,) = parsed([text, "nonsense"])
    assert line.fields == {"a": 'b "c', "d": "1"}
    assert story("unknown", [line]) == []


def test_a_flood_before_hides_no_line_of_a_later_test(logs):
    """As the fuzz of requests does within the same second."""
    for number in range(500):
        _logs.log_event("refused", request=f"flood-{number}", reason="x")
    written = [line for line in logs if "request=flood-" in line]
    assert len(written) == 100
