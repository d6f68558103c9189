"""Gets the version that the records ask for onto this instance."""

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
    """Runs one burst at a time, for the version now wanted.

    Args:
        own: this agent's announcement.
        roster: the configuration.
        store: where chunks are kept.
        sources: outside sources.
        peers: how other agents are asked.
        pacer: paces what comes in.
        options: bounds of a burst.
        strategy: name of the planner.
        counts: where bytes are counted.
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
        """See the class."""
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
        self.wanted_manifest = ""
        self.changed = asyncio.Condition()
        self._burst: Burst | None = None

    async def run(self) -> None:
        """Follows the records until cancelled."""
        work: asyncio.Task | None = None
        wanted: records_pb2.Deployment | None = None
        try:
            while True:
                found = self._wanted()
                if found != wanted:
                    wanted = found
                    # A version no longer wanted stops its traffic at once.
                    await cancelled(work)
                    work = None
                    self.wanted_manifest = wanted.manifest if wanted else ""
                    if wanted is not None:
                        work = asyncio.create_task(self._stage(wanted))
                    # A newer record may have come while work was stopped.
                    continue
                if wanted is not None and self._burst is not None:
                    self._plan(self._burst, wanted)
                async with self._roster.changed:
                    await self._roster.changed.wait()
        finally:
            await cancelled(work)

    def report(self) -> control_pb2.BurstReport:
        """Progress of the version now wanted."""
        report = control_pb2.BurstReport(
            manifest=self.wanted_manifest,
            origin_bytes=self.counts.origin_bytes,
            store_bytes=self.counts.store_bytes,
            peer_bytes=self.counts.peer_bytes,
            local_bytes=self.counts.local_bytes,
            sent_bytes=self.counts.sent_bytes,
            corrupt_chunks=self.counts.corrupt_chunks,
        )
        version = self._store.versions_by_digest.get(self.wanted_manifest)
        if version is not None:
            report.chunks_held = version.held_count
            report.chunks_total = len(version.held)
        return report

    def _wanted(self) -> records_pb2.Deployment | None:
        found = deployment_for(self._own, self._roster.records_by_key.values())
        if isinstance(found, UnsupportedSchema):
            # Leave everything as it is until this process is upgraded.
            return self._last_wanted
        self._last_wanted = found
        return found

    _last_wanted: records_pb2.Deployment | None = None

    async def _stage(self, wanted: records_pb2.Deployment) -> None:
        while True:
            try:
                await self._stage_once(wanted)
                return
            except (WeightsError, OSError) as error:
                log_warning(
                    "staging_failed", version=wanted.version, reason=error
                )
                await asyncio.sleep(_RETRY_S)

    async def _stage_once(self, wanted: records_pb2.Deployment) -> None:
        burst = Burst(
            self._own.id,
            weights_path(wanted.model, wanted.adapter, wanted.version),
            self._store,
            self._sources,
            self._peers,
            self._pacer,
            self._options,
            self.counts,
        )
        self._plan(burst, wanted)
        self._burst = burst
        content = await burst.fetch_manifest(wanted.manifest)
        keep = {wanted.manifest, self.staged_manifest}
        version = self._store.open_version(content, keep)
        log_event(
            "staging",
            version=wanted.version,
            manifest=wanted.manifest[:12],
            held=version.held_count,
            chunks=len(version.held),
        )
        whole = False
        while not whole:
            await burst.run(version)
            whole = await asyncio.to_thread(version.verify_whole)
        log_event("staged", version=wanted.version, chunks=len(version.held))
        async with self.changed:
            self.staged_manifest = wanted.manifest
            self.changed.notify_all()

    def _plan(self, burst: Burst, wanted: records_pb2.Deployment) -> None:
        members = [
            Participant(agent.id, agent.address, agent.failure_domain)
            for agent in self._roster.live_agents()
            if matches(wanted.targets, agent) and agent.id != self._own.id
        ]
        members.append(
            Participant(
                self._own.id, self._own.address, self._own.failure_domain
            )
        )
        burst.plan_with(
            make_planner(self._strategy, self._own.id, members),
            help_share(wanted.policy, wanted.origin_copies_cap, len(members)),
        )
