"""The leader's reconciliation loop, which assigns versions to targets.

Each round is idempotent: it depends only on the replicated state and on the
current reports of agents, so that a new leader continues where the last one
stopped.
"""

import asyncio
import collections
import contextlib
from collections.abc import Iterator

from damaskcroft._generated import control_pb2, records_pb2
from damaskcroft.clock import now_s
from damaskcroft.consensus import Committed
from damaskcroft.control._proposer import Proposer
from damaskcroft.control._rollout import next_wave
from damaskcroft.control._rollout_wait_reporter import RolloutWaitReporter
from damaskcroft.membership import LeaseLedger
from damaskcroft.observe import log_event, metrics
from damaskcroft.records import UnsupportedSchema, deployment_for

_MAX_ROUND_INTERVAL_S = 0.25
_COMMIT_TIMEOUT_S = 5.0
_MAX_RECENT_EVENTS = 100
_IN_FORCE_POLL_S = 0.02
_IN_FORCE_TIMEOUT_S = 60.0


class Reconciler:
    """Assigns targets so that they come to serve what the records state."""

    def __init__(self, proposer: Proposer, ledger: LeaseLedger):
        """Assigns targets with a lease in `ledger` through `proposer`."""
        self._proposer = proposer
        self._state = proposer.state
        self._replica = proposer.replica
        self._ledger = ledger
        self.recent_events: collections.deque[str] = collections.deque(
            maxlen=_MAX_RECENT_EVENTS
        )
        self._measurements: set[asyncio.Task] = set()
        self._stop_reason_by_deployment: dict[str, str] = {}
        self._wait_reporter = RolloutWaitReporter(self._record_event)

    async def run(self) -> None:
        """Runs rounds until cancelled; only a confirmed leader acts in them."""
        led_term = -1
        while True:
            await self._wait_for_round()
            if not self._replica.is_confirmed_leader:
                continue
            self._ledger.lead(self._replica.term)
            if led_term != self._replica.term:
                led_term = self._replica.term
                self._record_event("leads", term=led_term)
            await self._mark_lapsed()
            await self._assign_next()

    def holder_statuses(self) -> Iterator[control_pb2.HolderStatus]:
        """Yields every known holder with its lease and newest report."""
        now = now_s()
        for holder in self._state.holders.holders_by_id.values():
            status = control_pb2.HolderStatus(announcement=holder)
            entry = self._ledger.entries_by_id.get(holder.id)
            if entry is not None:
                status.lease_held = self._ledger.is_held(holder.id)
                status.applied_revision = entry.applied_revision
                status.silent_s = now - entry.heard_at
                status.report.CopyFrom(entry.report)
            yield status

    def start_measuring_in_force(self, revision: int) -> None:
        """Starts to measure how long all holders take to apply a revision."""
        task = asyncio.create_task(self._measure_in_force(revision))
        self._measurements.add(task)
        task.add_done_callback(self._measurements.discard)

    async def _measure_in_force(self, revision: int) -> None:
        started_at = now_s()
        while now_s() - started_at < _IN_FORCE_TIMEOUT_S:
            if not self._holders_behind(revision):
                took_s = now_s() - started_at
                metrics.IN_FORCE_S.observe(took_s)
                log_event("in_force", revision=revision, took_s=took_s)
                return
            await asyncio.sleep(_IN_FORCE_POLL_S)
        behind = ",".join(self._holders_behind(revision))
        log_event("not_in_force", revision=revision, behind=behind)

    def _holders_behind(self, revision: int) -> list[str]:
        """Ids of holders with a lease that have not applied a revision."""
        return [
            holder_id
            for holder_id, entry in self._ledger.entries_by_id.items()
            if self._ledger.is_held(holder_id)
            and entry.applied_revision < revision
        ]

    async def _wait_for_round(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with (
                asyncio.timeout(_MAX_ROUND_INTERVAL_S),
                self._ledger.changed,
            ):
                await self._ledger.changed.wait()

    async def _mark_lapsed(self) -> None:
        known_ids = list(self._state.holders.holders_by_id)
        lapsed = self._ledger.newly_lapsed(known_ids)
        metrics.HOLDERS_LAPSED.set(len(self._ledger.lapsed_ids))
        for holder_id in lapsed:
            self._record_event("lease_lapsed", id=holder_id)
        if lapsed:
            await self._ledger.notify()

    async def _assign_next(self) -> None:
        batch = control_pb2.AssignBatch()
        targets_by_deployment = self._targets_by_deployment()
        for deployment, targets in targets_by_deployment.values():
            wave = next_wave(
                deployment,
                targets,
                self._state.assignments_by_target,
                self._reports_by_id(),
            )
            self._report_stop(deployment.name, wave.stopped_by)
            self._wait_reporter.report_wave(deployment, wave)
            for target in wave.targets:
                batch.assignments.append(self._assignment(target, deployment))
        batch.assignments.extend(self._withdrawals())
        if not batch.assignments:
            return
        command = control_pb2.Command(assign=batch)
        outcome = await self._proposer.propose(command, _COMMIT_TIMEOUT_S)
        if not isinstance(outcome, Committed):
            return
        for assignment in batch.assignments:
            self._record_event(
                "assigned",
                target=assignment.target,
                version=assignment.version or "none",
                fencing=outcome.index,
            )
        await self._ledger.notify()

    def _targets_by_deployment(
        self,
    ) -> dict[
        str, tuple[records_pb2.Deployment, list[control_pb2.Announcement]]
    ]:
        records = self._state.records.records_by_key.values()
        grouped: dict[
            str, tuple[records_pb2.Deployment, list[control_pb2.Announcement]]
        ] = {}
        for target in self._agents_with_lease():
            matching = deployment_for(target, records)
            if matching is None or isinstance(matching, UnsupportedSchema):
                continue
            grouped.setdefault(matching.name, (matching, []))[1].append(target)
        return grouped

    def _withdrawals(self) -> Iterator[control_pb2.Assignment]:
        """Empty assignments for targets that no deployment matches any more."""
        records = self._state.records.records_by_key.values()
        for target in self._agents_with_lease():
            assigned = self._state.assignments_by_target.get(target.id)
            if assigned is None or not assigned.manifest:
                continue
            if deployment_for(target, records) is None:
                yield control_pb2.Assignment(target=target.id)

    def _agents_with_lease(self) -> list[control_pb2.Announcement]:
        return [
            holder
            for holder in self._state.holders.holders_by_id.values()
            if holder.kind == control_pb2.HOLDER_AGENT
            and self._ledger.is_held(holder.id)
        ]

    def _reports_by_id(self) -> dict[str, control_pb2.TargetReport]:
        return {
            holder_id: entry.report
            for holder_id, entry in self._ledger.entries_by_id.items()
        }

    def _assignment(
        self,
        target: control_pb2.Announcement,
        deployment: records_pb2.Deployment,
    ) -> control_pb2.Assignment:
        record = self._state.records.records_by_key[
            ("deployment", deployment.name)
        ]
        return control_pb2.Assignment(
            target=target.id,
            deployment=deployment.name,
            model=deployment.model,
            adapter=deployment.adapter,
            version=deployment.version,
            manifest=deployment.manifest,
            record_revision=record.revision,
            old_and_new_fit=deployment.old_and_new_fit,
        )

    def _report_stop(self, deployment: str, reason: str) -> None:
        previous = self._stop_reason_by_deployment.get(deployment, "")
        self._stop_reason_by_deployment[deployment] = reason
        if reason and reason != previous:
            self._record_event(
                "rollout_stopped", deployment=deployment, reason=reason
            )

    def _record_event(self, event: str, **fields: object) -> None:
        log_event(event, **fields)
        details = " ".join(f"{key}={value}" for key, value in fields.items())
        self.recent_events.append(f"{event} {details}")
