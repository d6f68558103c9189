"""Stateful fuzzing of concurrent and repeated writes in both schemas.

The oracle is a map from name to revision and body.
"""

import json

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from damaskcroft._generated import control_pb2, records_pb2
from damaskcroft.control._state import ControlState
from damaskcroft.records import parse_deployment

names = st.sampled_from(["drafting", "alerts"])


def body(name, schema_version, version):
    document = {
        "schema_version": schema_version,
        "kind": "deployment",
        "name": name,
        "model": "m",
        "version": version,
        "manifest": "a" * 64,
        "x-unknown": {"kept": version},
    }
    if schema_version == 1:
        document["role"] = "drafting"
    else:
        document["targets"] = {"roles": ["drafting"]}
    return json.dumps(document).encode()


class RecordsMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.state = ControlState(1000, 1000)
        self.index = 0
        self.oracle = {}
        self.sent = []
        self.serial = 0

    def apply(self, request):
        self.index += 1
        command = control_pb2.Command(write=request)
        return self.state.apply(self.index, command.SerializeToString())

    @rule(
        name=names,
        schema_version=st.sampled_from([1, 2]),
        stale=st.integers(0, 2),
        withdraw=st.booleans(),
    )
    def write(self, name, schema_version, stale, withdraw):
        self.serial += 1
        held = self.oracle.get(name, (0, b""))[0]
        expected = max(0, held - stale)
        request = control_pb2.WriteRequest(
            request_id=f"r{self.serial}",
            kind="deployment",
            name=name,
            expected_revision=expected,
            withdraw=withdraw,
        )
        if not withdraw:
            request.body = body(name, schema_version, f"v{self.serial}")
        reply = self.apply(request)
        self.sent.append((request, reply.SerializeToString()))
        wins = expected == held and not (withdraw and not held)
        if not wins:
            assert reply.outcome == control_pb2.WRITE_CONFLICT
            if held:
                assert reply.record.revision == held
                assert reply.record.body == self.oracle[name][1]
            return
        assert reply.outcome == control_pb2.WRITE_ACCEPTED
        if withdraw:
            del self.oracle[name]
        else:
            self.oracle[name] = (self.index, request.body)

    @rule(back=st.integers(0, 5))
    def resend(self, back):
        """A repeated request id gets the first reply and changes nothing."""
        if back < len(self.sent):
            request, first = self.sent[-1 - back]
            assert self.apply(request).SerializeToString() == first

    @rule()
    def restart_from_snapshot(self):
        copy = ControlState(1000, 1000)
        copy.restore(self.state.snapshot())
        assert copy.snapshot() == self.state.snapshot()
        assert copy.config_revision == self.state.config_revision
        self.state = copy

    @invariant()
    def registry_equals_oracle(self):
        live = {
            record.name: (record.revision, record.body)
            for record in self.state.records.records_by_key.values()
            if not record.withdrawn
        }
        assert live == self.oracle

    @invariant()
    def both_schemas_mean_the_same(self):
        for record in self.state.records.records_by_key.values():
            parsed = parse_deployment(record)
            assert isinstance(parsed, records_pb2.Deployment)
            assert list(parsed.targets.roles) == ["drafting"]
            assert parsed.max_out == 1


TestFuzzRecords = RecordsMachine.TestCase
