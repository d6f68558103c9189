"""Decoding and encoding of headers of callers and targets."""

import pytest

from damaskcroft.forwarding import AttemptMetadata, TargetLoad
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


PASSING = AttemptMetadata(
    target_id="i-1",
    customer="c",
    deadline_s=1.5,
    priority=None,
    last_event_id=None,
    weights_version=0,
)


def test_request_headers_are_decoded():
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
def test_malformed_header_yields_no_call(wrong):
    assert PlatformWire().call(request(**wrong)) is None


def test_credential_and_reserved_headers_of_callers_are_not_forwarded():
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


def test_only_explicit_headers_or_421_mean_not_run():
    assert facts(503, not_executed="1").not_run
    assert facts(421).not_run
    assert facts(421).misdirected
    assert not facts(503, not_executed="1").misdirected
    assert not facts(503).not_run
    assert not facts(500).not_run


def test_load_seal_and_version_are_decoded():
    assert facts(server_load="3, 0, 8").load == TargetLoad(3, 0, 8)
    assert facts(server_load="busy").load is None
    assert facts(response_seal="x").sealed
    assert facts(weight_versions="2").weights_version == 2


def test_load_with_a_fourth_figure_is_not_discarded():
    assert facts(server_load="3,1,8,250").load == TargetLoad(3, 1, 8, 2.5)
    assert facts(server_load="3,1,8,100").load == TargetLoad(3, 1, 8, 1.0)


@pytest.mark.parametrize(
    "pace", ["", "0", "-5", "2.5", "fast", "9" * 30, "250,7"]
)
def test_an_unreadable_pace_leaves_the_rest_of_the_load(pace):
    assert facts(server_load=f"3,1,8,{pace}").load == TargetLoad(3, 1, 8, 1.0)


def test_a_load_of_other_form_is_ignored():
    for value in ("", "3", "3,1", "3,x,8", "-3,1,8", "3;1;8"):
        assert facts(server_load=value).load is None


def test_overlong_numbers_are_ignored():
    # An exception here would break off a stream that the target goes on with.
    digits = "9" * 5000
    assert facts(server_load=f"1,2,{digits}").load is None
    assert facts(weight_versions=digits).weights_version == 0


def test_rate_limit_is_decoded_from_each_answer():
    assert facts().limit == Unnamed()
    assert facts(server_limit="1.8").limit == Named(1.8)
    assert facts(503, not_executed="1", server_limit="0").limit == Named(0.0)
    assert isinstance(facts(server_limit="").limit, Unreadable)
    twice = [(b"server-limit", b"1"), (b"server-limit", b"2")]
    answer = PlatformWire().facts(Head(200, twice))
    assert isinstance(answer.limit, Unreadable)
