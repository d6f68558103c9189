"""The soak's checks of requests to control, its callers and configurations."""

import asyncio
import math
import time

import pytest

from damaskcroft.hosted.tests.deployment import CONTROL_IPS
from damaskcroft.hosted.tests.soak import _control_caller
from damaskcroft.hosted.tests.soak._control_answer_checks import (
    ControlAnswerChecker,
    ControlRequest,
)
from damaskcroft.hosted.tests.soak._control_caller import ControlCaller
from damaskcroft.hosted.tests.soak._history import CONTACT_S, History
from damaskcroft.hosted.tests.soak._operator import PATHS, Versions

SENT_AT = 100.0
ENDED_AT = 100.5
OPEN_SINCE = 95.0
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
LAST_ANSWER = ANSWER.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
IDLE_CLOSE = (
    b"HTTP/1.1 408 Idle\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)
KINDS = ["put", "read", "version", "heartbeat", "leave"]


def make_request(what="put", *, number=2, took_s=ENDED_AT - SENT_AT, **fields):
    return ControlRequest(
        what,
        "n",
        number,
        OPEN_SINCE,
        sent_at=SENT_AT,
        ended_at=SENT_AT + took_s,
        **fields,
    )


@pytest.fixture
def checker():
    return ControlAnswerChecker(CONTACT_S)


def find_violations(checker, record):
    checker.add_request(record)
    return list(checker.find_violations())


# --- Violations ---------------------------------------------------------------


@pytest.mark.parametrize("what", KINDS)
@pytest.mark.parametrize(
    ("fields", "found"),
    [
        ({}, "got no answer"),
        ({"got_bytes": True}, "got an incomplete answer"),
        ({"ended_before": True}, "ended without notice"),
    ],
)
def test_requests_without_an_answer_or_a_refusal_are_found(
    checker, what, fields, found
):
    found_texts = find_violations(checker, make_request(what, **fields))
    assert len(found_texts) == 1
    assert found in found_texts[0]


@pytest.mark.parametrize("what", KINDS)
@pytest.mark.parametrize(
    ("status", "found"),
    [
        # Each of these requests is valid.
        (400, "was refused as invalid"),
        (404, "was refused as invalid"),
        (409, "was refused as invalid"),
        (500, "got a server error"),
    ],
)
def test_wrong_answers_to_valid_requests_are_found(
    checker, what, status, found
):
    found_texts = find_violations(checker, make_request(what, status=status))
    assert len(found_texts) == 1
    assert found in found_texts[0]


def test_a_disruption_excuses_no_wrong_answer(checker):
    # Guards against accepting a valid change that is refused beside a kill.
    checker.add_disruption("n", [SENT_AT, ENDED_AT])
    assert len(find_violations(checker, make_request(status=400))) == 1


@pytest.mark.parametrize(
    ("event", "found"),
    [("answer_broken_off", 1), ("caller_left", 0), ("stopping", 0)],
)
def test_answers_that_a_node_logs_as_aborted_are_found(checker, event, found):
    # Guards against excusing a request that was read as if it crossed a stop.
    checker.add_stop("n", [SENT_AT - 1, SENT_AT + 1])
    checker.add_disruption("n", [SENT_AT, ENDED_AT])
    checker.scan_log(
        "n",
        f"time=1 process=control-11 event={event} ended_by=server "
        "reason=server_ended\ntime=2 process=control-11 event=started\n",
    )
    assert (
        len(find_violations(checker, make_request(number=1, took_s=0.1)))
        == found
    )


@pytest.mark.parametrize("status", [200, 408, 429, 503])
def test_answers_and_refusals_are_no_violation(checker, status):
    assert find_violations(checker, make_request(status=status)) == []


def test_refusals_are_counted_in_the_summary(checker):
    for status in (200, 503, 503, 408):
        checker.add_request(make_request(status=status))
    checker.add_request(make_request(status=408, ended_before=True))
    checker.add_stop("n", [SENT_AT, SENT_AT + 1])
    checker.add_request(make_request(number=1, took_s=0.1))
    checker.add_request(make_request(number=2, took_s=0.1))
    assert checker.summary() == (
        "control 0:2 200:1 408:2 503:2 refused(503):2 "
        "told behind an answer:1 crossed a stop:1"
    )


# --- Excuses ------------------------------------------------------------------


def test_a_caller_that_closed_its_connection_is_not_checked(checker):
    # Guards against counting targets that crash during an announcement.
    assert find_violations(checker, make_request(took_s=math.inf)) == []


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
def test_disruptions_of_its_node_excuse_until_contact_is_restored(
    checker, since, until, found
):
    # Guards against excuses by disruptions before or after the request.
    checker.add_disruption("n", [since, until])
    assert len(find_violations(checker, make_request())) == found


def test_disruptions_of_other_nodes_do_not_excuse(checker):
    # Guards against excusing a node that waits for one that was killed.
    checker.add_disruption("m", [SENT_AT, ENDED_AT])
    assert len(find_violations(checker, make_request())) == 1


@pytest.mark.parametrize(
    ("until", "found"), [(OPEN_SINCE - 0.1, 1), (OPEN_SINCE + 0.1, 0)]
)
def test_a_node_that_was_killed_excuses_the_end_of_its_idle_connections(
    checker, until, found
):
    # A caller may use its connection long after a kill closed it. Guards also
    # against an excuse by a kill from before the connection was used.
    checker.add_disruption("n", [0.0, until])
    assert (
        len(find_violations(checker, make_request(ended_before=True))) == found
    )


@pytest.mark.parametrize(
    ("number", "took_s", "got_bytes", "found"),
    [
        # The connection was not accepted.
        (1, 0.19, False, 1),
        # Open long enough that the request was read.
        (1, 0.21, False, 1),
        # An answer was begun.
        (1, 0.19, True, 1),
        # A kept connection, whose close is announced by a 408.
        (2, 0.0, False, 1),
    ],
)
def test_a_stop_excuses_no_request_without_an_answer(
    checker, number, took_s, got_bytes, found
):
    # Guards against accepting a stop that closes connections without notice.
    checker.add_stop("n", [SENT_AT - 1, SENT_AT + 1])
    record = make_request(number=number, took_s=took_s, got_bytes=got_bytes)
    assert len(find_violations(checker, record)) == found


@pytest.mark.parametrize(
    ("node", "since", "until"),
    [
        ("m", SENT_AT - 1, SENT_AT + 1),
        ("n", SENT_AT - 2, SENT_AT - 1),
        ("n", SENT_AT + 1, math.inf),
    ],
)
def test_only_a_stop_of_its_node_counts_as_crossed(checker, node, since, until):
    # Guards against accepting a running node that drops new connections.
    checker.add_stop(node, [since, until])
    assert (
        len(find_violations(checker, make_request(number=1, took_s=0.1))) == 1
    )


@pytest.mark.parametrize("ended_before", [False, True])
def test_a_stop_excuses_nothing_on_a_kept_connection(checker, ended_before):
    checker.add_stop("n", [SENT_AT - 1, SENT_AT + 1])
    assert (
        len(find_violations(checker, make_request(ended_before=ended_before)))
        == 1
    )


@pytest.mark.parametrize(("planned", "found"), [(True, 1), (False, 0)])
def test_planned_operations_do_not_excuse_control_in_the_history(
    planned, found
):
    # Guards against counting stops of control as disruptions.
    history = History()
    with history.control_disruption(["n"], planned=planned):
        now = time.monotonic()
        history.control_checker.add_request(
            ControlRequest("put", "n", 2, sent_at=now, ended_at=now)
        )
    history.check_bounds()
    assert len(history.violations) == found


# --- Callers ------------------------------------------------------------------


@pytest.fixture
def play_against():
    """Plays requests of one caller against a node that follows a script.

    For each connection the script has a list of the bytes that answer its
    requests. The node closes the connection after the last of them.
    """

    def play(script, request_count, *, how="close", pause_s=0.0):
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
            checker = ControlAnswerChecker(CONTACT_S)
            caller = ControlCaller("n", f"{CONTROL_IPS[0]}:{port}", checker)
            for _ in range(request_count):
                await caller.send_request("read", b"GET", "/api/config/get")
                await asyncio.sleep(pause_s)
            caller.close()
            server.close()
            return checker

        connections = iter(script)
        return asyncio.run(scenario())

    return play


def statuses(checker):
    return [record.status for record in checker.requests]


def test_a_caller_reuses_its_connection(play_against):
    checker = play_against([[ANSWER] * 3], 3)
    assert statuses(checker) == [200, 200, 200]
    assert [record.number for record in checker.requests] == [1, 2, 3]


def test_a_caller_obeys_connection_close(play_against):
    checker = play_against([[LAST_ANSWER], [ANSWER]], 2)
    assert statuses(checker) == [200, 200]
    assert [record.number for record in checker.requests] == [1, 1]


@pytest.mark.parametrize("pause_s", [0.0, 0.1])
def test_bytes_behind_an_answer_answer_the_next_request(play_against, pause_s):
    # Guards against a caller that drops a 408 which it has read together with
    # the previous answer, and counts its next request as lost.
    checker = play_against(
        [[ANSWER + IDLE_CLOSE], [ANSWER]], 3, pause_s=pause_s
    )
    assert statuses(checker) == [200, 408, 200]
    assert list(checker.find_violations()) == []


def test_a_kept_connection_that_closes_without_notice_is_found(play_against):
    checker = play_against([[ANSWER]], 2, pause_s=0.1)
    assert statuses(checker) == [200, 0]
    assert checker.requests[1].ended_before
    assert len(list(checker.find_violations())) == 1


def test_a_reset_of_a_kept_connection_during_a_request_is_found(play_against):
    checker = play_against([[ANSWER]], 2, how="abort")
    assert statuses(checker) == [200, 0]
    assert len(list(checker.find_violations())) == 1


def test_a_408_is_read_from_a_connection_that_was_reset(play_against):
    # Guards against a caller that ignores a 408 because it can't send.
    checker = play_against(
        [[ANSWER + IDLE_CLOSE], [ANSWER]], 2, how="abort", pause_s=0.1
    )
    assert statuses(checker) == [200, 408]


def test_an_incomplete_answer_is_found(play_against):
    checker = play_against([[ANSWER[:-1]]], 1)
    assert checker.requests[0].got_bytes
    assert len(list(checker.find_violations())) == 1


def test_a_request_without_an_answer_times_out_and_is_found(
    play_against, monkeypatch
):
    # Guards against callers that wait without a bound.
    monkeypatch.setattr(_control_caller, "_ANSWER_TIMEOUT_S", 0.1)
    checker = play_against([[b""]], 1, how="abort")
    assert statuses(checker) == [0]
    assert len(list(checker.find_violations())) == 1


def test_a_request_to_an_unreachable_node_is_not_recorded(checker):
    # Guards against counting requests that were never sent.
    async def scenario():
        server = await asyncio.start_server(lambda *_: None, CONTROL_IPS[0], 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        await server.wait_closed()
        caller = ControlCaller("n", f"{CONTROL_IPS[0]}:{port}", checker)
        return await caller.send_request("read", b"GET", "/api/config/get")

    assert asyncio.run(scenario()) == (0, b"")
    assert checker.requests == []


def test_a_caller_whose_process_ends_is_not_checked(checker):
    # Guards against counting requests that a crash of their caller ended.
    async def scenario():
        server = await asyncio.start_server(hang, CONTROL_IPS[0], 0)
        port = server.sockets[0].getsockname()[1]
        caller = ControlCaller("n", f"{CONTROL_IPS[0]}:{port}", checker)
        pending = asyncio.create_task(
            caller.send_request("leave", b"POST", "/")
        )
        await asyncio.sleep(0.1)
        caller.close()
        await pending
        server.close()

    async def hang(reader, writer):
        await reader.read()
        writer.close()

    asyncio.run(scenario())
    assert statuses(checker) == [0]
    assert list(checker.find_violations()) == []


# --- Configurations -----------------------------------------------------------


@pytest.mark.parametrize("with_key", [False, True])
@pytest.mark.parametrize("lacks", ["service", "routes", "key", "limits"])
def test_a_removed_part_is_restored_by_the_next_version(lacks, with_key):
    versions = Versions(1000, with_key=with_key)
    before, lacking, after = (
        versions.values(versions.next(what)) for what in ("", lacks, "")
    )
    if with_key or lacks != "key":
        assert unversioned(lacking) != unversioned(before)
    assert unversioned(before) == unversioned(after)


@pytest.mark.parametrize("lacks", ["", "service", "routes", "key", "limits"])
def test_routes_that_versions_added_stay(lacks):
    # Guards against a change that seems to revert versions seen before.
    versions = Versions(1000, with_key=True)
    versions.next()
    values = versions.values(versions.next(lacks))
    assert {"v1", "v2"} <= {route["name"] for route in values["routes"]}


def unversioned(values):
    """Returns a configuration without its version and the added routes."""
    return values | {
        "version": 0,
        "routes": [r for r in values["routes"] if r["name"] in PATHS],
    }
