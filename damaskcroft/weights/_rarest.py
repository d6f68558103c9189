"""Finding holders of chunks by asking round, rarest chunk first."""

import asyncio
import random
from collections.abc import Callable, Sequence

from damaskcroft.weights._peers import PeerSource
from damaskcroft.weights._planner import Participant
from damaskcroft.weights._store import StagedVersion

_ASK_EVERY_S = 0.25
_ASKED_AT_ONCE = 8


class HolderSearch:
    """Keeps an image of who holds what, from answers to small questions.

    Args:
        version: the version that is being gathered.
        peers: the agents that may be asked.
        source: how to ask.
        suspects: gives the agents to leave alone now.
        rng: chooses whom to ask, and among equals.
    """

    def __init__(
        self,
        version: StagedVersion,
        peers: Sequence[Participant],
        source: PeerSource,
        suspects: Callable[[], frozenset[str]],
        rng: random.Random,
    ):
        """Creates a search that knows nothing yet."""
        self._version = version
        self._peers = list(peers)
        self._source = source
        self._suspects = suspects
        self._rng = rng
        self._bitmaps_by_id: dict[str, bytes] = {}

    async def run(self) -> None:
        """Asks some peers again and again, until cancelled."""
        while True:
            count = min(_ASKED_AT_ONCE, len(self._peers))
            asked = self._rng.sample(self._peers, count)
            await asyncio.gather(*(self._ask(peer) for peer in asked))
            await asyncio.sleep(_ASK_EVERY_S)

    def rarest(self, waiting: set[int]) -> tuple[int, Participant] | None:
        """The waiting chunk with the fewest known holders, and one of them."""
        suspects = self._suspects()
        best: tuple[int, list[Participant]] | None = None
        for index in waiting:
            holders = self._holders(index, suspects)
            if not holders:
                continue
            if best is None or len(holders) < len(best[1]):
                best = (index, holders)
        if best is None:
            return None
        return best[0], self._rng.choice(best[1])

    async def _ask(self, peer: Participant) -> None:
        self._bitmaps_by_id[peer.id] = await self._source.fetch_holdings(
            peer.address, self._version.digest
        )

    def _holders(
        self, index: int, suspects: frozenset[str]
    ) -> list[Participant]:
        return [
            peer
            for peer in self._peers
            if peer.id not in suspects
            and _has_bit(self._bitmaps_by_id.get(peer.id, b""), index)
        ]


def _has_bit(bitmap: bytes, index: int) -> bool:
    if index // 8 >= len(bitmap):
        return False
    return bool(bitmap[index // 8] >> (index % 8) & 1)
