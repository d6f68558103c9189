"""Steps of features/explained.feature: the cause of a request by its id."""

import asyncio
import contextlib

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from damaskcroft.ctl._log_lines import parsed
from damaskcroft.ctl._why import explain_request
from damaskcroft.forwarding.tests.fakes import (
    FakeTarget,
    configuration,
    route,
    running_entry,
)
from damaskcroft.observe import _logs

scenarios("features/explained.feature")


@pytest.fixture
def context():
    """State of a scenario: settings of the entry and the caller's answer."""
    return {}


@given("a target whose only slot is taken")
def slot_taken(context):
    context["targets"] = [FakeTarget("a", "whole")]
    context["config"] = configuration(1, route(timeout_ms=300))
    context["taken"] = 4


@given("ready targets of which none holds the weights that are due")
def without_weights(context):
    context["targets"] = [FakeTarget("a", "whole"), FakeTarget("b", "whole")]
    context["config"] = configuration(1, route(timeout_ms=1200))
    context["model"] = "m"


@given("a target that never answers")
def never_answers(context):
    context["targets"] = [FakeTarget("a", "hangs")]
    context["config"] = configuration(1, route())


@given("a target that closes the connection without an answer")
def closes_unanswered(context):
    context["targets"] = [FakeTarget("a", "silent_close")]
    context["config"] = configuration(1, route())


@given("two targets that answer with a server error")
def both_fail(context):
    context["targets"] = [FakeTarget("a", "fails"), FakeTarget("b", "fails")]
    context["config"] = configuration(1, route(idempotent=True))


@given("a target that answers with a server error")
def fails(context):
    context["targets"] = [FakeTarget("a", "fails")]
    context["config"] = configuration(1, route())


@given("a target that closes the connection between its events")
def closes_between_events(context):
    context["targets"] = [FakeTarget("a", "stream_cut")]
    context["config"] = configuration(1, route(streaming=True))


@given("an entry that has not received the newest routes")
def old_configuration(context):
    context["targets"] = [FakeTarget("a", "whole")]
    context["config"] = configuration(1, route(path_prefix="/old/"))


@contextlib.asynccontextmanager
async def scenario_entry(context):
    async with running_entry(
        *context["targets"], config=context["config"]
    ) as entry:
        placed = entry.placer.choose(entry.candidates(), ())
        for _ in range(context.get("taken", 0)):
            entry.placer.take(placed.candidate)
        yield entry


def send_request(context, path="/a"):
    async def scenario():
        async with scenario_entry(context) as entry:
            (
                context["status"],
                context["head"],
                context["body"],
            ) = await entry.send_request(
                path, x_id="complaint-1", x_model=context.get("model", "")
            )

    asyncio.run(scenario())


@when("a caller asks and is refused")
def refused(context, logs):
    send_request(context)
    assert context["status"] == 503


@when("a caller asks and its entry is killed while it waits")
def killed(context, logs):
    """Drops the lines that a killed entry would not have written any more."""
    context["config"].routes[0].timeout_ms = 2000

    async def scenario():
        async with scenario_entry(context) as entry:
            asking = asyncio.create_task(entry.send_request(x_id="complaint-1"))
            await asyncio.sleep(0.5)
            context["written"] = list(logs)
            asking.cancel()
            await asyncio.gather(asking, return_exceptions=True)

    asyncio.run(scenario())
    logs[:] = context["written"]
    _logs.log_event("starting", role="entry")


@when("a caller asks and is told that it may have run")
def may_have_run(context, logs):
    send_request(context)
    assert context["status"] == 502


@when("a caller asks and gets that server error")
def gets_server_error(context, logs):
    send_request(context)
    assert context["status"] == 500


@when("a caller asks for events and gets some")
def some_events(context, logs):
    send_request(context)
    assert context["status"] == 200
    assert b"id: 3" in context["body"]


@when("a caller asks on a new route and is told that there is none")
def no_route(context, logs):
    send_request(context, "/new/x")
    assert context["status"] == 404


@then(parsers.parse('the cause names "{words}"'))
def cause_contains(words, logs):
    explanation = explain_request("complaint-1", parsed(logs))
    assert explanation[-1].startswith("cause: ")
    assert words in explanation[-1]


@then("it names every target")
def names_every_target(context, logs):
    explanation = explain_request("complaint-1", parsed(logs))
    for target in context["targets"]:
        words = f"target {target.name} at {target.address} answered with 500"
        assert words in explanation[-1]


@then("it names the caller's Retry-After")
def names_retry_after(context, logs):
    wait_s = context["head"].split("retry-after: ")[1].split("\r\n")[0]
    explanation = explain_request("complaint-1", parsed(logs))
    logged_s = explanation[-1].split("come back in ")[1].removesuffix(" s")
    assert round(float(logged_s), 2) == float(wait_s)


def test_log_lines_with_prefix_and_quotes_are_parsed():
    text = (
        " 12.5 front time=2026-01-01T10:00:00.000 process=p event=e"
        ' a="b \\"c" d=1'
    )
    (line,) = parsed([text, "nonsense"])
    assert line.fields == {"a": 'b "c', "d": "1"}
    assert explain_request("unknown", [line]) == []


def test_log_budget_is_separate_for_each_test(logs):
    """Guards against lines lost because other tests used up the budget.

    The fuzz test of requests logs hundreds of lines within the same second.
    """
    for number in range(500):
        _logs.log_event("refused", request=f"flood-{number}", reason="x")
    written = [line for line in logs if "request=flood-" in line]
    assert len(written) == 100
