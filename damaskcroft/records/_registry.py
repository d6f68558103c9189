"""The registry of records, a part of the replicated state."""

from collections.abc import Iterable

from damaskcroft._generated import control_pb2, records_pb2
from damaskcroft.records._shapes import InvalidRecord, validate

# An operator who lost the answer to a write resends it within this time.
_WRITE_RETENTION_MS = 24 * 3600 * 1000


class RecordRegistry:
    """Records by kind and name, and the first reply to every recent write.

    Withdrawn records remain as tombstones, so that a process that was
    disconnected receives the withdrawal among the changes since its revision.
    """

    __slots__ = ("_kept_by_request_id", "records_by_key", "revision")

    def __init__(self) -> None:
        """Creates an empty registry."""
        self.records_by_key: dict[tuple[str, str], records_pb2.Record] = {}
        self._kept_by_request_id: dict[str, control_pb2.KeptWrite] = {}
        self.revision = 0

    def apply(
        self, index: int, time_ms: int, request: control_pb2.WriteRequest
    ) -> control_pb2.WriteReply:
        """Applies one committed write.

        Args:
            index: the log index, which becomes the revision of the record.
            time_ms: log time.
            request: the operator's write.

        Returns:
            The first reply given to this request id.
        """
        kept = self._kept_by_request_id.get(request.request_id)
        if kept is not None:
            return kept.reply
        reply = self._write(index, request)
        self._kept_by_request_id[request.request_id] = control_pb2.KeptWrite(
            request_id=request.request_id, reply=reply, changed_ms=time_ms
        )
        self._expire_writes(time_ms - _WRITE_RETENTION_MS)
        return reply

    def changed_since(self, revision: int) -> list[records_pb2.Record]:
        """Records changed after a revision, including tombstones."""
        return [
            record
            for record in self.records_by_key.values()
            if record.revision > revision
        ]

    def kept_writes(self) -> list[control_pb2.KeptWrite]:
        """Returns all stored replies to writes, for a snapshot."""
        return list(self._kept_by_request_id.values())

    def restore(
        self,
        records: Iterable[records_pb2.Record],
        kept_writes: Iterable[control_pb2.KeptWrite],
    ) -> None:
        """Replaces all records and replies by those of a snapshot."""
        self.records_by_key = {(r.kind, r.name): r for r in records}
        self._kept_by_request_id = {k.request_id: k for k in kept_writes}
        revisions = [r.revision for r in self.records_by_key.values()]
        self.revision = max(revisions, default=0)

    def _write(
        self, index: int, request: control_pb2.WriteRequest
    ) -> control_pb2.WriteReply:
        key = (request.kind, request.name)
        current = self.records_by_key.get(key)
        current_revision = 0
        if current is not None and not current.withdrawn:
            current_revision = current.revision
        if request.expected_revision != current_revision:
            return control_pb2.WriteReply(
                outcome=control_pb2.WRITE_CONFLICT, record=current
            )
        record = records_pb2.Record(
            kind=request.kind,
            name=request.name,
            revision=index,
            operator=request.operator,
        )
        if request.withdraw:
            if current is None or current.withdrawn:
                return control_pb2.WriteReply(
                    outcome=control_pb2.WRITE_CONFLICT, record=current
                )
            record.body = current.body
            record.schema_version = current.schema_version
            record.withdrawn = True
        else:
            version = validate(request.kind, request.name, request.body)
            if isinstance(version, InvalidRecord):
                return control_pb2.WriteReply(
                    outcome=control_pb2.WRITE_INVALID,
                    field=version.field,
                    reason=version.reason,
                )
            record.body = request.body
            record.schema_version = version
        self.records_by_key[key] = record
        self.revision = index
        return control_pb2.WriteReply(
            outcome=control_pb2.WRITE_ACCEPTED, record=record
        )

    def _expire_writes(self, time_ms: int) -> None:
        # Ordered by time, oldest first.
        while self._kept_by_request_id:
            request_id, kept = next(iter(self._kept_by_request_id.items()))
            if kept.changed_ms >= time_ms:
                return
            del self._kept_by_request_id[request_id]
