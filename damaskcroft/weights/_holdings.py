"""Registry of the chunks that other agents hold.

Every chunk request, and the first message of every answer, carries what its
sender holds. An agent whose planned source is late therefore knows which other
agent to ask, without any further message.
"""

from collections.abc import Collection, Iterable

from damaskcroft.clock import now_s

__all__ = ["Holdings", "packed"]

# Within this time of second-hand news of a chunk, one of its holders is usually
# heard of directly: an agent exchanges holdings ten times a second.
_SECOND_HAND_TTL_S = 3.0


def packed(held: Iterable[int]) -> bytes:
    """Packs one bit for each chunk, the first chunk's the lowest.

    Args:
        held: 1 for each chunk that is held, 0 for each that isn't.
    """
    number = sum(1 << index for index, is_held in enumerate(held) if is_held)
    return _as_bytes(number)


def _as_bytes(bits: int) -> bytes:
    return bits.to_bytes((bits.bit_length() + 7) // 8, "little")


class Holdings:
    """What each agent last reported to hold of one version."""

    __slots__ = ("_bits_by_id", "_known_at", "_known_bits")

    def __init__(self) -> None:
        """No chunk is known to be held at first."""
        self._bits_by_id: dict[str, int] = {}
        # Chunks held by any agent, as reported by the agents contacted.
        self._known_bits = 0
        # When each chunk was first known at second hand.
        self._known_at: dict[int, float] = {}

    def is_held_anywhere(self, index: int) -> bool:
        """Whether any agent is known to hold a chunk, also at second hand."""
        return bool(self._known_bits >> index & 1)

    def is_available(self, index: int, suspects: Collection[str]) -> bool:
        """Whether an agent that answers is known to hold a chunk.

        A chunk whose only holder is gone must be read from outside again.

        Args:
            index: index of the chunk.
            suspects: agents that do not answer now.
        """
        holders = self.holders(index)
        if holders:
            return any(holder not in suspects for holder in holders)
        known_at = self._known_at.get(index)
        return known_at is not None and now_s() - known_at < _SECOND_HAND_TTL_S

    @property
    def known_count(self) -> int:
        """How many chunks any other agent is known to hold."""
        return self._known_bits.bit_count()

    def known_bits(self) -> bytes:
        """One bit for each chunk that any agent is known to hold."""
        return _as_bytes(self._known_bits)

    def add_report(
        self, agent_id: str, held: bytes, known: bytes = b""
    ) -> None:
        """Adds an agent's report; chunks that it held before stay held.

        Args:
            agent_id: the agent that reports.
            held: chunks that it holds itself; see `packed`.
            known: chunks that it knows any agent to hold, likewise.
        """
        before = self._bits_by_id.get(agent_id, 0)
        reported = int.from_bytes(held, "little")
        self._bits_by_id[agent_id] = before | reported
        self._known_bits |= reported
        self._add_second_hand(int.from_bytes(known, "little"))

    def _add_second_hand(self, bits: int) -> None:
        new = bits & ~self._known_bits
        self._known_bits |= bits
        while new:
            index = new.bit_length() - 1
            self._known_at[index] = now_s()
            new &= ~(1 << index)

    def forget(self, agent_id: str) -> None:
        """Forgets an agent's reports, until it reports again."""
        self._bits_by_id.pop(agent_id, None)

    def held_by_any(self, agent_ids: Iterable[str]) -> int:
        """One bit for each chunk that any of the given agents holds."""
        bits = 0
        for agent_id in agent_ids:
            bits |= self._bits_by_id.get(agent_id, 0)
        return bits

    def holders(self, index: int) -> list[str]:
        """Agents that hold a chunk."""
        return [
            agent_id
            for agent_id, bits in self._bits_by_id.items()
            if bits >> index & 1
        ]
