"""Selection of the deployment of a target, equal in every process."""

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
    """Whether a selector matches a target; empty lists match all."""
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
    """Returns the deployment that a target should serve: the newest match.

    Returns:
        The deployment; None when no record matches; UnsupportedSchema when the
        schema of some record is newer than this process, so that it might
        match the target and the process must leave the target unchanged.
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


def deployed_models(records: Iterable[records_pb2.Record]) -> set[str]:
    """Returns the models of all readable deployments that are in force."""
    models = set()
    for record in records:
        if record.kind != "deployment" or record.withdrawn:
            continue
        parsed = parse_deployment(record)
        if not isinstance(parsed, UnsupportedSchema | InvalidRecord):
            models.add(parsed.model)
    return models
