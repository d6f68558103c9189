"""Which targets a record speaks of; the same answer in every process."""

from collections.abc import Iterable

from damaskcroft._generated import control_pb2, records_pb2
from damaskcroft.records._shapes import (
    InvalidRecord,
    UnsupportedSchema,
    parse_deployment,
)


def matches(
    selector: records_pb2.TargetSelector, target: control_pb2.Announcement
) -> bool:
    """Whether a selector admits a target; empty lists admit all."""
    if target.service:
        # Plain services hold no weights.
        return False
    if selector.roles and target.role not in selector.roles:
        return False
    domains = selector.failure_domains
    if domains and target.failure_domain not in domains:
        return False
    return not selector.names or target.id in selector.names


def deployment_for(
    target: control_pb2.Announcement, records: Iterable[records_pb2.Record]
) -> records_pb2.Deployment | UnsupportedSchema | None:
    """The deployment that a target should serve: the newest that matches.

    Returns:
        The deployment; None when no record matches; UnsupportedSchema when a
        record newer than this process could speak of the target, so that the
        process must leave the target as it is.
    """
    newest: records_pb2.Deployment | None = None
    newest_revision = 0
    for record in records:
        if record.kind != "deployment" or record.withdrawn:
            continue
        parsed = parse_deployment(record)
        if isinstance(parsed, UnsupportedSchema):
            return parsed
        if isinstance(parsed, InvalidRecord):
            continue
        if record.revision <= newest_revision:
            continue
        if matches(parsed.targets, target):
            newest, newest_revision = parsed, record.revision
    return newest


def models_on_record(records: Iterable[records_pb2.Record]) -> set[str]:
    """Models that some deployment in force names."""
    models = set()
    for record in records:
        if record.kind != "deployment" or record.withdrawn:
            continue
        parsed = parse_deployment(record)
        if not isinstance(parsed, UnsupportedSchema | InvalidRecord):
            models.add(parsed.model)
    return models
