"""Limits by start, from answers that overtake each other and other entries."""

import asyncio
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from damaskcroft._generated import limits_pb2
from damaskcroft.limits import LimitBook, Named, Unnamed, Unreadable
from damaskcroft.standins.virtual_time import VirtualTimeLoop


def word(rate_s, revision=1, *, lifted=False, start="t@1"):
    return limits_pb2.NamedLimit(
        start_id=start, rate_s=rate_s, lifted=lifted, revision=revision
    )


@pytest.fixture
def book():
    return LimitBook()


@pytest.fixture
def answered(loop, book):
    """Gives an answer's word to the book, and merges what it changes."""

    def give(said, sent_at=0.0):
        change = book.change("t@1", said, sent_at)
        return book.take_all([change] if change else [])

    return give


def test_an_answer_names_a_limit_and_says_it_once(loop, book, answered):
    async def scenario():
        assert book.rate_s("t@1") == math.inf
        assert len(answered(Named(2.0))) == 1
        assert answered(Named(2.0)) == []
        assert book.rate_s("t@1") == 2.0
        assert book.rate_s("t@2") == math.inf

    loop.run(scenario())


def test_a_lower_limit_counts_at_once_a_higher_one_from_later_requests(
    loop, book, answered
):
    async def scenario():
        await asyncio.sleep(10)
        answered(Named(2.0), sent_at=9.9)
        answered(Named(1.0), sent_at=5.0)
        assert book.rate_s("t@1") == 1.0
        answered(Named(4.0), sent_at=9.9)
        assert book.rate_s("t@1") == 1.0
        await asyncio.sleep(1)
        answered(Named(4.0), sent_at=10.5)
        assert book.rate_s("t@1") == 4.0

    loop.run(scenario())


def test_only_a_later_request_lifts_a_limit(loop, book, answered):
    async def scenario():
        await asyncio.sleep(10)
        answered(Named(2.0), sent_at=9.0)
        answered(Unnamed(), sent_at=9.5)
        assert book.rate_s("t@1") == 2.0
        await asyncio.sleep(1)
        answered(Unnamed(), sent_at=10.5)
        assert book.named() == []

    loop.run(scenario())


def test_nonsense_neither_names_nor_lifts(loop, book, answered):
    async def scenario():
        assert answered(Unreadable("nan")) == []
        assert not book.is_any
        answered(Named(2.0))
        await asyncio.sleep(1)
        assert answered(Unreadable("inf"), sent_at=1.0) == []
        assert book.rate_s("t@1") == 2.0

    loop.run(scenario())


def test_after_a_limit_its_target_gets_more_and_more(loop, book, answered):
    async def scenario():
        answered(Named(2.0))
        await asyncio.sleep(1)
        answered(Unnamed(), sent_at=1.0)
        rates = []
        while book.is_any:
            rates.append(book.rate_s("t@1"))
            await asyncio.sleep(0.5)
            book.forget_all_but({"t@1"})
        assert rates[:3] == [2.0, 4.0, 8.0]
        assert book.rate_s("t@1") == math.inf

    loop.run(scenario())


@given(st.permutations(range(5)))
def test_the_order_in_which_words_come_does_not_matter(order):
    async def scenario():
        words = [
            word(2.0, 1),
            word(1.0, 2),
            word(3.0, 2),
            word(3.0, 3, lifted=True),
            word(5.0, 3),
        ]
        book = LimitBook()
        book.take_all(words[n] for n in order)
        assert book.rate_s("t@1") == 5.0

    loop = VirtualTimeLoop()
    loop.run(scenario())
    loop.close()


def test_an_old_word_that_comes_late_changes_nothing(loop, book):
    async def scenario():
        book.take_all([word(2.0, 3)])
        assert book.take_all([word(9.0, 2), word(2.0, 3)]) == []

    loop.run(scenario())


def test_words_of_targets_that_are_gone_are_forgotten(loop, book):
    async def scenario():
        book.take_all([word(2.0, start="a"), word(2.0, start="b")])
        book.forget_all_but({"a"})
        # Its announcement may still be on its way.
        assert book.rate_s("b") == 2.0
        await asyncio.sleep(120)
        book.forget_all_but({"a"})
        assert [each.start_id for each in book.words()] == ["a"]

    loop.run(scenario())
