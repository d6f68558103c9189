"""Steps of the scenarios in features/."""

import asyncio

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from damaskcroft.entry.tests.fakes import ran_word

scenarios("features")

KEY = "voucher-1"
WHOLE = f"answer to {KEY}, whole".encode()


@pytest.fixture
def seen():
    """What the caller and its neighbour were answered last."""
    return {}


async def send(world, entry, key=KEY):
    return await world.ask(entry, key)


async def begin(world, seen):
    seen["task"] = world.ask(0, KEY)
    await asyncio.sleep(0.02)


@given("a voucher request at the first entry that is being run")
def being_run(loop, world, seen):
    loop.run(begin(world, seen))
    assert len(world.journal) == 1


@given("a voucher request at the first entry that is only claimed")
def only_claimed(loop, world, seen):
    world.entries[0].thawed.clear()
    loop.run(begin(world, seen))
    assert world.journal == []


@given("control has no majority")
def no_majority(world):
    world.control.mode = "no_quorum"


@given("every target refuses connections")
def targets_refuse(world):
    for engine in world.engines.values():
        engine.mode = "refuses"


@given("every target breaks off in the middle of its answers")
def targets_break_off(world):
    for engine in world.engines.values():
        engine.mode = "cuts"


@given("every agent is draining")
def all_draining(world):
    for agent in world.agents.values():
        agent.gate.draining = True


@given("every agent's lease has lapsed")
def all_lapsed(world):
    for agent in world.agents.values():
        agent.lease.release()


@when("the first entry dies")
def first_entry_dies(world):
    world.entries[0].kill()


@when("every agent is replaced")
def agents_replaced(loop, world):
    async def replace():
        for name in list(world.agents):
            await world.kill_agent(name)
            await world.start_agent(name)
        await world.tell()

    loop.run(replace())


@when("control is well again")
def control_well(world):
    world.control.mode = "well"


@when("the caller sends a voucher request")
def caller_sends(loop, world, seen):
    seen["response"] = loop.run(send(world, 0))


@when("the caller resends to the second entry")
def caller_resends(loop, world, seen):
    seen["response"] = loop.run(send(world, 1))


@when("another caller's request runs beside it")
def another_beside(loop, world, seen):
    seen["other"] = loop.run(send(world, 1, "voucher-2"))
    seen["response"] = loop.run(wait_for(seen["task"]))


async def wait_for(task):
    return await task


@then("the caller has the whole answer")
def whole_answer(seen):
    assert seen["response"].body == WHOLE


@then("each caller has its own whole answer")
def own_answers(seen):
    assert seen["response"].body == WHOLE
    assert seen["other"].body == b"answer to voucher-2, whole"


@then("the caller is told that the outcome is unknown")
def told_unknown(seen):
    assert ran_word(seen["response"]) == "unknown"


@then("the caller is told that it was not run, and when to come back")
def told_not_run(seen):
    assert ran_word(seen["response"]) == "not_run"
    assert int(seen["response"].headers["Retry-After"]) >= 1


@then(parsers.re(r"the voucher was issued (?P<count>\d) times?"))
def issued(world, count):
    assert sum(key == KEY for _, key in world.journal) == int(count)
