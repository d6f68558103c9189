"""The book of records: one part of the replicated state."""

from collections.abc import Iterable

from damaskcroft._generated import control_pb2, records_pb2
from damaskcroft.records._shapes import InvalidRecord, validate

# An operator who lost an answer resends within this time.
_KEPT_WRITE_MS = 24 * 3600 * 1000


class RecordBook:
    """Records by kind and name, and the first answer to every write.

    Withdrawn records stay as tombstones, so that a process that was away can
    be told of the withdrawal by revision.
    """

    __slots__ = ("_kept_by_request_id", "records_by_key", "revision")

    def __init__(self) -> None:
        """Creates an empty book."""
        self.records_by_key: dict[tuple[str, str], records_pb2.Record] = {}
        self._kept_by_request_id: dict[str, control_pb2.KeptWrite] = {}
        self.revision = 0

    def apply(
        self, index: int, time_ms: int, request: control_pb2.WriteRequest
    ) -> control_pb2.WriteReply:
        """Carries out one committed write.

        Args:
            index: its log index, the revision of what it changes.
            time_ms: log time.
            request: the operator's write.

        Returns:
            The first answer given to this request id.
        """
        kept = self._kept_by_request_id.get(request.request_id)
        if kept is not None:
            return kept.reply
        reply = self._write(index, request)
        self._kept_by_request_id[request.request_id] = control_pb2.KeptWrite(
            request_id=request.request_id, reply=reply, changed_ms=time_ms
        )
        self._forget_before(time_ms - _KEPT_WRITE_MS)
        return reply

    def changed_since(self, revision: int) -> list[records_pb2.Record]:
        """Records changed after a revision, tombstones included."""
        return [
            record
            for record in self.records_by_key.values()
            if record.revision > revision
        ]

    def kept_writes(self) -> list[control_pb2.KeptWrite]:
        """All kept answers, for a snapshot."""
        return list(self._kept_by_request_id.values())

    def restore(
        self,
        records: Iterable[records_pb2.Record],
        kept_writes: Iterable[control_pb2.KeptWrite],
    ) -> None:
        """Replaces the content by a snapshot's."""
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

    def _forget_before(self, time_ms: int) -> None:
        # Kept in order of time, so the oldest stand first.
        while self._kept_by_request_id:
            request_id, kept = next(iter(self._kept_by_request_id.items()))
            if kept.changed_ms >= time_ms:
                return
            del self._kept_by_request_id[request_id]
