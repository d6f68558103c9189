"""Agents that fail in ways that nobody foresaw, and what callers hear."""

import asyncio
import contextlib

import pytest

from damaskcroft.engines import CallStarted
from damaskcroft.entry.tests.fakes import ran_word


@pytest.fixture
def faulty(world):
    """Every target's answer is one that its agent can't read."""

    @contextlib.asynccontextmanager
    async def call(call, *, fresh_connection):
        async def body():
            yield b"a"
            raise KeyError("fault")

        yield CallStarted(200, "text/plain", body(), call.request_id)

    for engine in world.engines.values():
        engine.call = call
    return world


def test_a_run_that_ends_without_a_word_counts_as_lost(loop, faulty):
    # Against a fault of the entry's own, which says nothing of the run.
    async def scenario():
        return await faulty.ask(0, "k", body_key="b")

    response = loop.run(scenario())
    assert response.status_code == 502
    assert ran_word(response) == "unknown"


def test_a_run_that_its_agent_failed_is_settled(loop, faulty):
    # Against a key under which every later call waits for its whole time.
    async def scenario():
        await faulty.ask(0, "k", body_key="b")
        async with asyncio.timeout(2):
            return await faulty.ask(1, "k", body_key="b")

    response = loop.run(scenario())
    assert (response.status_code, ran_word(response)) == (409, "unknown")
    assert b"outcome_unknown" in response.body
