"""What one entry may retry, by what is left of its part of the budget."""

import asyncio

import pytest

from damaskcroft.routing import FleetRetryBudget, RetryKind

RATIO, EXTRA, WINDOW_S = 0.2, 40, 10.0


class Share:
    """This entry's part of the constant: all of it, or none."""

    def __init__(self):
        self.is_settled = True

    def __call__(self, service, whole):
        return whole if self.is_settled else 0


@pytest.fixture
def share():
    return Share()


@pytest.fixture
def budget(loop, share):
    return FleetRetryBudget(RATIO, EXTRA, WINDOW_S, share, lambda: 1)


def count_requests(budget, count, service="s"):
    for _ in range(count):
        budget.count_request(service)


def spend_all(budget, kind=RetryKind.FAILED, service="s"):
    spent = []
    while (one := budget.spend(service, kind)) is not None:
        spent.append(one)
    return spent


def run(loop, scenario):
    loop.run_until_complete(scenario())


def test_entry_without_a_share_retries_only_what_its_requests_pay(
    loop, budget, share
):
    async def scenario():
        share.is_settled = False
        assert spend_all(budget) == []
        retries = 0
        for _ in range(1000):
            count_requests(budget, 1)
            retries += len(spend_all(budget))
        assert 0.9 * RATIO * 1000 <= retries <= RATIO * 1000

    run(loop, scenario)


def test_requests_of_a_calm_time_pay_for_few_later_retries(loop, budget, share):
    async def scenario():
        share.is_settled = False
        count_requests(budget, 1000)
        kept = len(spend_all(budget, RetryKind.RESUMED))
        assert 1 < kept <= 0.1 * RATIO * 1000
        count_requests(budget, 1000)
        await asyncio.sleep(WINDOW_S + 1)
        assert len(spend_all(budget, RetryKind.RESUMED)) <= 1

    run(loop, scenario)


def test_constant_is_available_once_in_a_window(loop, budget):
    async def scenario():
        first = len(spend_all(budget))
        assert 0.9 * EXTRA <= first <= EXTRA
        await asyncio.sleep(WINDOW_S - 0.1)
        assert spend_all(budget) == []
        await asyncio.sleep(0.2)
        assert len(spend_all(budget)) == first

    run(loop, scenario)


def test_later_requests_pay_for_what_was_taken_from_the_constant(loop, budget):
    async def scenario():
        first = len(spend_all(budget))
        count_requests(budget, 1000)
        again = len(spend_all(budget))
        assert first <= again <= first + RATIO * 1000
        assert spend_all(budget) == []

    run(loop, scenario)


def test_lost_share_ends_the_use_of_the_constant(loop, budget, share):
    async def scenario():
        assert budget.spend("s") is not None
        share.is_settled = False
        assert budget.spend("s") is None

    run(loop, scenario)


def test_services_do_not_share_a_budget(loop, budget):
    async def scenario():
        of_one = len(spend_all(budget, service="s"))
        assert len(spend_all(budget, service="t")) == of_one
        count_requests(budget, 100, "t")
        assert spend_all(budget, service="s") == []

    run(loop, scenario)


def test_retry_that_was_not_sent_is_available_again(loop, budget, share):
    async def scenario():
        count_requests(budget, 100)
        spent = spend_all(budget, RetryKind.RESUMED)
        assert {one.is_constant for one in spent} == {True, False}
        for one in (spent[0], spent[-1]):
            budget.give_back(one)
            assert budget.left("s", RetryKind.RESUMED) >= 1
            again = budget.spend("s", RetryKind.RESUMED)
            assert again.is_constant == one.is_constant
            assert budget.spend("s", RetryKind.RESUMED) is None

    run(loop, scenario)


def test_retry_given_back_after_its_window_adds_nothing(loop, budget):
    async def scenario():
        spent = spend_all(budget)
        await asyncio.sleep(WINDOW_S + 0.1)
        budget.give_back(spent[0])
        assert len(spend_all(budget)) == len(spent)

    run(loop, scenario)


def test_hedges_leave_budget_for_retries_and_those_for_resumed_answers(
    loop, budget
):
    async def scenario():
        count_requests(budget, 500)
        hedges = len(spend_all(budget, RetryKind.HEDGE))
        retries = len(spend_all(budget, RetryKind.FAILED))
        resumed = len(spend_all(budget, RetryKind.RESUMED))
        assert hedges and retries and resumed

    run(loop, scenario)


def test_resumed_answers_come_first_while_the_budget_is_short(loop, budget):
    async def scenario():
        spend_all(budget, RetryKind.RESUMED)
        refused = {RetryKind.RESUMED: 0, RetryKind.FAILED: 0}
        # Half of all requests are to be retried, one in 20 of them resumed.
        for number in range(4000):
            await asyncio.sleep(0.01)
            count_requests(budget, 1)
            if number % 2:
                is_resumed = number % 40 == 1
                kind = RetryKind.RESUMED if is_resumed else RetryKind.FAILED
                refused[kind] += budget.spend("s", kind) is None
        assert refused[RetryKind.FAILED] > 500
        assert refused[RetryKind.RESUMED] <= 5

    run(loop, scenario)


def test_more_entries_than_the_constant_has_retries_hold_no_token_each(loop):
    async def scenario():
        budget = FleetRetryBudget(
            RATIO, EXTRA, WINDOW_S, lambda *_: 0, lambda: 350
        )
        count_requests(budget, 20)
        assert spend_all(budget) == []
        count_requests(budget, 1000)
        assert spend_all(budget)

    run(loop, scenario)
