"""View of the fleet at one node, merged from all control nodes."""

import math
import time
from collections.abc import Callable, Iterable

from damaskcroft._generated import fleet_pb2, limits_pb2, quarantine_pb2
from damaskcroft.clock import now_s
from damaskcroft.fleet._entry_names import EntryNames
from damaskcroft.fleet._evacuations import Evacuations
from damaskcroft.fleet._routes import RouteTable
from damaskcroft.fleet._targets import TargetRegistry
from damaskcroft.limits import LimitRegistry
from damaskcroft.observe import log_event
from damaskcroft.quarantine import CrashRegistry
from damaskcroft.tasks import Signal

__all__ = ["GUARD_RENEWED_S", "RENEWALS_GATHERED_S", "FleetView"]

Listener = Callable[[fleet_pb2.FleetUpdate], None]

# Interval at which an agent renews the announcement of the versions it guards
# while its target still holds older weights: several announcements in the
# seconds between setting a desired version and switching to it.
GUARD_RENEWED_S = 1.0
# Time for which a control node collects renewals, so that watchers are not
# woken by each of them.
RENEWALS_GATHERED_S = 0.25
# A guard expires after this time without renewal, because the agent may have
# ended or be suspended. It allows for two lost renewals and the transmission.
_GUARD_TTL_S = 2.5 * GUARD_RENEWED_S - RENEWALS_GATHERED_S

# Ages are reported repeatedly, and transmission delays make them differ by up
# to this time.
_AGE_JITTER_S = 0.005

# A control node that has sent no update for this time is out of touch: several
# times the interval of its updates.
_OUT_OF_TOUCH_S = 2.0

# Time for which the highest reported number of entries is valid. Watchers
# reconnect to a restarted control node after two seconds of silence at most,
# and its next update includes them in the count.
_ENTRY_COUNT_TTL_S = 3.0


class FleetView:
    """Merges the updates of all control nodes; each part only advances.

    Args:
        logs_target: whether changes of a target are logged by this process. If
            every process logged every target, the logs would grow with the
            square of the fleet.
        crashes: registry of crashed targets; a new one by default.

    Attributes:
        configuration: the newest applied configuration; None after a fresh
            start.
        route_table: lookup table of its routes and keys, or None.
        targets: registry of announced targets.
        desired_version_by_model: desired version of the weights of each model.
        accepted_at_by_model: by model and version, the loop time at which
            control accepted it as desired; minus infinity if no control node
            knows the time.
        served_by_model: version in service of models without a desired version,
            as recorded by control; a desired version takes precedence.
        agents_by_address: agents, by the address at which they serve weights.
        control_addresses: last reported members of control.
        crashes: registry of crashed targets and the requests they ran.
        limits: registry of the rate limits that targets announced.
        entry_names: names of all entries of the fleet.
        evacuations: evacuated failure domains.
        desired_changed: signalled when the configuration, a desired version,
            its time of acceptance or a recorded version in service changes.
    """

    def __init__(
        self,
        logs_target: Callable[[fleet_pb2.TargetState], bool] = lambda _: True,
        crashes: CrashRegistry | None = None,
    ) -> None:
        """Creates an empty view."""
        self.crashes = crashes if crashes is not None else CrashRegistry()
        self.limits = LimitRegistry()
        self.entry_names = EntryNames()
        self.evacuations = Evacuations()
        self.desired_changed = Signal()
        self._logs_target = logs_target
        self.configuration: fleet_pb2.Configuration | None = None
        self._configured_at = -math.inf
        self.route_table: RouteTable | None = None
        self.targets = TargetRegistry()
        self.desired_version_by_model: dict[str, fleet_pb2.WeightGoal] = {}
        self.accepted_at_by_model: dict[str, dict[int, float]] = {}
        self.served_by_model: dict[str, int] = {}
        self.agents_by_address: dict[str, fleet_pb2.AgentState] = {}
        self._agent_received_at: dict[str, float] = {}
        # Number of changes of targets, agents and evacuations, for readers that
        # cache them.
        self.changes = 0
        self.control_addresses: tuple[str, ...] = ()
        # Loop time at which each number of entries was last reported.
        self._entry_counts_received_at = {1: -math.inf}
        self._listeners: list[tuple[Listener, Listener]] = []
        self._last_update_at = -math.inf

    @property
    def last_update_age_s(self) -> float:
        """Time since the last update of any control node; the view's age."""
        return now_s() - self._last_update_at

    def hears_majority(self) -> bool:
        """Whether a majority of control has recently reported the entries.

        An entry that hears a majority hears of each other one that does.
        """
        heard = self.entry_names.nodes_heard(_OUT_OF_TOUCH_S)
        members = set(self.control_addresses)
        return 2 * len(heard & members) > len(members)

    @property
    def entries(self) -> int:
        """Number of entries of the fleet: the highest of the recent reports."""
        return max(self._entry_counts_received_at)

    @property
    def version(self) -> int:
        """Version of the applied configuration; 0 if there is none."""
        return self.configuration.version if self.configuration else 0

    @property
    def configured_s_ago(self) -> float:
        """Seconds since the configuration was applied; infinite if none was."""
        return time.monotonic() - self._configured_at

    def apply_configuration(
        self, configuration: fleet_pb2.Configuration
    ) -> None:
        """Applies a configuration unless it is older than the current one."""
        if configuration.version <= self.version:
            return
        log_event(
            "configuration_applied",
            version=configuration.version,
            before=self.version,
            routes=len(configuration.routes),
        )
        self.configuration = configuration
        # Used in logs only, so it needs no event loop.
        self._configured_at = time.monotonic()
        self.route_table = RouteTable(configuration)
        self.set_configured_services(
            service.name for service in configuration.services
        )
        self.desired_changed.notify()

    def set_configured_services(self, names: Iterable[str]) -> None:
        """Sets the configured services; other targets are not in effect."""
        if self.targets.set_configured_services(frozenset(names)):
            self.changes += 1

    def version_desired_for(self, model: str, after_s: float) -> int:
        """The newest version that has been desired for some time; 0 if none.

        The time of each version counts from its own acceptance, also after a
        newer version has been accepted.

        Args:
            model: name of the model.
            after_s: minimum time since the acceptance.
        """
        accepted_at_by_version = self.accepted_at_by_model.get(model, {})
        latest_acceptance = now_s() - after_s
        return max(
            (
                v
                for v, since in accepted_at_by_version.items()
                if since <= latest_acceptance
            ),
            default=0,
        )

    def version_accepted_at(self, model: str, version: int) -> float:
        """Loop time at which a version was accepted as the desired one.

        Returns:
            Minus infinity if the time is unknown.
        """
        accepted_at_by_version = self.accepted_at_by_model.get(model, {})
        return accepted_at_by_version.get(version, -math.inf)

    def superseded_in_s(
        self, model: str, version: int, within_s: float
    ) -> float:
        """Time until requests may begin on newer versions only.

        Args:
            model: name of the model.
            version: the version in question.
            within_s: time from the acceptance of a version until no request may
                begin on an older one.

        Returns:
            Seconds from now, negative after that time; infinite if no newer
            version with a known time of acceptance is desired.
        """
        accepted_at_by_version = self.accepted_at_by_model.get(model, {})
        ends = (
            since + within_s - now_s()
            for newer, since in accepted_at_by_version.items()
            if newer > version and math.isfinite(since)
        )
        return min(ends, default=math.inf)

    def guarded_version(self, agent_address: str, model: str) -> int:
        """The newest version that an agent currently guards; 0 for none.

        A guarding agent takes older weights away from its target in time, so
        that no late request begins on them.

        Args:
            agent_address: address of the agent.
            model: name of the model.
        """
        agent = self.agents_by_address.get(agent_address)
        received_at = self._agent_received_at.get(agent_address, -math.inf)
        if agent is None or now_s() - received_at > _GUARD_TTL_S:
            return 0
        desired_versions = (
            desired for desired in agent.guarded if desired.model == model
        )
        return max((desired.version for desired in desired_versions), default=0)

    def add_listener(
        self, listener: Listener, on_renewal: Listener | None = None
    ) -> None:
        """Registers a listener for changes of targets or agents.

        Args:
            listener: called with each change.
            on_renewal: called instead with announcements of agents that only
                repeat the previous ones.
        """
        self._listeners.append((listener, on_renewal or listener))

    def apply_update(
        self, update: fleet_pb2.FleetUpdate, source: str = ""
    ) -> None:
        """Applies an update of a control node.

        Args:
            update: desired versions, targets, agents and other state.
            source: address of the control node.
        """
        self._last_update_at = now_s()
        if update.HasField("entry_names"):
            self.entry_names.apply(source, update.entry_names)
        else:
            self.entry_names.refresh(source)
        for desired in update.goals:
            self._merge_desired_version(desired)
        if self.evacuations.merge_all(update.evacuations):
            self.changes += 1
        for served in update.served:
            self._merge_served(served)
        self.merge(update.targets, update.agents, update.crashes, update.limits)
        if update.control_addresses:
            self.control_addresses = tuple(update.control_addresses)
        if update.entries:
            self._merge_entry_count(update.entries)

    def merge(
        self,
        targets: Iterable[fleet_pb2.TargetState],
        agents: Iterable[fleet_pb2.AgentState] = (),
        crashes: Iterable[quarantine_pb2.TargetCrash] = (),
        limits: Iterable[limits_pb2.NamedLimit] = (),
    ) -> None:
        """Merges announcements, crashes and rate limits, in any order."""
        changed = fleet_pb2.FleetUpdate(
            targets=[state for state in targets if self._merge_target(state)],
            crashes=self.crashes.merge_all(crashes),
            limits=self.limits.merge_all(limits),
        )
        has_changes = bool(changed.targets or changed.crashes or changed.limits)
        for agent in agents:
            known = self.agents_by_address.get(agent.address)
            if self._merge_agent(agent):
                changed.agents.append(agent)
                has_changes = has_changes or not _is_renewal(agent, known)
        if not has_changes and not changed.agents:
            return
        if changed.targets or changed.agents:
            self.changes += 1
        for listener, on_renewal in self._listeners:
            if has_changes:
                listener(changed)
            else:
                on_renewal(changed)

    def demote_target(self, target_id: str) -> None:
        """Records that another target answers at a target's address."""
        log_event("target_doubted", id=target_id)
        self.targets.demote(target_id)
        self.changes += 1

    def _merge_target(self, state: fleet_pb2.TargetState) -> bool:
        if not self.targets.merge(state):
            return False
        if self._logs_target(state):
            log_event(
                "target_changed",
                id=state.id,
                service=state.service,
                address=state.address,
                phase=fleet_pb2.TargetPhase.Name(state.phase),
                born_ms=state.born_ms,
                sequence=state.sequence,
            )
        return True

    def _merge_agent(self, agent: fleet_pb2.AgentState) -> bool:
        known = self.agents_by_address.get(agent.address)
        if known is not None and not _is_newer_agent(agent, known):
            return False
        if known is not None:
            # The first announcement received may be as old as its sender's end.
            self._agent_received_at[agent.address] = now_s()
        self.agents_by_address[agent.address] = agent
        return True

    def _merge_entry_count(self, entries: int) -> None:
        """Merges a control node's count of entries.

        A node counts its own watchers, and so too few after it has restarted or
        was partitioned.
        """
        now = now_s()
        self._entry_counts_received_at[entries] = now
        self._entry_counts_received_at = {
            count: received_at
            for count, received_at in self._entry_counts_received_at.items()
            if now - received_at <= _ENTRY_COUNT_TTL_S
        }

    def _merge_desired_version(self, desired: fleet_pb2.WeightGoal) -> None:
        self._merge_acceptance_time(desired)
        known = self.desired_version_by_model.get(desired.model)
        if known is not None and known.version >= desired.version:
            return
        self.desired_version_by_model[desired.model] = desired
        self.desired_changed.notify()
        log_event("weights_named", model=desired.model, version=desired.version)

    def _merge_served(self, served: fleet_pb2.ServedVersion) -> None:
        """Records a version in service; control sets it once for each model."""
        if served.model in self.served_by_model:
            return
        self.served_by_model[served.model] = served.version
        self.desired_changed.notify()
        log_event(
            "weights_in_service", model=served.model, version=served.version
        )

    def _merge_acceptance_time(self, desired: fleet_pb2.WeightGoal) -> None:
        """Keeps the earliest time of acceptance that any node has reported.

        A node that was partitioned or suspended, or whose update was late,
        reports too low an age; none reports too high an age. A desired version
        of unknown age was accepted long ago.
        """
        since_by_version = self.accepted_at_by_model.setdefault(
            desired.model, {}
        )
        known = since_by_version.get(desired.version, -math.inf)
        if not desired.HasField("age_ms"):
            since_by_version[desired.version] = known
            return
        reported_since = now_s() - desired.age_ms / 1000
        since = (
            reported_since if math.isinf(known) else min(known, reported_since)
        )
        since_by_version[desired.version] = since
        if abs(since - known) > _AGE_JITTER_S:
            self.desired_changed.notify()


def _is_renewal(
    agent: fleet_pb2.AgentState, known: fleet_pb2.AgentState | None
) -> bool:
    """Whether an announcement only repeats the previous one."""
    if known is None:
        return False
    copy = fleet_pb2.AgentState()
    copy.CopyFrom(agent)
    copy.sequence = known.sequence
    return copy == known


def _is_newer_agent(
    agent: fleet_pb2.AgentState, known: fleet_pb2.AgentState
) -> bool:
    """Whether one announcement of an agent takes precedence over another.

    The order is total, so that nodes with announcements of two incarnations
    agree on one of them, whichever they received first.
    """
    return _precedence_key(agent) > _precedence_key(known)


def _precedence_key(agent: fleet_pb2.AgentState) -> tuple[int, str, int]:
    return agent.started, agent.incarnation, agent.sequence
