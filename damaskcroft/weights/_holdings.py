"""Who else holds which chunks of a version, as agents tell in passing.

Every question for a chunk, and every first word of an answer, carries what its
sender holds. So an agent whose planned source is late knows whom to ask
instead, at no message more.
"""

from collections.abc import Iterable

__all__ = ["Holdings", "packed"]


def packed(held: Iterable[int]) -> bytes:
    """A bit for each chunk, the first chunk's the lowest.

    Args:
        held: 1 for each chunk that is held, 0 for each that isn't.
    """
    number = sum(1 << index for index, is_held in enumerate(held) if is_held)
    return _as_bytes(number)


def _as_bytes(bits: int) -> bytes:
    return bits.to_bytes((bits.bit_length() + 7) // 8, "little")


class Holdings:
    """The newest word of each agent on one version's chunks."""

    __slots__ = ("_bits_by_id", "_known")

    def __init__(self) -> None:
        """Knows of nobody's chunks."""
        self._bits_by_id: dict[str, int] = {}
        # Held by anybody, as whoever was talked to knows.
        self._known = 0

    def is_known(self, index: int) -> bool:
        """Whether anybody is known to hold a chunk, also by hearsay."""
        return bool(self._known >> index & 1)

    @property
    def known_count(self) -> int:
        """How many chunks anybody else is known to hold."""
        return self._known.bit_count()

    def known(self) -> bytes:
        """A bit for each chunk that anybody is known to hold."""
        return _as_bytes(self._known)

    def note(self, agent_id: str, held: bytes, known: bytes = b"") -> None:
        """Takes an agent's word; what it held once, it still holds.

        Args:
            agent_id: who tells.
            held: what it holds itself; see `packed`.
            known: what it knows anybody to hold, likewise.
        """
        before = self._bits_by_id.get(agent_id, 0)
        told = int.from_bytes(held, "little")
        self._bits_by_id[agent_id] = before | told
        self._known |= told | int.from_bytes(known, "little")

    def union(self, agent_ids: Iterable[str]) -> int:
        """A bit for each chunk that any of some agents holds."""
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
