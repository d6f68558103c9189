"""One transfer of a chunk at a time, unless it lasts long."""

import asyncio

from damaskcroft.weights._arrivals import Arrivals


def test_a_second_transfer_waits_for_the_first(loop):
    async def scenario():
        arrivals = Arrivals(lambda: 64)
        with arrivals.transfer(5) as first:
            assert first
            with arrivals.transfer(5) as second:
                assert not second
            assert 5 in arrivals
            with arrivals.transfer(6) as other:
                assert other
        assert 5 not in arrivals

    loop.run(scenario())


def test_a_transfer_that_lasts_long_lets_another_begin(loop):
    """Before: the last chunk came 2 s after the others over a narrow link."""

    async def scenario():
        arrivals = Arrivals(lambda: 64)
        with arrivals.transfer(5):
            await asyncio.sleep(1.1)
            assert 5 not in arrivals
            with arrivals.transfer(5) as second:
                assert second
                assert 5 in arrivals
        assert 5 not in arrivals

    loop.run(scenario())


def test_with_few_chunks_left_another_begins_soon(loop):
    async def scenario():
        arrivals = Arrivals(lambda: 2)
        with arrivals.transfer(5):
            await asyncio.sleep(0.2)
            assert 5 in arrivals
            await asyncio.sleep(0.2)
            assert 5 not in arrivals

    loop.run(scenario())
