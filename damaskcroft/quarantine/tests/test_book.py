"""Verdicts on requests, from crashes told in any order."""

import asyncio
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from damaskcroft._generated import quarantine_pb2
from damaskcroft.quarantine import CrashBook, RecentAnswers, fingerprint
from damaskcroft.quarantine._book import _MAX_STARTS
from damaskcroft.quarantine.tests.plays import Play
from damaskcroft.standins.virtual_time import VirtualTimeLoop

HOUR_S = 3600.0


def crash(start, *suspects, cleared=(), age_ms=0, chain=9, answered=False):
    """A crash under some requests, by default after many others."""
    return quarantine_pb2.TargetCrash(
        start_id=start,
        suspects=[
            quarantine_pb2.Suspect(
                fingerprint=suspect, chain=chain, answered=answered
            )
            for suspect in suspects
        ],
        cleared=cleared,
        age_ms=age_ms,
    )


@pytest.fixture
def book():
    return CrashBook()


@pytest.fixture
def crashes_of_three(loop, book):
    """A book that has seen three targets crash under b"bad"."""

    async def scenario():
        for n in range(3):
            book.take(crash(f"t{n}", b"bad"))
            await asyncio.sleep(1)

    loop.run(scenario())
    return book


def names(book):
    return {each.fingerprint for each in book.quarantined()}


def test_the_third_start_decides_and_not_the_third_word(loop, book):
    async def scenario():
        for _ in range(5):
            book.take(crash("t0", b"bad"))
        book.take(crash("t1", b"bad"))
        assert book.is_suspect(b"bad")
        assert not book.quarantined_s(b"bad")
        book.take(crash("t2", b"bad"))
        assert book.quarantined_s(b"bad") > 60

    loop.run(scenario())


def test_two_entries_that_saw_two_and_one_know_three(loop):
    async def scenario():
        ours, theirs = CrashBook(), CrashBook()
        ours.take(crash("t0", b"bad"))
        ours.take(crash("t1", b"bad"))
        theirs.take(crash("t2", b"bad", b"beside"))
        for word in list(theirs.words()):
            ours.take(word)
        for word in list(ours.words()):
            theirs.take(word)
        assert names(ours) == names(theirs) == {b"bad"}

    loop.run(scenario())


def test_what_ran_beside_it_once_or_twice_stays_free(loop, book):
    async def scenario():
        for n, suspects in enumerate(("a b", "a", "c")):
            book.take(crash(f"t{n}", b"bad", *suspects.encode().split()))
            await asyncio.sleep(0.1)
        book.take(crash("t3", b"a"))
        assert names(book) == {b"bad"}
        # Two of its three crashes are explained.
        assert not book.quarantined_s(b"a")

    loop.run(scenario())


def test_a_crash_that_another_explains_counts_beside_two_of_its_own(loop, book):
    # Against a request that crashes targets on, where it met others before.
    async def scenario():
        for n in range(3):
            book.take(crash(f"t{n}", b"bad", *([b"worse"] if n == 1 else [])))
            await asyncio.sleep(0.1)
        book.take(crash("t3", b"worse"))
        await asyncio.sleep(0.1)
        assert names(book) == {b"bad"}
        book.take(crash("t4", b"worse"))
        assert names(book) == {b"bad", b"worse"}

    loop.run(scenario())


@pytest.mark.parametrize(("crashed", "few"), [(2, False), (3, True)])
def test_few_are_left_where_more_crashed_just_now(loop, book, crashed, few):
    # Against the last targets of a service lost to one suspect after another.
    async def scenario():
        for n in range(crashed):
            word = crash(f"t{n}", b"bad")
            word.service = "s"
            book.take(word)
        starts = [f"t{n}" for n in range(crashed + 2)]
        assert book.few_left("s", starts) is few
        assert not book.few_left("another", starts)
        await asyncio.sleep(4)
        assert not book.few_left("s", starts)

    loop.run(scenario())


def test_a_whole_answer_clears_and_later_crashes_count_anew(loop, book):
    async def scenario():
        for n in range(2):
            book.take(crash(f"t{n}", b"bad"))
        told = book.clear(b"bad")
        assert not book.is_suspect(b"bad")
        other = CrashBook()
        for word in told:
            other.take(word)
        other.take(crash("t2", b"bad"))
        assert other.is_suspect(b"bad")
        assert names(other) == set()

    loop.run(scenario())


def test_a_late_word_does_not_undo_a_clearance(loop, book):
    async def scenario():
        late = crash("t0", b"bad")
        book.take(late)
        book.clear(b"bad")
        book.take(late)
        assert not book.is_suspect(b"bad")

    loop.run(scenario())


@given(st.permutations(range(8)))
def test_the_order_of_words_does_not_matter(order):
    async def scenario():
        words = [crash(f"t{n}", b"bad", b"x%d" % n) for n in range(4)]
        words += [crash(f"t{n}", b"bad", cleared=[b"x0"]) for n in range(4)]
        book, shuffled = CrashBook(), CrashBook()
        for word in words:
            book.take(word)
        for n in order:
            shuffled.take(words[n])
        assert names(book) == names(shuffled) == {b"bad"}
        for n in range(4):
            name = b"x%d" % n
            assert book.is_suspect(name) == shuffled.is_suspect(name)

    loop = VirtualTimeLoop()
    loop.run(scenario())
    loop.close()


def test_a_quarantine_ends_and_one_more_crash_makes_it_longer(
    loop, crashes_of_three
):
    async def scenario():
        book = crashes_of_three
        tries = 0
        ends_at = asyncio.get_running_loop().time() + 24 * HOUR_S
        while asyncio.get_running_loop().time() < ends_at:
            if not book.quarantined_s(b"bad"):
                tries += 1
                book.take(crash(f"again{tries}", b"bad"))
                assert book.quarantined_s(b"bad")
            await asyncio.sleep(60)
        assert tries == 3

    loop.run(scenario())


def test_a_crash_that_led_to_nothing_is_forgotten(loop, crashes_of_three):
    async def scenario():
        book = crashes_of_three
        book.take(crash("other", b"beside"))
        await asyncio.sleep(2 * HOUR_S)
        book.forget_old()
        assert not book.is_suspect(b"beside")
        assert {word.start_id for word in book.words()} == {"t0", "t1", "t2"}

    loop.run(scenario())


def test_an_operator_lifts_it(loop, crashes_of_three):
    async def scenario():
        crashes_of_three.clear(b"bad")
        assert names(crashes_of_three) == set()

    loop.run(scenario())


def test_what_is_kept_is_bounded_and_quarantines_stay(loop, crashes_of_three):
    async def scenario():
        book = crashes_of_three
        for n in range(2 * _MAX_STARTS):
            book.take(crash(f"s{n}", b"other %d" % n))
            await asyncio.sleep(1)
        assert len(list(book.words())) == _MAX_STARTS
        book.take(crash("again", b"bad"))
        assert names(book) == {b"bad"}

    loop.run(scenario())


def test_an_age_told_late_moves_the_crash_back(loop, book):
    async def scenario():
        for n in range(3):
            book.take(crash(f"t{n}", b"bad", age_ms=300_000))
        assert 200 < book.quarantined_s(b"bad") <= 300

    loop.run(scenario())


def test_customers_do_not_share_a_fingerprint():
    def of(customer, body=b"x", path=b"/a"):
        return fingerprint(customer, "h", b"POST", path, body)

    assert of("a") == of("a")
    assert len({of("a"), of("b"), of("a", b"y"), of("a", path=b"/b")}) == 4
    assert fingerprint("a", "h", b"P", b"/ab", b"") != fingerprint(
        "a", "h", b"P", b"/a", b"b"
    )


@pytest.mark.parametrize("chain", [1, 2])
def test_what_runs_on_all_targets_that_crash_at_once_stays_free(
    loop, book, chain
):
    async def scenario():
        for n in range(10):
            book.take(crash(f"t{n}", b"popular", chain=chain))
        assert book.chain(b"popular") == chain
        assert names(book) == set()

    loop.run(scenario())


def test_a_chain_that_is_told_later_counts(loop, book):
    async def scenario():
        for chain in (1, 3):
            for n in range(3):
                book.take(crash(f"t{n}", b"bad", chain=chain))
        assert names(book) == {b"bad"}

    loop.run(scenario())


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("crashes_s", [0.0, 0.2])
def test_innocents_stay_free_and_the_cause_is_found(loop, crashes_s, seed):
    """Forty sound requests a second at ten targets, each repeated when lost.

    Beside one that crashes its targets, and beside a target that crashes by
    itself every five seconds.
    """

    async def scenario():
        book = CrashBook()
        play = Play(book, seed, 40, crashes_s)
        await play.run(30, asyncio.sleep, poison_every_s=0.4)
        assert play.crashed_by_poison <= 4
        assert names(book) == {b"poison"}
        assert play.innocents == set()
        assert play.served > 1000

    loop.run(scenario())


@pytest.mark.parametrize("seed", range(5))
def test_plain_crashes_hold_nobody_back(loop, seed):
    """Each of ten targets crashes by itself every ten seconds."""

    async def scenario():
        play = Play(CrashBook(), seed, 40, 1.0)
        await play.run(40, asyncio.sleep)
        assert play.lost > 100
        assert play.innocents == set()

    loop.run(scenario())


@pytest.mark.parametrize("seed", range(10))
def test_what_many_send_alike_stays_free_beside_what_crashes_targets(
    loop, seed
):
    """Three targets, one and the same request twenty times a second.

    Against ten minutes without service for a request that was lost by chance,
    or beside another one, three times in a row.
    """

    async def scenario():
        book = CrashBook()
        play = Play(book, seed, 10, 0.7, targets=3, shared_s=20)
        await play.run(40, asyncio.sleep, poison_every_s=0.3, crashes_after_s=5)
        assert b"shared" not in play.innocents
        assert names(book) >= {b"poison"}

    loop.run(scenario())


def test_what_was_answered_shortly_before_needs_more_crashes(loop, book):
    async def scenario():
        for n in range(1, 8):
            book.take(crash(f"t{n}", b"often", chain=n, answered=n == 1))
            assert names(book) == set()
        book.take(crash("t8", b"often", chain=8))
        assert names(book) == {b"often"}

    loop.run(scenario())


def test_answers_count_for_a_while_and_only_the_latest_are_kept(loop):
    async def scenario():
        answers = RecentAnswers()
        for n in range(10_000):
            answers.note(b"%d" % n)
        assert not answers.has(b"0")
        assert answers.has(b"9999")
        await asyncio.sleep(HOUR_S)
        assert not answers.has(b"9999")

    loop.run(scenario())


def test_processes_let_a_quarantine_end_at_different_times(loop):
    async def scenario():
        books = [CrashBook(random.Random(n).random()) for n in range(5)]
        for book in books:
            for n in range(3):
                book.take(crash(f"t{n}", b"bad"))
        ends = {round(book.quarantined_s(b"bad")) for book in books}
        assert len(ends) == 5

    loop.run(scenario())


def test_verdicts_are_worked_out_once_for_all_that_is_told(loop, book):
    async def scenario():
        changes = []
        book.listen(lambda: changes.append(book.changes))
        news = book.take_all([crash(f"t{n}", b"bad") for n in range(3)])
        assert len(news) == 3
        assert changes == [1]
        assert book.take_all(news) == []

    loop.run(scenario())


def test_requests_that_crash_targets_by_turns_are_held_at_their_third(
    loop, book
):
    async def scenario():
        bad = [b"bad %d" % n for n in range(6)]
        for chain in (1, 2, 3):
            for n, name in enumerate(bad):
                book.take(crash(f"t{n}-{chain}", name, b"beside", chain=chain))
                book.clear(b"beside")
                await asyncio.sleep(0.2)
        assert names(book) == set(bad)

    loop.run(scenario())


def test_chance_crashes_still_ask_for_more(loop, book):
    """A third crash in a row says little where many targets crash."""

    async def scenario():
        for n in range(12):
            book.take(crash(f"other{n}", b"o%d" % n, chain=1))
            if n in (3, 7, 11):
                book.take(crash(f"t{n}", b"unlucky", chain=n // 4 + 1))
            await asyncio.sleep(0.2)
        assert names(book) == set()

    loop.run(scenario())
