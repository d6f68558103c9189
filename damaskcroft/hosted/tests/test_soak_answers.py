"""The soak's judge of requests that ended without a whole answer."""

import asyncio
import time

import pytest

from damaskcroft.hosted.tests.soak import _book
from damaskcroft.hosted.tests.soak._answers import GRACE_S, AnswersOwed, Run
from damaskcroft.hosted.tests.soak._book import CONTACT_S, Asked, Book

SENT_AT = 100.0
ENDED_AT = 102.0
BUDGET_S = 6.0


def asked(status=0, *, complete=False, sent_at=SENT_AT, ended_at=ENDED_AT):
    return Asked(
        "safe",
        status,
        complete=complete,
        entry="e",
        sent_at=sent_at,
        budget_s=BUDGET_S,
        took_s=ended_at - sent_at,
    )


def run(target="t", *, began_at=SENT_AT + 0.1, ended_at=ENDED_AT + 1):
    return Run(target, f"{target}-1", began_at, ended_at)


@pytest.fixture
def owed():
    return AnswersOwed(CONTACT_S)


def breaches(owed, one, *runs):
    return list(owed.breaches({"r": one}, {"r": list(runs)}))


@pytest.mark.parametrize(
    ("status", "complete", "what"),
    [
        # A connection that ends before the head.
        (0, False, "got no answer"),
        # A stream that ends midway.
        (200, False, "got half of an answer"),
        # Attempts ended for a target's silence, with time left.
        (502, True, "was given up"),
        (504, True, "was given up"),
        # Denied by a configuration that came while a target worked.
        (401, True, "was denied"),
        (403, True, "was denied"),
        (404, True, "was denied"),
        (413, True, "was denied"),
        (431, True, "was denied"),
    ],
)
def test_what_is_owed_and_not_given_is_found(owed, status, complete, what):
    found = breaches(owed, asked(status, complete=complete), run())
    assert len(found) == 1
    assert what in found[0]


@pytest.mark.parametrize("status", [200, 429, 500, 503])
def test_whole_answers_are_no_breach(owed, status):
    # Against a judge that takes a target's or an entry's refusal for a loss.
    assert breaches(owed, asked(status, complete=True), run()) == []


@pytest.mark.parametrize(("held_s", "found"), [(0.1, 0), (0.3, 1)])
def test_what_no_target_began_is_owed_once_it_was_held(owed, held_s, found):
    # Against a judge that counts requests that crossed an entry's close, and
    # one that forgets requests that an entry took and dropped.
    assert len(breaches(owed, asked(ended_at=SENT_AT + held_s))) == found


@pytest.mark.parametrize("status", [401, 404, 413, 429, 502, 503, 504])
def test_refusals_of_what_no_target_began_are_no_breach(owed, status):
    # Against a judge that takes an entry without a target for a loss.
    assert breaches(owed, asked(status, complete=True)) == []


def test_a_disturbed_entry_excuses_what_no_target_began(owed):
    # Against a judge that counts connections to an entry that was killed.
    owed.disturbed("e", [SENT_AT, SENT_AT + 1])
    assert breaches(owed, asked()) == []


def test_a_caller_that_still_waits_is_not_judged(owed):
    # Against a judge that counts the callers that the end of a run stops.
    assert breaches(owed, asked(ended_at=float("inf")), run()) == []


@pytest.mark.parametrize(("left_s", "found"), [(0.0, 0), (0.1, 1)])
def test_only_a_time_budget_that_was_reached_excuses(owed, left_s, found):
    # Against an answer that ends early and passes for one that was too late.
    one = asked(504, complete=True, ended_at=SENT_AT + BUDGET_S - left_s)
    assert len(breaches(owed, one, run())) == found


@pytest.mark.parametrize("who", ["e", "t", "u"])
@pytest.mark.parametrize(
    ("since", "until", "found"),
    [
        (0.0, SENT_AT - CONTACT_S - 0.1, 1),
        (0.0, SENT_AT - CONTACT_S, 0),
        (SENT_AT + 1, SENT_AT + 1, 0),
        (ENDED_AT, float("inf"), 0),
        (ENDED_AT + 0.1, float("inf"), 1),
    ],
)
def test_disturbances_of_its_way_excuse_from_contact_on(
    owed, who, since, until, found
):
    # Against excuses from before, from after, or from beside the request.
    owed.disturbed(who, [since, until])
    assert len(breaches(owed, asked(), run("t"), run("u"))) == found


def test_disturbances_of_others_do_not_excuse(owed):
    # Against a judge that excuses all requests while anything is disturbed.
    for who in ("another entry", "another target", "control"):
        owed.disturbed(who, [SENT_AT, ENDED_AT])
    assert len(breaches(owed, asked(), run())) == 1


@pytest.mark.parametrize(
    ("start", "at", "found"),
    [
        ("t-1", SENT_AT + 1, 0),
        # Before the run, after the caller's end, and at another start.
        ("t-1", SENT_AT, 1),
        ("t-1", ENDED_AT + 0.1, 1),
        ("t-2", SENT_AT + 1, 1),
    ],
)
def test_only_a_target_that_broke_off_this_answer_excuses(
    owed, start, at, found
):
    # Against an excuse by a crash that did not reach the request.
    owed.cut_off(start, at)
    assert len(breaches(owed, asked(), run())) == found


@pytest.mark.parametrize(
    ("sent_after_s", "ended_after_s", "worked_until_s", "found"),
    [
        # Still at work when little of the grace was left.
        (1.0, GRACE_S - 0.5, GRACE_S, 0),
        # Sent when the entry should have taken nothing more.
        (3.1, GRACE_S - 0.5, GRACE_S, 1),
        # Ended while most of the grace was left.
        (1.0, GRACE_S - 2, GRACE_S, 1),
        # Done by its target in time.
        (2.0, GRACE_S - 0.5, GRACE_S - 2, 1),
        # Of an entry that went on past its grace.
        (2.5, GRACE_S + 0.1, GRACE_S + 0.1, 1),
    ],
)
def test_a_stop_excuses_only_what_was_at_work_at_its_end(
    owed, sent_after_s, ended_after_s, worked_until_s, found
):
    # Against a stop that ends answers it had time for, and passes.
    stop_at = 200.0
    owed.stopping("e", stop_at)
    one = asked(
        sent_at=stop_at + sent_after_s, ended_at=stop_at + ended_after_s
    )
    began_at = stop_at + sent_after_s
    ran = run(began_at=began_at, ended_at=stop_at + worked_until_s)
    assert len(breaches(owed, one, ran)) == found


def test_a_stop_of_another_entry_does_not_excuse(owed):
    # Against a stop that passes for one of every entry.
    owed.stopping("another entry", ENDED_AT - GRACE_S + 0.5)
    one = asked(sent_at=ENDED_AT - 5)
    assert len(breaches(owed, one, run(ended_at=ENDED_AT))) == 1


@pytest.mark.parametrize(("grace_s", "found"), [(0.0, 1), (60.0, 0)])
def test_an_entry_that_outlives_its_grace_is_found(monkeypatch, grace_s, found):
    # Against stops that pass because nobody kills the process at their end.
    monkeypatch.setattr(_book, "GRACE_S", grace_s)
    book = Book()
    with book.stopping("e"):
        time.sleep(0.01)
    assert len(book.broken) == found


@pytest.mark.parametrize(("planned", "found"), [(True, 1), (False, 0)])
def test_planned_work_does_not_excuse_in_the_book(planned, found):
    # Against stops and changed settings that count as disturbances.
    book = Book()
    with book.disturbed("e", planned=planned):
        book.asked_by_id["r"] = Asked("safe", entry="e")
        with book.running("r", "t", "t-1"):
            book.answered("r")
    book.check_bounds()
    assert len(book.broken) == found


def test_the_book_knows_when_a_run_ended():
    # Against a target that seems to work on after it has answered.
    async def scenario():
        book = Book()
        book.asked_by_id["r"] = Asked("safe", entry="e")
        with book.running("r", "t", "t-1"):
            await asyncio.sleep(0.01)
        return book.runs_by_id["r"][0]

    ran = asyncio.run(scenario())
    assert ran.began_at < ran.ended_at <= time.monotonic()
