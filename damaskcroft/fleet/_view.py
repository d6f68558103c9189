"""What one entry or agent believes of the fleet."""

import math
import time
from collections.abc import Callable, Iterable

from damaskcroft._generated import fleet_pb2, limits_pb2, quarantine_pb2
from damaskcroft.clock import now_s
from damaskcroft.fleet._entry_names import EntryNames
from damaskcroft.fleet._routes import RouteTable
from damaskcroft.fleet._targets import TargetBook
from damaskcroft.limits import LimitBook
from damaskcroft.observe import log_event
from damaskcroft.quarantine import CrashBook
from damaskcroft.tasks import Signal

__all__ = ["GUARD_RENEWED_S", "RENEWALS_GATHERED_S", "FleetView"]

Listener = Callable[[fleet_pb2.FleetUpdate], None]

# How often an agent tells again what it guards, while its target still holds
# older weights: some words in the seconds between naming and switch.
GUARD_RENEWED_S = 1.0
# For how long a control node gathers renewals, so that a watcher isn't woken by
# each of them.
RENEWALS_GATHERED_S = 0.25
# A guard that has not been told for so long is none: the agent may have ended
# or stand still. Two words that don't come, and their way.
_GUARD_HOLDS_S = 2.5 * GUARD_RENEWED_S - RENEWALS_GATHERED_S

# Ages are told again and again; what the way took differs by this much.
_AGE_JITTER_S = 0.005

# For this long the most entries that a control node told of count, in seconds:
# watchers return to one that restarted once they have noticed, after two
# seconds of silence at most, and it counts them with its next update.
_ENTRIES_HOLD_S = 3.0


class FleetView:
    """Merges what all control nodes say; each part only moves forward.

    Args:
        logs_target: whether changes of a target get a line in this process's
            log. If each of many processes wrote of each target, logs would
            grow with the square of the fleet.
        crashes: where crashes of targets are noted; by default a book of its
            own.

    Attributes:
        configuration: the newest applied, or None after a fresh start.
        table: its routes and keys, or None.
        book: announcements of targets.
        goal_by_model: version of weights that should serve.
        goal_since_by_model: when each version named for a model was
            accepted, on this process's clock; long ago where no control
            node knows.
        served_by_model: version in service where none was named, as control
            has recorded it; a goal goes before it.
        agents_by_address: where agents give pieces of weights.
        control_addresses: members of control, as last told.
        crashes: targets that crashed, and under which requests.
        limits: targets that named how many requests a second they take.
        entry_names: all entries of the fleet.
        wishes: given when what should serve changes: the configuration, a
            goal, its time of acceptance, a record of service.
    """

    def __init__(
        self,
        logs_target: Callable[[fleet_pb2.TargetState], bool] = lambda _: True,
        crashes: CrashBook | None = None,
    ) -> None:
        """Creates a view that knows nothing."""
        self.crashes = crashes if crashes is not None else CrashBook()
        self.limits = LimitBook()
        self.entry_names = EntryNames()
        self.wishes = Signal()
        self._logs_target = logs_target
        self.configuration: fleet_pb2.Configuration | None = None
        self._configured_at = -math.inf
        self.table: RouteTable | None = None
        self.book = TargetBook()
        self.goal_by_model: dict[str, fleet_pb2.WeightGoal] = {}
        self.goal_since_by_model: dict[str, dict[int, float]] = {}
        self.served_by_model: dict[str, int] = {}
        self.agents_by_address: dict[str, fleet_pb2.AgentState] = {}
        self._agent_heard_at: dict[str, float] = {}
        # Counts what readers may want to look at targets and agents for.
        self.changes = 0
        self.control_addresses: tuple[str, ...] = ()
        # When each count of entries was last told.
        self._entries_told_at = {1: -math.inf}
        self._listeners: list[tuple[Listener, Listener]] = []
        self._heard_at = -math.inf

    @property
    def heard_s_ago(self) -> float:
        """How long no control node has been heard; the age of all this."""
        return now_s() - self._heard_at

    @property
    def entries(self) -> int:
        """How many entries the fleet has; the most that was told lately."""
        return max(self._entries_told_at)

    @property
    def version(self) -> int:
        """Version of the applied configuration; 0 for none."""
        return self.configuration.version if self.configuration else 0

    @property
    def configured_s_ago(self) -> float:
        """Seconds since the configuration was applied; infinite for none."""
        return time.monotonic() - self._configured_at

    def apply_configuration(
        self, configuration: fleet_pb2.Configuration
    ) -> None:
        """Applies a configuration unless a newer one is in place."""
        if configuration.version <= self.version:
            return
        log_event(
            "configuration_applied",
            version=configuration.version,
            before=self.version,
            routes=len(configuration.routes),
        )
        self.configuration = configuration
        # Told in logs only, so it needs no loop.
        self._configured_at = time.monotonic()
        self.table = RouteTable(configuration)
        self.name_services(service.name for service in configuration.services)
        self.wishes.give()

    def name_services(self, names: Iterable[str]) -> None:
        """Lets targets of these services count, and no others."""
        if self.book.name_services(frozenset(names)):
            self.changes += 1

    def due_version(self, model: str, after_s: float) -> int:
        """The newest version named at least some time ago; 0 for none.

        A version counts from its own acceptance, also after a newer one has
        been named.

        Args:
            model: its name.
            after_s: how long ago.
        """
        named = self.goal_since_by_model.get(model, {})
        limit = now_s() - after_s
        return max(
            (v for v, since in named.items() if since <= limit), default=0
        )

    def goal_since(self, model: str, version: int) -> float:
        """When a version was accepted; minus infinity where nobody knows."""
        named = self.goal_since_by_model.get(model, {})
        return named.get(version, -math.inf)

    def ends_in_s(self, model: str, version: int, within_s: float) -> float:
        """Until requests may begin on newer versions only.

        Args:
            model: its name.
            version: what is asked about.
            within_s: from a version's acceptance until no request may begin on
                an older one.

        Returns:
            Seconds from now, below zero once that is over; infinite where no
            newer version is named of which somebody knows the age.
        """
        named = self.goal_since_by_model.get(model, {})
        ends = (
            since + within_s - now_s()
            for newer, since in named.items()
            if newer > version and math.isfinite(since)
        )
        return min(ends, default=math.inf)

    def guarded_version(self, agent_address: str, model: str) -> int:
        """The newest version that an agent guards now; 0 for none.

        Args:
            agent_address: whose word it is.
            model: its name.
        """
        agent = self.agents_by_address.get(agent_address)
        heard_at = self._agent_heard_at.get(agent_address, -math.inf)
        if agent is None or now_s() - heard_at > _GUARD_HOLDS_S:
            return 0
        goals = (goal for goal in agent.guarded if goal.model == model)
        return max((goal.version for goal in goals), default=0)

    def listen(
        self, listener: Listener, on_renewal: Listener | None = None
    ) -> None:
        """Calls `listener` with each change of targets or agents.

        Args:
            listener: hears of changes.
            on_renewal: hears, in its stead, of agents' words that say what
                the ones before them said.
        """
        self._listeners.append((listener, on_renewal or listener))

    def apply_update(
        self, update: fleet_pb2.FleetUpdate, teller: str = ""
    ) -> None:
        """Takes goals, targets and agents from a control node's update.

        Args:
            update: what it tells.
            teller: address of the control node.
        """
        self._heard_at = now_s()
        if update.HasField("entry_names"):
            self.entry_names.told(teller, update.entry_names)
        else:
            self.entry_names.heard(teller)
        for goal in update.goals:
            self._take_goal(goal)
        for served in update.served:
            self._take_served(served)
        self.take(update.targets, update.agents, update.crashes, update.limits)
        if update.control_addresses:
            self.control_addresses = tuple(update.control_addresses)
        if update.entries:
            self._take_entries(update.entries)

    def take(
        self,
        targets: Iterable[fleet_pb2.TargetState],
        agents: Iterable[fleet_pb2.AgentState] = (),
        crashes: Iterable[quarantine_pb2.TargetCrash] = (),
        limits: Iterable[limits_pb2.NamedLimit] = (),
    ) -> None:
        """Takes announcements, crashes and limits, in any order."""
        changed = fleet_pb2.FleetUpdate(
            targets=[state for state in targets if self._take_target(state)],
            crashes=self.crashes.take_all(crashes),
            limits=self.limits.take_all(limits),
        )
        is_news = bool(changed.targets or changed.crashes or changed.limits)
        for agent in agents:
            known = self.agents_by_address.get(agent.address)
            if self._take_agent(agent):
                changed.agents.append(agent)
                is_news = is_news or not _is_renewal(agent, known)
        if not is_news and not changed.agents:
            return
        if changed.targets or changed.agents:
            self.changes += 1
        for listener, on_renewal in self._listeners:
            if is_news:
                listener(changed)
            else:
                on_renewal(changed)

    def doubt_target(self, target_id: str) -> None:
        """Takes note that another target answers at a target's address."""
        log_event("target_doubted", id=target_id)
        self.book.doubt(target_id)
        self.changes += 1

    def _take_target(self, state: fleet_pb2.TargetState) -> bool:
        if not self.book.take(state):
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

    def _take_agent(self, agent: fleet_pb2.AgentState) -> bool:
        known = self.agents_by_address.get(agent.address)
        if known is not None and not _is_newer_agent(agent, known):
            return False
        if known is not None:
            # The first word that is heard may be as old as its sender's end.
            self._agent_heard_at[agent.address] = now_s()
        self.agents_by_address[agent.address] = agent
        return True

    def _take_entries(self, entries: int) -> None:
        """A node counts its own watchers, too few after its start or a cut."""
        now = now_s()
        self._entries_told_at[entries] = now
        self._entries_told_at = {
            count: told_at
            for count, told_at in self._entries_told_at.items()
            if now - told_at <= _ENTRIES_HOLD_S
        }

    def _take_goal(self, goal: fleet_pb2.WeightGoal) -> None:
        self._take_age(goal)
        known = self.goal_by_model.get(goal.model)
        if known is not None and known.version >= goal.version:
            return
        self.goal_by_model[goal.model] = goal
        self.wishes.give()
        log_event("weights_named", model=goal.model, version=goal.version)

    def _take_served(self, served: fleet_pb2.ServedVersion) -> None:
        """Control records one version of a model, once."""
        if served.model in self.served_by_model:
            return
        self.served_by_model[served.model] = served.version
        self.wishes.give()
        log_event(
            "weights_in_service", model=served.model, version=served.version
        )

    def _take_age(self, goal: fleet_pb2.WeightGoal) -> None:
        """Keeps the earliest time of acceptance that any node has told.

        A node that was cut off or frozen, or whose word came late, tells an
        age that is too small; none tells one that is too large. A goal whose
        age nobody knows was accepted long ago.
        """
        since_by_version = self.goal_since_by_model.setdefault(goal.model, {})
        known = since_by_version.get(goal.version, -math.inf)
        if not goal.HasField("age_ms"):
            since_by_version[goal.version] = known
            return
        told = now_s() - goal.age_ms / 1000
        since = told if math.isinf(known) else min(known, told)
        since_by_version[goal.version] = since
        if abs(since - known) > _AGE_JITTER_S:
            self.wishes.give()


def _is_renewal(
    agent: fleet_pb2.AgentState, known: fleet_pb2.AgentState | None
) -> bool:
    """Whether a word says what the one before it said."""
    if known is None:
        return False
    copy = fleet_pb2.AgentState()
    copy.CopyFrom(agent)
    copy.sequence = known.sequence
    return copy == known


def _is_newer_agent(
    agent: fleet_pb2.AgentState, known: fleet_pb2.AgentState
) -> bool:
    """Whether one word of an agent goes before another.

    The order is total, so that nodes which hold words of two incarnations
    agree on one, whichever they heard first.
    """
    return _order(agent) > _order(known)


def _order(agent: fleet_pb2.AgentState) -> tuple[int, str, int]:
    return agent.started, agent.incarnation, agent.sequence
