"""Step definitions for the scenarios in features/."""

import asyncio

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from damaskcroft.entry.tests.fakes import ran_status

scenarios("features")

KEY = "voucher-1"
COMPLETE_ANSWER = f"answer to {KEY}, whole".encode()


@pytest.fixture
def received():
    """The last responses to the caller and to another caller."""
    return {}


async def send_voucher_request(cluster, entry, key=KEY):
    return await cluster.send(entry, key)


async def begin(cluster, received):
    received["task"] = cluster.send(0, KEY)
    await asyncio.sleep(0.02)


@given("a voucher request that the first entry has sent to a target")
def request_sent(loop, cluster, received):
    loop.run(begin(cluster, received))
    assert len(cluster.journal) == 1


@given("a voucher request that the first entry has only claimed")
def request_claimed(loop, cluster, received):
    cluster.entries[0].thawed.clear()
    loop.run(begin(cluster, received))
    assert cluster.journal == []


@given("control has no majority")
def no_majority(cluster):
    cluster.control.mode = "no_quorum"


@given("every target refuses connections")
def targets_refuse(cluster):
    for engine in cluster.engines.values():
        engine.mode = "refuses"


@given("every target breaks the connection during its answers")
def targets_break_connections(cluster):
    for engine in cluster.engines.values():
        engine.mode = "cuts"


@given("every agent is draining")
def all_draining(cluster):
    for agent in cluster.agents.values():
        agent.gate.draining = True


@given("every agent's lease has expired")
def all_leases_expired(cluster):
    for agent in cluster.agents.values():
        agent.lease.release()


@when("the first entry crashes")
def first_entry_crashes(cluster):
    cluster.entries[0].kill()


@when("every agent restarts")
def agents_restart(loop, cluster):
    async def replace():
        for name in list(cluster.agents):
            await cluster.kill_agent(name)
            await cluster.start_agent(name)
        await cluster.publish_roster()

    loop.run(replace())


@when("control has a majority again")
def majority_regained(cluster):
    cluster.control.mode = "healthy"


@when("the caller sends a voucher request")
def caller_sends(loop, cluster, received):
    received["response"] = loop.run(send_voucher_request(cluster, 0))


@when("the caller retries at the second entry")
def caller_retries(loop, cluster, received):
    received["response"] = loop.run(send_voucher_request(cluster, 1))


@when("another caller's request runs at the same time")
def concurrent_request(loop, cluster, received):
    received["other"] = loop.run(send_voucher_request(cluster, 1, "voucher-2"))
    received["response"] = loop.run(wait_for(received["task"]))


async def wait_for(task):
    return await task


@then("the caller receives the complete answer")
def complete_answer(received):
    assert received["response"].body == COMPLETE_ANSWER


@then("each caller receives the complete answer to its own request")
def own_answers(received):
    assert received["response"].body == COMPLETE_ANSWER
    assert received["other"].body == b"answer to voucher-2, whole"


@then("the caller receives an error with an unknown outcome")
def outcome_unknown(received):
    assert ran_status(received["response"]) == "unknown"


@then("the caller receives a refusal as not run with Retry-After")
def refused_not_run(received):
    assert ran_status(received["response"]) == "not_run"
    assert int(received["response"].headers["Retry-After"]) >= 1


@then(parsers.re(r"the voucher was issued (?P<count>\d) times?"))
def issued(cluster, count):
    assert sum(key == KEY for _, key in cluster.journal) == int(count)
