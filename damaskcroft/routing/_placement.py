"""Selection of the target of a service that a request is sent to.

An engine reads prompts one after another, before their first tokens, and
between the tokens of all answers that it writes. On days of high load requests
were late because of prompts ahead of theirs in the engine, not because of a
lack of slots. So an entry keeps few prompts unread at each engine, and the
others wait in the queue, where requests that can still be in time go first.
"""

import asyncio
import dataclasses
import random
from collections.abc import Callable, Collection, Iterable

from damaskcroft.observe import metrics
from damaskcroft.routing._outliers import Outliers
from damaskcroft.routing._target_loads import TargetLoad, TargetLoads
from damaskcroft.routing._unread_bound import UnreadBound

__all__ = ["Candidate", "Placement", "Placer", "Slot"]

# Index, in a target's rank, of whether it has no room.
_NO_ROOM_INDEX = 1
# Load of a target without requests from here and without a report.
_UNKNOWN_LOAD = TargetLoad()
# A target with this many requests per slot is full: further ones would wait
# there, first come, first served.
_FULL = 1.0
# Bound on the prompts unread at one engine, as the time to read them, over all
# entries: together with the steps between which they are read, first events
# then come within a third of a second.
_MAX_UNREAD_S = 0.12

# A target whose fastest answers take this long is behind a narrow link, or on a
# slow machine: others with room are preferred. Latency objectives for first
# events are shorter than this, and so are the answer delays of a full engine.
_SLOW_ANSWER_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A target that could run a request.

    Attributes:
        id: id of one start of the target (one run of its process); all state
            about the target applies to that start alone.
        address: address that it listens on.
        failure_domain: its failure domain.
        region: region of its failure domain.
        slots: number of requests that it runs at once.
        prompt_tokens_s: rate at which it reads prompts; 0 if it reads none.
        target_id: the target's own id, which may stay the same over a restart.
        born_ms: time at which that start began, in Unix milliseconds; 0 if the
            target doesn't report it.
    """

    id: str
    address: str
    failure_domain: str
    region: str
    slots: int
    prompt_tokens_s: float = 0.0
    target_id: str = ""
    born_ms: int = 0


class Slot:
    """A slot of a request at a target, as its entry counts it."""

    __slots__ = ("_is_suspect", "_is_taken", "_load", "_unread_tokens")

    def __init__(self, load: TargetLoad, prompt_tokens: int, is_suspect: bool):
        """Counts a request in `load`."""
        self._load = load
        self._is_suspect = is_suspect
        load.suspects += is_suspect
        self._unread_tokens = prompt_tokens
        self._is_taken = True
        load.outstanding += 1
        load.unread_tokens += prompt_tokens

    def read(self) -> bool:
        """Records that the target has read the prompt, as its answer begins.

        Returns:
            Whether it had not been recorded before.
        """
        if not self._unread_tokens:
            return False
        self._load.unread_tokens -= self._unread_tokens
        self._unread_tokens = 0
        return True

    def give_back(self) -> None:
        """Records that the request has left the target; idempotent."""
        self.read()
        if self._is_taken:
            self._is_taken = False
            self._load.outstanding -= 1
            self._load.suspects -= self._is_suspect


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """A chosen target.

    Attributes:
        candidate: the target.
        fullness: its estimated requests per slot; 1 means that it is full.
        has_room: whether a request sent now should be answered soon.
    """

    candidate: Candidate
    fullness: float
    has_room: bool


class Placer:
    """Chooses the least full target, and the nearest of equals."""

    def __init__(
        self,
        failure_domain: str,
        region: str,
        outliers: Outliers,
        rng: random.Random | None = None,
        answer_delay_s: Callable[[str], float] = lambda _: 0.0,
        is_half_open: Callable[[str], bool] = lambda _: False,
        is_deferred: Callable[[str], bool] = lambda _: False,
        is_probe_due: Callable[[str], bool] = lambda _: False,
        is_assigned: Callable[[str], bool] = lambda _: True,
        unread_bound: UnreadBound | None = None,
    ):
        """Starts without requests at any target.

        Args:
            failure_domain: failure domain of this entry.
            region: region of this entry.
            outliers: targets that are ejected after failures.
            rng: decides between equals.
            answer_delay_s: returns the answer delay of a target, by its id.
            is_half_open: whether a target gets one request at a time now.
            is_deferred: whether other targets with room come before a target.
            is_probe_due: whether a target comes before others with room.
            is_assigned: whether a target is assigned to this entry for suspect
                requests.
            unread_bound: bound on unread prompts; by default one that follows
                the time to first event.
        """
        self._is_deferred = is_deferred
        self._is_probe_due = is_probe_due
        self._is_assigned = is_assigned
        self._unread_bound = unread_bound or UnreadBound()
        self._is_half_open = is_half_open
        self._answer_delay_s = answer_delay_s
        self._failure_domain = failure_domain
        self._region = region
        self._outliers = outliers
        self._rng = rng or random.Random()
        self._loads = TargetLoads()
        # Number of entries that share the targets.
        self.entries = 1

    def choose(
        self,
        candidates: Iterable[Candidate],
        excluded: Collection[str],
        prompt_tokens: int = 0,
        *,
        is_suspect: bool = False,
    ) -> Placement | None:
        """Returns the best target, or None if every one is excluded.

        Ejected targets come last, those without room before them, and deferred
        ones before those; a target that is due for a probe comes first. A
        target with a suspect request under way is avoided: if it crashes, few
        other requests are lost, and no second suspect request is among them.

        Args:
            candidates: all targets that could run the request.
            excluded: ids of targets that it must not be sent to.
            prompt_tokens: length of its prompt.
            is_suspect: whether the request ran on a target that crashed.
        """
        candidates = list(candidates)
        now = asyncio.get_running_loop().time()
        assumed = self._loads.assumed_fullness(
            ((each.id, each.slots) for each in candidates), now
        )
        best = None
        best_rank: tuple[float, ...] = ()
        best_fullness = readable_tokens = 0.0
        for candidate in candidates:
            readable_tokens += candidate.prompt_tokens_s * _MAX_UNREAD_S
            if candidate.id in excluded:
                continue
            load = self._loads.find(candidate.id) or _UNKNOWN_LOAD
            fullness = load.fullness(candidate.slots, assumed, now)
            has_room = fullness < _FULL and self._has_room(
                candidate, load, prompt_tokens
            )
            rank = self._rank(candidate, load, fullness, has_room, is_suspect)
            if best is None or rank < best_rank:
                best, best_rank, best_fullness = candidate, rank, fullness
        if best is None:
            return None
        has_room = (
            not best_rank[_NO_ROOM_INDEX]
            and self._fits_share(readable_tokens, prompt_tokens)
            and self._fleet_has_room(candidates, now)
        )
        return Placement(best, best_fullness, has_room)

    def _fleet_has_room(self, candidates: list[Candidate], now: float) -> bool:
        """Whether targets together have room; see `FleetFullness`."""
        outstanding = self._loads.outstanding
        if not outstanding:
            return True
        fleet = self._loads.fleet_fullness(
            ((each.id, each.slots) for each in candidates), now
        )
        if fleet.has_room(outstanding, self.entries):
            return True
        metrics.TARGETS_FULL_TOGETHER.inc()
        return False

    def _fits_share(self, readable_tokens: float, prompt_tokens: int) -> bool:
        """Whether a prompt fits into this entry's share of unread prompts.

        With one prompt at each target from each of many entries, all targets
        would be reading for longer than callers wait for a first event.
        """
        if not readable_tokens:
            return True
        unread_tokens = self._loads.unread_tokens
        if not unread_tokens:
            return True
        share_tokens = readable_tokens * self._unread_bound.share
        return unread_tokens + prompt_tokens <= share_tokens

    def is_ejected(self, candidate: Candidate) -> bool:
        """Whether a target is left out while others can be used."""
        return self._outliers.is_ejected(candidate.id)

    def fullness(self, candidate: Candidate) -> float:
        """Returns the estimated number of requests per slot of a target."""
        load = self._loads.find(candidate.id) or _UNKNOWN_LOAD
        now = asyncio.get_running_loop().time()
        return load.fullness(candidate.slots, 0.0, now)

    def take(
        self,
        candidate: Candidate,
        prompt_tokens: int = 0,
        *,
        is_suspect: bool = False,
    ) -> Slot:
        """Takes a slot for a request that is about to be sent.

        Args:
            candidate: the target that it is sent to.
            prompt_tokens: length of its prompt.
            is_suspect: whether the request ran on a target that crashed.
        """
        return Slot(
            self._loads.get_or_add(candidate.id), prompt_tokens, is_suspect
        )

    def record_first_answer(
        self, took_s: float, latency_objective_s: float
    ) -> None:
        """Records the time to first event; see `UnreadBound.record`."""
        self._unread_bound.record(took_s, latency_objective_s)

    def record_load(
        self, target_id: str, requests: int, pace: float = 1.0
    ) -> None:
        """Records the number of requests and the pace that a target reports."""
        self._loads.record_report(target_id, requests, pace)

    def retain_only(self, target_ids: Collection[str]) -> None:
        """Drops the loads of targets that are gone."""
        self._loads.retain_only(target_ids)

    def _has_room(
        self, candidate: Candidate, load: TargetLoad, prompt_tokens: int
    ) -> bool:
        """Whether a target that isn't full may receive a prompt now."""
        if load.outstanding and self._is_half_open(candidate.id):
            return False
        if not load.unread_tokens:
            return True
        unread_tokens = load.unread_tokens + prompt_tokens
        max_unread_tokens = candidate.prompt_tokens_s * _MAX_UNREAD_S
        return unread_tokens <= max_unread_tokens / max(1, self.entries)

    def _rank(
        self,
        candidate: Candidate,
        load: TargetLoad,
        fullness: float,
        has_room: bool,
        is_suspect: bool,
    ) -> tuple[float, ...]:
        return (
            self._outliers.is_ejected(candidate.id),
            not has_room,
            self._is_deferred(candidate.id),
            is_suspect or not self._is_probe_due(candidate.id),
            load.suspects > 0,
            is_suspect and not self._is_assigned(candidate.id),
            self._answer_delay_s(candidate.id) > _SLOW_ANSWER_S,
            # Rounded to tenths, so that distance decides between near equals.
            round(fullness, 1),
            self._distance(candidate),
            self._rng.random(),
        )

    def _distance(self, candidate: Candidate) -> int:
        if candidate.failure_domain == self._failure_domain:
            return 0
        return 1 if candidate.region == self._region else 2
