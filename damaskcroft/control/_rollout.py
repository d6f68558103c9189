"""Chooses the next targets in the rolling update of a deployment."""

import dataclasses

from damaskcroft._generated import control_pb2, records_pb2

# The rollout stops waiting for a target that its agent has not reached for this
# long. It is longer than a restart of a stand-in target and than one state call
# may take (5 s). Otherwise a target that is slow for a moment would be skipped,
# and two targets would be out of service where `max_out` allows one.
_SKIP_UNREACHABLE_AFTER_MS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class Wave:
    """The next targets to change, and the state of the ones before.

    Attributes:
        targets: targets to assign now; may be empty.
        stopped_by: why the rollout must not continue, or empty.
        held_up_by_target: what delays each target that is changing now, by
            target id.
        skipped: ids of unreachable targets, for which the rollout does not
            wait; they follow their assignment once they are reachable.
    """

    targets: list[control_pb2.Announcement]
    stopped_by: str = ""
    held_up_by_target: dict[str, control_pb2.HeldUpBy] = dataclasses.field(
        default_factory=dict
    )
    skipped: list[str] = dataclasses.field(default_factory=list)


def next_wave(
    deployment: records_pb2.Deployment,
    targets: list[control_pb2.Announcement],
    assignments_by_target: dict[str, control_pb2.Assignment],
    reports_by_id: dict[str, control_pb2.TargetReport],
) -> Wave:
    """Chooses targets within the deployment's bounds.

    At most `max_out` targets change their version at once, and at least
    `floor` targets remain in service. Until the first target serves the new
    version, only one is tried at a time, so that a version that fails to load
    affects a single target. An unreachable target counts neither as serving
    nor as changing: it is out of service already, and waiting for its repair
    would keep the version from all others.

    Args:
        deployment: the deployment that the targets should serve.
        targets: targets with a lease that the deployment matches.
        assignments_by_target: the last assignment of each target.
        reports_by_id: the newest report of each target.
    """
    manifest = deployment.manifest
    reports = [
        reports_by_id.get(target.id, control_pb2.TargetReport())
        for target in targets
    ]
    failed = [
        report.id
        for report in reports
        if report.phase == control_pb2.PHASE_FAILED
        and _is_assigned(report.id, manifest, assignments_by_target)
    ]
    if failed:
        return Wave([], f"failed to load on {', '.join(sorted(failed))}")
    changing = [
        report
        for target, report in zip(targets, reports, strict=True)
        if _is_assigned(target.id, manifest, assignments_by_target)
        and report.manifest != manifest
    ]
    skipped = [report.id for report in changing if _is_unreachable(report)]
    held_up_by_target = {
        report.id: report.held_up_by
        for report in changing
        if not _is_unreachable(report)
    }
    is_proven = any(_serves(report, manifest) for report in reports)
    serving = sum(1 for report in reports if _is_in_service(report))
    free_slots = (deployment.max_out if is_proven else 1) - len(
        held_up_by_target
    )
    surplus = serving - deployment.floor
    chosen: list[control_pb2.Announcement] = []
    for target, report in zip(targets, reports, strict=True):
        if _is_assigned(target.id, manifest, assignments_by_target):
            continue
        if report.staged_manifest != manifest:
            continue
        in_service = _is_in_service(report)
        if in_service and (free_slots <= 0 or surplus <= 0):
            continue
        # Changing a target that is not in service removes no capacity. It
        # still waits until the first target serves the new version.
        if not in_service and not is_proven and free_slots <= 0:
            continue
        chosen.append(target)
        free_slots -= 1
        surplus -= 1 if in_service else 0
    return Wave(chosen, held_up_by_target=held_up_by_target, skipped=skipped)


def _is_assigned(
    target_id: str,
    manifest: str,
    assignments_by_target: dict[str, control_pb2.Assignment],
) -> bool:
    assigned = assignments_by_target.get(target_id)
    return assigned is not None and assigned.manifest == manifest


def _serves(report: control_pb2.TargetReport, manifest: str) -> bool:
    return (
        report.phase == control_pb2.PHASE_SERVING
        and report.manifest == manifest
    )


def _is_in_service(report: control_pb2.TargetReport) -> bool:
    serves = bool(report.manifest) and not report.draining
    return serves and not _is_unreachable(report)


def _is_unreachable(report: control_pb2.TargetReport) -> bool:
    return (
        report.held_up_by == control_pb2.HELD_UP_TARGET_UNREACHABLE
        and report.held_up_ms >= _SKIP_UNREACHABLE_AFTER_MS
    )
