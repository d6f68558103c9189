"""Headers of callers and targets."""

import pytest

from damaskcroft.forwarding import Passing, TargetLoad
from damaskcroft.http1 import CallerRequest, Head
from damaskcroft.limits import Named, Unnamed, Unreadable
from damaskcroft.platform.wire import PlatformWire


def request(**headers):
    named = {"host": "h", "request-id": "r1"} | {
        name.replace("_", "-"): value for name, value in headers.items()
    }
    return CallerRequest(
        method=b"POST",
        target=b"/a/b?c=d",
        headers=[(n.encode(), v.encode()) for n, v in named.items()],
        body=b"",
        arrived_at=5.0,
    )


PASSING = Passing(
    target_id="i-1",
    customer="c",
    deadline_s=1.5,
    priority=None,
    last_event_id=None,
    weights_version=0,
)


def test_a_call_is_decoded():
    call = PlatformWire().call(
        request(
            deadline_ms="6097", credential="k", model="m",
            token_counts="1460,80", last_event_id="12",
            prompt_prefix="5c1e:800,91bd:410",
        )
    )  # fmt: skip
    assert call.path == "/a/b"
    assert call.deadline_s == 6.097
    assert (call.prompt_tokens, call.max_answer_tokens) == (1460, 80)
    assert call.prefix_ids == ("5c1e", "91bd")
    assert call.last_event_id == 12
    assert call.key == "k"


@pytest.mark.parametrize(
    "wrong",
    [
        {"deadline_ms": "soon"},
        {"token_counts": "many"},
        {"last_event_id": "first"},
    ],
)
def test_a_header_that_makes_no_sense_is_no_call(wrong):
    assert PlatformWire().call(request(**wrong)) is None


def test_the_key_stays_here_and_the_customer_is_ours_to_name():
    wire = PlatformWire()
    call = wire.call(
        request(
            credential="k", tenant="someone else", expect_instance="i-9",
            connection="x-mine", x_mine="1", model="m", path="evil",
        )
    )  # fmt: skip
    headers = dict(wire.target_headers(call, PASSING))
    assert b"credential" not in headers
    assert headers[b"tenant"] == b"c"
    assert headers[b"expect-instance"] == b"i-1"
    assert headers[b"deadline-ms"] == b"1500"
    assert headers[b"model"] == b"m"
    assert b"x-mine" not in headers
    assert b"path" not in headers


def facts(status=200, **headers):
    named = [(n.replace("_", "-").encode(), v.encode())
             for n, v in headers.items()]  # fmt: skip
    return PlatformWire().facts(Head(status, named))


def test_only_the_targets_own_word_says_that_nothing_ran():
    assert facts(503, not_executed="1").not_run
    assert facts(421).not_run
    assert facts(421).misdirected
    assert not facts(503, not_executed="1").misdirected
    assert not facts(503).not_run
    assert not facts(500).not_run


def test_load_and_seal_are_decoded():
    assert facts(server_load="3, 0, 8").load == TargetLoad(3, 0, 8)
    assert facts(server_load="busy").load is None
    assert facts(response_seal="x").sealed
    assert facts(weight_versions="2").weights_version == 2


def test_numbers_too_long_to_be_read_fail_no_request():
    # Against a fault of ours, which would cut a stream that goes on there.
    digits = "9" * 5000
    assert facts(server_load=f"1,2,{digits}").load is None
    assert facts(weight_versions=digits).weights_version == 0


def test_a_limit_for_all_senders_is_read_from_each_answer():
    assert facts().limit == Unnamed()
    assert facts(server_limit="1.8").limit == Named(1.8)
    assert facts(503, not_executed="1", server_limit="0").limit == Named(0.0)
    assert isinstance(facts(server_limit="").limit, Unreadable)
    twice = [(b"server-limit", b"1"), (b"server-limit", b"2")]
    answer = PlatformWire().facts(Head(200, twice))
    assert isinstance(answer.limit, Unreadable)
