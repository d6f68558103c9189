"""The replicated state machine of records, holders, assignments and claims."""

from typing import Any

from damaskcroft._generated import control_pb2
from damaskcroft.claims import ClaimTable
from damaskcroft.consensus import StateMachine
from damaskcroft.membership import HolderTable
from damaskcroft.records import RecordRegistry


class ControlState(StateMachine):
    """State built from the commands of the log; equal on every replica.

    Args:
        claim_kept_ms: how long settled claims are kept, in log time.
        claims_per_customer: maximum number of claims of one customer.
    """

    def __init__(self, claim_kept_ms: int, claims_per_customer: int):
        """Creates the empty state; the arguments bound its claim table."""
        self.records = RecordRegistry()
        self.holders = HolderTable()
        self.claims = ClaimTable(claim_kept_ms, claims_per_customer)
        self.assignments_by_target: dict[str, control_pb2.Assignment] = {}
        self.time_ms = 0
        self._assignment_revision = 0

    @property
    def config_revision(self) -> int:
        """Log index of the last change of the configuration.

        Claims advance the log but not this revision.
        """
        return max(
            self.records.revision,
            self.holders.revision,
            self._assignment_revision,
        )

    def apply(self, index: int, command: bytes) -> Any:
        """Applies one command and returns the reply of its kind."""
        parsed = control_pb2.Command.FromString(command)
        self.time_ms = max(self.time_ms, parsed.time_ms)
        match parsed.WhichOneof("kind"):
            case "write":
                return self.records.apply(index, self.time_ms, parsed.write)
            case "announce":
                return self.holders.apply(index, parsed.announce)
            case "assign":
                return self._assign(index, parsed.assign)
            case "claim":
                return self.claims.claim(index, self.time_ms, parsed.claim)
            case "settle":
                return self.claims.settle(self.time_ms, parsed.settle)
        return None

    def snapshot(self) -> bytes:
        """Serializes the whole state, byte for byte equal on all replicas."""
        image = control_pb2.StateImage(
            revision=self._assignment_revision,
            time_ms=self.time_ms,
            records=self.records.records_by_key.values(),
            holders=self.holders.holders_by_id.values(),
            assignments=self.assignments_by_target.values(),
            claims=self.claims.image(),
            writes=self.records.kept_writes(),
        )
        return image.SerializeToString(deterministic=True)

    def restore(self, state: bytes) -> None:
        """Replaces the state by that of a snapshot."""
        image = control_pb2.StateImage.FromString(state)
        self.time_ms = image.time_ms
        self._assignment_revision = image.revision
        self.records.restore(image.records, image.writes)
        self.holders.restore(image.holders)
        self.claims.restore(image.claims)
        self.assignments_by_target = {a.target: a for a in image.assignments}

    def delta_since(self, revision: int) -> control_pb2.RosterDelta:
        """All parts of the configuration that changed after a revision."""
        return control_pb2.RosterDelta(
            from_revision=revision,
            to_revision=self.config_revision,
            snapshot=revision == 0,
            records=self.records.changed_since(revision),
            holders=self.holders.changed_since(revision),
            assignments=[
                assignment
                for assignment in self.assignments_by_target.values()
                if assignment.fencing > revision
            ],
        )

    def _assign(self, index: int, batch: control_pb2.AssignBatch) -> None:
        for assignment in batch.assignments:
            stored = control_pb2.Assignment()
            stored.CopyFrom(assignment)
            stored.fencing = index
            self.assignments_by_target[stored.target] = stored
        self._assignment_revision = index
