"""Formats replies as tables for people and as JSON for scripts."""

import json
from collections.abc import Sequence

from google.protobuf import json_format

from damaskcroft._generated import (
    control_pb2,
    limits_pb2,
    quarantine_pb2,
    records_pb2,
)
from damaskcroft.membership import held_up_reason
from damaskcroft.quarantine import part_names
from damaskcroft.records import InvalidRecord, deployment_for, parse_deployment

_MS_PER_S = 1000


def table(headings: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Returns a text table with columns as wide as their content."""
    lines = [list(headings), *[list(row) for row in rows]]
    widths = [max(len(line[i]) for line in lines) for i in range(len(headings))]
    return "\n".join(
        "  ".join(
            cell.ljust(w) for cell, w in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def record_json(record: records_pb2.Record) -> str:
    """Returns a record as it was written, with its revision."""
    document = json.loads(record.body)
    document["revision"] = record.revision
    document["withdrawn"] = record.withdrawn
    return json.dumps(document, indent=2)


def reply_json(reply: control_pb2.ReadReply) -> str:
    """Returns the whole reply as JSON."""
    return json_format.MessageToJson(reply, preserving_proto_field_name=True)


def records_table(reply: control_pb2.ReadReply) -> str:
    """Returns a table of all records."""
    rows = [
        [
            record.kind,
            record.name,
            str(record.schema_version),
            str(record.revision),
            "withdrawn" if record.withdrawn else "",
            record.operator,
        ]
        for record in reply.records
    ]
    headings = ["KIND", "NAME", "SCHEMA", "REVISION", "STATE", "OPERATOR"]
    return table(headings, sorted(rows))


def quarantine_table(reply: quarantine_pb2.QuarantineReply) -> str:
    """Returns a table of requests refused because targets crashed on them."""
    rows = [
        [
            request.fingerprint.hex() or part_names(request.parts),
            f"{request.left_s:.0f}",
            str(len(request.start_ids)),
            ",".join(request.start_ids),
            request.customer,
        ]
        for request in reply.requests
    ]
    headings = ["FINGERPRINT_OR_PARTS", "LEFT_S", "CRASHES", "TARGETS"]
    return table([*headings, "ONLY_OF_CUSTOMER"], rows)


def limits_table(reply: limits_pb2.LimitsReply) -> str:
    """Returns a table of the rate limits that targets announce."""
    rows = [[limit.start_id, f"{limit.rate_s:g}"] for limit in reply.limits]
    return table(["TARGET", "REQUESTS_S"], sorted(rows))


def status_text(reply: control_pb2.ReadReply) -> str:
    """Returns the leader, the progress of the revision and all holders."""
    behind = [
        holder
        for holder in reply.holders
        if holder.applied_revision < reply.revision
    ]
    lapsed = [holder for holder in behind if not holder.lease_held]
    acknowledged = len(reply.holders) - len(behind)
    first = (
        f"leader {reply.leader} term {reply.term} revision {reply.revision}: "
        f"{acknowledged} acknowledged, {len(behind) - len(lapsed)} behind, "
        f"{len(lapsed)} lapsed"
    )
    rows = [_holder_row(holder) for holder in reply.holders]
    headings = [
        "HOLDER", "ROLE", "DOMAIN", "LEASE", "PHASE", "SERVES", "CHUNKS",
        "ORIGIN", "STORE", "PEERS", "SENT",
    ]  # fmt: skip
    return first + "\n" + table(headings, sorted(rows))


def explain_target(reply: control_pb2.ReadReply, target_id: str) -> list[str]:
    """Explains why a target serves its current version."""
    holders_by_id = {h.announcement.id: h for h in reply.holders}
    holder = holders_by_id.get(target_id)
    if holder is None:
        return [f"{target_id} has never announced itself"]
    report = holder.report
    lines = [f"serves {report.version or 'nothing'}"]
    if not holder.lease_held:
        lines.append(
            f"its lease has lapsed: silent since {holder.silent_s:.1f} s"
        )
    if report.draining:
        lines.append("it is draining: it takes no new work")
    deployment = deployment_for(holder.announcement, reply.records)
    if not isinstance(deployment, records_pb2.Deployment):
        lines.append("no record that this program can read asks for it")
        return lines
    lines.append(f"record {deployment.name} asks for {deployment.version}")
    if report.manifest == deployment.manifest:
        lines.append("it serves what the record asks for")
        return lines
    lines += _explain_missing(reply, holder, deployment)
    lines += [f"event: {e}" for e in reply.events if target_id in e][-5:]
    return lines


def describe_fault(fault: InvalidRecord) -> str:
    """Returns a record's fault with its field."""
    return f"{fault.field or 'record'}: {fault.reason}"


def readable_deployment(
    record: records_pb2.Record,
) -> records_pb2.Deployment | None:
    """Returns a record's deployment; None if it is none or can't be parsed."""
    if record.kind != "deployment":
        return None
    result = parse_deployment(record)
    return result if isinstance(result, records_pb2.Deployment) else None


def _holder_row(holder: control_pb2.HolderStatus) -> list[str]:
    report, burst = holder.report, holder.report.burst
    announcement = holder.announcement
    is_agent = announcement.kind == control_pb2.HOLDER_AGENT
    return [
        announcement.id,
        announcement.role or "entry",
        announcement.failure_domain,
        "held" if holder.lease_held else f"lapsed {holder.silent_s:.0f}s",
        _format_phase(report) if is_agent else "",
        report.version,
        f"{burst.chunks_held}/{burst.chunks_total}" if is_agent else "",
        _format_mib(burst.origin_bytes),
        _format_mib(burst.store_bytes),
        _format_mib(burst.peer_bytes),
        _format_mib(burst.sent_bytes),
    ]


def _format_phase(report: control_pb2.TargetReport) -> str:
    """Returns the phase, and what has blocked the order for over a second."""
    phase = control_pb2.Phase.Name(report.phase).removeprefix("PHASE_").lower()
    if report.held_up_ms < _MS_PER_S:
        return phase
    return (
        f"{phase} ({held_up_reason(report.held_up_by)}"
        f" {_format_held_up_time(report)})"
    )


def _format_held_up_time(report: control_pb2.TargetReport) -> str:
    return f"{report.held_up_ms / _MS_PER_S:.0f}s"


def _format_mib(size_bytes: int) -> str:
    return f"{size_bytes / 2**20:.1f}M" if size_bytes else ""


def _explain_missing(
    reply: control_pb2.ReadReply,
    holder: control_pb2.HolderStatus,
    deployment: records_pb2.Deployment,
) -> list[str]:
    report, burst = holder.report, holder.report.burst
    lines = []
    if report.held_up_ms:
        reason = held_up_reason(report.held_up_by)
        lines.append(
            f"its order is held up: {reason} for {_format_held_up_time(report)}"
        )
    if report.failure:
        lines.append(f"the target refused or failed: {report.failure}")
    if report.staged_manifest != deployment.manifest:
        lines.append(
            f"weights are on their way: {burst.chunks_held} of "
            f"{burst.chunks_total} chunks"
        )
        return lines
    assigned = {a.target: a for a in reply.assignments}.get(report.id)
    if assigned is None or assigned.manifest != deployment.manifest:
        lines.append("weights are here; its turn in the rollout has not come")
    else:
        lines.append(
            f"ordered with fencing number {assigned.fencing}; loading, or "
            f"waiting for {report.outstanding} running requests"
        )
    return lines
