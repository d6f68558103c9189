import json

import pytest

from damaskcroft._generated import control_pb2, records_pb2
from damaskcroft.records import (
    InvalidRecord,
    UnsupportedSchema,
    deployment_for,
    validate,
)

GOOD = {
    "schema_version": 2,
    "kind": "deployment",
    "name": "drafting",
    "model": "m",
    "version": "1",
    "manifest": "a" * 64,
}


def checked(**changes):
    body = json.dumps({**GOOD, **changes}).encode()
    return validate("deployment", "drafting", body)


def test_good_record_gives_its_schema_version():
    assert checked() == 2


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
def test_faults_name_their_field(field, changes):
    found = checked(**changes)
    assert isinstance(found, InvalidRecord)
    assert found.field == field


def test_broken_json_is_typed():
    found = validate("deployment", "drafting", b"\xff{")
    assert isinstance(found, InvalidRecord)


def test_record_from_the_future_leaves_targets_alone():
    target = control_pb2.Announcement(id="a", role="drafting")
    record = records_pb2.Record(
        kind="deployment", name="x", schema_version=9, body=b"{}", revision=5
    )
    assert deployment_for(target, [record]) == UnsupportedSchema(9)


def test_newest_matching_record_wins():
    target = control_pb2.Announcement(id="a", role="drafting")
    records = [
        records_pb2.Record(
            kind="deployment",
            name=f"d{revision}",
            schema_version=2,
            revision=revision,
            body=json.dumps(
                {**GOOD, "name": f"d{revision}", "targets": {"roles": [role]}}
            ).encode(),
        )
        for revision, role in ((3, "drafting"), (7, "drafting"), (9, "other"))
    ]
    assert deployment_for(target, records).name == "d7"
