"""Targets that load weights from pieces staged beside them."""

import abc
import dataclasses

from damaskcroft._generated import fleet_pb2
from damaskcroft.engines._base import EngineUnreachable, OrderOutcome

__all__ = ["EngineReport", "StagedEngine"]


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """What a target says of itself to the process beside it.

    Attributes:
        held: layers in its memory.
        busy: whether it is carrying out an order.
        sequence: how many orders it has begun since its start.
        running: requests that it works on.
        born_ms: its start, in Unix milliseconds; 0 where it doesn't tell. A
            change in between is a restart: it holds and knows nothing of
            before, and counts its orders anew.
    """

    held: tuple[fleet_pb2.HeldLayers, ...]
    busy: bool
    sequence: int
    running: int
    born_ms: int = 0


class StagedEngine(abc.ABC):
    """A target beside this process; staging is not checked by the target."""

    @abc.abstractmethod
    async def report(self) -> EngineReport | EngineUnreachable:
        """Reads the target's state."""

    @abc.abstractmethod
    async def put_piece(self, model: str, index: int, data: bytes) -> bool:
        """Stages one piece; whether the target took it."""

    @abc.abstractmethod
    async def get_piece(self, model: str, index: int) -> bytes | None:
        """Reads a staged piece back; None if there is none."""

    @abc.abstractmethod
    async def start(
        self, model: str, version: int, sequence: int, *, cut_running: bool
    ) -> OrderOutcome:
        """Orders that the staged pieces be loaded as a version.

        Args:
            model: its name.
            version: what the pieces are.
            sequence: obey only if this many orders have begun so far.
            cut_running: end running requests instead of waiting for them.
        """

    @abc.abstractmethod
    async def keep_only(
        self,
        part: fleet_pb2.HeldLayers,
        sequence: int,
        *,
        cut_running: bool = False,
    ) -> OrderOutcome:
        """Orders that all layers be given up but some of those it holds.

        From the order on the target refuses whatever needs the others; what
        runs there ends. No pieces are needed, and a newer version can be
        loaded whole afterwards, once nothing runs any more.

        Args:
            part: the layers to keep.
            sequence: obey only if this many orders have begun so far.
            cut_running: end running requests instead of letting them end.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections."""
