"""What targets say of themselves, in the order in which they said it.

Announcements are soft state: they may come late, twice, or after their
sender's end, and a target may start again under the id that it had. A word's
place is its start, told by when the target was born, then its number within
that start. So a later start takes the place of an earlier one, whose late
words change nothing; who leaves ends its start and those before it, not its
id.

A target of an older writer doesn't tell when it was born: the sequence alone
orders its words, and its id never comes back once it has left. Where words
with and without it mix under one id, those with it go first. A leaving word
without it can't say which start it ends: it takes the target out until its
next word.
"""

import math
from collections.abc import Collection, Iterator

from damaskcroft._generated import fleet_pb2

__all__ = ["TargetBook", "start_id"]

# Marks of ended starts kept, so that late announcements can't revive them. A
# target's announcement is at most some seconds late; this covers days of
# releases.
_MAX_ENDED = 4096
# Words kept, the longest unheard dropped first: four times the targets of the
# largest planned fleet. Whoever is up is heard every second or so; other
# writers' words can't fill the memory.
_MAX_WORDS = 16384
# Of a mark that ends a start whatever service it told.
_ANY_SERVICE = ""

# A start, and a place within it. No word comes before the first.
_Order = tuple[int, float]
_BEFORE_ALL: _Order = (-1, 0)


class _Word:
    """The newest word of a target on one service.

    Attributes:
        state: the word.
        heard: the order in which the first words of starts were heard; below
            1 for one that is doubted.
    """

    __slots__ = ("heard", "state")

    def __init__(self, state: fleet_pb2.TargetState, heard: int):
        self.state = state
        self.heard = heard

    @property
    def address_rank(self) -> tuple[bool, int, int]:
        """Of two at one address, the higher one holds it."""
        is_trusted = self.heard > 0
        born_ms = self.state.born_ms if is_trusted else 0
        return is_trusted, born_ms, self.heard


class TargetBook:
    """The newest state of each target.

    Words are kept by id and service. Only those of services that the
    configuration in force names count, so that another writer's word on an
    unknown service displaces no target; a later configuration may name it.
    """

    __slots__ = ("_believed", "_ended", "_heard", "_named_services",
                 "_newest_by_id", "_words_by_key")  # fmt: skip

    def __init__(self) -> None:
        """Creates an empty book to which every service counts."""
        # By id and service, the one that was heard last at the end.
        self._words_by_key: dict[tuple[str, str], _Word] = {}
        # Up to which word of an id, and of which service, all is over.
        self._ended: dict[tuple[str, str], _Order] = {}
        self._heard = 0
        self._named_services: frozenset[str] | None = None
        # Worked out from the words when asked for; None after a change.
        self._newest_by_id: dict[str, _Word] | None = None
        self._believed: tuple[fleet_pb2.TargetState, ...] | None = None

    @property
    def targets_by_id(self) -> dict[str, fleet_pb2.TargetState]:
        """The newest word of each target on a service that counts."""
        return {
            target_id: word.state for target_id, word in self._newest().items()
        }

    def newest(self, target_id: str) -> fleet_pb2.TargetState | None:
        """The newest word of one target, or None."""
        word = self._newest().get(target_id)
        return word.state if word is not None else None

    def take(self, state: fleet_pb2.TargetState) -> bool:
        """Takes one announcement.

        Returns:
            Whether it changed anything but the sequence.
        """
        known = self._words_by_key.get(_key(state))
        if known is not None and _leaves_some_start(state, known.state):
            return self._take_out(known.state)
        if self._is_over(state):
            return False
        if state.phase == fleet_pb2.TARGET_GONE:
            return self._end(state)
        if known is not None and _order(state) <= _order(known.state):
            return False
        self._keep(state, known)
        return known is None or not _equal_but_sequence(state, known.state)

    def name_services(self, names: Collection[str]) -> bool:
        """Lets words on these services count, and no others.

        Returns:
            Whether other targets count than before.
        """
        named = frozenset(names)
        if named == self._named_services:
            return False
        before = self.targets_by_id
        self._named_services = named
        self._forget_derived()
        return self.targets_by_id != before

    def believed(self) -> list[fleet_pb2.TargetState]:
        """Targets that hold their address, by the order of first word.

        Where two ids name one address, the one born later holds it, or the
        one first heard of later where a target doesn't tell, unless it is
        doubted: addresses are used again after their owner's end.
        """
        if self._believed is None:
            self._believed = self._holders()
        return list(self._believed)

    def _holders(self) -> tuple[fleet_pb2.TargetState, ...]:
        holder_by_address: dict[str, _Word] = {}
        for word in self._newest().values():
            address = word.state.address
            other = holder_by_address.get(address)
            if other is None or word.address_rank > other.address_rank:
                holder_by_address[address] = word
        holders = sorted(holder_by_address.values(), key=lambda w: w.heard)
        return tuple(word.state for word in holders)

    def doubt(self, target_id: str) -> None:
        """Lets the others at an address hold it before this id.

        Whoever answers there has said to be another one: this id's word came
        late. Should that have been wrong, another doubt undoes it.
        """
        doubted = [
            word
            for (known_id, _), word in self._words_by_key.items()
            if known_id == target_id
        ]
        least = min((w.heard for w in self._words_by_key.values()), default=0)
        for word in doubted:
            word.heard = min(least, 1) - 1
        self._forget_derived()

    def is_leaving(self, target_id: str, born_ms: int) -> bool:
        """Whether a start of a target said that it ends, or has so ended.

        Args:
            target_id: the target's.
            born_ms: when the start began; 0 if it doesn't tell.
        """
        ended_ms, _ = self._ended.get((target_id, _ANY_SERVICE), _BEFORE_ALL)
        if born_ms <= ended_ms:
            return True
        state = self.newest(target_id)
        if state is None or state.born_ms != born_ms:
            return False
        return state.phase != fleet_pb2.TARGET_READY

    def newest_born_ms(self, target_id: str) -> int:
        """The newest start of a target that is known; 0 if it tells none."""
        state = self.newest(target_id)
        return state.born_ms if state is not None else 0

    def start_ids(self) -> set[str]:
        """The known starts of all targets; see `start_id`."""
        return {start_id(state) for state in self.targets_by_id.values()}

    def words(self) -> Iterator[fleet_pb2.TargetState]:
        """All that is kept, also on services that don't count yet."""
        for word in self._words_by_key.values():
            yield word.state

    def ended(self) -> Iterator[fleet_pb2.TargetState]:
        """Words that end what has ended, oldest first.

        One that doesn't tell its start is not told on once a later start of
        the target is known, since it would end that for whoever hears it.
        """
        living = {target_id for target_id, _ in self._words_by_key}
        for (target_id, service), (born_ms, _) in self._ended.items():
            if service != _ANY_SERVICE:
                continue
            if born_ms or target_id not in living:
                yield fleet_pb2.TargetState(
                    id=target_id, phase=fleet_pb2.TARGET_GONE, born_ms=born_ms
                )

    def _forget_derived(self) -> None:
        self._newest_by_id = None
        self._believed = None

    def _newest(self) -> dict[str, _Word]:
        if self._newest_by_id is None:
            self._newest_by_id = {}
            for (target_id, service), word in self._words_by_key.items():
                if not self._counts(service):
                    continue
                other = self._newest_by_id.get(target_id)
                if other is None or _order(word.state) > _order(other.state):
                    self._newest_by_id[target_id] = word
        return self._newest_by_id

    def _counts(self, service: str) -> bool:
        return self._named_services is None or service in self._named_services

    def _is_over(self, state: fleet_pb2.TargetState) -> bool:
        order = _order(state)
        if state.phase == fleet_pb2.TARGET_GONE:
            order = (state.born_ms, math.inf)
        marks = (
            self._ended.get((state.id, service), _BEFORE_ALL)
            for service in {_ANY_SERVICE, state.service}
        )
        return order <= max(marks)

    def _keep(self, state: fleet_pb2.TargetState, known: _Word | None) -> None:
        heard = known.heard if known is not None else 0
        if known is None or known.state.born_ms != state.born_ms:
            self._heard += 1
            heard = self._heard
        self._words_by_key.pop(_key(state), None)
        self._words_by_key[_key(state)] = _Word(state, heard)
        if len(self._words_by_key) > _MAX_WORDS:
            self._words_by_key.pop(next(iter(self._words_by_key)))
        self._forget_derived()

    def _end(self, gone: fleet_pb2.TargetState) -> bool:
        """Ends a start and those before it."""
        last = (gone.born_ms, math.inf)
        for key, word in list(self._words_by_key.items()):
            if key[0] != gone.id:
                continue
            if _order(word.state) <= last:
                del self._words_by_key[key]
            elif not gone.born_ms:
                self._take_out(word.state)
        self._mark((gone.id, _ANY_SERVICE), last)
        self._forget_derived()
        return True

    def _take_out(self, known: fleet_pb2.TargetState) -> bool:
        """Leaves a target aside until its next word."""
        del self._words_by_key[_key(known)]
        self._mark(_key(known), _order(known))
        self._forget_derived()
        return True

    def _mark(self, key: tuple[str, str], order: _Order) -> None:
        before = self._ended.pop(key, _BEFORE_ALL)
        self._ended[key] = max(before, order)
        while len(self._ended) > _MAX_ENDED:
            self._ended.pop(next(iter(self._ended)))


def start_id(state: fleet_pb2.TargetState) -> str:
    """Names one start of a target.

    What is believed of a target's load, faults and connections is kept by it,
    so that nothing of that outlives the start that it was seen of.
    """
    if not state.born_ms:
        return state.id
    return f"{state.id}@{state.born_ms}"


def _key(state: fleet_pb2.TargetState) -> tuple[str, str]:
    return state.id, state.service


def _order(state: fleet_pb2.TargetState) -> _Order:
    return state.born_ms, state.sequence


def _leaves_some_start(
    state: fleet_pb2.TargetState, known: fleet_pb2.TargetState
) -> bool:
    """Whether a leaving word doesn't say which start of a target it is of."""
    is_leaving = state.phase == fleet_pb2.TARGET_DRAINING
    return is_leaving and not state.born_ms and known.born_ms > 0


def _equal_but_sequence(
    state: fleet_pb2.TargetState, known: fleet_pb2.TargetState
) -> bool:
    copy = fleet_pb2.TargetState()
    copy.CopyFrom(state)
    copy.sequence = known.sequence
    return copy == known
