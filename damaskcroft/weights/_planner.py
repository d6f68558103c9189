"""Planners: determine from which agent each agent fetches a chunk.

Every agent computes the same total order of agents for each chunk from the
roster alone, so no messages are needed to agree. In each chunk's tree an
agent's parent always precedes it in that order, so no cycle of agents that wait
for each other can form, whichever agents each of them suspects. The first agent
of an order that is not suspected reads the chunk from outside.

The planners are compared by measurement in docs/design/002-burst.md.
"""

import abc
import dataclasses
import functools
import hashlib
from collections.abc import Sequence

_TREE_ARITY = 2
_GOLDEN_SECTION = 0.618034


@dataclasses.dataclass(frozen=True, slots=True)
class Participant:
    """An agent that takes part in a burst."""

    id: str
    address: str
    failure_domain: str


class Planner(abc.ABC):
    """Chooses each chunk's source.

    Args:
        own_id: the agent for which sources are chosen.
        participants: all agents of the burst, this one included.
    """

    def __init__(self, own_id: str, participants: Sequence[Participant]):
        """Sorts the participants, so that all agents use the same order."""
        self.own_id = own_id
        self.participants = sorted(participants, key=lambda p: p.id)
        self.by_id = {p.id: p for p in self.participants}
        self.domain_by_id = {p.id: p.failure_domain for p in self.participants}

    @abc.abstractmethod
    def parent(
        self, chunk_index: int, suspects: frozenset[str]
    ) -> Participant | None:
        """The agent to ask for a chunk, or None to read it from outside.

        Args:
            chunk_index: the chunk's index in the manifest.
            suspects: agents that do not answer now.
        """

    def planned_reader(self, chunk_index: int) -> Participant:
        """The agent that reads a chunk from outside if none is suspected."""
        return self.participants[chunk_index % len(self.participants)]

    def reader_rank(self, chunk_index: int, suspects: frozenset[str]) -> int:
        """How many agents precede this one as readers of a chunk from outside.

        The order starts at another agent for each chunk, so that the reads of
        an agent that fails are spread over all others.
        """
        unsuspected = [p.id for p in self.participants if p.id not in suspects]
        if self.own_id not in unsuspected:
            return len(unsuspected)
        place = unsuspected.index(self.own_id)
        return (place - chunk_index) % len(unsuspected)


class OriginPlanner(Planner):
    """Every agent reads every chunk from outside: the baseline."""

    def parent(
        self, chunk_index: int, suspects: frozenset[str]
    ) -> Participant | None:
        """Always reads from outside."""
        return None


class ChainPlanner(Planner):
    """One chain through all agents, the same for every chunk."""

    def parent(
        self, chunk_index: int, suspects: frozenset[str]
    ) -> Participant | None:
        """The nearest agent earlier in the chain that is not suspected."""
        before: Participant | None = None
        for participant in self.participants:
            if participant.id == self.own_id:
                return before
            if participant.id not in suspects:
                before = participant
        return before


class TreePlanner(Planner):
    """A binary tree for each chunk: over failure domains, then inside each.

    One agent of a domain fetches the chunk over the link between sites; the
    other agents fetch it inside the domain. Subclasses define the order of the
    agents.
    """

    def __init__(self, own_id: str, participants: Sequence[Participant]):
        """Groups the participants by failure domain."""
        super().__init__(own_id, participants)
        self._members_by_domain: dict[str, list[Participant]] = {}
        for participant in self.participants:
            members = self._members_by_domain.setdefault(
                participant.failure_domain, []
            )
            members.append(participant)
        self._domains = sorted(self._members_by_domain)
        self._own_domain = next(
            p.failure_domain for p in self.participants if p.id == own_id
        )

    @abc.abstractmethod
    def order(self, chunk_index: int, names: Sequence[str]) -> Sequence[int]:
        """The order of `names` for a chunk, as indexes into `names`."""

    def planned_reader(self, chunk_index: int) -> Participant:
        """The first agent of the first domain in the chunk's order."""
        first = self.order(chunk_index, self._domains)[0]
        return self._unsuspected(
            chunk_index, self._domains[first], frozenset()
        )[0]

    def parent(
        self, chunk_index: int, suspects: frozenset[str]
    ) -> Participant | None:
        """The parent in the domain's tree, or in the tree over domains."""
        members = self._unsuspected(chunk_index, self._own_domain, suspects)
        place = next(
            i for i, member in enumerate(members) if member.id == self.own_id
        )
        if place > 0:
            return members[(place - 1) // _TREE_ARITY]
        return self._parent_outside_domain(chunk_index, suspects)

    def _parent_outside_domain(
        self, chunk_index: int, suspects: frozenset[str]
    ) -> Participant | None:
        heads: list[Participant] = []
        for position in self.order(chunk_index, self._domains):
            domain = self._domains[position]
            members = self._unsuspected(chunk_index, domain, suspects)
            if domain == self._own_domain:
                break
            if members:
                heads.append(members[0])
        if not heads:
            return None
        return heads[(len(heads) - 1) // _TREE_ARITY]

    def _unsuspected(
        self, chunk_index: int, domain: str, suspects: frozenset[str]
    ) -> list[Participant]:
        members = self._members_by_domain[domain]
        # Domains rotate with every chunk and their members with every round of
        # domains; otherwise the two rotations would coincide.
        round_index = chunk_index // len(self._domains)
        names = [member.id for member in members]
        return [
            members[place]
            for place in self.order(round_index, names)
            if members[place].id == self.own_id
            or members[place].id not in suspects
        ]


class RendezvousPlanner(TreePlanner):
    """Orders agents by a hash of chunk and name (rendezvous hashing).

    Source: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
    Rates", IEEE/ACM Transactions on Networking 6(1), 1998.
    """

    def order(self, chunk_index: int, names: Sequence[str]) -> Sequence[int]:
        """Sorts the names by their hash with the chunk's index."""

        def weight(place: int) -> bytes:
            text = f"{chunk_index}/{names[place]}".encode()
            return hashlib.blake2b(text, digest_size=8).digest()

        return sorted(range(len(names)), key=weight)


class LatinPlanner(TreePlanner):
    """Orders agents by rows of mutually orthogonal Latin squares.

    Over any q consecutive chunks (q is the least prime not below the number of
    agents) each agent stands at each position equally often, so that uploads
    are even. An agent's neighbours change from square to square, so that the
    work of a dead agent is spread over all others. After "RAID+: Deterministic
    and Balanced Data Distribution for Large Disk Enclosures" (FAST 2018),
    section 3.
    """

    def order(self, chunk_index: int, names: Sequence[str]) -> Sequence[int]:
        """The chunk's row of the Latin squares."""
        return _latin_row(chunk_index, len(names))


@functools.lru_cache(maxsize=65536)
def _latin_row(index: int, size: int) -> tuple[int, ...]:
    """Row `index` of a family of squares, L_m(i, j) = m * j + i mod q.

    From row to row an agent's position moves by the inverse of m. Near the
    golden section of q, its positions are spread evenly over any run of rows,
    also over one much shorter than a square (three-distance theorem, Sos 1958).
    """
    if size <= 1:
        return tuple(range(size))
    prime = _prime_from(size)
    square, row = divmod(index, prime)
    step = 1 + (round(_GOLDEN_SECTION * prime) - 1 + square) % (prime - 1)
    multiplier = pow(step, -1, prime)
    places = ((multiplier * column + row) % prime for column in range(prime))
    return tuple(place for place in places if place < size)


def _prime_from(number: int) -> int:
    """The least prime not below a number above 1."""
    candidate = number
    while any(
        candidate % factor == 0 for factor in range(2, int(candidate**0.5) + 1)
    ):
        candidate += 1
    return candidate


_PLANNERS_BY_NAME: dict[str, type[Planner]] = {
    "origin": OriginPlanner,
    "chain": ChainPlanner,
    "rendezvous": RendezvousPlanner,
    "latin": LatinPlanner,
}


def make_planner(
    name: str,
    own_id: str,
    participants: Sequence[Participant],
) -> Planner:
    """Creates the planner with the name given in the settings.

    Raises:
        KeyError: no planner has that name.
    """
    return _PLANNERS_BY_NAME[name](own_id, participants)
