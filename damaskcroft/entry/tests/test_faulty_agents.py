"""Responses to callers after an unexpected exception in an agent."""

import asyncio
import contextlib

import pytest

from damaskcroft.engines import CallStarted
from damaskcroft.entry.tests.fakes import ran_status


@pytest.fixture
def faulty_cluster(cluster):
    """A cluster whose agents fail with KeyError when they read an answer."""

    @contextlib.asynccontextmanager
    async def call(call, *, fresh_connection):
        async def body():
            yield b"a"
            raise KeyError("fault")

        yield CallStarted(200, "text/plain", body(), call.request_id)

    for engine in cluster.engines.values():
        engine.call = call
    return cluster


def test_run_that_ends_without_an_event_counts_as_lost(loop, faulty_cluster):
    # An exception in the entry itself would not say whether the request ran.
    async def scenario():
        return await faulty_cluster.send(0, "k", body_key="b")

    response = loop.run(scenario())
    assert response.status_code == 502
    assert ran_status(response) == "unknown"


def test_run_that_fails_in_its_agent_is_settled(loop, faulty_cluster):
    # With an open claim, every later call with the key waits until its
    # deadline.
    async def scenario():
        await faulty_cluster.send(0, "k", body_key="b")
        async with asyncio.timeout(2):
            return await faulty_cluster.send(1, "k", body_key="b")

    response = loop.run(scenario())
    assert (response.status_code, ran_status(response)) == (409, "unknown")
    assert b"outcome_unknown" in response.body
