"""Tests that only a request's own deadline ends it with a time-out."""

import asyncio

from damaskcroft.forwarding import Forwarder
from damaskcroft.forwarding.tests.fakes import (
    FakeTarget,
    configuration,
    route,
    running_entry,
)


def test_unrelated_timeout_is_an_internal_error_not_a_deadline(monkeypatch):
    # Guards against reporting an unrelated TimeoutError as the deadline, or as
    # a request that has not run.
    async def fails(*_):
        raise TimeoutError("of something else")

    async def scenario():
        config = configuration(1, route())
        async with running_entry(FakeTarget("a", "whole"), config=config) as e:
            status, _, _ = await e.send_request()
            assert status == 500

    monkeypatch.setattr(Forwarder, "_try_targets", fails)
    asyncio.run(scenario())
