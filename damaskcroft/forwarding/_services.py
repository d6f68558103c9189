"""Targets of each service and the model weights that they can serve.

Around a change of weights, no request may begin on the old version after a
bound. This module decides which targets a request may still be sent to.
"""

from collections.abc import Callable

from damaskcroft._generated import fleet_pb2
from damaskcroft.clock import now_s
from damaskcroft.fleet import (
    FleetView,
    agents_by_target_address,
    allowed_regions,
    complete_versions,
    held_layers,
    start_id,
)
from damaskcroft.forwarding._job import Job
from damaskcroft.routing import Candidate

__all__ = ["Services"]

# Minimum margin before the time by which every request must begin on a new
# version. Within it, no request is sent to a target with an older version,
# because a request may wait there briefly before it begins.
_VERSION_MARGIN_S = 0.6
# A target whose answers are slow may be behind a narrow link, over which
# requests are delayed too. The margin is twice the delay of its answers, since
# a queue before a link may double within that time, plus the usual wait at the
# target.
_DELAY_FACTOR = 2
_WAIT_AT_TARGET_S = 0.3
# Where the agent reports a link delay of this length, the link is narrow: the
# queue before it may grow by a second at any moment, however quick the answers
# were until then.
_NARROW_LINK_S = 0.25
_NARROW_MARGIN_S = 2.0
# A target refuses late requests itself if its agent announces that it guards
# the version. Without a guard nothing stops a request that takes longer to
# arrive than predicted, so the target is left earlier: 1.3 s were observed over
# a link of 0.91 Mbit/s, and the same time may be spent waiting there. This is
# also the maximum of the predicted margin, because a target with longer delays
# is failing anyway.
_UNGUARDED_MARGIN_S = 3.0
# Margin before that time at which requests that have not begun at outdated
# targets are withdrawn: over a narrow link one may arrive a second after it was
# sent.
_WITHDRAWAL_MARGIN_S = 0.25
# Slots of a target that does not report them.
_DEFAULT_SLOTS = 8
# Profile of services that are not engines.
_EMPTY_PROFILE = fleet_pb2.EngineProfile()


class Services:
    """Index of the ready targets by service and weights."""

    def __init__(
        self,
        view: FleetView,
        region_by_domain: dict[str, str],
        weights_s: float,
        answer_delay_s: Callable[[str], float] = lambda _: 0.0,
    ):
        """Sets up the index, which is filled from `view` when it is used.

        Args:
            view: the entry's view of the fleet.
            region_by_domain: region of each failure domain.
            weights_s: time from the acceptance of a desired version of weights
                by control until no request may begin on an older one; 0 for no
                bound.
            answer_delay_s: response delay of a target, by its id.
        """
        self._view = view
        self._answer_delay_s = answer_delay_s
        self._weights_s = weights_s
        self._region_by_domain = region_by_domain
        self._states_by_service: dict[str, list[fleet_pb2.TargetState]] = {}
        self._states_by_start_id: dict[str, fleet_pb2.TargetState] = {}
        # Ready targets in evacuated failure domains: they get no request and
        # end those that they have.
        self._evacuated_by_service: dict[str, list[fleet_pb2.TargetState]] = {}
        self._agents_by_target: dict[str, fleet_pb2.AgentState] = {}
        self._seen_changes = -1

    @property
    def configuration(self) -> int:
        """Version of the configuration in force; 0 for none."""
        return self._view.version

    @property
    def configured_s_ago(self) -> float:
        """Seconds since the configuration was applied; infinite for none."""
        return self._view.configured_s_ago

    def candidates(
        self,
        service: str,
        model: str,
        allowed_regions: frozenset[str] | None = None,
    ) -> list[Candidate]:
        """Ready targets of a service that hold all layers of a model.

        Args:
            service: name of the service.
            model: requested model; empty for services without models.
            allowed_regions: regions of the targets; None for all.
        """
        self._refresh()
        states = self._states_in(service, allowed_regions)
        if not model:
            return [self._candidate(state) for state in states]
        serving = [
            state
            for state in states
            if self._serves(state, model, self._min_version(model, state))
        ]
        staying = [s for s in serving if not self._is_switching(s)]
        return [self._candidate(state) for state in staying or serving]

    def may_begin(
        self, service: str, model: str, candidate_id: str, connect_s: float
    ) -> bool:
        """Whether a request sent to a target now may still begin there.

        Args:
            service: service of the target.
            model: requested model; empty for services without models.
            candidate_id: id of the target's start, one run of its process.
            connect_s: how long connecting to it has just taken.
        """
        if not model or not self._weights_s:
            return True
        state = self._state(service, candidate_id)
        if state is None:
            return False
        min_version = self._min_version(model, state, connect_s)
        return self._serves(state, model, min_version)

    def has_restarted(self, candidate: Candidate) -> bool:
        """Whether a later start of the target is known.

        Requests at the earlier start are lost, even where their connections
        remain open and silent.
        """
        state = self._view.targets.newest(candidate.target_id)
        if state is None or not state.born_ms:
            return False
        return start_id(state) != candidate.id != candidate.target_id

    def newest_start_id(self, candidate: Candidate) -> str:
        """Id of the newest known start of a target; empty if none is."""
        state = self._view.targets.newest(candidate.target_id)
        return start_id(state) if state is not None else ""

    def is_draining(self, candidate: Candidate) -> bool:
        """Whether a start has announced its end, or has ended after that."""
        return self._view.targets.is_draining(
            candidate.target_id, candidate.born_ms
        )

    def is_replaced(self, candidate: Candidate) -> bool:
        """Whether another start has taken over the address or the id."""
        if self.has_restarted(candidate):
            return True
        return any(
            start_id(state) != candidate.id
            for state in self._view.targets.address_holders()
            if state.address == candidate.address
        )

    def is_expected_to_hold(
        self, service: str, model: str, candidate_id: str
    ) -> bool:
        """Whether a target should currently hold all layers of a model.

        Args:
            service: service of the target.
            model: requested model; empty for services without models.
            candidate_id: id of the target's start.
        """
        state = self._state(service, candidate_id)
        if state is None or not model:
            return state is not None
        within_s = self.begins_within_s(service, model, candidate_id)
        if within_s is not None and within_s < _UNGUARDED_MARGIN_S:
            # The target may unload its weights at any moment.
            return False
        return self._serves(state, model, 0) and not self._is_switching(state)

    def has_ready(
        self, service: str, allowed_regions: frozenset[str] | None = None
    ) -> bool:
        """Whether a service has ready targets, regardless of their weights.

        Args:
            service: name of the service.
            allowed_regions: regions of the targets; None for all.
        """
        self._refresh()
        return bool(self._states_in(service, allowed_regions))

    def is_evacuated(
        self, service: str, allowed_regions: frozenset[str] | None = None
    ) -> bool:
        """Whether all ready targets of a service are in evacuated domains.

        Args:
            service: name of the service.
            allowed_regions: regions of the targets; None for all.
        """
        self._refresh()
        if self._states_in(service, allowed_regions):
            return False
        evacuated = self._evacuated_by_service.get(service, [])
        return bool(self._in_regions(evacuated, allowed_regions))

    def regions_now(self, job: Job) -> frozenset[str] | None:
        """Regions where a request may be served; None for all.

        The regions of the configuration by which the request was admitted and
        those of the one in force now both apply.
        """
        table = self._view.route_table
        if table is None or table.version == job.configuration:
            return job.allowed_regions
        route = table.route(job.call.host, job.call.path) or job.route
        customer = None if route.public else table.customer(job.call.key)
        in_force = allowed_regions(route, customer)
        if job.allowed_regions is None or in_force is None:
            return (
                in_force if job.allowed_regions is None else job.allowed_regions
            )
        return job.allowed_regions & in_force

    def allows_region(self, job: Job, candidate: Candidate) -> bool:
        """Whether a request may be served in a target's region now."""
        regions = self.regions_now(job)
        return regions is None or candidate.region in regions

    def is_in_evacuated_domain(self, candidate: Candidate) -> bool:
        """Whether no request may be sent to a target's failure domain."""
        return self._view.evacuations.may_include(candidate.failure_domain)

    def may_serve_soon(
        self,
        service: str,
        model: str,
        allowed_regions: frozenset[str] | None = None,
    ) -> bool:
        """Whether waiting for a target is worthwhile while none can serve.

        A staged version is activated soon, and a target with an older version
        is probably being updated. Where no target has any copy, as after a
        power loss, a complete copy has to be transferred first, which takes
        longer than a request waits. A target whose agent is unknown may have
        any version.

        Args:
            service: name of the service.
            model: requested model; empty for services without models.
            allowed_regions: regions of the targets; None for all.
        """
        self._refresh()
        states = self._states_in(service, allowed_regions)
        if not model:
            return bool(states)
        return any(self._may_obtain(state, model) for state in states)

    def _states_in(
        self, service: str, allowed_regions: frozenset[str] | None
    ) -> list[fleet_pb2.TargetState]:
        """Ready targets of a service in some regions."""
        states = self._states_by_service.get(service, [])
        return self._in_regions(states, allowed_regions)

    def _in_regions(
        self,
        states: list[fleet_pb2.TargetState],
        allowed_regions: frozenset[str] | None,
    ) -> list[fleet_pb2.TargetState]:
        if allowed_regions is None:
            return states
        return [
            state
            for state in states
            if self._region_by_domain.get(state.failure_domain)
            in allowed_regions
        ]

    def _may_obtain(self, state: fleet_pb2.TargetState, model: str) -> bool:
        agent = self._agents_by_target.get(state.address)
        if agent is None or agent.phase == fleet_pb2.AGENT_SWITCHING:
            return True
        return any(part.model == model for part in (agent.staged, *agent.held))

    def _min_version(
        self,
        model: str,
        state: fleet_pb2.TargetState,
        connect_s: float = 0.0,
    ) -> int:
        """The oldest version on which a request sent now may begin.

        A version that the target's agent guards is required from the predicted
        margin on, any other version from the longer margin without a guard.
        """
        if not self._weights_s:
            return 0
        agent = self._agents_by_target.get(state.address)
        guarded = 0
        if agent is not None:
            guarded = self._view.guarded_version(agent.address, model)
        due_soon = self._view.version_desired_for(
            model, self._weights_s - _UNGUARDED_MARGIN_S
        )
        if due_soon > guarded:
            return due_soon
        margin_s = self._margin_s(state, agent, connect_s)
        return self._view.version_desired_for(model, self._weights_s - margin_s)

    def _margin_s(
        self,
        state: fleet_pb2.TargetState,
        agent: fleet_pb2.AgentState | None,
        connect_s: float,
    ) -> float:
        """Predicted time from sending a request until it begins."""
        link_s = agent.link_delay_ms / 1000 if agent is not None else 0.0
        delay_s = max(self._answer_delay_s(start_id(state)), link_s, connect_s)
        margin_s = _DELAY_FACTOR * delay_s + _WAIT_AT_TARGET_S
        if link_s >= _NARROW_LINK_S:
            margin_s = max(margin_s, _NARROW_MARGIN_S)
        return min(max(margin_s, _VERSION_MARGIN_S), _UNGUARDED_MARGIN_S)

    def begins_within_s(
        self, service: str, model: str, candidate_id: str
    ) -> float | None:
        """Time for which a request may still begin on a target's weights.

        Returns:
            Seconds, negative when it is too late; None where no newer version
            is desired.
        """
        if not model or not self._weights_s:
            return None
        state = self._state(service, candidate_id)
        if state is None:
            return None
        since_by_version = self._view.accepted_at_by_model.get(model, {})
        ends = [
            since + self._weights_s - now_s()
            for version, since in since_by_version.items()
            if not self._serves(state, model, version)
        ]
        return min(ends, default=None)

    def outdated_ids(self, service: str, model: str) -> set[str]:
        """Targets whose version is too old for a request to begin."""
        if not model or not self._weights_s:
            return set()
        due = self._view.version_desired_for(
            model, self._weights_s - _WITHDRAWAL_MARGIN_S
        )
        if not due:
            return set()
        self._refresh()
        return {
            start_id(state)
            for states_by_service in (
                self._states_by_service,
                self._evacuated_by_service,
            )
            for state in states_by_service.get(service, [])
            if not self._serves(state, model, due)
        }

    def _state(
        self, service: str, candidate_id: str
    ) -> fleet_pb2.TargetState | None:
        """State of a ready target of a service, by the id of its start."""
        self._refresh()
        state = self._states_by_start_id.get(candidate_id)
        return state if state is not None and state.service == service else None

    def _refresh(self) -> None:
        if self._seen_changes == self._view.changes:
            return
        self._seen_changes = self._view.changes
        self._agents_by_target = agents_by_target_address(self._view)
        self._states_by_service = {}
        self._states_by_start_id = {}
        self._evacuated_by_service = {}
        evacuations = self._view.evacuations
        for state in self._view.targets.address_holders():
            if state.phase != fleet_pb2.TARGET_READY:
                continue
            if evacuations.may_include(state.failure_domain):
                evacuated = self._evacuated_by_service
                evacuated.setdefault(state.service, []).append(state)
            else:
                states = self._states_by_service.setdefault(state.service, [])
                states.append(state)
                self._states_by_start_id[start_id(state)] = state

    def _serves(
        self, state: fleet_pb2.TargetState, model: str, min_version: int
    ) -> bool:
        layers = self._layers(state.service)
        parts = held_layers(state, self._agents_by_target.get(state.address))
        return any(
            v >= min_version for v in complete_versions(parts, model, layers)
        )

    def _is_switching(self, state: fleet_pb2.TargetState) -> bool:
        agent = self._agents_by_target.get(state.address)
        if agent is None:
            return False
        return agent.phase == fleet_pb2.AGENT_SWITCHING

    def _layers(self, service: str) -> int:
        return self._engine(service).layers

    def _engine(self, service: str) -> fleet_pb2.EngineProfile:
        table = self._view.route_table
        known = table.services_by_name.get(service) if table else None
        return known.engine if known else _EMPTY_PROFILE

    def _candidate(self, state: fleet_pb2.TargetState) -> Candidate:
        engine = self._engine(state.service)
        return Candidate(
            id=start_id(state),
            target_id=state.id,
            address=state.address,
            failure_domain=state.failure_domain,
            region=self._region_by_domain.get(state.failure_domain, ""),
            slots=state.slots or _DEFAULT_SLOTS,
            prompt_tokens_s=engine.prefill_tokens_per_s,
            born_ms=state.born_ms,
        )
