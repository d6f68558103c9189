"""Tests of forwarding: retries, streams, weights, restarts, configuration."""

import asyncio
import time

import pytest
from prometheus_client import REGISTRY

from damaskcroft._generated import fleet_pb2
from damaskcroft.fleet import TargetRegistry
from damaskcroft.forwarding import _gate
from damaskcroft.forwarding.tests.fakes import (
    EVENTS,
    FakeTarget,
    configuration,
    event_ids,
    route,
    running_entry,
    unchunked,
)

NOT_REPEATABLE = configuration(1, route())
REPEATABLE = configuration(1, route(idempotent=True))
STREAM = configuration(1, route(streaming=True, resumable=True))


def two_targets(first_modes, second_mode="whole"):
    """Two targets that share the modes, whichever is tried first."""
    modes = [*first_modes, second_mode]
    a, b = FakeTarget("a", "whole"), FakeTarget("b", "whole")
    a.modes = b.modes = modes
    return a, b


def request_count(*targets):
    return sum(len(target.heads) for target in targets)


def test_answer_is_relayed_complete_with_seal():
    async def scenario():
        target = FakeTarget("a", "whole")
        async with running_entry(target, config=NOT_REPEATABLE) as entry:
            status, head, body = await entry.send_request()
            assert (status, body) == (200, b"a")
            assert "x-seal: s" in head
            assert target.heads[0]["x-target"] == "a"

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "mode", ["fails", "unsealed", "silent_close", "cut_body"]
)
def test_repeatable_request_is_retried_at_another_target(mode):
    async def scenario():
        targets = two_targets([mode])
        async with running_entry(*targets, config=REPEATABLE) as entry:
            status, _, body = await entry.send_request()
            assert (status, len(body)) == (200, 1)
            assert request_count(*targets) == 2

    asyncio.run(scenario())


@pytest.mark.parametrize("mode", ["unsealed", "silent_close", "cut_body"])
def test_non_repeatable_request_is_sent_once_and_not_reported_as_not_run(mode):
    async def scenario():
        targets = two_targets([mode])
        async with running_entry(*targets, config=NOT_REPEATABLE) as entry:
            status, head, _ = await entry.send_request()
            assert status == 502
            assert "retry-after" not in head
            assert request_count(*targets) == 1

    asyncio.run(scenario())


def test_server_error_of_target_is_relayed_unchanged():
    async def scenario():
        targets = two_targets(["fails"])
        async with running_entry(*targets, config=NOT_REPEATABLE) as entry:
            status, head, body = await entry.send_request()
            assert (status, len(body)) == (500, 1)
            assert "x-seal" in head
            assert request_count(*targets) == 1

    asyncio.run(scenario())


def test_request_that_did_not_run_is_retried_even_if_not_repeatable():
    async def scenario():
        targets = two_targets(["not_run"])
        async with running_entry(*targets, config=NOT_REPEATABLE) as entry:
            status, _, _ = await entry.send_request()
            assert status == 200
            assert request_count(*targets) == 2

    asyncio.run(scenario())


def test_request_that_no_target_ran_is_refused_with_retry_after():
    async def scenario():
        targets = two_targets(["not_run", "not_run"])
        async with running_entry(*targets, config=NOT_REPEATABLE) as entry:
            status, head, _ = await entry.send_request()
            assert status == 503
            assert "retry-after" in head

    asyncio.run(scenario())


def test_refusal_after_lost_attempt_is_not_reported_as_not_run():
    async def scenario():
        targets = two_targets(["silent_close", "not_run"])
        async with running_entry(*targets, config=REPEATABLE) as entry:
            status, _, _ = await entry.send_request()
            assert status == 502
            assert request_count(*targets) == 2

    asyncio.run(scenario())


def test_refused_connection_does_not_count_as_attempt():
    async def scenario():
        gone = FakeTarget("a", "whole")
        alive = FakeTarget("b", "whole")
        config = configuration(1, route(max_attempts=1))
        async with running_entry(alive, config=config) as entry:
            state = fleet_pb2.TargetState(
                id="a", service="s", address="127.0.0.1:1", slots=400,
                sequence=1,
            )  # fmt: skip
            entry.view.merge([state])
            for _ in range(6):
                assert (await entry.send_request())[0] == 200
            assert gone.heads == []

    asyncio.run(scenario())


def test_no_retry_without_budget():
    async def scenario():
        targets = two_targets(["silent_close"])
        async with running_entry(
            *targets, config=REPEATABLE, ratio=0.0, extra=0.0
        ) as entry:
            assert (await entry.send_request())[0] == 502
            assert request_count(*targets) == 1

    asyncio.run(scenario())


def test_working_target_is_found_among_many_refusing_connections():
    """Targets that have just crashed appear least loaded and are preferred."""

    async def scenario():
        dead = [FakeTarget(f"dead {n}", "whole") for n in range(8)]
        good = FakeTarget("good", "whole")
        async with running_entry(*dead, good, config=REPEATABLE) as entry:
            for target in dead:
                target.server.close()
            (busy,) = [c for c in entry.candidates() if c.id == "good"]
            slot = entry.placer.take(busy)
            status, _, body = await entry.send_request()
            slot.give_back()
            assert (status, body) == (200, b"good")

    asyncio.run(scenario())


def test_unsent_retry_spends_no_budget():
    async def scenario():
        cut, dead = FakeTarget("cut", "silent_close"), FakeTarget("dead", "")
        good = FakeTarget("good", "whole")
        async with running_entry(
            cut, dead, good, config=REPEATABLE, ratio=0.0, extra=1.5
        ) as entry:
            dead.server.close()
            held = [entry.placer.take(c) for c in entry.candidates()[2:]]
            held += [entry.placer.take(c) for c in entry.candidates()[1:]]
            status, _, body = await entry.send_request()
            for slot in held:
                slot.give_back()
            assert (status, body) == (200, b"good")
            assert request_count(cut, dead, good) == 2

    asyncio.run(scenario())


def test_hanging_target_is_left_at_route_timeout():
    async def scenario():
        target = FakeTarget("a", "hangs")
        config = configuration(1, route(timeout_ms=100))
        async with running_entry(target, config=config) as entry:
            status, _, _ = await entry.send_request(x_deadline=30)
            assert status == 504
            assert float(target.heads[0]["x-deadline"]) <= 0.1
            await asyncio.sleep(0.1)
            assert target.disconnects == 1

    asyncio.run(scenario())


def test_disconnected_caller_frees_target():
    async def scenario():
        target = FakeTarget("a", "hangs")
        async with running_entry(target, config=NOT_REPEATABLE) as entry:
            _, writer = await entry.connect()
            writer.write(b"POST / HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n")
            async with asyncio.timeout(10):
                while not target.heads:
                    await asyncio.sleep(0.01)
                writer.close()
                while not target.disconnects:
                    await asyncio.sleep(0.01)

    asyncio.run(scenario())


def test_silent_target_is_left_before_deadline():
    async def scenario():
        targets = two_targets(["hangs"])
        async with running_entry(*targets, config=REPEATABLE) as entry:
            status, _, _ = await entry.send_request(x_deadline=30)
            assert status == 200
            assert request_count(*targets) == 2

    asyncio.run(scenario())


# --- Streams ---------------------------------------------------------------


def test_stream_is_relayed_completely():
    async def scenario():
        target = FakeTarget("a", "stream")
        async with running_entry(target, config=STREAM) as entry:
            status, _, body = await entry.send_request()
            payload, complete = unchunked(body)
            assert (status, complete) == (200, True)
            assert event_ids(payload) == list(range(1, EVENTS + 1))

    asyncio.run(scenario())


@pytest.mark.parametrize("mode", ["stream_cut", "stream_cut_within"])
def test_cut_stream_is_resumed_without_gap_or_duplicate(mode):
    async def scenario():
        targets = two_targets([mode], "stream")
        async with running_entry(*targets, config=STREAM) as entry:
            status, head, body = await entry.send_request()
            payload, complete = unchunked(body)
            assert (status, complete) == (200, True)
            assert event_ids(payload) == list(range(1, EVENTS + 1))
            assert payload.count(b"data:") == EVENTS
            assert head.count("x-seal") == 1
            resumed = [h for t in targets for h in t.heads if "x-last" in h]
            assert resumed[0]["x-last"] == "3"

    asyncio.run(scenario())


@pytest.mark.parametrize("leaves_after_s", [0.0, 0.3])
def test_a_begun_stream_is_not_sent_again_for_a_caller_that_left(
    monkeypatch, leaves_after_s
):
    """Guards against work for callers who can't be asked whether they read.

    The stream is cut after 0.2 s, and then waits 0.2 s for another target.
    """

    async def scenario():
        targets = two_targets(["stream_cut_soon"], "stream")
        async with running_entry(*targets, config=STREAM) as entry:
            delay_allocation(monkeypatch, entry, 0.2)
            reader, writer = await entry.connect()
            writer.write(b"POST /a HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n")
            async with asyncio.timeout(10):
                await reader.readuntil(b"data: 3\n\n")
                await asyncio.sleep(leaves_after_s)
                writer.close()
                await asyncio.sleep(1.0)
            assert request_count(*targets) == 1

    asyncio.run(scenario())


def delay_allocation(monkeypatch, entry, delay_s):
    """Makes all requests wait before they get a target."""
    allocator = entry.gate._forwarder._allocator
    allocate = allocator.allocate

    async def allocate_later(job, progress):
        await asyncio.sleep(delay_s)
        return await allocate(job, progress)

    monkeypatch.setattr(
        type(allocator), "allocate", lambda _, *a: allocate_later(*a)
    )


def test_event_without_end_is_left_for_another_target():
    """Guards against reading such an event until the caller's deadline."""

    async def scenario():
        targets = two_targets(["endless_event"], "stream")
        async with running_entry(*targets, config=STREAM) as entry:
            began_at = time.monotonic()
            status, _, body = await entry.send_request()
            payload, complete = unchunked(body)
            assert (status, complete) == (200, True)
            assert event_ids(payload) == list(range(1, EVENTS + 1))
            assert time.monotonic() - began_at < 0.5

    asyncio.run(scenario())


def test_last_event_id_of_caller_is_forwarded():
    async def scenario():
        target = FakeTarget("a", "stream")
        async with running_entry(target, config=STREAM) as entry:
            _, _, body = await entry.send_request(x_last=4)
            assert event_ids(unchunked(body)[0]) == [5, 6]

    asyncio.run(scenario())


def test_unresumable_cut_stream_does_not_look_complete():
    async def scenario():
        targets = two_targets(["stream_cut_within"], "stream")
        config = configuration(1, route(streaming=True))
        async with running_entry(*targets, config=config) as entry:
            _, _, body = await entry.send_request()
            payload, complete = unchunked(body)
            assert not complete
            assert event_ids(payload) == [1, 2, 3]
            assert request_count(*targets) == 1

    asyncio.run(scenario())


# --- Weights ---------------------------------------------------------------


def test_request_not_begun_on_old_weights_moves_to_new_ones():
    """The old target does not answer while the new version becomes due."""

    def withdrawn_count():
        name = "damask_retries_total"
        reason = {"reason": "version_due"}
        return REGISTRY.get_sample_value(name, reason) or 0

    async def scenario():
        before = withdrawn_count()
        old, new = FakeTarget("old", "hangs"), FakeTarget("new", "stream")
        old.held = [fleet_pb2.HeldLayers(model="m", version=1)]
        config = configuration(
            1, route(streaming=True, resumable=True, timeout_ms=20_000)
        )
        async with running_entry(
            old, new, config=config, weights_s=0.6
        ) as entry:
            asking = asyncio.create_task(
                entry.send_request(x_model="m", x_deadline=20)
            )
            async with asyncio.timeout(10):
                while not old.heads:
                    await asyncio.sleep(0.01)
            held = fleet_pb2.HeldLayers(model="m", version=2)
            entry.view.merge(
                [
                    fleet_pb2.TargetState(
                        id="new", service="s", address=new.address,
                        sequence=2, slots=4, held=[held],
                    )
                ]
            )  # fmt: skip
            desired = fleet_pb2.WeightGoal(model="m", version=2, age_ms=0)
            entry.view.apply_update(fleet_pb2.FleetUpdate(goals=[desired]))
            status, _, body = await asking
            assert status == 200
            assert unchunked(body)[1]
            assert old.disconnects == 1
            # The attempt ended for its version, not for the silence of the
            # target, which would be detected only later.
            assert withdrawn_count() == before + 1
            status, _, _ = await entry.send_request(x_model="m")
            assert (status, len(old.heads)) == (200, 1)

    asyncio.run(scenario())


def test_request_is_withheld_when_connecting_took_too_long():
    """No byte is sent, so even a non-repeatable request may be retried."""

    async def scenario():
        old, new = FakeTarget("old", "whole"), FakeTarget("new", "whole")
        config = configuration(1, route())
        async with running_entry(old, new, config=config) as entry:
            entry.services.may_begin = lambda s, m, target_id, c: (
                target_id == "new"
            )
            for _ in range(8):
                assert (await entry.send_request())[0] == 200
            assert old.heads == []
            assert len(new.heads) == 8

    asyncio.run(scenario())


def test_callers_are_refused_at_once_without_any_weights():
    """With a staged version they wait and are served once it is activated."""

    async def scenario():
        target = FakeTarget("a", "whole")
        config = configuration(1, route(timeout_ms=6000))
        async with running_entry(target, config=config) as entry:

            def announce_agent(sequence, **fields):
                agent = fleet_pb2.AgentState(
                    address="x:2", target_address=target.address,
                    incarnation="1", sequence=sequence, **fields,
                )  # fmt: skip
                entry.view.merge([], [agent])

            loop = asyncio.get_running_loop()
            announce_agent(1)
            began_at = loop.time()
            status, head, _ = await entry.send_request(
                x_model="m", x_deadline=6
            )
            assert status == 503
            assert "retry-after" in head
            assert loop.time() - began_at < 0.5
            part = fleet_pb2.HeldLayers(model="m", version=1)
            announce_agent(2, staged=part)
            asking = asyncio.create_task(
                entry.send_request(x_model="m", x_deadline=6)
            )
            await asyncio.sleep(0.6)
            assert not asking.done()
            announce_agent(3, staged=part, held=[part])
            status, _, _ = await asking
            assert status == 200

    asyncio.run(scenario())


def test_target_that_answers_at_an_address_owns_it():
    """Guards against addressing all requests to a dead target's id.

    A target had crashed and another one had started at its address. A late
    announcement of the first one reached the entry after that of the second
    one and took over the address. Every request was then addressed to the dead
    target and refused by the live one with 421, which changed neither the
    registry of targets nor the ejected ones. The address was unusable until the
    entry restarted, and each request spent an attempt on it.
    """

    async def scenario():
        target = FakeTarget("new", "only_for_itself")
        async with running_entry(target, config=REPEATABLE) as entry:
            late = fleet_pb2.TargetState(
                id="old", service="s", address=target.address,
                slots=4, sequence=7,
            )  # fmt: skip
            entry.view.merge([late])
            status, _, body = await entry.send_request()
            assert (status, body) == (200, b"new")
            assert request_count(target) == 2
            entry.view.merge([late])
            assert (await entry.send_request())[0] == 200
            assert request_count(target) == 3

    asyncio.run(scenario())


def test_target_without_weights_is_not_taken_for_another_one():
    """It refuses in the same way as a target that is not the addressed one."""

    async def scenario():
        target = FakeTarget("other", "only_for_itself")
        async with running_entry(target, config=REPEATABLE) as entry:
            later = fleet_pb2.TargetState(
                id="a", service="s", address=target.address, slots=4,
                sequence=1,
            )  # fmt: skip
            entry.view.merge([later])
            entry.services.is_expected_to_hold = lambda *_: False
            assert (await entry.send_request())[0] == 503
            assert [s.id for s in entry.view.targets.address_holders()] == ["a"]

    asyncio.run(scenario())


# --- Restarted targets -------------------------------------------------------


def started(target, born_ms, sequence=1):
    return fleet_pb2.TargetState(
        id=target.name, service="s", address=target.address, slots=4,
        sequence=sequence, born_ms=born_ms,
    )  # fmt: skip


def test_state_of_earlier_start_does_not_apply_to_later_one():
    async def scenario():
        target = FakeTarget("a", "whole")
        async with running_entry(target, config=REPEATABLE) as entry:
            entry.view.merge([started(target, 1000)])
            (before,) = entry.candidates()
            assert before.target_id == "a"
            entry.placer.record_load(before.id, 9)
            slot = entry.placer.take(before, 500)
            assert entry.placer.fullness(before) > 2
            entry.view.merge([started(target, 2000)])
            (after,) = entry.candidates()
            assert entry.placer.fullness(after) == 0
            slot.give_back()
            assert entry.placer.fullness(after) == 0
            assert entry.services.has_restarted(before)
            assert not entry.services.has_restarted(after)
            # A late announcement of the earlier start changes nothing.
            entry.view.merge([started(target, 1000, sequence=99)])
            assert entry.candidates() == [after]

    asyncio.run(scenario())


def test_request_at_earlier_start_is_retried():
    """The connection stays open and silent, as after a crash in a partition."""

    async def scenario():
        # Requests at the earlier start are lost; the later start answers.
        dead, sound = (
            FakeTarget("a", "hangs", "whole"),
            FakeTarget("b", "whole"),
        )
        async with running_entry(dead, sound, config=REPEATABLE) as entry:
            entry.view.merge([started(dead, 1000), started(sound, 1000)])
            busy = [c for c in entry.candidates() if c.target_id == "b"]
            slots = [entry.placer.take(busy[0]) for _ in range(3)]
            asking = asyncio.create_task(entry.send_request())
            while not request_count(dead):
                await asyncio.sleep(0.01)
            for slot in slots:
                slot.give_back()
            entry.view.merge([started(dead, 2000)])
            async with asyncio.timeout(0.5):
                status, _, _ = await asking
            assert status == 200
            assert request_count(dead, sound) == 2

    asyncio.run(scenario())


# --- Configuration ---------------------------------------------------------


def test_entry_without_configuration_answers_503_not_404():
    async def scenario():
        async with running_entry() as entry:
            status, head, _ = await entry.send_request()
            assert status == 503
            assert "retry-after" in head
            entry.view.apply_configuration(NOT_REPEATABLE)
            assert (await entry.send_request("/a"))[0] == 503

    asyncio.run(scenario())


@pytest.mark.parametrize("missing", ["everything", "targets"])
def test_caller_waits_for_first_view_after_start(missing):
    """Guards against refusals right after a power loss of all machines.

    Without the wait, 330 requests within 1.5 s were refused as
    `no_configuration` with a Retry-After of half a second. Most callers try
    twice; at the second attempt the entry had no configuration either, and
    they were never served.
    """

    async def scenario():
        target = FakeTarget("a", "whole")
        async with running_entry(target) as entry:
            known = list(entry.view.targets.snapshot())
            entry.view.targets = TargetRegistry()
            if missing == "targets":
                entry.view.apply_configuration(NOT_REPEATABLE)
            asking = asyncio.create_task(entry.send_request())
            await asyncio.sleep(0.3)
            assert not asking.done()
            entry.view.apply_configuration(NOT_REPEATABLE)
            await asyncio.sleep(0.1)
            entry.view.merge(known)
            status, _, body = await asking
            assert (status, body) == (200, b"a")

    asyncio.run(scenario())


def test_entry_without_view_after_timeout_refuses_at_once(monkeypatch):
    monkeypatch.setattr(_gate, "_FIRST_VIEW_TIMEOUT_S", 0.2)

    async def scenario():
        async with running_entry() as entry:
            assert (await entry.send_request())[0] == 503
            asked_at = asyncio.get_running_loop().time()
            status, head, _ = await entry.send_request()
            assert status == 503
            assert "retry-after" in head
            assert asyncio.get_running_loop().time() - asked_at < 0.1

    asyncio.run(scenario())


def test_newest_configuration_decides_routes_and_keys():
    async def scenario():
        target = FakeTarget("a", "whole")
        customer = fleet_pb2.Customer(name="c", keys=["k"])
        private = route(path_prefix="/p/", public=False)
        first = configuration(
            5, private, customers=[customer], keys_required=True
        )
        async with running_entry(target, config=first) as entry:
            assert (await entry.send_request("/other"))[0] == 404
            assert (await entry.send_request("/p/x"))[0] == 401
            assert (await entry.send_request("/p/x", x_key="wrong"))[0] == 401
            assert (await entry.send_request("/p/x", x_key="k"))[0] == 200
            assert target.heads[-1]["x-customer"] == "c"
            older = configuration(4, route())
            entry.view.apply_configuration(older)
            assert (await entry.send_request("/other"))[0] == 404
            newer = configuration(6, private, keys_required=True)
            entry.view.apply_configuration(newer)
            assert (await entry.send_request("/p/x", x_key="k"))[0] == 401

    asyncio.run(scenario())


def test_stopping_entry_refuses_only_requests_it_could_cut():
    """With 5 s left, 2.5 s after the stop signal, 6 s streams are too long."""

    async def scenario():
        target = FakeTarget("a", "whole")
        long = route(name="long", path_prefix="/long/", timeout_ms=6000)
        short = route(name="short", path_prefix="/short/", timeout_ms=1200)
        config = configuration(1, long, short)
        async with running_entry(target, config=config) as entry:
            entry.gate.stop(7.5)
            status, head, _ = await entry.send_request(
                "/long/x", x_deadline="6"
            )
            assert status == 200
            assert "connection: close" in head
            await asyncio.sleep(2.6)
            status, head, _ = await entry.send_request(
                "/long/x", x_deadline="6"
            )
            assert status == 503
            assert "retry-after" in head
            assert (await entry.send_request("/short/x", x_deadline="6"))[
                0
            ] == 200
            assert len(target.heads) == 2

    asyncio.run(scenario())
