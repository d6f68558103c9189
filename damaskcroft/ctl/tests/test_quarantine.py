"""Listing and explanation of quarantined requests for operators."""

import pytest

from damaskcroft._generated import quarantine_pb2
from damaskcroft.ctl._log_lines import parsed
from damaskcroft.ctl._views import quarantine_table
from damaskcroft.ctl._why import explain_request
from damaskcroft.quarantine import parse_suspect


def test_each_quarantined_request_is_one_row():
    reply = quarantine_pb2.QuarantineReply()
    reply.requests.add(
        fingerprint=b"\x01\xab", start_ids=["a@1", "b@2"], left_s=599.6
    )
    assert quarantine_table(reply).splitlines()[1].split() == [
        "01ab", "600", "2", "a@1,b@2",
    ]  # fmt: skip


def test_refused_parts_are_one_row_and_can_be_lifted_by_name():
    reply = quarantine_pb2.QuarantineReply()
    reply.requests.add(
        parts=[b"s/m/2f", b"s/m/1e"],
        start_ids=["a@1"],
        left_s=90,
        customer="acme",
    )
    row = quarantine_table(reply).splitlines()[1].split()
    assert row == ["s/m/1e,s/m/2f", "90", "1", "a@1", "acme"]
    assert parse_suspect("s/m/2f") == b"s/m/2f"
    assert parse_suspect("01ab") == b"\x01\xab"


@pytest.mark.parametrize(
    ("fields", "cause"),
    [
        (
            'reason=quarantined ran=no detail="prompt parts s/m/1e"'
            " retry_after_s=90",
            "targets crashed under requests with prompt parts s/m/1e;"
            " told to come back in 90 s",
        ),
        (
            'reason=quarantined ran=no detail="fingerprint 01ab"'
            " retry_after_s=600",
            "targets crashed under this request, fingerprint 01ab;"
            " told to come back in 600 s",
        ),
        (
            "reason=resting ran=no service=s retry_after_s=3.5",
            "targets of s rest; told to come back in 3.5 s",
        ),
        (
            "reason=rate_limited ran=no service=s retry_after_s=2",
            "targets of s get all that they take; told to come back in 2 s",
        ),
    ],
)
def test_cause_of_a_refusal_is_reported(fields, cause):
    line = f"time=2026-01-01T10:00:00.000 process=e event=refused {fields}"
    report = explain_request("r-1", parsed([f"{line} request=r-1"]))
    assert report[-1] == f"cause: {cause}"
