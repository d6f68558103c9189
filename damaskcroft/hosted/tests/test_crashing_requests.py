"""A request that crashes whoever runs it, sent again and again."""

import asyncio
import collections

from damaskcroft.hosted.tests.deployment import ENTRY_IPS
from damaskcroft.hosted.tests.soak._book import CONTACT_S

_TIMES = 24
_EVERY_S = 0.4
# Of other callers' requests: those that share two targets with it in a row.
_MAX_LOST_SHARE = 0.02
_AT_ONCE_S = 0.25
_AT_ONCE = 12
# Several such requests beside each other, one copy of each a second.
_KINDS = 6
_KIND_EVERY_S = 1.0
_KIND_TIMES = 12
# Three, and one more where two of them met at a target.
_MAX_CRASHES_OF_ONE = 4


def test_a_request_that_crashes_targets_is_held_by_the_whole_fleet(with_fleet):
    async def scenario(fleet):
        async with fleet.others_call() as others:
            outcomes = []
            for _ in range(_TIMES):
                outcomes.append(await fleet.crash_some())
                await asyncio.sleep(_EVERY_S)
        crashes = sorted(fleet.book.crashes["crash"])
        late = fleet.book.tries_after_crashes("crash")
        print(f"crashes {len(crashes)} late arrivals {len(late)}")
        print(f"others {collections.Counter(o.status for o in others)}")
        assert crashes[-1] - crashes[0] < CONTACT_S
        assert len(late) <= 3
        lost = [o for o in others if o.status != 200]
        assert len(lost) <= _MAX_LOST_SHARE * len(others)
        assert fleet.book.broken == []
        # Held before it runs: refused at once, as not run, and not soon again.
        held = outcomes[-1]
        assert held.status == 503
        assert held.took_s < _AT_ONCE_S
        assert float(held.retry_after) > 60

    with_fleet(scenario)


def test_both_entries_at_once_and_restarts_do_not_let_it_go_on(with_fleet):
    async def scenario(fleet):
        async with fleet.others_call() as others:
            for _ in range(4):
                await asyncio.gather(*(fleet.crash_some() for _ in ENTRY_IPS))
                await asyncio.sleep(_EVERY_S)
        known = len(fleet.book.crashes["crash"])
        for restart in (fleet.restart_control, fleet.restart_entries_in_turn):
            await restart()
            for _ in range(2 * len(ENTRY_IPS)):
                assert (await fleet.crash_some()).status == 503
        assert len(fleet.book.crashes["crash"]) == known
        # Three crashes that follow one another, of as many copies at once.
        assert known <= 3 * len(ENTRY_IPS)
        lost = [o for o in others if o.status != 200]
        assert len(lost) <= _MAX_LOST_SHARE * len(others)

    with_fleet(scenario)


def test_copies_at_all_entries_at_once_crash_one_target_at_a_time(with_fleet):
    """Once a first crash is known: what was under way then may crash too."""

    async def scenario(fleet):
        await fleet.crash_some()
        await asyncio.sleep(_EVERY_S)
        known = len(fleet.book.crashes["crash"])
        copies = (fleet.crash_some() for _ in range(_AT_ONCE))
        outcomes = await asyncio.gather(*copies)
        print(collections.Counter(o.status for o in outcomes))
        assert len(fleet.book.crashes["crash"]) <= max(known, 2) + 1

    with_fleet(scenario)


def test_several_such_requests_at_once_are_each_held(with_fleet):
    async def scenario(fleet):
        names = [f"crash {n}" for n in range(_KINDS)]

        async def send_copies(name):
            for _ in range(_KIND_TIMES):
                await fleet.crash_some(name)
                await asyncio.sleep(_KIND_EVERY_S)

        async with fleet.others_call() as others:
            async with asyncio.TaskGroup() as group:
                for name in names:
                    group.create_task(send_copies(name))
                    await asyncio.sleep(_KIND_EVERY_S / _KINDS)
            crashes = {name: fleet.book.crashes[name] for name in names}
            counts = {name: len(times) for name, times in crashes.items()}
            print(f"crashes {counts}")
            print(f"others {collections.Counter(o.status for o in others)}")
            others.clear()
            await asyncio.sleep(CONTACT_S)
        for name in names:
            late = fleet.book.tries_after_crashes(name)
            assert len(late) <= 3, name
            assert counts[name] <= _MAX_CRASHES_OF_ONE, name
        lost = [o for o in others if o.status != 200]
        assert len(lost) <= _MAX_LOST_SHARE * len(others)
        assert fleet.book.broken == []

    with_fleet(scenario)


def test_an_operator_sees_it_and_lets_it_run_again(with_fleet):
    async def scenario(fleet):
        for _ in range(3):
            await fleet.crash_some()
            await asyncio.sleep(_EVERY_S)
        (request,) = (await fleet.quarantine()).requests
        assert len(request.start_ids) == 3
        reply = await fleet.quarantine(lift=[request.fingerprint])
        assert reply.lifted == 1
        assert not reply.requests
        crashes = len(fleet.book.crashes["crash"])
        await asyncio.sleep(_EVERY_S)
        await fleet.crash_some()
        assert len(fleet.book.crashes["crash"]) > crashes

    with_fleet(scenario)


def test_what_runs_everywhere_when_all_targets_crash_is_served_again(
    with_fleet,
):
    async def scenario(fleet):
        async def call_forever():
            while True:
                await fleet.ask(body=b"what many ask for")

        callers = [asyncio.create_task(call_forever()) for _ in range(20)]
        await asyncio.sleep(1)
        for target in fleet.targets:
            await target.crash()
        await asyncio.sleep(_EVERY_S)
        for target in fleet.targets:
            await target.restart()
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        await asyncio.sleep(CONTACT_S)
        for _ in ENTRY_IPS:
            assert (await fleet.ask(body=b"what many ask for")).status == 200

    with_fleet(scenario)
