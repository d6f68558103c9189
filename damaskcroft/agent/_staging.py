"""Staging of the version that the deployment records desire."""

import asyncio

from damaskcroft._generated import control_pb2, records_pb2
from damaskcroft.membership import Roster
from damaskcroft.observe import log_event, log_warning
from damaskcroft.records import (
    UnsupportedSchema,
    deployment_for,
    matches,
)
from damaskcroft.tasks import cancelled
from damaskcroft.weights import (
    Burst,
    BurstCounts,
    BurstOptions,
    ChunkStore,
    OutsideSource,
    Pacer,
    Participant,
    PeerSource,
    WeightsError,
    help_share,
    make_planner,
    weights_path,
)

_RETRY_S = 1.0


class Stager:
    """Runs one burst at a time, for the currently desired version.

    Args:
        own: this agent's announcement.
        roster: the records and the live agents.
        store: chunk store of this agent.
        sources: outside sources.
        peers: client for requests to other agents.
        pacer: paces downloads.
        options: bounds of a burst.
        strategy: name of the planner.
        counts: byte counters.
    """

    def __init__(
        self,
        own: control_pb2.Announcement,
        roster: Roster,
        store: ChunkStore,
        sources: list[OutsideSource],
        peers: PeerSource,
        pacer: Pacer,
        options: BurstOptions,
        strategy: str,
        counts: BurstCounts,
    ):
        """Starts with no version desired or staged."""
        self._own = own
        self._roster = roster
        self._store = store
        self._sources = sources
        self._peers = peers
        self._pacer = pacer
        self._options = options
        self._strategy = strategy
        self.counts = counts
        self.staged_manifest = ""
        self.desired_manifest = ""
        self.changed = asyncio.Condition()
        self._burst: Burst | None = None

    async def run(self) -> None:
        """Stages the version that the records desire, until cancelled."""
        work: asyncio.Task | None = None
        desired: records_pb2.Deployment | None = None
        try:
            while True:
                found = self._desired()
                if found != desired:
                    desired = found
                    # Traffic of a version no longer desired stops at once.
                    await cancelled(work)
                    work = None
                    self.desired_manifest = desired.manifest if desired else ""
                    if desired is not None:
                        work = asyncio.create_task(self._stage(desired))
                    # A newer record may have arrived while the previous
                    # staging was being cancelled.
                    continue
                if desired is not None and self._burst is not None:
                    self._plan(self._burst, desired)
                async with self._roster.changed:
                    await self._roster.changed.wait()
        finally:
            await cancelled(work)

    def report(self) -> control_pb2.BurstReport:
        """Returns the progress of the currently desired version."""
        report = control_pb2.BurstReport(
            manifest=self.desired_manifest,
            origin_bytes=self.counts.origin_bytes,
            store_bytes=self.counts.store_bytes,
            peer_bytes=self.counts.peer_bytes,
            local_bytes=self.counts.local_bytes,
            sent_bytes=self.counts.sent_bytes,
            corrupt_chunks=self.counts.corrupt_chunks,
        )
        version = self._store.versions_by_digest.get(self.desired_manifest)
        if version is not None:
            report.chunks_held = version.held_count
            report.chunks_total = len(version.held)
        return report

    def _desired(self) -> records_pb2.Deployment | None:
        found = deployment_for(self._own, self._roster.records_by_key.values())
        if isinstance(found, UnsupportedSchema):
            # This process can't read the record: it keeps the last known
            # version until it is upgraded.
            return self._last_desired
        self._last_desired = found
        return found

    _last_desired: records_pb2.Deployment | None = None

    async def _stage(self, desired: records_pb2.Deployment) -> None:
        while True:
            try:
                await self._stage_once(desired)
                return
            except (WeightsError, OSError) as error:
                log_warning(
                    "staging_failed", version=desired.version, reason=error
                )
                await asyncio.sleep(_RETRY_S)

    async def _stage_once(self, desired: records_pb2.Deployment) -> None:
        burst = Burst(
            self._own.id,
            weights_path(desired.model, desired.adapter, desired.version),
            self._store,
            self._sources,
            self._peers,
            self._pacer,
            self._options,
            self.counts,
        )
        self._plan(burst, desired)
        self._burst = burst
        content = await burst.fetch_manifest(desired.manifest)
        keep = {desired.manifest, self.staged_manifest}
        version = self._store.open_version(content, keep)
        log_event(
            "staging",
            version=desired.version,
            manifest=desired.manifest[:12],
            held=version.held_count,
            chunks=len(version.held),
        )
        is_complete = False
        while not is_complete:
            await burst.run(version)
            is_complete = await asyncio.to_thread(version.verify_all_chunks)
        log_event("staged", version=desired.version, chunks=len(version.held))
        async with self.changed:
            self.staged_manifest = desired.manifest
            self.changed.notify_all()

    def _plan(self, burst: Burst, desired: records_pb2.Deployment) -> None:
        members = [
            Participant(agent.id, agent.address, agent.failure_domain)
            for agent in self._roster.live_agents()
            if matches(desired.targets, agent) and agent.id != self._own.id
        ]
        members.append(
            Participant(
                self._own.id, self._own.address, self._own.failure_domain
            )
        )
        burst.set_planner(
            make_planner(self._strategy, self._own.id, members),
            help_share(desired.policy, desired.origin_copies_cap, len(members)),
        )
