"""Staging of the desired version beside a target of a fleet.

Chunks come from the target itself, from other agents and from the origin, and
are put at the target as pieces as soon as they are received.
"""

import asyncio
import dataclasses
import hashlib
import random
from collections.abc import Callable, Coroutine
from typing import Any

from damaskcroft._generated import fleet_pb2
from damaskcroft.agent._fleet_agent import FleetAgent
from damaskcroft.agent._manifest_reader import ManifestReader
from damaskcroft.agent._piece_checks import PieceChecks
from damaskcroft.agent._version_choice import (
    ModelVersion,
    VersionChoice,
    origin_bytes_s,
    origin_of,
)
from damaskcroft.clock import now_s
from damaskcroft.engines import EngineUnreachable, StagedEngine
from damaskcroft.fleet import FleetView
from damaskcroft.observe import log_event, metrics
from damaskcroft.tasks import background, cancel_all, cancelled
from damaskcroft.weights import (
    Burst,
    BurstCounts,
    BurstOptions,
    ChunkStore,
    ManifestError,
    OutsideSource,
    Pacer,
    Participant,
    PeerSource,
    RosterPlan,
    StagedVersion,
)

__all__ = ["FleetStager"]

_POLL_S = 0.05
# Interval at which the choice of the version is repeated, because it depends on
# the chunks received meanwhile, too.
_RECONSIDER_S = 0.5
_RETRY_S = 0.2
_PLANNER = "latin"
# Chunks that could not be put are retried after this time, or when the next one
# is received.
_PUT_RETRY_S = 0.5
# While an agent waits for its place in the rolling update, pieces are checked
# again at this age.
_RECHECK_AGE_S = 1.0
# The same directly before the order, when the target is already out of service:
# only pieces whose check the agent could not use in time are checked again.
_RECHECK_AGE_BEFORE_ORDER_S = 1.75
# No order is sent that covers a piece checked longer ago. A target that takes
# its order half a second later still takes pieces that were correct three
# seconds before, as the platform requires.
_MAX_CHECK_AGE_S = 2.5


class FleetStager:
    """Keeps the desired version staged in full beside the target.

    Args:
        own: this agent.
        view: desired versions, and the versions that other targets hold.
        engine: the target.
        store: chunk store of this agent.
        source: makes the outside source for an address.
        peers: client for requests to other agents.
        pacer: paces downloads.
        options: bounds of a burst.
        weights_s: time from the acceptance of a desired version by control
            until no request may begin on an older one; 0 for no bound.
    """

    def __init__(
        self,
        own: FleetAgent,
        view: FleetView,
        engine: StagedEngine,
        store: ChunkStore,
        source: Callable[[str], OutsideSource],
        peers: PeerSource,
        pacer: Pacer,
        options: BurstOptions,
        weights_s: float = 0.0,
    ):
        """Starts with nothing staged."""
        self._choice = VersionChoice(
            own, view, store, pacer.bytes_in(1.0), weights_s
        )
        self._own = own
        self._view = view
        self._engine = engine
        self._store = store
        self._make_source = source
        self._peers = peers
        self._pacer = pacer
        self._options = options
        self._rng = random.Random(own.state.address)
        self._put_indexes: set[int] = set()
        # Start of the target at which these were put; None before its first
        # report.
        self._target_born_ms: int | None = None
        # Whether the staged pieces were put at an earlier start.
        self._must_restage = False
        self._has_recovered = False
        self.counts = BurstCounts()
        # Held while a piece is put and while a load is ordered, because the
        # target loads the pieces it has at the moment of the order.
        self.pieces_lock = asyncio.Lock()
        # Version that is complete and verified in the store and put at the
        # target.
        self.staged: ModelVersion | None = None
        self.staged_version: StagedVersion | None = None
        self._checks = PieceChecks(0)

    def version_to_stage(self) -> ModelVersion | None:
        """Returns the version to stage; see `VersionChoice`."""
        return self._choice.version_to_stage()

    @property
    def may_find_version(self) -> bool:
        """Whether the target's service may load models; see `VersionChoice`."""
        return self._choice.may_find_version

    async def run(self) -> None:
        """Stages the desired version, until cancelled."""
        work: asyncio.Task | None = None
        prefetching: asyncio.Task | None = None
        chosen: ModelVersion | None = None
        self._report_chosen(chosen)
        try:
            while True:
                seen = self._view.desired_changed.count
                found = self.version_to_stage()
                if found != chosen or self._must_restage:
                    chosen = found
                    self._must_restage = False
                    self._report_chosen(chosen)
                    # Traffic of a version no longer desired stops at once.
                    await cancelled(work)
                    await cancelled(prefetching)
                    work = prefetching = None
                    if chosen is not None:
                        work = asyncio.create_task(self._stage(chosen))
                prefetching = await self._update_prefetch(chosen, prefetching)
                # Without a version to stage, those of other targets are polled
                # at short intervals; they count only until a desired version
                # is known.
                polls_others = not chosen and self.may_find_version
                poll_s = _POLL_S if polls_others else _RECONSIDER_S
                await self._view.desired_changed.wait(seen, poll_s)
        finally:
            await cancelled(work)
            await cancelled(prefetching)

    async def _update_prefetch(
        self, chosen: ModelVersion | None, prefetching: asyncio.Task | None
    ) -> asyncio.Task | None:
        """Prefetches the newest version while an older one is to be loaded.

        None of its chunks is put at the target, which holds the pieces of one
        version.
        """
        newer = self._choice.newer_than(chosen)
        if newer is None or self.staged != chosen:
            await cancelled(prefetching)
            return None
        if prefetching is not None:
            return prefetching
        return asyncio.create_task(self._fetch_ahead(newer))

    async def _fetch_ahead(self, chosen: ModelVersion) -> None:
        try:
            source = self._source()
            content, _ = await self._manifest(chosen, source)
            version = self._store.open_version(content, set())
            log_event("fetching_ahead", path=chosen.path)
            await self._fetch_whole(self._burst(chosen, source), version)
        except (ManifestError, OSError) as error:
            # The fetch is retried when the version is to be staged.
            log_event("staging_failed", path=chosen.path, reason=error)

    async def _manifest(
        self, chosen: ModelVersion, source: OutsideSource
    ) -> tuple[bytes, ManifestReader]:
        """Returns the version's manifest, and the reader to confirm it with."""
        reader = ManifestReader(
            chosen.path, source, self._peers, self._own.peers, self._rng
        )
        partial = self._store.version_at(chosen.path)
        if partial is not None:
            return partial.content, reader
        return await reader.read_first(), reader

    async def restage(self, *, before_order: bool = False) -> bool:
        """Reads staged pieces back and puts corrupt ones again.

        Pieces checked just before are skipped. An agent checks while it waits
        for its place in the rolling update, so that its target is out of
        service only while loading.

        Args:
            before_order: whether the target is out of service already.

        Returns:
            Whether each piece was correct when it was checked; see
            `order_before_s` for how long that counts.
        """
        version, checks = self.staged_version, self._checks
        if version is None or self.staged is None:
            return False
        age_s = _RECHECK_AGE_BEFORE_ORDER_S if before_order else _RECHECK_AGE_S
        for index in checks.older_than(age_s):
            asked_at = now_s()
            if not await self._is_staged_piece_correct(version, index):
                asked_at = now_s()
                if not await self._stage_piece(version, index):
                    return False
            checks.record(index, asked_at)
        return True

    async def _is_staged_piece_correct(
        self, version: StagedVersion, index: int
    ) -> bool:
        data = await self._engine.fetch_staged_piece(
            version.manifest.model, index
        )
        digest = version.manifest.chunks[index].digest
        if data is not None and hashlib.sha256(data).digest() == digest:
            return True
        log_event("staged_piece_spoilt", index=index, lost=data is None)
        return False

    @property
    def order_before_s(self) -> float:
        """Loop time until which an order may rely on all checks."""
        return self._checks.oldest_at + _MAX_CHECK_AGE_S

    def record_start(self, born_ms: int) -> None:
        """Records the start of the target that sent a report.

        Pieces put at an earlier start may be lost, so they are put again.
        """
        before, self._target_born_ms = self._target_born_ms, born_ms
        if before in (None, born_ms):
            return
        log_event(
            "target_restarted", born_ms=born_ms, put=len(self._put_indexes)
        )
        # A put in progress adds its index to the previous set.
        self._put_indexes = set()
        self._must_restage = self.staged is not None
        self.staged = None
        # This wakes `run`.
        self._view.desired_changed.notify()

    def _report_chosen(self, chosen: ModelVersion | None) -> None:
        """Logs and exports a changed version to stage, including none."""
        metrics.WEIGHTS_WANTED.set(chosen.version if chosen else 0)
        desired = chosen and self._view.desired_version_by_model.get(
            chosen.model
        )
        log_event(
            "weights_wanted",
            service=self._own.state.service,
            path=chosen.path if chosen else "",
            named=desired.version if desired else None,
            recorded=chosen and self._view.served_by_model.get(chosen.model),
            configuration=self._view.version,
        )

    # --- Staging -------------------------------------------------------------

    async def _stage(self, chosen: ModelVersion) -> None:
        while True:
            try:
                await self._stage_once(chosen)
                return
            except (ManifestError, OSError) as error:
                log_event("staging_failed", path=chosen.path, reason=error)
                await asyncio.sleep(_RETRY_S)

    async def _stage_once(self, chosen: ModelVersion) -> None:
        completed = self._completed_version(chosen)
        if completed is not None:
            await self._finish(chosen, completed)
            return
        source = self._source()
        content, manifests = await self._manifest(chosen, source)
        version = self._store.open_version(content, set())
        # From here on, the target may have pieces of two versions.
        self.staged = None
        self.staged_version = None
        self._put_indexes = set()
        await self._wait_for_known_target()
        if await self._is_target_up():
            await self._recover_pieces(version)
        log_event(
            "staging",
            path=chosen.path,
            chunks=len(version.held),
            held=version.held_count,
            digest=version.digest[:12],
        )
        burst = self._burst(chosen, source)
        await self._fetch_and_put(
            burst, version, manifests.is_confirmed(content)
        )
        await self._finish(chosen, version)

    async def _wait_for_known_target(self) -> None:
        """Waits for a target that may have pieces, because they save traffic.

        A target that is not known to the fleet has none and is not waited for:
        on a new machine it takes a second to start, a sixth of the time to
        fetch a version.
        """
        address = self._own.state.target_address
        while any(s.address == address for s in self._view.targets.snapshot()):
            if await self._is_target_up():
                return
            await asyncio.sleep(_RETRY_S)

    async def _is_target_up(self) -> bool:
        report = await self._engine.report()
        return not isinstance(report, EngineUnreachable)

    def _completed_version(self, chosen: ModelVersion) -> StagedVersion | None:
        """Returns the version if this process has completed and verified it."""
        version = self.staged_version
        if version is None or version is not self._store.version_at(
            chosen.path
        ):
            return None
        return version

    async def _finish(
        self, chosen: ModelVersion, version: StagedVersion
    ) -> None:
        # Nothing is left to be put, unless the target has restarted.
        await self._put_as_received(version)
        self._checks = PieceChecks(len(version.held))
        self.staged = chosen
        self.staged_version = version
        log_event(
            "staged",
            path=chosen.path,
            origin_bytes=self.counts.origin_bytes,
            peer_bytes=self.counts.peer_bytes,
            corrupt=self.counts.corrupt_chunks,
        )

    def _burst(self, chosen: ModelVersion, source: OutsideSource) -> Burst:
        return Burst(
            self._own.state.address,
            chosen.path,
            self._store,
            [source],
            self._peers,
            self._pacer,
            dataclasses.replace(
                self._options,
                outside_bytes_s=origin_bytes_s(self._view),
            ),
            self.counts,
        )

    async def _fetch_and_put(
        self,
        burst: Burst,
        version: StagedVersion,
        confirmation: Coroutine[Any, Any, bool],
    ) -> None:
        """Fetches missing chunks and puts them until the version is complete.

        Args:
            burst: fetches the chunks.
            version: the version to complete.
            confirmation: returns whether its manifest is confirmed.

        Raises:
            ManifestError: the manifest is not confirmed.
        """
        confirming = asyncio.create_task(confirmation)
        putting = asyncio.create_task(self._put_when_up(version))
        fetching = asyncio.create_task(self._fetch_whole(burst, version))
        try:
            # Chunks of a corrupt manifest never match their digests, so the
            # comparison of its readings must not wait for them.
            await asyncio.wait(
                {fetching, confirming}, return_when=asyncio.FIRST_COMPLETED
            )
            if not await confirming:
                self._store.drop(version.digest)
                raise ManifestError("other readings of the manifest differ")
            await fetching
            await putting
        finally:
            await cancel_all((putting, confirming, fetching))

    async def _fetch_whole(self, burst: Burst, version: StagedVersion) -> None:
        async with background(self._roster_plan(burst).run):
            while not version.verify_all_chunks():
                await burst.run(version)

    def _source(self) -> OutsideSource:
        """Returns the outside source that the configuration names.

        Raises:
            OSError: it names none.
        """
        origin = origin_of(self._view)
        if origin is None:
            raise OSError("the configuration names no origin of weights")
        return self._make_source(origin.origin)

    async def _recover_pieces(self, version: StagedVersion) -> None:
        """Recovers the pieces that an earlier process of this agent put.

        They are verified by digest, because some may belong to another version
        or be corrupt. It is done once: afterwards this process knows which
        pieces the target has.
        """
        if self._has_recovered:
            return
        for index, held in enumerate(version.held):
            if held:
                continue
            data = await self._engine.fetch_staged_piece(
                version.manifest.model, index
            )
            if data is not None and version.write_chunk(index, data):
                self._put_indexes.add(index)
                self.counts.local_bytes += len(data)
        self._has_recovered = True

    async def _put_when_up(self, version: StagedVersion) -> None:
        while not await self._is_target_up():
            await asyncio.sleep(_RETRY_S)
        await self._recover_pieces(version)
        await self._put_as_received(version)

    async def _put_as_received(self, version: StagedVersion) -> None:
        """Puts chunks in any order, so that a restart loses few of them."""
        while True:
            seen = version.arrived.count
            arrived = [
                index
                for index, held in enumerate(version.held)
                if held and index not in self._put_indexes
            ]
            put = self._put_indexes
            for index in arrived:
                if await self._stage_piece(version, index):
                    put.add(index)
                else:
                    await asyncio.sleep(_RETRY_S)
            if len(self._put_indexes) >= len(version.held):
                return
            await version.arrived.wait(seen, _PUT_RETRY_S)

    async def _stage_piece(self, version: StagedVersion, index: int) -> bool:
        data = version.read_chunk(index)
        async with self.pieces_lock:
            return await self._engine.stage_piece(
                version.manifest.model, index, data
            )

    def _live_peers(self) -> list[fleet_pb2.AgentState]:
        """Returns the other agents with live targets, or all if none is known.

        An agent that stops announces nothing. The chunks assigned to it would
        be missing until other agents took them over, or for longer if the
        origin is lost.
        """
        peers = self._own.peers()
        addresses = {
            state.address for state in self._view.targets.address_holders()
        }
        return [p for p in peers if p.target_address in addresses] or peers

    def _roster_plan(self, burst: Burst) -> RosterPlan:
        return RosterPlan(
            burst,
            _PLANNER,
            _participant(self._own.state),
            lambda: [_participant(peer) for peer in self._live_peers()],
        )


def _participant(agent: fleet_pb2.AgentState) -> Participant:
    return Participant(agent.address, agent.address, agent.region)
