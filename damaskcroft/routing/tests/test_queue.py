"""Loads above what the targets carry, and what callers get of it."""

import asyncio
import random

import pytest

from damaskcroft.limits import TokenBucket
from damaskcroft.routing import (
    Candidate,
    Closed,
    Outliers,
    Overloaded,
    Placement,
    Placer,
    QueueTicket,
    RequestQueue,
    SlotTaken,
)

SLOTS = 4
WORK_S = 1.0
GOAL_S = 0.4
DEADLINE_S = 6.0
REST_AGAIN_S = 0.2
FIRST_S = 0.1


class Targets:
    """Plain targets with slots, before which a queue stands or does not."""

    def __init__(self, count):
        self.candidates = [
            Candidate(f"t{n}", f"x:{n}", "d", "r", SLOTS) for n in range(count)
        ]
        self.placer = Placer("d", "r", Outliers(), random.Random(1))
        self.queue = RequestQueue(
            lambda _: self.placer.choose(self.candidates, ()),
            lambda candidate, ticket: self.placer.take(candidate),
        )
        self.slots = asyncio.Semaphore(SLOTS * count)
        self.in_time = self.late = self.refused = 0
        self.refused_after = []

    def asking(self, loop):
        return self.queue.take_slot(ticket(loop.time()))

    async def caller(self, ticket, use_line):
        loop = asyncio.get_running_loop()
        slot = None
        if use_line:
            outcome = await self.queue.take_slot(ticket)
            if isinstance(outcome, Overloaded):
                self.refused += 1
                self.refused_after.append(loop.time() - ticket.arrived_at)
                return
            slot = outcome.slot
        async with self.slots:
            await asyncio.sleep(FIRST_S)
            first_s = loop.time() - ticket.arrived_at
            await asyncio.sleep(WORK_S - FIRST_S)
        if loop.time() > ticket.deadline_at:
            self.refused += 1
        elif first_s <= GOAL_S:
            self.in_time += 1
        else:
            self.late += 1
        if slot is not None:
            slot.give_back()
            self.queue.serve()


def ticket(now, priority=1):
    return QueueTicket("s", "", priority, now, GOAL_S, now + DEADLINE_S)


def play(loop, rate, seconds, *, use_line, count=4):
    async def scenario():
        targets = Targets(count)
        rng = random.Random(7)
        callers = []

        async def serve_often():
            while True:
                await asyncio.sleep(0.1)
                targets.queue.serve()

        serving = asyncio.create_task(serve_often())
        end = loop.time() + seconds
        while loop.time() < end:
            work = targets.caller(ticket(loop.time()), use_line)
            callers.append(asyncio.create_task(work))
            await asyncio.sleep(rng.expovariate(rate))
        await asyncio.gather(*callers)
        serving.cancel()
        return targets

    return loop.run(scenario())


def test_below_capacity_nobody_waits_or_is_refused(loop):
    targets = play(loop, 10, 20, use_line=True)
    assert targets.refused == 0
    assert targets.late < 0.02 * targets.in_time


def test_at_half_more_than_capacity_most_of_it_is_in_time(loop):
    """16 slots of 1 s, 24 callers a second, for 8 s."""
    without = play(loop, 24, 8, use_line=False)
    with_line = play(loop, 24, 8, use_line=True)
    assert without.in_time < 40
    assert with_line.in_time > 2 * without.in_time
    total = with_line.in_time + with_line.late + with_line.refused
    assert with_line.in_time + with_line.late > 0.6 * total


def test_whoever_is_refused_hears_it_with_most_of_its_time_left(loop):
    targets = play(loop, 40, 8, use_line=True)
    assert targets.refused
    assert max(targets.refused_after) <= DEADLINE_S * 0.33 + 0.11


def test_urgent_kinds_come_first(loop):
    async def scenario():
        targets = Targets(1)
        slots = []
        for _ in range(SLOTS):
            turn = await targets.asking(loop)
            assert isinstance(turn, SlotTaken)
            slots.append(turn.slot)
        served = []

        async def wait(priority):
            await targets.queue.take_slot(ticket(loop.time(), priority))
            served.append(priority)

        waiting = [asyncio.create_task(wait(p)) for p in (2, 1, 0, 1)]
        await asyncio.sleep(0.01)
        for slot in slots:
            slot.give_back()
            targets.queue.serve()
            await asyncio.sleep(0.01)
        await asyncio.gather(*waiting)
        assert served == [0, 1, 1, 2]

    loop.run(scenario())


def test_without_any_target_all_hear_it_at_once(loop):
    async def scenario():
        targets = Targets(1)
        for _ in range(SLOTS):
            await targets.asking(loop)
        waiting = asyncio.create_task(
            targets.queue.take_slot(ticket(loop.time()))
        )
        await asyncio.sleep(0.01)
        targets.candidates.clear()
        targets.queue.serve()
        assert (await waiting).reason == "no_target"
        outcome = await targets.asking(loop)
        assert outcome.reason == "no_target"

    loop.run(scenario())


def test_a_change_of_weights_is_waited_for(loop):
    """For half a second no target may serve; then all may again."""

    async def scenario():
        targets = Targets(2)
        ready = list(targets.candidates)
        targets.queue = RequestQueue(
            lambda _: targets.placer.choose(targets.candidates, ()),
            lambda candidate, ticket: targets.placer.take(candidate),
            lambda _: bool(ready),
        )
        for _ in range(4):
            await targets.asking(loop)
        targets.candidates.clear()
        waiting = [asyncio.create_task(targets.asking(loop)) for _ in range(4)]
        await asyncio.sleep(0.5)
        targets.queue.serve()
        assert not any(task.done() for task in waiting)
        targets.candidates.extend(ready)
        targets.queue.serve()
        outcomes = await asyncio.gather(*waiting)
        assert all(isinstance(outcome, SlotTaken) for outcome in outcomes)

    loop.run(scenario())


@pytest.mark.parametrize("at_its_turn", [False, True])
def test_a_caller_that_leaves_the_line_takes_no_slot(loop, at_its_turn):
    async def scenario():
        targets = Targets(1)
        turns = [await targets.asking(loop) for _ in range(SLOTS)]
        waiting = asyncio.create_task(
            targets.queue.take_slot(ticket(loop.time()))
        )
        await asyncio.sleep(0.01)
        if at_its_turn:
            turns[0].slot.give_back()
            targets.queue.serve()
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        if not at_its_turn:
            turns[0].slot.give_back()
        assert isinstance(await targets.asking(loop), SlotTaken)

    loop.run(scenario())


def test_after_a_pause_the_first_turns_do_not_turn_others_away(loop):
    """All targets come back at once, before thirty callers in the queue."""

    async def scenario():
        targets = Targets(4)
        ready = list(targets.candidates)
        targets.candidates.clear()
        targets.queue = RequestQueue(
            lambda _: targets.placer.choose(targets.candidates, ()),
            lambda candidate, ticket: targets.placer.take(candidate),
            lambda _: True,
        )
        waiting = [asyncio.create_task(targets.asking(loop)) for _ in range(18)]
        await asyncio.sleep(0.5)
        targets.candidates.extend(ready[:1])
        targets.queue.serve()
        later = [asyncio.create_task(targets.asking(loop)) for _ in range(10)]
        await asyncio.sleep(0.05)
        assert not any(task.done() for task in later)
        targets.candidates.extend(ready[1:])
        targets.queue.serve()
        for task in (*waiting, *later):
            task.cancel()
        await asyncio.gather(*waiting, *later, return_exceptions=True)

    loop.run(scenario())


def test_whoever_is_refused_hears_how_long_the_line_is(loop):
    """Two turns of 0.1 s at a time; thirty callers wait before the last."""

    async def scenario():
        targets = Targets(1)
        targets.candidates[0] = Candidate("t0", "x:0", "d", "r", 2)

        async def caller():
            outcome = await targets.asking(loop)
            if isinstance(outcome, SlotTaken):
                await asyncio.sleep(0.1)
                outcome.slot.give_back()
                targets.queue.serve()
            return outcome

        early = [asyncio.create_task(caller()) for _ in range(30)]
        await asyncio.sleep(0.55)
        crowd = [asyncio.create_task(caller()) for _ in range(60)]
        await asyncio.sleep(0.01)
        at_once = [task.result() for task in crowd if task.done()]
        refused = [o for o in at_once if isinstance(o, Overloaded)]
        assert len(refused) > 10
        await asyncio.gather(*early, *crowd)
        # About twenty turns a second, and more than the third of six seconds.
        assert all(1.5 < o.foreseen_s < 5 for o in refused)

    loop.run(scenario())


def test_whoever_waits_for_long_is_named_once_and_others_never(loop):
    async def scenario():
        targets = Targets(1)
        slots = [(await targets.asking(loop)).slot for _ in range(SLOTS)]
        short, long = (
            asyncio.create_task(targets.queue.take_slot(ticket(loop.time(), p)))
            for p in (0, 1)
        )
        await asyncio.sleep(0.2)
        assert targets.queue.newly_long() == []
        slots[0].give_back()
        targets.queue.serve()
        await short
        await asyncio.sleep(0.1)
        (wait,) = targets.queue.newly_long()
        assert (wait.ticket.priority, wait.waiting) == (1, 1)
        await asyncio.sleep(0.1)
        assert targets.queue.newly_long() == []
        long.cancel()
        await asyncio.gather(long, return_exceptions=True)

    loop.run(scenario())


@pytest.mark.parametrize(
    ("held", "reason"), [(True, "overloaded"), (False, "no_target")]
)
def test_a_refusal_after_a_wait_says_what_was_wanting(loop, held, reason):
    """Targets are full, or are ready and can't serve it."""

    async def scenario():
        targets = Targets(1)
        for _ in range(SLOTS):
            await targets.asking(loop)
        targets.queue = RequestQueue(
            lambda _: targets.placer.choose(targets.candidates, ()),
            lambda candidate, ticket: targets.placer.take(candidate),
            lambda _: True,
        )
        if not held:
            targets.candidates.clear()
        waiting = asyncio.create_task(
            targets.queue.take_slot(ticket(loop.time()))
        )
        await asyncio.sleep(1.0)
        (wait,) = targets.queue.newly_long()
        assert wait.reason == reason
        await asyncio.sleep(DEADLINE_S * 0.33)
        targets.queue.serve()
        assert (await waiting).reason == reason

    loop.run(scenario())


def test_a_flood_of_refusals_asks_seldom_shortage(loop):
    async def scenario():
        targets = Targets(1)
        asked = []

        def choose(_):
            asked.append(loop.time())
            return targets.placer.choose(targets.candidates, ())

        targets.queue = RequestQueue(
            choose, lambda candidate, ticket: targets.placer.take(candidate)
        )
        for _ in range(SLOTS):
            await targets.asking(loop)
        crowd = [asyncio.create_task(targets.asking(loop)) for _ in range(300)]
        await asyncio.sleep(DEADLINE_S * 0.33 + 0.01)
        asked.clear()
        targets.queue.serve()
        outcomes = await asyncio.gather(*crowd)
        assert all(outcome.reason == "overloaded" for outcome in outcomes)
        # Whether the first in queue may go, and what is wanting for all.
        assert len(asked) == 2

    loop.run(scenario())


def test_who_waits_for_targets_that_rest_again_is_told_when_they_are_back(
    loop,
):
    async def scenario():
        closed = Closed("resting", REST_AGAIN_S, REST_AGAIN_S)
        queue = RequestQueue(
            lambda _: None, lambda *_: None, closed=lambda *_: closed
        )
        waiting = asyncio.create_task(queue.take_slot(ticket(loop.time())))
        await asyncio.sleep(0.3)
        (wait,) = queue.newly_long()
        assert wait.reason == "resting"
        await asyncio.sleep(DEADLINE_S * 0.33)
        queue.serve()
        outcome = await waiting
        assert outcome.reason == "resting"
        assert outcome.returns_s == REST_AGAIN_S

    loop.run(scenario())


@pytest.mark.parametrize(
    ("took_s", "waited_s"),
    [
        # Of a goal of 0.4 s, 0.2 s are left for waiting.
        ([0.2] * 20, 0.22),
        # One answer in six takes 0.3 s.
        ([0.1] * 17 + [0.3] * 3, 0.12),
    ],
)
def test_who_goes_first_follows_from_what_targets_take_to_begin(
    loop, took_s, waited_s
):
    async def scenario():
        targets = Targets(1)
        slots = [(await targets.asking(loop)).slot for _ in range(SLOTS)]
        for each_s in took_s:
            targets.queue.first_answered("s", each_s)
        served = []

        async def wait(name):
            await targets.queue.take_slot(ticket(loop.time()))
            served.append(name)

        old = asyncio.create_task(wait("old"))
        await asyncio.sleep(waited_s)
        new = asyncio.create_task(wait("new"))
        await asyncio.sleep(0.01)
        for slot in slots[:2]:
            slot.give_back()
            targets.queue.serve()
            await asyncio.sleep(0.01)
        await asyncio.gather(old, new)
        assert served == ["new", "old"]

    loop.run(scenario())


def test_while_more_come_than_targets_carry_nobody_is_served_late(loop):
    """16 slots of 1 s and 32 callers a second, for 12 s."""
    targets = play(loop, 32, 12, use_line=True)
    assert targets.in_time > 0.8 * 16 * 12
    assert targets.late < 0.15 * targets.in_time
    # Who is refused hears it while its goal has not passed, but for the first
    # second of it.
    assert sum(after <= GOAL_S + 0.11 for after in targets.refused_after) > (
        0.85 * targets.refused
    )


def test_requests_without_a_goal_wait_as_long_as_they_may(loop):
    async def scenario():
        targets = Targets(1)
        for _ in range(SLOTS):
            await targets.asking(loop)
        without = QueueTicket("s", "", 1, loop.time(), 0.0, loop.time() + 6)
        waiting = asyncio.create_task(targets.queue.take_slot(without))
        began_at = loop.time()
        while not waiting.done():
            await asyncio.sleep(0.1)
            targets.queue.serve()
        assert loop.time() - began_at > 1.9

    loop.run(scenario())


def test_a_token_is_used_in_the_moment_in_which_it_comes(loop):
    # Against one who was let in to wait and is refused when tokens are lost.
    rate_s = 5.0

    async def scenario():
        bucket = TokenBucket(rate_s)
        placed = Placement(Candidate("t", "x:1", "d", "r", SLOTS), 0.0, True)

        def choose(_):
            return None if bucket.wait_s() else placed

        def take(candidate, _):
            bucket.take()

        def closed(_, before):
            if not bucket.wait_s():
                return None
            wait_s = bucket.wait_s() + before / rate_s
            return Closed("rate_limited", wait_s, wait_s)

        queue = RequestQueue(choose, take, closed=closed)

        async def ask():
            waiting = QueueTicket("s", "", 1, loop.time(), 0.0, 2.0)
            outcome = await queue.take_slot(waiting)
            return isinstance(outcome, SlotTaken), loop.time()

        outcomes = await asyncio.gather(*(ask() for _ in range(6)))
        served = [at for is_served, at in outcomes if is_served]
        refused = [at for is_served, at in outcomes if not is_served]
        assert served == pytest.approx([0.2, 0.4, 0.6], abs=0.02)
        assert refused == [0.0] * 3

    loop.run(scenario())
