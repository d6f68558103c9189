"""What an entry may send to cold targets by what it knows of the others."""

import asyncio

import pytest

from damaskcroft.limits import Senders, Standing, whole_share

SETTLED_S = 4.2
# Longer than the time for which the reports are cached.
REFRESH_EVERY_S = 0.15


class Control:
    """What control reports to one entry."""

    def __init__(self, *names):
        self.reported = frozenset(names)
        self.is_in_touch = True

    def names(self):
        return self.reported


@pytest.fixture
def control(loop):
    return Control("own", "other")


@pytest.fixture
def senders(control):
    return Senders("own", control.names, lambda: control.is_in_touch)


async def follow(senders, seconds):
    for _ in range(round(seconds / REFRESH_EVERY_S)):
        senders.refresh()
        await asyncio.sleep(REFRESH_EVERY_S)
    senders.refresh()


def test_parts_of_all_entries_are_the_whole():
    names = [f"e{n}" for n in range(11)]
    for requests in (0, 1, 5, 11, 39, 59):
        parts = [whole_share("t@1", requests, name, names) for name in names]
        assert sum(parts) == requests
        assert max(parts) - min(parts) <= 1


def test_entry_that_knows_more_names_takes_no_more():
    for requests in (1, 7, 40):
        for number in range(1, 30):
            names = [f"e{n}" for n in range(number)]
            fewer = whole_share("t@1", requests, "e0", names)
            assert whole_share("t@1", requests, "e0", [*names, "x"]) <= fewer


def test_number_of_requests_below_zero_gives_no_part():
    assert whole_share("t@1", -5, "own", ["own"]) == 0


def test_entry_sends_nothing_until_others_know_it(loop, senders):
    async def scenario():
        await follow(senders, SETTLED_S - 0.5)
        assert senders.share("t@1", 100) == 0
        await follow(senders, 0.5)
        assert senders.share("t@1", 100) > 0

    loop.run_until_complete(scenario())


def test_entry_without_any_report_sends_nothing(loop, senders, control):
    control.reported = frozenset()
    control.is_in_touch = False

    async def scenario():
        await follow(senders, 60)
        assert senders.share("t@1", 100) == 0

    loop.run_until_complete(scenario())


def test_reports_are_awaited_only_after_the_start(loop, senders, control):
    control.is_in_touch = False

    async def scenario():
        assert senders.awaits_reports
        await follow(senders, 2.1)
        assert not senders.awaits_reports

    loop.run_until_complete(scenario())


def test_entry_out_of_touch_keeps_to_the_reserve(loop, senders, control):
    async def scenario():
        await follow(senders, SETTLED_S)
        settled_part = senders.share("t@1", 90)
        control.is_in_touch = False
        control.reported = frozenset()
        await follow(senders, 60)
        assert senders.standing is Standing.OUT_OF_TOUCH
        assert senders.share("t@1", 90) == settled_part / 2 == 15

    loop.run_until_complete(scenario())


def test_entry_back_in_touch_waits_until_it_knows_all(loop, senders, control):
    async def scenario():
        await follow(senders, SETTLED_S)
        control.is_in_touch = False
        await follow(senders, 5)
        control.is_in_touch = True
        await follow(senders, SETTLED_S - 0.5)
        assert senders.standing is Standing.OUT_OF_TOUCH
        await follow(senders, 0.9)
        assert senders.standing is Standing.SETTLED

    loop.run_until_complete(scenario())


def test_name_that_is_gone_counts_for_a_while(loop, senders, control):
    async def scenario():
        await follow(senders, SETTLED_S)
        control.reported = frozenset({"own"})
        await follow(senders, 5)
        assert senders.known == {"own", "other"}
        await follow(senders, 10)
        assert senders.known == {"own"}

    loop.run_until_complete(scenario())


def test_entry_that_was_stopped_sends_no_share_until_it_knows_the_others(
    loop, control, senders
):
    async def scenario():
        await follow(senders, SETTLED_S)
        assert senders.standing is Standing.SETTLED
        await asyncio.sleep(3)
        senders.refresh()
        assert senders.standing is Standing.OUT_OF_TOUCH
        await follow(senders, SETTLED_S)
        assert senders.standing is Standing.SETTLED

    loop.run_until_complete(scenario())


def test_share_of_a_longer_window_waits_until_that_window_has_passed(
    loop, control
):
    async def scenario():
        senders = Senders(
            "own",
            control.names,
            lambda: control.is_in_touch,
            reserve_divisor=None,
            window_s=10.0,
        )
        await follow(senders, 10 + SETTLED_S - 1)
        assert senders.share("s", 20) == 0
        await follow(senders, 1)
        assert senders.share("s", 20) == 10
        control.is_in_touch = False
        await follow(senders, 1)
        assert senders.share("s", 20) == 0
        control.is_in_touch = True
        await follow(senders, 10)
        assert senders.share("s", 20) == 0

    loop.run_until_complete(scenario())
