"""Decoding of announcements and reports, valid and malformed."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from damaskcroft._generated import fleet_pb2
from damaskcroft.engines import EngineReport
from damaskcroft.fleet import InvalidAnnouncement, checked
from damaskcroft.platform.announcements import (
    decode_announcement,
    decode_leave,
    decode_report,
)

BORN_MS = 1_764_000_000_000
WORD = {
    "service": "s", "address": "10.0.0.1:80", "zone": "z", "version": "v1",
    "slots": 16, "state": "ready", "cold_remaining_ms": 0, "stage": "both",
    "models": [{"name": "m", "version": 2, "adapters": []}],
    "layers": {"from": 0, "target": 16, "version": 2}, "sequence": 4,
    "born": BORN_MS,
}  # fmt: skip
REPORT = {
    "stage": "both", "models": [], "busy": False, "sequence": 2, "queued": 1,
    "active": 12, "kv_used": 1, "kv_total": 2, "handles": 0, "born": BORN_MS,
}  # fmt: skip


def encoded(values):
    return json.dumps(values).encode()


def decode_changed(**changes):
    """Decodes an announcement with changed fields; None leaves a field out."""
    values = {k: v for k, v in (WORD | changes).items() if v is not None}
    return checked(decode_announcement("i-1", encoded(values)))


def test_announcement_is_decoded():
    state = decode_changed(state="draining")
    assert (state.phase, state.born_ms) == (fleet_pb2.TARGET_DRAINING, BORN_MS)
    assert (state.id, state.failure_domain, state.slots) == ("i-1", "z", 16)
    held = state.held[0]
    assert (held.model, held.version, held.end_layer) == ("m", 2, 16)


def test_missing_start_time_is_decoded_as_zero():
    assert decode_changed(born=None).born_ms == 0


def test_unknown_fields_are_ignored():
    assert isinstance(decode_changed(colour="red"), fleet_pb2.TargetState)


@pytest.mark.parametrize(
    ("layers", "ends"),
    [
        (None, [0]),
        ([], []),
        ([{"from": 0, "target": 4}, {"from": 8, "target": 12}], [4, 12]),
    ],
)
def test_held_layers_are_decoded_from_each_form(layers, ends):
    assert [
        part.end_layer for part in decode_changed(layers=layers).held
    ] == ends


def test_null_layers_are_decoded_as_none_held():
    word = decode_announcement("i-1", encoded(WORD | {"layers": None}))
    assert not word.held


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"state": "sleeping"}, "unknown_state"),
        ({"state": 3}, "wrong_type"),
        ({"state": {"ready": True}}, "wrong_type"),
        ({"state": None}, "missing_field"),
        ({"address": "none"}, "bad_address"),
        ({"address": ""}, "bad_address"),
        ({"address": "10.0.0.1"}, "bad_address"),
        ({"address": "10.0.0.1:0"}, "bad_address"),
        ({"address": "10.0.0.1:99999"}, "bad_address"),
        ({"address": "10.0.0.1:²"}, "bad_address"),
        ({"address": "0.0.0.0:80"}, "bad_address"),
        ({"address": "a.example:80"}, "bad_address"),
        ({"address": ["10.0.0.1:80"]}, "wrong_type"),
        ({"service": ""}, "unknown_service"),
        ({"service": 7}, "wrong_type"),
        ({"service": None}, "missing_field"),
        ({"slots": -1}, "out_of_range"),
        ({"slots": 10**6}, "out_of_range"),
        ({"slots": 10**40}, "out_of_range"),
        ({"slots": "16"}, "wrong_type"),
        ({"slots": True}, "wrong_type"),
        ({"slots": 1.5}, "wrong_type"),
        ({"cold_remaining_ms": -1}, "out_of_range"),
        ({"cold_remaining_ms": 1e300}, "out_of_range"),
        ({"cold_remaining_ms": "soon"}, "wrong_type"),
        ({"sequence": None}, "missing_field"),
        ({"sequence": -3}, "out_of_range"),
        ({"sequence": 2**60}, "out_of_range"),
        ({"sequence": 1.0}, "wrong_type"),
        ({"born": "today"}, "wrong_type"),
        ({"born": BORN_MS + 0.5}, "wrong_type"),
        ({"born": False}, "wrong_type"),
        ({"born": -1}, "out_of_range"),
        ({"born": 2**52}, "out_of_range"),
        ({"layers": "all"}, "wrong_type"),
        ({"layers": {"from": "0", "target": 4}}, "wrong_type"),
        ({"layers": {"from": 5, "target": 4}}, "out_of_range"),
        ({"layers": {"from": 0, "target": 10**7}}, "out_of_range"),
        ({"models": {"name": "m"}}, "wrong_type"),
        ({"models": [{"name": "m", "version": -1}]}, "out_of_range"),
        ({"models": [{"name": "m"}]}, "missing_field"),
    ],
)
def test_malformed_announcement_is_rejected(changes, reason):
    outcome = decode_changed(**changes)
    assert isinstance(outcome, InvalidAnnouncement)
    assert outcome.reason == reason


@pytest.mark.parametrize(
    "body",
    [b"", b"{", b"\xff\xfe", b'{"service": "\xff"}', b"[" * 10**5, b"null",
     b"[]", b"5", b'{"x":' + b"[" * 10**5 + b"]" * 10**5 + b"}"],
)  # fmt: skip
def test_undecodable_bytes_are_rejected(body):
    for decoded in (decode_announcement("i", body), decode_report(body)):
        assert isinstance(decoded, InvalidAnnouncement)
        assert decoded.reason in ("unreadable", "wrong_type", "missing_field")


def test_leave_message_states_which_start_ends():
    assert decode_leave("i", encoded({"born": BORN_MS})).born_ms == BORN_MS
    for older in (b"", b"{}"):
        ended = decode_leave("i", older)
        assert (ended.phase, ended.born_ms) == (fleet_pb2.TARGET_GONE, 0)
    for wrong in (b"\xff", b"5", b'{"born": "x"}', b'{"born": -1}'):
        assert isinstance(decode_leave("i", wrong), InvalidAnnouncement)


def test_report_is_decoded():
    report = decode_report(encoded(REPORT))
    assert report == EngineReport((), False, 2, 13, BORN_MS)
    assert decode_report(
        encoded({k: v for k, v in REPORT.items() if k != "born"})
    ).born_ms == 0  # fmt: skip


@pytest.mark.parametrize(
    "changes",
    [
        {"busy": 1},
        {"busy": "no"},
        {"sequence": "2"},
        {"sequence": -1},
        {"active": None},
        {"queued": 1.5},
        {"born": "x"},
        {"models": 5},
        {"layers": 5},
        {"models": [{"name": "m", "version": 10**30}]},
    ],
)
def test_malformed_report_is_rejected(changes):
    assert isinstance(
        decode_report(encoded(REPORT | changes)), InvalidAnnouncement
    )


anything = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=True)
    | st.text()
    | st.sampled_from(["ready", "draining", "10.0.0.1:80", "s"]),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["name", "version", "from", "target", "x"]), inner
        )
    ),
    max_leaves=6,
)


@given(
    st.sampled_from([WORD, REPORT]),
    st.dictionaries(
        st.sampled_from([*WORD, *REPORT]), anything, min_size=1, max_size=4
    ),
    st.sets(st.sampled_from([*WORD, *REPORT]), max_size=3),
)
def test_any_word_is_a_type_or_says_what_is_wrong(word, changes, left_out):
    """Every field of every type, missing, nested and huge."""
    values = {k: v for k, v in (word | changes).items() if k not in left_out}
    body = encoded(values)
    state = checked(decode_announcement("i", body))
    if isinstance(state, InvalidAnnouncement):
        assert state.reason
    else:
        assert state.address and state.service and 0 <= state.slots <= 65535
        assert all(part.first_layer <= part.end_layer for part in state.held)
    report = decode_report(body)
    assert isinstance(report, InvalidAnnouncement | EngineReport)
    leave = checked(decode_leave("i", body))
    assert isinstance(leave, InvalidAnnouncement | fleet_pb2.TargetState)


@given(st.binary(max_size=200))
def test_any_bytes_are_a_type_or_say_what_is_wrong(body):
    assert isinstance(decode_announcement("i", body), InvalidAnnouncement)
    assert isinstance(decode_report(body), InvalidAnnouncement)
