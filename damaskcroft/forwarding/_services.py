"""Targets by service, as this entry believes them to be now."""

from collections.abc import Callable

from damaskcroft._generated import fleet_pb2
from damaskcroft.clock import now_s
from damaskcroft.fleet import (
    FleetView,
    agents_by_target_address,
    held_by,
    start_id,
    whole_versions,
)
from damaskcroft.routing import Candidate

__all__ = ["Services"]

# Before the time by which every request must begin on a new version, requests
# stop going to targets with an older one: they may wait there a little before
# they begin.
_VERSION_MARGIN_S = 0.6
# A target whose answers are slow may stand behind a narrow link, over which
# requests arrive late too: twice the delay of its answers, since a queue before
# a link may double within that time, and the usual wait at the target.
_DELAYS_KEPT_BACK = 2
_WAIT_AT_TARGET_S = 0.3
# Where its agent tells that the link itself is narrow, the queue before it may
# grow by a second at any moment, whatever answers took until then.
_NARROW_LINK_S = 0.25
_NARROW_MARGIN_S = 2.0
# A target refuses by itself what comes too late if the agent beside it says
# that it sees to that. Without its word nothing holds a request back that is on
# its way for longer than foreseen, so the target is left earlier: 1.3 s were
# seen over a link of 0.91 Mbit/s, and as much may wait there again. No foreseen
# margin is longer: such delays are those of a target that fails anyhow.
_UNGUARDED_MARGIN_S = 3.0
# So long before that time, requests that have not begun at such targets are
# taken back: over a narrow link one may arrive a second after it was sent.
_TAKE_BACK_S = 0.25
# Slots of a target that doesn't say.
_USUAL_SLOTS = 8
# The profile of services that are no engines.
_NO_ENGINE = fleet_pb2.EngineProfile()


class Services:
    """Answers which targets could run a request."""

    def __init__(
        self,
        view: FleetView,
        region_by_domain: dict[str, str],
        weights_s: float,
        answer_delay_s: Callable[[str], float] = lambda _: 0.0,
    ):
        """Reads `view`.

        Args:
            view: what the entry believes.
            region_by_domain: region of each failure domain.
            weights_s: from a named version of weights until no request may
                begin on an older one; 0 for no bound.
            answer_delay_s: how soon a target answers, by its id.
        """
        self._view = view
        self._answer_delay_s = answer_delay_s
        self._weights_s = weights_s
        self._region_by_domain = region_by_domain
        self._states_by_service: dict[str, list[fleet_pb2.TargetState]] = {}
        self._states_by_start_id: dict[str, fleet_pb2.TargetState] = {}
        self._agents_by_target: dict[str, fleet_pb2.AgentState] = {}
        self._seen_changes = -1

    @property
    def configuration(self) -> int:
        """Version of the configuration in force; 0 for none."""
        return self._view.version

    @property
    def configured_s_ago(self) -> float:
        """Seconds since that was applied; infinite for none."""
        return self._view.configured_s_ago

    def candidates(self, service: str, model: str) -> list[Candidate]:
        """Ready targets of a service that hold a model whole.

        Args:
            service: its name.
            model: what the request asks for; empty for plain services.
        """
        self._refresh()
        states = self._states_by_service.get(service, [])
        if not model:
            return [self._candidate(state) for state in states]
        serving = [
            state
            for state in states
            if self._serves(state, model, self._least_version(model, state))
        ]
        staying = [s for s in serving if not self._is_switching(s)]
        return [self._candidate(state) for state in staying or serving]

    def may_begin(
        self, service: str, model: str, candidate_id: str, connect_s: float
    ) -> bool:
        """Whether a request sent to a target now may still begin there.

        Args:
            service: the target's.
            model: what the request asks for; empty for plain services.
            candidate_id: the target's start.
            connect_s: how long connecting to it has just taken.
        """
        if not model or not self._weights_s:
            return True
        state = self._state(service, candidate_id)
        if state is None:
            return False
        least = self._least_version(model, state, connect_s)
        return self._serves(state, model, least)

    def has_started_again(self, candidate: Candidate) -> bool:
        """Whether a later start of the target is known.

        What ran at the earlier one is lost, also where its connections stay
        open and silent.
        """
        state = self._view.book.newest(candidate.target_id)
        if state is None or not state.born_ms:
            return False
        return start_id(state) != candidate.id != candidate.target_id

    def is_leaving(self, candidate: Candidate) -> bool:
        """Whether a start has announced that it ends, or has so ended."""
        return self._view.book.is_leaving(
            candidate.target_id, candidate.born_ms
        )

    def is_replaced(self, candidate: Candidate) -> bool:
        """Whether another start answers at a start's address, or as it."""
        if self.has_started_again(candidate):
            return True
        return any(
            start_id(state) != candidate.id
            for state in self._view.book.believed()
            if state.address == candidate.address
        )

    def should_hold(self, service: str, model: str, candidate_id: str) -> bool:
        """Whether a target is believed to hold a model whole right now.

        Args:
            service: the target's.
            model: its name; empty for plain services, which need none.
            candidate_id: the target's start.
        """
        state = self._state(service, candidate_id)
        if state is None or not model:
            return state is not None
        within_s = self.begins_within_s(service, model, candidate_id)
        if within_s is not None and within_s < _UNGUARDED_MARGIN_S:
            # It may give up its weights at any moment.
            return False
        return self._serves(state, model, 0) and not self._is_switching(state)

    def has_ready(self, service: str) -> bool:
        """Whether a service has ready targets, whatever weights they hold."""
        self._refresh()
        return bool(self._states_by_service.get(service))

    def may_serve_soon(self, service: str, model: str) -> bool:
        """Whether it may pay to wait for a target while none can serve.

        A staged version is loaded soon, and whoever holds an older
        one is likely being brought a newer. Where nothing lies at any target,
        as after a loss of power, a whole copy has to come first: that takes
        longer than a request waits. An agent that has not been heard may
        have anything.

        Args:
            service: its name.
            model: what the request asks for; empty for plain services.
        """
        self._refresh()
        states = self._states_by_service.get(service, [])
        if not model:
            return bool(states)
        return any(self._may_have(state, model) for state in states)

    def _may_have(self, state: fleet_pb2.TargetState, model: str) -> bool:
        agent = self._agents_by_target.get(state.address)
        if agent is None or agent.phase == fleet_pb2.AGENT_SWITCHING:
            return True
        return any(part.model == model for part in (agent.staged, *agent.held))

    def _least_version(
        self,
        model: str,
        state: fleet_pb2.TargetState,
        connect_s: float = 0.0,
    ) -> int:
        """The oldest version that a request sent now may begin on.

        Versions that the target's agent guards count as due by what is
        foreseen of the way there, others at the latest that is known of any.
        """
        if not self._weights_s:
            return 0
        agent = self._agents_by_target.get(state.address)
        guarded = 0
        if agent is not None:
            guarded = self._view.guarded_version(agent.address, model)
        soon = self._view.due_version(
            model, self._weights_s - _UNGUARDED_MARGIN_S
        )
        if soon > guarded:
            return soon
        margin_s = self._margin_s(state, agent, connect_s)
        return self._view.due_version(model, self._weights_s - margin_s)

    def _margin_s(
        self,
        state: fleet_pb2.TargetState,
        agent: fleet_pb2.AgentState | None,
        connect_s: float,
    ) -> float:
        """From sending a request to its begin at a target, as foreseen."""
        link_s = agent.link_delay_ms / 1000 if agent is not None else 0.0
        delay_s = max(self._answer_delay_s(start_id(state)), link_s, connect_s)
        margin_s = _DELAYS_KEPT_BACK * delay_s + _WAIT_AT_TARGET_S
        if link_s >= _NARROW_LINK_S:
            margin_s = max(margin_s, _NARROW_MARGIN_S)
        return min(max(margin_s, _VERSION_MARGIN_S), _UNGUARDED_MARGIN_S)

    def begins_within_s(
        self, service: str, model: str, candidate_id: str
    ) -> float | None:
        """How long a request may still begin on the weights of a target.

        For logs.

        Returns:
            Seconds, below 0 when it is too late; None where no newer version
            is named.
        """
        if not model or not self._weights_s:
            return None
        state = self._state(service, candidate_id)
        if state is None:
            return None
        named = self._view.goal_since_by_model.get(model, {})
        ends = [
            since + self._weights_s - now_s()
            for version, since in named.items()
            if not self._serves(state, model, version)
        ]
        return min(ends, default=None)

    def outdated_ids(self, service: str, model: str) -> set[str]:
        """Targets at which a request must not begin any more, by version."""
        if not model or not self._weights_s:
            return set()
        due = self._view.due_version(model, self._weights_s - _TAKE_BACK_S)
        if not due:
            return set()
        self._refresh()
        return {
            start_id(state)
            for state in self._states_by_service.get(service, [])
            if not self._serves(state, model, due)
        }

    def _state(
        self, service: str, candidate_id: str
    ) -> fleet_pb2.TargetState | None:
        """A ready target of a service by its start."""
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
        for state in self._view.book.believed():
            if state.phase == fleet_pb2.TARGET_READY:
                states = self._states_by_service.setdefault(state.service, [])
                states.append(state)
                self._states_by_start_id[start_id(state)] = state

    def _serves(
        self, state: fleet_pb2.TargetState, model: str, least: int
    ) -> bool:
        layers = self._layers(state.service)
        parts = held_by(state, self._agents_by_target.get(state.address))
        return any(v >= least for v in whole_versions(parts, model, layers))

    def _is_switching(self, state: fleet_pb2.TargetState) -> bool:
        agent = self._agents_by_target.get(state.address)
        if agent is None:
            return False
        return agent.phase == fleet_pb2.AGENT_SWITCHING

    def _layers(self, service: str) -> int:
        return self._engine(service).layers

    def _engine(self, service: str) -> fleet_pb2.EngineProfile:
        table = self._view.table
        known = table.services_by_name.get(service) if table else None
        return known.engine if known else _NO_ENGINE

    def _candidate(self, state: fleet_pb2.TargetState) -> Candidate:
        engine = self._engine(state.service)
        return Candidate(
            id=start_id(state),
            target_id=state.id,
            address=state.address,
            failure_domain=state.failure_domain,
            region=self._region_by_domain.get(state.failure_domain, ""),
            slots=state.slots or _USUAL_SLOTS,
            prompt_tokens_s=engine.prefill_tokens_per_s,
            born_ms=state.born_ms,
        )
