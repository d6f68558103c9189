"""The soak's judge of requests to control, its callers, and what they put."""

import asyncio
import math
import time

import pytest

from damaskcroft.hosted.tests.deployment import CONTROL_IPS
from damaskcroft.hosted.tests.soak import _control_caller
from damaskcroft.hosted.tests.soak._book import CONTACT_S, Book
from damaskcroft.hosted.tests.soak._control_answers import (
    ControlAnswersOwed,
    ControlAsked,
)
from damaskcroft.hosted.tests.soak._control_caller import ControlCaller
from damaskcroft.hosted.tests.soak._operator import PATHS, Versions

SENT_AT = 100.0
ENDED_AT = 100.5
OPEN_SINCE = 95.0
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
LAST_ANSWER = ANSWER.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
END_TOLD = (
    b"HTTP/1.1 408 Idle\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)
KINDS = ["put", "read", "version", "heartbeat", "leave"]


def asked(what="put", *, number=2, took_s=ENDED_AT - SENT_AT, **fields):
    return ControlAsked(
        what,
        "n",
        number,
        OPEN_SINCE,
        sent_at=SENT_AT,
        ended_at=SENT_AT + took_s,
        **fields,
    )


@pytest.fixture
def owed():
    return ControlAnswersOwed(CONTACT_S)


def breaches(owed, one):
    owed.asks(one)
    return list(owed.breaches())


# --- What is a breach ---------------------------------------------------------


@pytest.mark.parametrize("what", KINDS)
@pytest.mark.parametrize(
    ("fields", "found"),
    [
        ({}, "got no answer"),
        ({"got_bytes": True}, "got half of an answer"),
        ({"ended_before": True}, "ended without a word"),
    ],
)
def test_requests_without_an_answer_or_a_refusal_are_found(
    owed, what, fields, found
):
    told = breaches(owed, asked(what, **fields))
    assert len(told) == 1
    assert found in told[0]


@pytest.mark.parametrize("what", KINDS)
@pytest.mark.parametrize(
    ("status", "found"),
    [
        # Of a valid request.
        (400, "as if it weren't"),
        (404, "as if it weren't"),
        (409, "as if it weren't"),
        (500, "met a fault"),
    ],
)
def test_wrong_answers_to_valid_requests_are_found(owed, what, status, found):
    told = breaches(owed, asked(what, status=status))
    assert len(told) == 1
    assert found in told[0]


def test_a_disturbance_excuses_no_wrong_answer(owed):
    # Against an operator whose valid change is refused for good beside a kill.
    owed.disturbed("n", [SENT_AT, ENDED_AT])
    assert len(breaches(owed, asked(status=400))) == 1


@pytest.mark.parametrize(
    ("event", "found"),
    [("answer_broken_off", 1), ("caller_left", 0), ("stopping", 0)],
)
def test_what_a_node_says_it_broke_off_is_found(owed, event, found):
    # Against a request that was read, and passes for one that crossed a stop.
    owed.stopping("n", [SENT_AT - 1, SENT_AT + 1])
    owed.disturbed("n", [SENT_AT, ENDED_AT])
    owed.logged(
        "n",
        f"time=1 process=control-11 event={event} ended_by=server "
        "reason=server_ended\ntime=2 process=control-11 event=started\n",
    )
    assert len(breaches(owed, asked(number=1, took_s=0.1))) == found


@pytest.mark.parametrize("status", [200, 408, 429, 503])
def test_answers_and_refusals_are_no_breach(owed, status):
    assert breaches(owed, asked(status=status)) == []


def test_refusals_are_counted_in_the_summary(owed):
    for status in (200, 503, 503, 408):
        owed.asks(asked(status=status))
    owed.asks(asked(status=408, ended_before=True))
    owed.stopping("n", [SENT_AT, SENT_AT + 1])
    owed.asks(asked(number=1, took_s=0.1))
    owed.asks(asked(number=2, took_s=0.1))
    assert owed.summary() == (
        "control 0:2 200:1 408:2 503:2 refused(503):2 "
        "told behind an answer:1 crossed a stop:1"
    )


# --- What excuses one ---------------------------------------------------------


def test_a_caller_that_ended_itself_is_not_judged(owed):
    # Against a judge that counts targets which crash while they announce.
    assert breaches(owed, asked(took_s=math.inf)) == []


@pytest.mark.parametrize(
    ("since", "until", "found"),
    [
        (0.0, SENT_AT - CONTACT_S - 0.1, 1),
        (0.0, SENT_AT - CONTACT_S, 0),
        (SENT_AT + 0.1, SENT_AT + 0.2, 0),
        (ENDED_AT, math.inf, 0),
        (ENDED_AT + 0.1, math.inf, 1),
    ],
)
def test_disturbances_of_its_node_excuse_from_contact_on(
    owed, since, until, found
):
    # Against excuses from before, or from after, the request.
    owed.disturbed("n", [since, until])
    assert len(breaches(owed, asked())) == found


def test_disturbances_of_other_nodes_do_not_excuse(owed):
    # Against a judge that excuses a node that waits for one that was killed.
    owed.disturbed("m", [SENT_AT, ENDED_AT])
    assert len(breaches(owed, asked())) == 1


@pytest.mark.parametrize(
    ("until", "found"), [(OPEN_SINCE - 0.1, 1), (OPEN_SINCE + 0.1, 0)]
)
def test_a_node_that_was_killed_excuses_the_end_of_its_idle_connections(
    owed, until, found
):
    # Against a caller that uses its connection long after a kill, and against
    # an excuse by a kill from before the connection was used.
    owed.disturbed("n", [0.0, until])
    assert len(breaches(owed, asked(ended_before=True))) == found


@pytest.mark.parametrize(
    ("number", "took_s", "got_bytes", "found"),
    [
        # A connection that nobody accepted.
        (1, 0.19, False, 1),
        # Held, so that it was read.
        (1, 0.21, False, 1),
        # An answer was begun.
        (1, 0.19, True, 1),
        # A kept connection, whose end is told by a 408.
        (2, 0.0, False, 1),
    ],
)
def test_a_stop_excuses_no_request_without_an_answer(
    owed, number, took_s, got_bytes, found
):
    # Against a stop that ends connections without a word, and passes.
    owed.stopping("n", [SENT_AT - 1, SENT_AT + 1])
    one = asked(number=number, took_s=took_s, got_bytes=got_bytes)
    assert len(breaches(owed, one)) == found


@pytest.mark.parametrize(
    ("node", "since", "until"),
    [
        ("m", SENT_AT - 1, SENT_AT + 1),
        ("n", SENT_AT - 2, SENT_AT - 1),
        ("n", SENT_AT + 1, math.inf),
    ],
)
def test_a_crossing_needs_a_stop_of_its_node(owed, node, since, until):
    # Against a node that drops new connections while nothing ends it.
    owed.stopping(node, [since, until])
    assert len(breaches(owed, asked(number=1, took_s=0.1))) == 1


@pytest.mark.parametrize("ended_before", [False, True])
def test_a_stop_excuses_nothing_on_a_kept_connection(owed, ended_before):
    owed.stopping("n", [SENT_AT - 1, SENT_AT + 1])
    assert len(breaches(owed, asked(ended_before=ended_before))) == 1


@pytest.mark.parametrize(("planned", "found"), [(True, 1), (False, 0)])
def test_planned_work_does_not_excuse_control_in_the_book(planned, found):
    # Against stops of control that count as disturbances.
    book = Book()
    with book.control_disturbed(["n"], planned=planned):
        now = time.monotonic()
        book.control_owed.asks(
            ControlAsked("put", "n", 2, sent_at=now, ended_at=now)
        )
    book.check_bounds()
    assert len(book.broken) == found


# --- Callers ------------------------------------------------------------------


@pytest.fixture
def against():
    """Plays requests of one caller against a node that follows a script.

    The script has a list of bytes for each connection: what is written on it
    at once, for each request, until it is used up and the node ends it.
    """

    def play(script, requests, *, how="close", rest_s=0.0):
        async def serve(reader, writer):
            for answer in next(connections):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(answer)
                await writer.drain()
            await reader.read(0 if how == "close" else 1)
            getattr(writer if how == "close" else writer.transport, how)()

        async def scenario():
            server = await asyncio.start_server(serve, CONTROL_IPS[0], 0)
            port = server.sockets[0].getsockname()[1]
            owed = ControlAnswersOwed(CONTACT_S)
            caller = ControlCaller("n", f"{CONTROL_IPS[0]}:{port}", owed)
            for _ in range(requests):
                await caller.ask("read", b"GET", "/api/config/get")
                await asyncio.sleep(rest_s)
            caller.close()
            server.close()
            return owed

        connections = iter(script)
        return asyncio.run(scenario())

    return play


def statuses(owed):
    return [one.status for one in owed.asked]


def test_a_caller_keeps_its_connection(against):
    owed = against([[ANSWER] * 3], 3)
    assert statuses(owed) == [200, 200, 200]
    assert [one.number for one in owed.asked] == [1, 2, 3]


def test_a_caller_heeds_that_an_answer_is_the_last(against):
    owed = against([[LAST_ANSWER], [ANSWER]], 2)
    assert statuses(owed) == [200, 200]
    assert [one.number for one in owed.asked] == [1, 1]


@pytest.mark.parametrize("rest_s", [0.0, 0.1])
def test_what_came_behind_an_answer_answers_the_next_request(against, rest_s):
    # Against a caller that drops a 408 which it has read with the answer
    # before, and counts its next request as lost.
    owed = against([[ANSWER + END_TOLD], [ANSWER]], 3, rest_s=rest_s)
    assert statuses(owed) == [200, 408, 200]
    assert list(owed.breaches()) == []


def test_a_kept_connection_that_ends_without_a_word_is_found(against):
    owed = against([[ANSWER]], 2, rest_s=0.1)
    assert statuses(owed) == [200, 0]
    assert owed.asked[1].ended_before
    assert len(list(owed.breaches())) == 1


def test_a_kept_connection_that_is_reset_under_a_request_is_found(against):
    owed = against([[ANSWER]], 2, how="abort")
    assert statuses(owed) == [200, 0]
    assert len(list(owed.breaches())) == 1


def test_a_connection_lost_before_its_end_was_read_still_tells_it(against):
    # Against a caller that takes a 408 for nothing since it can't send.
    owed = against([[ANSWER + END_TOLD], [ANSWER]], 2, how="abort", rest_s=0.1)
    assert statuses(owed) == [200, 408]


def test_half_an_answer_is_found(against):
    owed = against([[ANSWER[:-1]]], 1)
    assert owed.asked[0].got_bytes
    assert len(list(owed.breaches())) == 1


def test_a_request_without_an_answer_ends_and_is_found(against, monkeypatch):
    # Against callers that wait as long as control likes.
    monkeypatch.setattr(_control_caller, "_PATIENCE_S", 0.1)
    owed = against([[b""]], 1, how="abort")
    assert statuses(owed) == [0]
    assert len(list(owed.breaches())) == 1


def test_a_node_that_nobody_reaches_is_asked_nothing(owed):
    # Against a judge that counts requests which were never sent.
    async def scenario():
        server = await asyncio.start_server(lambda *_: None, CONTROL_IPS[0], 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        await server.wait_closed()
        caller = ControlCaller("n", f"{CONTROL_IPS[0]}:{port}", owed)
        return await caller.ask("read", b"GET", "/api/config/get")

    assert asyncio.run(scenario()) == (0, b"")
    assert owed.asked == []


def test_a_caller_whose_process_ends_is_not_judged(owed):
    # Against a judge that counts what a crash of its own caller cut off.
    async def scenario():
        server = await asyncio.start_server(hang, CONTROL_IPS[0], 0)
        port = server.sockets[0].getsockname()[1]
        caller = ControlCaller("n", f"{CONTROL_IPS[0]}:{port}", owed)
        asking = asyncio.create_task(caller.ask("leave", b"POST", "/"))
        await asyncio.sleep(0.1)
        caller.close()
        await asking
        server.close()

    async def hang(reader, writer):
        await reader.read()
        writer.close()

    asyncio.run(scenario())
    assert statuses(owed) == [0]
    assert list(owed.breaches()) == []


# --- What operators put -------------------------------------------------------


@pytest.mark.parametrize("with_key", [False, True])
@pytest.mark.parametrize("lacks", ["service", "routes", "key", "limits"])
def test_what_is_taken_away_is_given_back(lacks, with_key):
    versions = Versions(1000, with_key=with_key)
    before, lacking, after = (
        versions.values(versions.next(what)) for what in ("", lacks, "")
    )
    if with_key or lacks != "key":
        assert unversioned(lacking) != unversioned(before)
    assert unversioned(before) == unversioned(after)


@pytest.mark.parametrize("lacks", ["", "service", "routes", "key", "limits"])
def test_routes_that_versions_added_stay(lacks):
    # Against a change that makes the check on versions seen go back.
    versions = Versions(1000, with_key=True)
    versions.next()
    values = versions.values(versions.next(lacks))
    assert {"v1", "v2"} <= {route["name"] for route in values["routes"]}


def unversioned(values):
    """A configuration without its number and the routes that versions add."""
    return values | {
        "version": 0,
        "routes": [r for r in values["routes"] if r["name"] in PATHS],
    }
