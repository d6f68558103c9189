"""Records in the form written by operators, for tests."""

import json

from damaskcroft._generated import records_pb2


def deployment_record(version="1", revision=1, *, withdrawn=False):
    """Returns a deployment of the model "draft" to every model target."""
    body = {
        "schema_version": 2,
        "kind": "deployment",
        "name": "drafting",
        "model": "draft",
        "version": version,
        "manifest": version * 64,
        "targets": {},
        "rollout": {"floor": 1, "max_out": 1},
    }
    return records_pb2.Record(
        kind="deployment",
        name="drafting",
        schema_version=2,
        body=json.dumps(body).encode(),
        revision=revision,
        withdrawn=withdrawn,
    )
