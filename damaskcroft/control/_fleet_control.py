"""Operations of a fleet's control node for operators and targets."""

import asyncio
import zlib
from collections.abc import Collection

from damaskcroft._generated import fleet_pb2
from damaskcroft.clock import now_s
from damaskcroft.consensus import Replica
from damaskcroft.control._answers import (
    EXPIRED,
    Accepted,
    Invalid,
    Unavailable,
    record_refusal,
)
from damaskcroft.control._command_log import COMMIT_TIMEOUT_S, CommandLog
from damaskcroft.control._fleet_state import FleetState
from damaskcroft.fleet import (
    FleetView,
    InvalidAnnouncement,
    checked,
    configuration_faults,
    record_invalid_announcement,
    relay,
)
from damaskcroft.observe import log_event, metrics
from damaskcroft.rpc import Caller, ChannelPool

__all__ = ["FleetControl"]


class FleetControl:
    """Operations of one control node.

    Attributes:
        log: commits to the replicated log.
    """

    def __init__(
        self,
        replica: Replica,
        state: FleetState,
        view: FleetView,
        channels: ChannelPool,
        failure_domains: Collection[str] = (),
    ):
        """Commits to `replica`, whose log drives `state`.

        Announcements of targets go into `view`; `channels` leads to other
        control nodes. Of `failure_domains`, and of those that targets
        announce, orders may name one.
        """
        self._failure_domains = frozenset(failure_domains)
        self._replica = replica
        self._state = state
        self._view = view
        self._channels = channels
        self.log = CommandLog(replica, state, channels)
        state.add_listener(self._update_service_names)

    def _update_service_names(self) -> None:
        """Restricts the view to targets of configured services."""
        configuration = self._state.configuration
        if configuration is not None:
            self._view.set_configured_services(
                s.name for s in configuration.services
            )

    # --- Operators -----------------------------------------------------------

    async def configure(
        self, configuration: fleet_pb2.Configuration
    ) -> Accepted | Invalid | Unavailable:
        """Commits a configuration unless its version is already reached."""
        fault = next(configuration_faults(configuration), None)
        if fault is not None:
            log_event(
                "configuration_invalid",
                version=configuration.version,
                fault=fault,
            )
            return Invalid(fault)
        if configuration.version <= self._state.version:
            return Accepted(self._state.version)
        command = fleet_pb2.FleetCommand(configure=configuration)
        # Uncompressed, the source is as large as the rest of the command;
        # compressed, a tenth of that. Links between regions are narrow.
        command.configure.source = zlib.compress(configuration.source)
        outcome = await self.log.commit(command)
        log_event(
            "configuration_put",
            version=configuration.version,
            routes=len(configuration.routes),
            outcome=type(outcome).__name__,
            in_place=self._state.version,
        )
        return outcome

    async def name_weights(
        self, desired: fleet_pb2.WeightGoal
    ) -> Accepted | Invalid | Unavailable:
        """Sets the desired version of a model's weights."""
        if desired.version < 1 or not desired.model:
            return Invalid("no model, or a version below 1")
        if desired.version <= self._state.desired_version(desired.model):
            return Accepted(self._state.desired_version(desired.model))
        command = fleet_pb2.FleetCommand(name_weights=desired)
        outcome = await self.log.commit(command)
        log_event(
            "weights_put",
            model=desired.model,
            version=desired.version,
            outcome=type(outcome).__name__,
        )
        return outcome

    async def evacuate(
        self, failure_domain: str, *, evacuated: bool, caller: Caller
    ) -> Accepted | Invalid | Unavailable:
        """Evacuates a failure domain, or ends its evacuation.

        Every order passes through the log, also one that changes nothing: what
        this node has applied may be older than an order accepted elsewhere.

        An order has no number of its own that would tell it from a later one.
        It is therefore appended only while its caller certainly waits for the
        answer, and has ordered nothing else since.
        """
        expires_at = caller.arrived_after_s + COMMIT_TIMEOUT_S
        outcome: Accepted | Invalid | Unavailable = EXPIRED
        try:
            async with asyncio.timeout_at(expires_at):
                while now_s() < expires_at:
                    outcome = await self._evacuate(
                        failure_domain, evacuated, caller, expires_at
                    )
                    if not await self.log.finds_other_leader(outcome):
                        break
        except TimeoutError:
            outcome = Unavailable("not committed in time")
        if isinstance(outcome, Unavailable):
            self.log.record_refusal("evacuate", outcome)
        order = "start" if evacuated else "end"
        metrics.EVACUATION_ORDERS.labels(order, type(outcome).__name__).inc()
        log_event(
            "evacuation_ordered",
            failure_domain=failure_domain,
            order=order,
            outcome=type(outcome).__name__,
        )
        return outcome

    async def _evacuate(
        self,
        failure_domain: str,
        evacuated: bool,
        caller: Caller,
        expires_at: float,
    ) -> Accepted | Invalid | Unavailable:
        point = await self.log.catch_up()
        if isinstance(point, Unavailable):
            return point
        if not self._knows_domain(failure_domain):
            return Invalid("no such failure domain")
        if await caller.has_left():
            return Unavailable("the caller has left")
        known_revision = self._state.evacuations.revision(failure_domain)
        order = fleet_pb2.EvacuationOrder(
            failure_domain=failure_domain,
            evacuated=evacuated,
            known_revision=known_revision,
        )
        return await self.log.commit_once(
            fleet_pb2.FleetCommand(evacuate=order), point.condition(expires_at)
        )

    def _knows_domain(self, failure_domain: str) -> bool:
        if failure_domain in self._failure_domains:
            return True
        if self._state.evacuations.revision(failure_domain):
            return True
        return any(
            state.failure_domain == failure_domain
            for state in self._view.targets.address_holders()
        )

    async def read(self) -> bytes | Unavailable:
        """Returns the newest acknowledged configuration, as it was written."""
        outcome = await self._read()
        if isinstance(outcome, Unavailable):
            self.log.record_refusal("read", outcome)
        return outcome

    async def _read(self) -> bytes | Unavailable:
        point = await self.log.catch_up()
        if isinstance(point, Unavailable):
            return point
        configuration = self._state.configuration
        if configuration is None:
            return Unavailable("no configuration yet")
        return zlib.decompress(configuration.source)

    # --- Targets -------------------------------------------------------------

    async def announce(
        self,
        target_id: str,
        announcement: fleet_pb2.TargetState | InvalidAnnouncement,
    ) -> bool | InvalidAnnouncement:
        """Processes an announcement of a target.

        An invalid announcement changes nothing.

        Returns:
            Whether the announcement is in effect. That a target leaves takes
            effect once a majority of control nodes knows it, so that it
            reaches every connected entry.
        """
        state = checked(announcement)
        if isinstance(state, InvalidAnnouncement):
            record_invalid_announcement("announcement", target_id, state)
            return state
        if state.phase == fleet_pb2.TARGET_READY:
            self._view.merge([state])
            return True
        is_majority_informed = await self._relay_to_majority(state)
        log_event(
            "target_leaving",
            id=state.id,
            phase=fleet_pb2.TargetPhase.Name(state.phase),
            born_ms=state.born_ms,
            majority_knows=is_majority_informed,
        )
        return is_majority_informed

    async def leave(
        self,
        target_id: str,
        start: fleet_pb2.TargetState | InvalidAnnouncement,
        caller: Caller,
    ) -> bool | InvalidAnnouncement:
        """Processes the last announcement of a target; see `announce`.

        Args:
            target_id: the id of the target.
            start: the start that ends. Without a time of birth it is taken to
                be the newest start known to this node, unless the target may
                have started again since it sent this.
            caller: the target.
        """
        if isinstance(start, InvalidAnnouncement):
            record_invalid_announcement("leave", target_id, start)
            return start
        if not start.born_ms:
            if now_s() > caller.arrived_after_s + COMMIT_TIMEOUT_S:
                record_refusal("leave", EXPIRED)
                return False
            start.born_ms = self._view.targets.newest_born_ms(target_id)
        return await self.announce(target_id, start)

    async def _relay_to_majority(self, state: fleet_pb2.TargetState) -> bool:
        self._view.merge([state])
        members = self._replica.member_addresses()
        others = [a for a in members if a != self._replica.address]
        request = fleet_pb2.RelayRequest(targets=[state])
        acknowledged = await asyncio.gather(
            *(relay(self._channels, address, request) for address in others)
        )
        informed_count = sum(acknowledged) + (self._replica.address in members)
        return informed_count > len(members) // 2
