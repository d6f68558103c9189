"""The soak's checks of requests that ended without a complete answer."""

import asyncio
import time

import pytest

from damaskcroft.hosted.tests.soak import _history
from damaskcroft.hosted.tests.soak._answer_checks import (
    GRACE_S,
    AnswerChecker,
    Execution,
)
from damaskcroft.hosted.tests.soak._history import (
    CONTACT_S,
    History,
    RequestRecord,
)

SENT_AT = 100.0
ENDED_AT = 102.0
BUDGET_S = 6.0


def make_request(
    status=0, *, complete=False, sent_at=SENT_AT, ended_at=ENDED_AT
):
    return RequestRecord(
        "safe",
        status,
        complete=complete,
        entry="e",
        sent_at=sent_at,
        budget_s=BUDGET_S,
        took_s=ended_at - sent_at,
    )


def execution(target="t", *, began_at=SENT_AT + 0.1, ended_at=ENDED_AT + 1):
    return Execution(target, f"{target}-1", began_at, ended_at)


@pytest.fixture
def checker():
    return AnswerChecker(CONTACT_S)


def find_violations(checker, request, *executions):
    return list(
        checker.find_violations({"r": request}, {"r": list(executions)})
    )


@pytest.mark.parametrize(
    ("status", "complete", "what"),
    [
        # The connection ends before the response head.
        (0, False, "got no answer"),
        # The stream ends early.
        (200, False, "got an incomplete answer"),
        # Attempts ended because a target was silent, before the deadline.
        (502, True, "was given up"),
        (504, True, "was given up"),
        # Denied by a configuration that arrived during the execution.
        (401, True, "was denied"),
        (403, True, "was denied"),
        (404, True, "was denied"),
        (413, True, "was denied"),
        (431, True, "was denied"),
    ],
)
def test_missing_and_wrong_answers_are_found(checker, status, complete, what):
    found = find_violations(
        checker, make_request(status, complete=complete), execution()
    )
    assert len(found) == 1
    assert what in found[0]


@pytest.mark.parametrize("status", [200, 429, 500, 503])
def test_complete_answers_are_no_violation(checker, status):
    # Guards against counting refusals of a target or an entry as lost.
    assert (
        find_violations(
            checker, make_request(status, complete=True), execution()
        )
        == []
    )


@pytest.mark.parametrize(("held_s", "found"), [(0.1, 0), (0.3, 1)])
def test_a_request_that_no_target_began_is_found_if_its_caller_waited(
    checker, held_s, found
):
    # Guards against counting requests that crossed the close of a connection,
    # and against missing requests that an entry accepted and dropped.
    assert (
        len(find_violations(checker, make_request(ended_at=SENT_AT + held_s)))
        == found
    )


@pytest.mark.parametrize("status", [401, 404, 413, 429, 502, 503, 504])
def test_refusals_of_requests_that_no_target_began_are_no_violation(
    checker, status
):
    # Guards against counting requests at an entry without targets as lost.
    assert find_violations(checker, make_request(status, complete=True)) == []


def test_a_disrupted_entry_excuses_requests_that_no_target_began(checker):
    # Guards against counting connections to an entry that was killed.
    checker.add_disruption("e", [SENT_AT, SENT_AT + 1])
    assert find_violations(checker, make_request()) == []


def test_a_caller_that_still_waits_is_not_checked(checker):
    # Guards against counting callers that are stopped by the end of a run.
    assert (
        find_violations(
            checker, make_request(ended_at=float("inf")), execution()
        )
        == []
    )


@pytest.mark.parametrize(("left_s", "found"), [(0.0, 0), (0.1, 1)])
def test_an_expired_time_budget_excuses_and_an_earlier_end_does_not(
    checker, left_s, found
):
    # Guards against accepting an early end as an expired deadline.
    request = make_request(
        504, complete=True, ended_at=SENT_AT + BUDGET_S - left_s
    )
    assert len(find_violations(checker, request, execution())) == found


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
def test_disruptions_of_its_path_excuse_until_contact_is_restored(
    checker, who, since, until, found
):
    # Guards against excuses by disruptions before or after the request.
    checker.add_disruption(who, [since, until])
    assert (
        len(
            find_violations(
                checker, make_request(), execution("t"), execution("u")
            )
        )
        == found
    )


def test_disruptions_of_other_parties_do_not_excuse(checker):
    # Guards against excusing all requests during any disruption.
    for who in ("another entry", "another target", "control"):
        checker.add_disruption(who, [SENT_AT, ENDED_AT])
    assert len(find_violations(checker, make_request(), execution())) == 1


@pytest.mark.parametrize(
    ("start", "at", "found"),
    [
        ("t-1", SENT_AT + 1, 0),
        # Before the execution, after the end, and at another start.
        ("t-1", SENT_AT, 1),
        ("t-1", ENDED_AT + 0.1, 1),
        ("t-2", SENT_AT + 1, 1),
    ],
)
def test_only_a_target_that_aborted_this_answer_excuses(
    checker, start, at, found
):
    # Guards against excuses by a crash that did not affect the request.
    checker.record_abort(start, at)
    assert len(find_violations(checker, make_request(), execution())) == found


@pytest.mark.parametrize(
    ("sent_after_s", "ended_after_s", "worked_until_s", "found"),
    [
        # Still executing in the last share of the grace period.
        (1.0, GRACE_S - 0.5, GRACE_S, 0),
        # Sent when the entry should no longer have accepted it.
        (3.1, GRACE_S - 0.5, GRACE_S, 1),
        # Ended while much of the grace period was left.
        (1.0, GRACE_S - 2, GRACE_S, 1),
        # Completed by its target in time.
        (2.0, GRACE_S - 0.5, GRACE_S - 2, 1),
        # At an entry that ran beyond its grace period.
        (2.5, GRACE_S + 0.1, GRACE_S + 0.1, 1),
    ],
)
def test_a_stop_excuses_only_requests_executing_at_its_end(
    checker, sent_after_s, ended_after_s, worked_until_s, found
):
    # Guards against accepting a stop that cuts answers too early.
    stop_at = 200.0
    checker.add_stop("e", stop_at)
    request = make_request(
        sent_at=stop_at + sent_after_s, ended_at=stop_at + ended_after_s
    )
    began_at = stop_at + sent_after_s
    execution_record = execution(
        began_at=began_at, ended_at=stop_at + worked_until_s
    )
    assert len(find_violations(checker, request, execution_record)) == found


def test_a_stop_of_another_entry_does_not_excuse(checker):
    # Guards against applying a stop to every entry.
    checker.add_stop("another entry", ENDED_AT - GRACE_S + 0.5)
    request = make_request(sent_at=ENDED_AT - 5)
    assert (
        len(find_violations(checker, request, execution(ended_at=ENDED_AT)))
        == 1
    )


@pytest.mark.parametrize(("grace_s", "found"), [(0.0, 1), (60.0, 0)])
def test_an_entry_that_exceeds_its_grace_period_is_found(
    monkeypatch, grace_s, found
):
    # Guards against accepting long stops because no platform kills here.
    monkeypatch.setattr(_history, "GRACE_S", grace_s)
    history = History()
    with history.stopping("e"):
        time.sleep(0.01)
    assert len(history.violations) == found


@pytest.mark.parametrize(("planned", "found"), [(True, 1), (False, 0)])
def test_planned_operations_do_not_excuse_in_the_history(planned, found):
    # Guards against counting stops and changed settings as disruptions.
    history = History()
    with history.disruption("e", planned=planned):
        history.requests_by_id["r"] = RequestRecord("safe", entry="e")
        with history.executing("r", "t", "t-1"):
            history.answered("r")
    history.check_bounds()
    assert len(history.violations) == found


def test_the_history_records_the_end_of_an_execution():
    # Guards against executions that seem to go on after the answer.
    async def scenario():
        history = History()
        history.requests_by_id["r"] = RequestRecord("safe", entry="e")
        with history.executing("r", "t", "t-1"):
            await asyncio.sleep(0.01)
        return history.executions_by_id["r"][0]

    execution_record = asyncio.run(scenario())
    assert (
        execution_record.began_at
        < execution_record.ended_at
        <= time.monotonic()
    )
