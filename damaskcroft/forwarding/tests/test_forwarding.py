"""A request's way: what is repeated, what isn't, and what callers hear."""

import asyncio

import pytest
from prometheus_client import REGISTRY

from damaskcroft._generated import fleet_pb2
from damaskcroft.fleet import TargetBook
from damaskcroft.forwarding import _gate
from damaskcroft.forwarding.tests.fakes import (
    EVENTS,
    FakeTarget,
    configuration,
    entry_before,
    event_ids,
    route,
    unchunked,
)

ONCE = configuration(1, route())
SAFE = configuration(1, route(idempotent=True))
STREAM = configuration(1, route(streaming=True, resumable=True))


def pair(first_modes, second_mode="whole"):
    """Two targets of which whichever is asked first behaves as told."""
    modes = [*first_modes, second_mode]
    a, b = FakeTarget("a", "whole"), FakeTarget("b", "whole")
    a.modes = b.modes = modes
    return a, b


def asked(*targets):
    return sum(len(target.heads) for target in targets)


def test_an_answer_comes_back_whole_with_its_seal():
    async def scenario():
        target = FakeTarget("a", "whole")
        async with entry_before(target, config=ONCE) as entry:
            status, head, body = await entry.ask()
            assert (status, body) == (200, b"a")
            assert "x-seal: s" in head
            assert target.heads[0]["x-target"] == "a"

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "mode", ["fails", "unsealed", "silent_close", "cut_body"]
)
def test_what_may_repeat_is_asked_of_another_target(mode):
    async def scenario():
        targets = pair([mode])
        async with entry_before(*targets, config=SAFE) as entry:
            status, _, body = await entry.ask()
            assert (status, len(body)) == (200, 1)
            assert asked(*targets) == 2

    asyncio.run(scenario())


@pytest.mark.parametrize("mode", ["unsealed", "silent_close", "cut_body"])
def test_what_may_not_repeat_is_sent_once_and_not_said_to_be_unrun(mode):
    async def scenario():
        targets = pair([mode])
        async with entry_before(*targets, config=ONCE) as entry:
            status, head, _ = await entry.ask()
            assert status == 502
            assert "retry-after" not in head
            assert asked(*targets) == 1

    asyncio.run(scenario())


def test_a_targets_own_failure_goes_back_unchanged():
    async def scenario():
        targets = pair(["fails"])
        async with entry_before(*targets, config=ONCE) as entry:
            status, head, body = await entry.ask()
            assert (status, len(body)) == (500, 1)
            assert "x-seal" in head
            assert asked(*targets) == 1

    asyncio.run(scenario())


def test_what_certainly_did_not_run_goes_elsewhere_even_if_unsafe():
    async def scenario():
        targets = pair(["not_run"])
        async with entry_before(*targets, config=ONCE) as entry:
            status, _, _ = await entry.ask()
            assert status == 200
            assert asked(*targets) == 2

    asyncio.run(scenario())


def test_when_nobody_ran_it_the_caller_hears_so_and_when_to_return():
    async def scenario():
        targets = pair(["not_run", "not_run"])
        async with entry_before(*targets, config=ONCE) as entry:
            status, head, _ = await entry.ask()
            assert status == 503
            assert "retry-after" in head

    asyncio.run(scenario())


def test_after_a_lost_attempt_a_refusal_elsewhere_is_no_promise():
    async def scenario():
        targets = pair(["silent_close", "not_run"])
        async with entry_before(*targets, config=SAFE) as entry:
            status, _, _ = await entry.ask()
            assert status == 502
            assert asked(*targets) == 2

    asyncio.run(scenario())


def test_a_target_that_refuses_connections_costs_no_attempt():
    async def scenario():
        gone = FakeTarget("a", "whole")
        alive = FakeTarget("b", "whole")
        config = configuration(1, route(max_attempts=1))
        async with entry_before(alive, config=config) as entry:
            state = fleet_pb2.TargetState(
                id="a", service="s", address="127.0.0.1:1", slots=400,
                sequence=1,
            )  # fmt: skip
            entry.view.take([state])
            for _ in range(6):
                assert (await entry.ask())[0] == 200
            assert gone.heads == []

    asyncio.run(scenario())


def test_no_repeat_without_a_budget():
    async def scenario():
        targets = pair(["silent_close"])
        async with entry_before(
            *targets, config=SAFE, ratio=0.0, extra=0.0
        ) as entry:
            assert (await entry.ask())[0] == 502
            assert asked(*targets) == 1

    asyncio.run(scenario())


def test_many_targets_that_refuse_connections_hide_no_good_one():
    """Targets that have just crashed look emptiest, and are tried first."""

    async def scenario():
        dead = [FakeTarget(f"dead {n}", "whole") for n in range(8)]
        good = FakeTarget("good", "whole")
        async with entry_before(*dead, good, config=SAFE) as entry:
            for target in dead:
                target.server.close()
            (busy,) = [c for c in entry.candidates() if c.id == "good"]
            slot = entry.placer.take(busy)
            status, _, body = await entry.ask()
            slot.give_back()
            assert (status, body) == (200, b"good")

    asyncio.run(scenario())


def test_a_repeat_that_was_not_sent_uses_up_no_budget():
    async def scenario():
        cut, dead = FakeTarget("cut", "silent_close"), FakeTarget("dead", "")
        good = FakeTarget("good", "whole")
        async with entry_before(
            cut, dead, good, config=SAFE, ratio=0.0, extra=1.5
        ) as entry:
            dead.server.close()
            held = [entry.placer.take(c) for c in entry.candidates()[2:]]
            held += [entry.placer.take(c) for c in entry.candidates()[1:]]
            status, _, body = await entry.ask()
            for slot in held:
                slot.give_back()
            assert (status, body) == (200, b"good")
            assert asked(cut, dead, good) == 2

    asyncio.run(scenario())


def test_a_hanging_target_is_given_up_at_the_routes_timeout():
    async def scenario():
        target = FakeTarget("a", "hangs")
        config = configuration(1, route(timeout_ms=100))
        async with entry_before(target, config=config) as entry:
            status, _, _ = await entry.ask(x_deadline=30)
            assert status == 504
            assert float(target.heads[0]["x-deadline"]) <= 0.1
            await asyncio.sleep(0.1)
            assert target.left == 1

    asyncio.run(scenario())


def test_a_caller_that_leaves_frees_its_target():
    async def scenario():
        target = FakeTarget("a", "hangs")
        async with entry_before(target, config=ONCE) as entry:
            _, writer = await entry.connect()
            writer.write(b"POST / HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n")
            async with asyncio.timeout(10):
                while not target.heads:
                    await asyncio.sleep(0.01)
                writer.close()
                while not target.left:
                    await asyncio.sleep(0.01)

    asyncio.run(scenario())


def test_a_silent_target_is_left_before_the_deadline():
    async def scenario():
        targets = pair(["hangs"])
        async with entry_before(*targets, config=SAFE) as entry:
            status, _, _ = await entry.ask(x_deadline=30)
            assert status == 200
            assert asked(*targets) == 2

    asyncio.run(scenario())


# --- Streams ---------------------------------------------------------------


def test_a_stream_comes_whole():
    async def scenario():
        target = FakeTarget("a", "stream")
        async with entry_before(target, config=STREAM) as entry:
            status, _, body = await entry.ask()
            payload, complete = unchunked(body)
            assert (status, complete) == (200, True)
            assert event_ids(payload) == list(range(1, EVENTS + 1))

    asyncio.run(scenario())


@pytest.mark.parametrize("mode", ["stream_cut", "stream_cut_within"])
def test_a_cut_stream_goes_on_elsewhere_without_gap_or_double(mode):
    async def scenario():
        targets = pair([mode], "stream")
        async with entry_before(*targets, config=STREAM) as entry:
            status, head, body = await entry.ask()
            payload, complete = unchunked(body)
            assert (status, complete) == (200, True)
            assert event_ids(payload) == list(range(1, EVENTS + 1))
            assert payload.count(b"data:") == EVENTS
            assert head.count("x-seal") == 1
            resumed = [h for t in targets for h in t.heads if "x-last" in h]
            assert resumed[0]["x-last"] == "3"

    asyncio.run(scenario())


def test_a_callers_own_place_in_a_stream_is_kept():
    async def scenario():
        target = FakeTarget("a", "stream")
        async with entry_before(target, config=STREAM) as entry:
            _, _, body = await entry.ask(x_last=4)
            assert event_ids(unchunked(body)[0]) == [5, 6]

    asyncio.run(scenario())


def test_a_stream_that_can_not_go_on_does_not_look_complete():
    async def scenario():
        targets = pair(["stream_cut_within"], "stream")
        config = configuration(1, route(streaming=True))
        async with entry_before(*targets, config=config) as entry:
            _, _, body = await entry.ask()
            payload, complete = unchunked(body)
            assert not complete
            assert event_ids(payload) == [1, 2, 3]
            assert asked(*targets) == 1

    asyncio.run(scenario())


# --- Weights ---------------------------------------------------------------


def test_what_has_not_begun_on_old_weights_in_time_goes_to_new_ones():
    """The old target answers nothing; the new version is soon due."""

    def taken_back():
        name = "damask_retries_total"
        reason = {"reason": "version_due"}
        return REGISTRY.get_sample_value(name, reason) or 0

    async def scenario():
        before = taken_back()
        old, new = FakeTarget("old", "hangs"), FakeTarget("new", "stream")
        old.held = [fleet_pb2.HeldLayers(model="m", version=1)]
        config = configuration(
            1, route(streaming=True, resumable=True, timeout_ms=20_000)
        )
        async with entry_before(
            old, new, config=config, weights_s=0.6
        ) as entry:
            asking = asyncio.create_task(entry.ask(x_model="m", x_deadline=20))
            async with asyncio.timeout(10):
                while not old.heads:
                    await asyncio.sleep(0.01)
            held = fleet_pb2.HeldLayers(model="m", version=2)
            entry.view.take(
                [
                    fleet_pb2.TargetState(
                        id="new", service="s", address=new.address,
                        sequence=2, slots=4, held=[held],
                    )
                ]
            )  # fmt: skip
            goal = fleet_pb2.WeightGoal(model="m", version=2, age_ms=0)
            entry.view.apply_update(fleet_pb2.FleetUpdate(goals=[goal]))
            status, _, body = await asking
            assert status == 200
            assert unchunked(body)[1]
            assert old.left == 1
            # Not for its silence, which would be noticed only later.
            assert taken_back() == before + 1
            status, _, _ = await entry.ask(x_model="m")
            assert (status, len(old.heads)) == (200, 1)

    asyncio.run(scenario())


def test_nothing_is_sent_when_connecting_took_too_long_for_old_weights():
    """No byte has left, so even what runs once may go elsewhere."""

    async def scenario():
        old, new = FakeTarget("old", "whole"), FakeTarget("new", "whole")
        config = configuration(1, route())
        async with entry_before(old, new, config=config) as entry:
            entry.services.may_begin = lambda s, m, target_id, c: (
                target_id == "new"
            )
            for _ in range(8):
                assert (await entry.ask())[0] == 200
            assert old.heads == []
            assert len(new.heads) == 8

    asyncio.run(scenario())


def test_where_no_target_has_any_weights_callers_hear_it_at_once():
    """With one staged they wait, and are served when it is loaded."""

    async def scenario():
        target = FakeTarget("a", "whole")
        config = configuration(1, route(timeout_ms=6000))
        async with entry_before(target, config=config) as entry:

            def tell(sequence, **fields):
                agent = fleet_pb2.AgentState(
                    address="x:2", target_address=target.address,
                    incarnation="1", sequence=sequence, **fields,
                )  # fmt: skip
                entry.view.take([], [agent])

            loop = asyncio.get_running_loop()
            tell(1)
            began_at = loop.time()
            status, head, _ = await entry.ask(x_model="m", x_deadline=6)
            assert status == 503
            assert "retry-after" in head
            assert loop.time() - began_at < 0.5
            part = fleet_pb2.HeldLayers(model="m", version=1)
            tell(2, staged=part)
            asking = asyncio.create_task(entry.ask(x_model="m", x_deadline=6))
            await asyncio.sleep(0.6)
            assert not asking.done()
            tell(3, staged=part, held=[part])
            status, _, _ = await asking
            assert status == 200

    asyncio.run(scenario())


def test_who_answers_at_an_address_holds_it():
    """An entry asked for a target that had ended, and never the one there.

    A target had died without a word, and another had started at its address.
    A late word of the first one reached an entry after the second one's, and
    whoever is heard of first later holds an address. Every request was sent
    for the dead one, the living one said each time that it was another, and
    nothing came of that: the address was lost until the entry's next start,
    and each request used an attempt on it. Evidence: a refusal with 421 moved
    neither the book of targets nor those put aside.
    """

    async def scenario():
        target = FakeTarget("new", "only_for_itself")
        async with entry_before(target, config=SAFE) as entry:
            late = fleet_pb2.TargetState(
                id="old", service="s", address=target.address,
                slots=4, sequence=7,
            )  # fmt: skip
            entry.view.take([late])
            status, _, body = await entry.ask()
            assert (status, body) == (200, b"new")
            assert asked(target) == 2
            entry.view.take([late])
            assert (await entry.ask())[0] == 200
            assert asked(target) == 3

    asyncio.run(scenario())


def test_a_target_that_lacks_weights_is_not_taken_for_another_one():
    """It says so in the same way as one to which a request was misdirected."""

    async def scenario():
        target = FakeTarget("other", "only_for_itself")
        async with entry_before(target, config=SAFE) as entry:
            later = fleet_pb2.TargetState(
                id="a", service="s", address=target.address, slots=4,
                sequence=1,
            )  # fmt: skip
            entry.view.take([later])
            entry.services.should_hold = lambda *_: False
            assert (await entry.ask())[0] == 503
            assert [s.id for s in entry.view.book.believed()] == ["a"]

    asyncio.run(scenario())


# --- Targets that start again ------------------------------------------------


def started(target, born_ms, sequence=1):
    return fleet_pb2.TargetState(
        id=target.name, service="s", address=target.address, slots=4,
        sequence=sequence, born_ms=born_ms,
    )  # fmt: skip


def test_nothing_that_was_believed_of_an_earlier_start_holds_for_a_later_one():
    async def scenario():
        target = FakeTarget("a", "whole")
        async with entry_before(target, config=SAFE) as entry:
            entry.view.take([started(target, 1000)])
            (before,) = entry.candidates()
            assert before.target_id == "a"
            entry.placer.told(before.id, 9)
            slot = entry.placer.take(before, 500)
            assert entry.placer.fullness(before) > 2
            entry.view.take([started(target, 2000)])
            (after,) = entry.candidates()
            assert entry.placer.fullness(after) == 0
            slot.give_back()
            assert entry.placer.fullness(after) == 0
            assert entry.services.has_started_again(before)
            assert not entry.services.has_started_again(after)
            # A late word of the earlier start changes nothing of that.
            entry.view.take([started(target, 1000, sequence=99)])
            assert entry.candidates() == [after]

    asyncio.run(scenario())


def test_a_request_at_an_earlier_start_goes_on_elsewhere():
    """The connection stays open and silent, as after a crash behind a cut."""

    async def scenario():
        # Whatever runs at the earlier start is lost; the later one answers.
        dead, sound = (
            FakeTarget("a", "hangs", "whole"),
            FakeTarget("b", "whole"),
        )
        async with entry_before(dead, sound, config=SAFE) as entry:
            entry.view.take([started(dead, 1000), started(sound, 1000)])
            busy = [c for c in entry.candidates() if c.target_id == "b"]
            slots = [entry.placer.take(busy[0]) for _ in range(3)]
            asking = asyncio.create_task(entry.ask())
            while not asked(dead):
                await asyncio.sleep(0.01)
            for slot in slots:
                slot.give_back()
            entry.view.take([started(dead, 2000)])
            async with asyncio.timeout(0.5):
                status, _, _ = await asking
            assert status == 200
            assert asked(dead, sound) == 2

    asyncio.run(scenario())


# --- Configuration ---------------------------------------------------------


def test_an_entry_that_knows_nothing_yet_says_503_never_404():
    async def scenario():
        async with entry_before() as entry:
            status, head, _ = await entry.ask()
            assert status == 503
            assert "retry-after" in head
            entry.view.apply_configuration(ONCE)
            assert (await entry.ask("/a"))[0] == 503

    asyncio.run(scenario())


@pytest.mark.parametrize("missing", ["everything", "targets"])
def test_a_caller_of_an_entry_that_has_just_started_is_served(missing):
    """All machines lost power and are back; the first view comes soon after.

    Before: 330 requests in 1.5 s were refused as `no_configuration`, with word
    to come back after half a second. Most callers ask twice; the second time
    the entry had no configuration either, and they were never served.
    """

    async def scenario():
        target = FakeTarget("a", "whole")
        async with entry_before(target) as entry:
            known = list(entry.view.book.words())
            entry.view.book = TargetBook()
            if missing == "targets":
                entry.view.apply_configuration(ONCE)
            asking = asyncio.create_task(entry.ask())
            await asyncio.sleep(0.3)
            assert not asking.done()
            entry.view.apply_configuration(ONCE)
            await asyncio.sleep(0.1)
            entry.view.take(known)
            status, _, body = await asking
            assert (status, body) == (200, b"a")

    asyncio.run(scenario())


def test_an_entry_without_a_view_for_long_refuses_at_once(monkeypatch):
    monkeypatch.setattr(_gate, "_FIRST_VIEW_S", 0.2)

    async def scenario():
        async with entry_before() as entry:
            assert (await entry.ask())[0] == 503
            asked_at = asyncio.get_running_loop().time()
            status, head, _ = await entry.ask()
            assert status == 503
            assert "retry-after" in head
            assert asyncio.get_running_loop().time() - asked_at < 0.1

    asyncio.run(scenario())


def test_routes_and_keys_decide_in_the_newest_version_only():
    async def scenario():
        target = FakeTarget("a", "whole")
        customer = fleet_pb2.Customer(name="c", keys=["k"])
        private = route(path_prefix="/p/", public=False)
        first = configuration(
            5, private, customers=[customer], keys_required=True
        )
        async with entry_before(target, config=first) as entry:
            assert (await entry.ask("/other"))[0] == 404
            assert (await entry.ask("/p/x"))[0] == 401
            assert (await entry.ask("/p/x", x_key="wrong"))[0] == 401
            assert (await entry.ask("/p/x", x_key="k"))[0] == 200
            assert target.heads[-1]["x-customer"] == "c"
            older = configuration(4, route())
            entry.view.apply_configuration(older)
            assert (await entry.ask("/other"))[0] == 404
            newer = configuration(6, private, keys_required=True)
            entry.view.apply_configuration(newer)
            assert (await entry.ask("/p/x", x_key="k"))[0] == 401

    asyncio.run(scenario())


def test_an_ending_entry_refuses_only_what_it_could_cut():
    """Told to end 2.5 s ago and 5 s to go: streams of 6 s are too long."""

    async def scenario():
        target = FakeTarget("a", "whole")
        long = route(name="long", path_prefix="/long/", timeout_ms=6000)
        short = route(name="short", path_prefix="/short/", timeout_ms=1200)
        config = configuration(1, long, short)
        async with entry_before(target, config=config) as entry:
            entry.gate.stop(7.5)
            status, head, _ = await entry.ask("/long/x", x_deadline="6")
            assert status == 200
            assert "connection: close" in head
            await asyncio.sleep(2.6)
            status, head, _ = await entry.ask("/long/x", x_deadline="6")
            assert status == 503
            assert "retry-after" in head
            assert (await entry.ask("/short/x", x_deadline="6"))[0] == 200
            assert len(target.heads) == 2

    asyncio.run(scenario())
