"""Who gets room at an entry whose requests need different targets."""

import asyncio
import collections

import pytest

from damaskcroft.routing import (
    Candidate,
    Overloaded,
    Placement,
    QueueTicket,
    RequestQueue,
    SlotTaken,
)

OBJECTIVE_S = 0.4
DEADLINE_S = 6.0
NORTH, SOUTH = frozenset({"north"}), frozenset({"south"})


class FakeSlot:
    """Nobody returns it."""

    def give_back(self):
        """Does nothing."""


class Regions:
    """One target in each region, with a number of free slots."""

    def __init__(self, **free_by_region):
        self.free_by_region = collections.Counter(free_by_region)
        self.fullness = 0.5
        self.max_prompt_tokens = 10_000
        self.served = []
        self.queue = RequestQueue(self.choose, self.take)

    def choose(self, ticket):
        allowed = ticket.allowed_regions or self.free_by_region
        region = max(allowed, key=lambda each: self.free_by_region[each])
        candidate = Candidate(region, "x:1", region, region, 4)
        has_room = self.free_by_region[region] > 0
        fits = ticket.prompt_tokens <= self.max_prompt_tokens
        fullness = self.fullness if has_room else 1.0
        return Placement(candidate, fullness, has_room and fits)

    def take(self, candidate, ticket):
        self.free_by_region[candidate.region] -= 1
        self.served.append(ticket.request_id)
        return FakeSlot()

    def send(self, request_id, **fields):
        return asyncio.create_task(
            self.queue.take_slot(make_ticket(request_id, **fields))
        )


def make_ticket(request_id, priority=1, objective_s=OBJECTIVE_S, **fields):
    now = asyncio.get_running_loop().time()
    return QueueTicket(
        "s",
        "",
        priority,
        now,
        objective_s,
        now + DEADLINE_S,
        request_id=request_id,
        **fields,
    )


async def cancel(*tasks):
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def press(regions):
    """Lets an urgent request be refused for lack of room."""
    free_by_region = regions.free_by_region.copy()
    for region in free_by_region:
        regions.free_by_region[region] = 0
    refused = regions.send("pressed", priority=0)
    await asyncio.sleep(DEADLINE_S * 0.34)
    regions.queue.serve()
    assert isinstance(await refused, Overloaded)
    regions.free_by_region.update(free_by_region)


def test_a_queue_whose_last_caller_has_left_can_be_served(loop):
    async def scenario():
        regions = Regions(north=0)
        waiting = regions.send("n")
        await asyncio.sleep(0.01)
        await cancel(waiting)
        regions.queue.serve()
        regions.free_by_region["north"] = 1
        assert isinstance(await regions.send("n"), SlotTaken)

    loop.run(scenario())


def test_a_request_whose_regions_are_full_does_not_block_others(loop):
    async def scenario():
        regions = Regions(north=0, south=2)
        blocked = regions.send("n", priority=0, allowed_regions=NORTH)
        await asyncio.sleep(0.01)
        behind = regions.send("s", allowed_regions=SOUTH)
        anywhere = regions.send("any")
        assert isinstance(await behind, SlotTaken)
        assert isinstance(await anywhere, SlotTaken)
        assert not blocked.done()
        await cancel(blocked)

    loop.run(scenario())


def test_requests_that_waited_beside_a_blocked_one_are_served(loop):
    async def scenario():
        regions = Regions(north=0, south=0)
        blocked = regions.send("n", priority=0, allowed_regions=NORTH)
        behind = regions.send("s", allowed_regions=SOUTH)
        await asyncio.sleep(0.01)
        regions.free_by_region["south"] = 1
        regions.queue.serve()
        assert isinstance(await behind, SlotTaken)
        assert not blocked.done()
        await cancel(blocked)

    loop.run(scenario())


def test_a_blocked_request_gets_its_room_before_later_ones(loop):
    async def scenario():
        regions = Regions(north=0, south=0)
        tasks = [regions.send("n", allowed_regions=NORTH)]
        await asyncio.sleep(0.01)
        regions.free_by_region["north"] = 1
        tasks.append(regions.send("any"))
        await asyncio.sleep(0.01)
        assert regions.served == []
        regions.queue.serve()
        assert regions.served == ["n"]
        await cancel(*tasks)

    loop.run(scenario())


def test_a_long_prompt_is_not_overtaken_by_short_ones(loop):
    async def scenario():
        regions = Regions(north=2)
        regions.max_prompt_tokens = 500
        tasks = [
            regions.send("long", prompt_tokens=1000),
            regions.send("short", prompt_tokens=100),
            regions.send("north", prompt_tokens=100, allowed_regions=NORTH),
        ]
        await asyncio.sleep(0.01)
        regions.queue.serve()
        assert regions.served == []
        regions.max_prompt_tokens = 1000
        regions.queue.serve()
        assert regions.served[0] == "long"
        await cancel(*tasks)

    loop.run(scenario())


def test_room_is_left_to_urgent_requests_that_lacked_it(loop):
    async def scenario():
        regions = Regions(north=2)
        await press(regions)
        regions.fullness = 0.95
        held_back = regions.send("usual", objective_s=0)
        await asyncio.sleep(0.1)
        assert not held_back.done()
        assert isinstance(await regions.send("urgent", priority=0), SlotTaken)
        regions.queue.serve()
        assert not held_back.done()
        await asyncio.sleep(1.0)
        regions.queue.serve()
        assert isinstance(await held_back, SlotTaken)

    loop.run(scenario())


def test_answers_that_have_begun_are_not_held_back(loop):
    async def scenario():
        regions = Regions(north=2)
        await press(regions)
        regions.fullness = 0.95
        begun = regions.send("begun", objective_s=0, has_begun=True)
        assert isinstance(await begun, SlotTaken)

    loop.run(scenario())


def test_targets_with_much_room_serve_all_priorities(loop):
    async def scenario():
        regions = Regions(north=2)
        await press(regions)
        regions.fullness = 0.5
        assert isinstance(await regions.send("usual"), SlotTaken)

    loop.run(scenario())


def test_requests_held_back_are_refused_once_they_cannot_be_in_time(loop):
    async def scenario():
        regions = Regions(north=2)
        await press(regions)
        regions.fullness = 0.95
        held_back = regions.send("usual")
        await asyncio.sleep(OBJECTIVE_S)
        regions.queue.serve()
        assert isinstance(await held_back, Overloaded)

    loop.run(scenario())


@pytest.mark.parametrize(
    ("is_pressed", "first"), [(True, "small"), (False, "large")]
)
def test_a_customer_with_few_slots_goes_first_only_while_room_is_scarce(
    loop, is_pressed, first
):
    async def scenario():
        regions = Regions(north=8)
        for _ in range(8):
            await regions.send("large", customer="large")
        if is_pressed:
            await press(regions)
        regions.served.clear()
        tasks = [
            regions.send("large", customer="large"),
            regions.send("small", customer="small"),
        ]
        await asyncio.sleep(0.01)
        regions.free_by_region["north"] = 1
        regions.queue.serve()
        assert regions.served == [first]
        await cancel(*tasks)

    loop.run(scenario())
