import json

import pytest

from damaskcroft._generated import control_pb2, records_pb2
from damaskcroft.records import (
    InvalidRecord,
    UnsupportedSchema,
    deployment_for,
    validate,
)

VALID_DOCUMENT = {
    "schema_version": 2,
    "kind": "deployment",
    "name": "drafting",
    "model": "m",
    "version": "1",
    "manifest": "a" * 64,
}


def validate_with(**changes):
    body = json.dumps({**VALID_DOCUMENT, **changes}).encode()
    return validate("deployment", "drafting", body)


def test_a_valid_record_returns_its_schema_version():
    assert validate_with() == 2


@pytest.mark.parametrize(
    ("field", "changes"),
    [
        ("model", {"model": ""}),
        ("version", {"version": ""}),
        ("manifest", {"manifest": "abc"}),
        ("schema_version", {"schema_version": 3}),
        ("schema_version", {"schema_version": True}),
        ("kind", {"kind": "wish"}),
        ("name", {"name": "../x"}),
        ("burst.policy", {"burst": {"policy": "most"}}),
        ("burst", {"burst": 3}),
        ("rollout.max_out", {"rollout": {"max_out": 0}}),
    ],
)
def test_an_invalid_record_reports_the_field_at_fault(field, changes):
    result = validate_with(**changes)
    assert isinstance(result, InvalidRecord)
    assert result.field == field


def test_invalid_json_is_an_invalid_record():
    result = validate("deployment", "drafting", b"\xff{")
    assert isinstance(result, InvalidRecord)


def test_a_record_of_a_newer_schema_leaves_targets_unchanged():
    target = control_pb2.Announcement(id="a", role="drafting")
    record = records_pb2.Record(
        kind="deployment", name="x", schema_version=9, body=b"{}", revision=5
    )
    assert deployment_for(target, [record]) == UnsupportedSchema(9)


def test_the_newest_matching_record_applies():
    target = control_pb2.Announcement(id="a", role="drafting")
    records = [
        records_pb2.Record(
            kind="deployment",
            name=f"d{revision}",
            schema_version=2,
            revision=revision,
            body=json.dumps(
                {
                    **VALID_DOCUMENT,
                    "name": f"d{revision}",
                    "targets": {"roles": [role]},
                }
            ).encode(),
        )
        for revision, role in ((3, "drafting"), (7, "drafting"), (9, "other"))
    ]
    assert deployment_for(target, records).name == "d7"
