"""Which target of a service a request is sent to.

An engine reads prompts one after another, before their first tokens, and
between the tokens of all that it is writing. On heavy days requests were late
for prompts that waited before theirs in the engine, not for want of slots. So
an entry has few prompts unread at each engine, and the others wait in the
line, where whoever can still be in time goes first.
"""

import asyncio
import dataclasses
import random
from collections.abc import Callable, Collection, Iterable

from damaskcroft.routing._outliers import Outliers
from damaskcroft.routing._target_loads import TargetLoad, TargetLoads
from damaskcroft.routing._unread_bound import UnreadBound

__all__ = ["Candidate", "Placement", "Placer", "Slot"]

# Place in a target's rank.
_WITHOUT_ROOM = 1
# Of a target that nothing was sent to and that has told nothing.
_UNKNOWN = TargetLoad()
# A target with this many requests for each slot is full: more would wait
# there, in the order in which they came.
FULL = 1.0
# Prompts that may be unread at one engine, as the time that it takes to read
# them, over all entries: with the steps between which they are read, first
# events come within a third of a second then.
_MAX_UNREAD_S = 0.12

# A target whose quickest answers take this long is behind a narrow link, or on
# a slow machine: others with room go before it. Goals for first events are
# below it, and answers of a full engine are quicker.
_SLOW_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A target that could run a request.

    Attributes:
        id: one start of the target: what is believed of it holds for that
            start alone.
        address: where it listens.
        failure_domain: where it stands.
        region: region of its failure domain.
        slots: requests that it runs at once.
        prompt_tokens_s: how fast it reads prompts; 0 where it reads none.
        target_id: the target's own id, which it may keep over a restart.
        born_ms: when that start began, in Unix milliseconds; 0 where the
            target doesn't tell.
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
    """A request's place at a target, as its entry counts it."""

    __slots__ = ("_is_suspect", "_is_taken", "_load", "_unread_tokens")

    def __init__(self, load: TargetLoad, prompt_tokens: int, is_suspect: bool):
        """Takes a place in `load`."""
        self._load = load
        self._is_suspect = is_suspect
        load.suspects += is_suspect
        self._unread_tokens = prompt_tokens
        self._is_taken = True
        load.outstanding += 1
        load.unread_tokens += prompt_tokens

    def read(self) -> bool:
        """The target has read the prompt, since its answer has begun.

        Returns:
            Whether that is news.
        """
        if not self._unread_tokens:
            return False
        self._load.unread_tokens -= self._unread_tokens
        self._unread_tokens = 0
        return True

    def give_back(self) -> None:
        """The request has left the target; once is enough."""
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
        fullness: its estimated load in slots; 1 means that all are taken.
        has_room: whether a request sent now should soon be answered.
    """

    candidate: Candidate
    fullness: float
    has_room: bool


class Placer:
    """Chooses the target that is emptiest for its size, nearest first."""

    def __init__(
        self,
        failure_domain: str,
        region: str,
        outliers: Outliers,
        rng: random.Random | None = None,
        answer_delay_s: Callable[[str], float] = lambda _: 0.0,
        takes_one: Callable[[str], bool] = lambda _: False,
        is_spared: Callable[[str], bool] = lambda _: False,
        is_due: Callable[[str], bool] = lambda _: False,
        is_own: Callable[[str], bool] = lambda _: True,
        unread_bound: UnreadBound | None = None,
    ):
        """Chooses for an entry in a failure domain of a region.

        Args:
            failure_domain: the entry's.
            region: the entry's.
            outliers: targets that failed.
            rng: decides between equals.
            answer_delay_s: how soon a target answers, by its id.
            takes_one: whether a target takes one request at a time now.
            is_spared: whether other targets with room go before one.
            is_due: whether one goes before others with room.
            is_own: whether no other entry sends suspects to a target first.
            unread_bound: what engines may have unread; by default one that
                follows first events.
        """
        self._is_spared = is_spared
        self._is_due = is_due
        self._is_own = is_own
        self._unread_bound = unread_bound or UnreadBound()
        self._takes_one = takes_one
        self._answer_delay_s = answer_delay_s
        self._failure_domain = failure_domain
        self._region = region
        self._outliers = outliers
        self._rng = rng or random.Random()
        self._loads = TargetLoads()
        # How many entries share the targets.
        self.entries = 1

    def choose(
        self,
        candidates: Iterable[Candidate],
        excluded: Collection[str],
        prompt_tokens: int = 0,
        *,
        is_suspect: bool = False,
    ) -> Placement | None:
        """The best target, or None if every one is excluded.

        Targets that are put aside after failures come last, those without
        room before them, then those to be spared; one that is due comes
        first. One that has a suspect
        request under way is avoided: should it crash, few others are lost, and
        no second suspect with it.

        Args:
            candidates: all that could run the request.
            excluded: ids of those that it shall not be sent to.
            prompt_tokens: length of its prompt.
            is_suspect: whether a target has crashed under it.
        """
        candidates = list(candidates)
        now = asyncio.get_running_loop().time()
        usual = self._loads.usual_fullness(
            ((each.id, each.slots) for each in candidates), now
        )
        best = None
        best_rank: tuple[float, ...] = ()
        best_fullness = readable_tokens = 0.0
        for candidate in candidates:
            readable_tokens += candidate.prompt_tokens_s * _MAX_UNREAD_S
            if candidate.id in excluded:
                continue
            load = self._loads.find(candidate.id) or _UNKNOWN
            fullness = load.fullness(candidate.slots, usual, now)
            has_room = fullness < FULL and self._has_room(
                candidate, load, prompt_tokens
            )
            rank = self._rank(candidate, load, fullness, has_room, is_suspect)
            if best is None or rank < best_rank:
                best, best_rank, best_fullness = candidate, rank, fullness
        if best is None:
            return None
        has_room = not best_rank[_WITHOUT_ROOM] and self._has_part_left(
            readable_tokens, prompt_tokens
        )
        return Placement(best, best_fullness, has_room)

    def _has_part_left(
        self, readable_tokens: float, prompt_tokens: int
    ) -> bool:
        """Whether this entry has unread prompts left of its part of the fleet.

        With one at each target, many entries would keep all of them reading
        for longer than callers wait for a first event.
        """
        if not readable_tokens:
            return True
        unread_tokens = self._loads.unread_tokens
        if not unread_tokens:
            return True
        part_tokens = readable_tokens * self._unread_bound.part
        return unread_tokens + prompt_tokens <= part_tokens

    def fullness(self, candidate: Candidate) -> float:
        """Estimated requests at a target for each of its slots."""
        load = self._loads.find(candidate.id) or _UNKNOWN
        now = asyncio.get_running_loop().time()
        return load.fullness(candidate.slots, 0.0, now)

    def take(
        self,
        candidate: Candidate,
        prompt_tokens: int = 0,
        *,
        is_suspect: bool = False,
    ) -> Slot:
        """Takes a place for a request that is about to be sent.

        Args:
            candidate: where to.
            prompt_tokens: length of its prompt.
            is_suspect: whether a target has crashed under it.
        """
        return Slot(self._loads.of(candidate.id), prompt_tokens, is_suspect)

    def first_answered(self, took_s: float, goal_s: float) -> None:
        """Takes how long an engine needed to begin; see UnreadBound.note."""
        self._unread_bound.note(took_s, goal_s)

    def told(self, target_id: str, requests: int) -> None:
        """Takes a target's own word on how many requests it has."""
        self._loads.told(target_id, requests)

    def forget_all_but(self, target_ids: Collection[str]) -> None:
        """Drops what is known of targets that are gone."""
        self._loads.forget_all_but(target_ids)

    def _has_room(
        self, candidate: Candidate, load: TargetLoad, prompt_tokens: int
    ) -> bool:
        """Whether a target that isn't full may be sent a prompt now."""
        if load.outstanding and self._takes_one(candidate.id):
            return False
        if not load.unread_tokens:
            return True
        unread_tokens = load.unread_tokens + prompt_tokens
        most_tokens = candidate.prompt_tokens_s * _MAX_UNREAD_S
        return unread_tokens <= most_tokens / max(1, self.entries)

    def _rank(
        self,
        candidate: Candidate,
        load: TargetLoad,
        fullness: float,
        has_room: bool,
        is_suspect: bool,
    ) -> tuple[float, ...]:
        return (
            self._outliers.is_aside(candidate.id),
            not has_room,
            self._is_spared(candidate.id),
            is_suspect or not self._is_due(candidate.id),
            load.suspects > 0,
            is_suspect and not self._is_own(candidate.id),
            self._answer_delay_s(candidate.id) > _SLOW_S,
            # Steps of a tenth, so that distance decides between equals.
            round(fullness, 1),
            self._distance(candidate),
            self._rng.random(),
        )

    def _distance(self, candidate: Candidate) -> int:
        if candidate.failure_domain == self._failure_domain:
            return 0
        return 1 if candidate.region == self._region else 2
