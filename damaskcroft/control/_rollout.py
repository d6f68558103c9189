"""Which targets of one deployment get the new version next."""

import dataclasses

from damaskcroft._generated import control_pb2, records_pb2

# A target that its agent has not reached for so long holds the rollout up no
# more. Longer than a target of the stand-ins takes to be started again, and
# than one state call may last (5 s), so that one that is slow for a moment is
# not skipped: two would then be out where one may be.
_SKIPPED_AFTER_MS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class Wave:
    """The next targets to change.

    Attributes:
        targets: to be assigned now; may be empty.
        stopped_by: why the rollout must not go on, or empty.
        waits_for: what holds up targets that are changing now, by target id.
        skipped: targets that the rollout goes on without, since they can't
            be reached; they follow their assignment when they are back.
    """

    targets: list[control_pb2.Announcement]
    stopped_by: str = ""
    waits_for: dict[str, control_pb2.HeldUpBy] = dataclasses.field(
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

    At most `max_out` targets are between versions at once, and never so many
    that fewer than `floor` serve. Until the first target serves the new
    version, one at a time is tried, so that a version that fails to load
    stops at its first target. A target that can't be reached counts neither
    as serving nor as changing: it is out already, and standing still until
    somebody mends it would keep all others from the version.

    Args:
        deployment: what the targets should serve.
        targets: those with a lease that the deployment matches.
        assignments_by_target: what each was last ordered to serve.
        reports_by_id: what each says of itself now.
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
    skipped = [report.id for report in changing if _is_out_of_reach(report)]
    waits_for = {
        report.id: report.held_up_by
        for report in changing
        if not _is_out_of_reach(report)
    }
    proven = any(_serves(report, manifest) for report in reports)
    serving = sum(1 for report in reports if _is_in_service(report))
    room = (deployment.max_out if proven else 1) - len(waits_for)
    spare = serving - deployment.floor
    chosen: list[control_pb2.Announcement] = []
    for target, report in zip(targets, reports, strict=True):
        if _is_assigned(target.id, manifest, assignments_by_target):
            continue
        if report.staged_manifest != manifest:
            continue
        in_service = _is_in_service(report)
        if in_service and (room <= 0 or spare <= 0):
            continue
        # A target that serves nothing takes nothing out of service, but
        # waits for the first success like all others.
        if not in_service and not proven and room <= 0:
            continue
        chosen.append(target)
        room -= 1
        spare -= 1 if in_service else 0
    return Wave(chosen, waits_for=waits_for, skipped=skipped)


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
    return serves and not _is_out_of_reach(report)


def _is_out_of_reach(report: control_pb2.TargetReport) -> bool:
    return (
        report.held_up_by == control_pb2.HELD_UP_TARGET_UNREACHABLE
        and report.held_up_ms >= _SKIPPED_AFTER_MS
    )
