"""Only a request's own deadline ends it as late."""

import asyncio

from damaskcroft.forwarding import Forwarder
from damaskcroft.forwarding.tests.fakes import (
    FakeTarget,
    configuration,
    entry_before,
    route,
)


def test_a_timeout_of_something_else_is_a_fault_and_no_deadline(monkeypatch):
    # Against a promise that nothing ran, and a deadline that wasn't reached.
    async def fails(*_):
        raise TimeoutError("of something else")

    async def scenario():
        config = configuration(1, route())
        async with entry_before(FakeTarget("a", "whole"), config=config) as e:
            status, _, _ = await e.ask()
            assert status == 500

    monkeypatch.setattr(Forwarder, "_try_targets", fails)
    asyncio.run(scenario())
