"""Validation of records and conversion from every schema version.

A record is stored as the operator wrote it and converted when it is read, so
that no field is lost between versions, not even one unknown to this process.
"""

import dataclasses
import json
import re
from typing import Any

from google.protobuf import json_format

from damaskcroft._generated import records_pb2

CURRENT_SCHEMA_VERSION = 2

_DIGEST = re.compile(r"[0-9a-f]{64}")
_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
_POLICY_BY_NAME = {
    "fewest_origin_bytes": "FEWEST_ORIGIN_BYTES",
    "least_time": "LEAST_TIME",
}
_DEFAULT_MAX_OUT = 1
_DEFAULT_ORIGIN_COPIES_CAP = 4.0
_ENVELOPE_FIELDS = ("schema_version", "kind", "name")
_KINDS = ("deployment", "drain")


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidRecord:
    """The first fault of an invalid record.

    Attributes:
        field: dotted path of the field at fault.
        reason: description of the fault for operators.
    """

    field: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class UnsupportedSchema:
    """A record of a newer schema; the process keeps its current state."""

    schema_version: int


def validate(kind: str, name: str, body: bytes) -> int | InvalidRecord:
    """Checks a record before it is accepted.

    Returns:
        The record's schema version, or the first fault.
    """
    try:
        document = json.loads(body)
    except (UnicodeDecodeError, json.JSONDecodeError) as error:
        return InvalidRecord("", f"not valid JSON: {error}")
    if not isinstance(document, dict):
        return InvalidRecord("", "the record must be a JSON object")
    version = document.get("schema_version")
    if type(version) is not int or version < 1:
        return InvalidRecord("schema_version", "must be a positive integer")
    if kind not in _KINDS or document.get("kind") != kind:
        return InvalidRecord("kind", f"must be one of {', '.join(_KINDS)}")
    if not _NAME.fullmatch(name) or document.get("name") != name:
        return InvalidRecord(
            "name", "must be lower-case letters, digits, '.', '_' or '-'"
        )
    if kind == "drain":
        return version
    record = records_pb2.Record(schema_version=version, body=body)
    parsed = parse_deployment(record)
    if isinstance(parsed, UnsupportedSchema):
        return InvalidRecord(
            "schema_version",
            f"{version} is newer than {CURRENT_SCHEMA_VERSION}",
        )
    if isinstance(parsed, InvalidRecord):
        return parsed
    return version


def parse_deployment(
    record: records_pb2.Record,
) -> records_pb2.Deployment | InvalidRecord | UnsupportedSchema:
    """Reads a deployment record of any known schema version."""
    if record.schema_version > CURRENT_SCHEMA_VERSION:
        return UnsupportedSchema(record.schema_version)
    document = json.loads(record.body)
    if record.schema_version == 1:
        document = _convert_version_1(document)
    return _parse_version_2(document)


def _convert_version_1(document: dict[str, Any]) -> dict[str, Any]:
    """Converts a version 1 document, which has one role and no burst policy."""
    roles = [document["role"]] if "role" in document else []
    rollout = {"max_out": document.get("max_out", _DEFAULT_MAX_OUT)}
    shared = {
        key: value
        for key, value in document.items()
        if key not in ("role", "max_out")
    }
    return {**shared, "targets": {"roles": roles}, "rollout": rollout}


def _parse_version_2(
    document: dict[str, Any],
) -> records_pb2.Deployment | InvalidRecord:
    fields = {
        key: value
        for key, value in document.items()
        if key not in ("rollout", "burst", *_ENVELOPE_FIELDS)
    }
    for section in ("rollout", "burst"):
        inner = document.get(section, {})
        if not isinstance(inner, dict):
            return InvalidRecord(section, "must be an object")
        fields.update(inner)
    policy = fields.pop("policy", "fewest_origin_bytes")
    if policy not in _POLICY_BY_NAME:
        names = ", ".join(_POLICY_BY_NAME)
        return InvalidRecord("burst.policy", f"must be one of {names}")
    fields["policy"] = _POLICY_BY_NAME[policy]
    fields["name"] = document.get("name", "")
    fields.setdefault("max_out", _DEFAULT_MAX_OUT)
    fields.setdefault("origin_copies_cap", _DEFAULT_ORIGIN_COPIES_CAP)
    deployment = records_pb2.Deployment()
    try:
        json_format.ParseDict(fields, deployment, ignore_unknown_fields=True)
    except json_format.ParseError as error:
        return InvalidRecord("", str(error))
    return _validated(deployment)


def _validated(
    deployment: records_pb2.Deployment,
) -> records_pb2.Deployment | InvalidRecord:
    if not deployment.model:
        return InvalidRecord("model", "missing")
    if not deployment.version:
        return InvalidRecord("version", "missing")
    if not _DIGEST.fullmatch(deployment.manifest):
        return InvalidRecord("manifest", "must be 64 hex digits")
    if deployment.max_out < 1:
        return InvalidRecord("rollout.max_out", "must be at least 1")
    if deployment.origin_copies_cap < 1:
        return InvalidRecord("burst.origin_copies_cap", "must be at least 1")
    return deployment
