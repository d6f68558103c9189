"""All entries together send a cold target no more than it bears.

The load is a service whose targets turn cold at once while callers ask for
several times what they then bear.
"""

import asyncio

import pytest

from damaskcroft.clock import now_s
from damaskcroft.forwarding.tests.cold_simulation import SimulatedFleet

SETTLED_S = 6.0
COLD_S = 12.0
# Longer than the changes of one run.
LONG_COLD_S = 90.0
# Requests do not queue here: each entry asks often enough to use its share.
MIN_DEMAND_S = 30.0
# Callers lose little while targets are cold if this much is used.
MIN_USED_SHARE = 0.6


def assert_within_bound(fleet, since, until):
    for target in fleet.targets:
        assert target.max_in_a_second(since, until) <= fleet.bound


@pytest.mark.parametrize(
    ("entries", "targets", "cold_requests_s", "ratio", "extra"),
    [
        (11, 6, 36, 1.5, 5),
        (11, 6, 4, 1.5, 2),
        (3, 2, 10, 1.0, 0),
        (60, 4, 6, 1.0, 2),
        (1, 1, 2.5, 1.2, 0),
    ],
)
def test_bound_is_kept_and_used_while_targets_are_cold(
    entries, targets, cold_requests_s, ratio, extra
):
    demand_s = 3 * targets * (cold_requests_s * ratio + extra) / entries
    fleet = SimulatedFleet(
        entries,
        targets,
        cold_requests_s,
        ratio,
        extra,
        max(demand_s, MIN_DEMAND_S),
    )

    async def scenario(fleet):
        await asyncio.sleep(SETTLED_S)
        fleet.turn_cold(COLD_S)
        since = now_s()
        await asyncio.sleep(COLD_S)
        assert_within_bound(fleet, since, now_s())
        sent = sum(len(t.sent_at) for t in fleet.targets)
        assert sent
        used = [
            t.used_share(fleet.bound, since + 1, now_s()) for t in fleet.targets
        ]
        assert sum(used) / len(used) >= MIN_USED_SHARE

    fleet.run(scenario)


@pytest.mark.parametrize("seed", range(4))
def test_bound_is_kept_while_entries_join_leave_and_lose_touch(seed):
    fleet = SimulatedFleet(8, 3, 8, 1.5, 4, 20.0, seed)

    async def scenario(fleet):
        await asyncio.sleep(SETTLED_S)
        fleet.turn_cold(LONG_COLD_S)
        since = now_s()
        for number in range(12):
            await asyncio.sleep(fleet.rng.uniform(1.0, 6.0))
            name = fleet.rng.choice(sorted(fleet.entries_by_name))
            match fleet.rng.choice(["join", "restart", "leave", "cut", "back"]):
                case "join":
                    fleet.join(f"further-{number}")
                case "restart":
                    fleet.leave(name)
                    fleet.join(name)
                case "leave" if len(fleet.entries_by_name) > 2:
                    fleet.leave(name)
                case "cut":
                    fleet.entries_by_name[name].links.clear()
                case "back":
                    fleet.entries_by_name[name].links.update({"c1", "c2", "c3"})
        assert_within_bound(fleet, since, now_s())

    fleet.run(scenario)


def test_bound_is_kept_while_control_is_parted():
    fleet = SimulatedFleet(8, 3, 8, 1.5, 4, 20.0)

    async def scenario(fleet):
        await asyncio.sleep(SETTLED_S)
        for number in range(8):
            links = {"c1"} if number % 2 else {"c2", "c3"}
            fleet.entries_by_name[f"e{number}"].links = links
        await asyncio.sleep(2.5)
        fleet.turn_cold(2 * COLD_S)
        since = now_s()
        await asyncio.sleep(COLD_S)
        for entry in fleet.entries_by_name.values():
            entry.links = {"c1", "c2", "c3"}
        await asyncio.sleep(COLD_S)
        assert_within_bound(fleet, since, now_s())

    fleet.run(scenario)


def test_entries_out_of_touch_keep_bound_of_targets_that_turn_cold_unseen():
    fleet = SimulatedFleet(8, 3, 8, 1.5, 4, 20.0)

    async def scenario(fleet):
        await asyncio.sleep(SETTLED_S)
        for number in range(4):
            fleet.entries_by_name[f"e{number}"].links = set()
        await asyncio.sleep(3.5)
        fleet.turn_cold(COLD_S)
        since = now_s()
        await asyncio.sleep(COLD_S)
        assert_within_bound(fleet, since, now_s())

    fleet.run(scenario)


def test_target_that_turns_cold_again_is_limited_again():
    fleet = SimulatedFleet(8, 3, 8, 1.5, 4, 60.0)

    async def scenario(fleet):
        await asyncio.sleep(SETTLED_S)
        fleet.turn_cold(3.0)
        await asyncio.sleep(10.0)
        warm_rate = fleet.targets[0].max_in_a_second(now_s() - 2, now_s())
        assert warm_rate > 3 * fleet.bound
        fleet.turn_cold(5.0)
        since = now_s()
        await asyncio.sleep(5.0)
        assert_within_bound(fleet, since, now_s())

    fleet.run(scenario)


def test_entries_do_not_all_turn_to_targets_that_have_just_become_warm():
    fleet = SimulatedFleet(8, 3, 8, 1.5, 4, 60.0)

    async def scenario(fleet):
        await asyncio.sleep(SETTLED_S)
        fleet.turn_cold(3.0)
        await asyncio.sleep(3.0)
        since = now_s()
        await asyncio.sleep(1.0)
        for target in fleet.targets:
            assert target.max_in_a_second(since, now_s()) <= 2 * fleet.bound

    fleet.run(scenario)


def test_without_a_bound_nothing_is_limited():
    fleet = SimulatedFleet(4, 2, 0, 1.5, 5, 20.0)

    async def scenario(fleet):
        fleet.turn_cold(COLD_S)
        await asyncio.sleep(3.0)
        for entry in fleet.entries_by_name.values():
            assert not entry.cold_targets.is_active
            assert not entry.refused

    fleet.run(scenario)


def test_bound_is_kept_where_entries_join_as_others_lose_touch():
    fleet = SimulatedFleet(8, 3, 8, 1.5, 4, 20.0)

    async def scenario(fleet):
        await asyncio.sleep(SETTLED_S)
        fleet.turn_cold(COLD_S)
        since = now_s()
        for number in range(1, 8):
            fleet.entries_by_name[f"e{number}"].links = set()
        for number in range(8):
            fleet.join(f"further-{number}")
        await asyncio.sleep(COLD_S)
        assert_within_bound(fleet, since, now_s())

    fleet.run(scenario)
