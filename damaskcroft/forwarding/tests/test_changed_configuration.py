"""Tests of running requests while their configuration is removed."""

import asyncio

import pytest

from damaskcroft._generated import fleet_pb2
from damaskcroft.forwarding.tests.fakes import (
    FakeTarget,
    configuration,
    route,
    running_entry,
)
from damaskcroft.forwarding.tests.silent import assert_complete_stream

KEY = "key-one"
STREAM = dict(
    timeout_ms=8000, streaming=True, resumable=True, max_attempts=2,
    public=False,
)  # fmt: skip
OTHER = [fleet_pb2.Share(service="other", weight=1)]


def config(version, *routes, keys=(KEY,), services=("s",), **limits):
    changed_config = configuration(
        version,
        *routes,
        customers=[fleet_pb2.Customer(name="c", keys=keys)],
        keys_required=True,
    )
    del changed_config.services[:]
    changed_config.services.extend(
        fleet_pb2.Service(name=name) for name in services
    )
    changed_config.limits.CopyFrom(fleet_pb2.CallerLimits(**limits))
    return changed_config


def stream(**fields):
    return route(**(STREAM | fields))


CHANGES = {
    "no_route": config(2, stream(path_prefix="/other/")),
    "another_service": config(2, stream(shares=OTHER), services=("other",)),
    "no_service": config(2, services=()),
    "no_key": config(2, stream(), keys=("key-two",)),
    "no_customer": configuration(2, stream(), keys_required=True),
    "one_attempt": config(2, stream(max_attempts=1)),
    "less_time": config(2, stream(timeout_ms=500)),
    "another_kind": config(2, stream(resumable=False)),
    "no_stream": config(2, stream(streaming=False, resumable=False)),
    "less_idle_time": config(2, stream(), idle_timeout_ms=200),
    "shorter_heads": config(2, stream(), max_header_bytes=16),
    "shorter_bodies": config(2, stream(), max_body_bytes=1),
}


async def wait_for_requests(*targets):
    async with asyncio.timeout(5):
        while not any(target.heads for target in targets):
            await asyncio.sleep(0.01)


async def request_across_change(change, *targets):
    """Sends a request and applies a change while it is at a target."""
    async with running_entry(*targets, config=config(1, stream())) as entry:
        asking = asyncio.create_task(
            entry.send_request(x_deadline="6", x_key=KEY)
        )
        await wait_for_requests(*targets)
        await asyncio.sleep(0.1)
        entry.view.apply_configuration(change)
        return await asking


@pytest.mark.parametrize("mode", ["stream_pauses", "stream_after_a_pause"])
@pytest.mark.parametrize("name", CHANGES)
def test_configuration_change_does_not_cut_stream(name, mode):
    targets = FakeTarget("a", mode), FakeTarget("b", mode)
    assert_complete_stream(
        asyncio.run(request_across_change(CHANGES[name], *targets))
    )


@pytest.mark.parametrize("name", CHANGES)
def test_configuration_change_does_not_fail_request(name):
    # The answer is not a stream, so the route is no stream in either version.
    change = fleet_pb2.Configuration()
    change.CopyFrom(CHANGES[name])
    for changed in change.routes:
        changed.streaming = changed.resumable = False
    repeatable = stream(streaming=False, resumable=False, idempotent=True)

    async def scenario():
        targets = FakeTarget("a", "pauses"), FakeTarget("b", "pauses")
        async with running_entry(
            *targets, config=config(1, repeatable)
        ) as entry:
            asking = asyncio.create_task(
                entry.send_request(x_deadline="6", x_key=KEY)
            )
            await wait_for_requests(*targets)
            entry.view.apply_configuration(change)
            return await asking

    status, _, body = asyncio.run(scenario())
    assert (status, body) in {(200, b"a"), (200, b"b")}
