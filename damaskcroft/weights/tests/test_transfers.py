"""Tests that a chunk has one transfer at a time, unless it is slow."""

import asyncio

from damaskcroft.weights._transfers import ActiveTransfers


def test_second_transfer_of_a_chunk_may_not_begin(loop):
    async def scenario():
        transfers = ActiveTransfers(lambda: 64)
        with transfers.transfer(5) as first:
            assert first
            with transfers.transfer(5) as second:
                assert not second
            assert 5 in transfers
            with transfers.transfer(6) as other:
                assert other
        assert 5 not in transfers

    loop.run(scenario())


def test_second_transfer_may_begin_beside_a_slow_one(loop):
    """Guards against a last chunk that a narrow link delayed by 2 s."""

    async def scenario():
        transfers = ActiveTransfers(lambda: 64)
        with transfers.transfer(5):
            await asyncio.sleep(1.1)
            assert 5 not in transfers
            with transfers.transfer(5) as second:
                assert second
                assert 5 in transfers
        assert 5 not in transfers

    loop.run(scenario())


def test_second_transfer_may_begin_sooner_for_the_last_chunks(loop):
    async def scenario():
        transfers = ActiveTransfers(lambda: 2)
        with transfers.transfer(5):
            await asyncio.sleep(0.2)
            assert 5 in transfers
            await asyncio.sleep(0.2)
            assert 5 not in transfers

    loop.run(scenario())
