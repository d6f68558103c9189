"""Interface of targets that load weights from staged pieces."""

import abc
import dataclasses

from damaskcroft._generated import fleet_pb2
from damaskcroft.engines._orders import (
    EngineUnreachable,
    OrderExpired,
    OrderOutcome,
)

__all__ = ["EngineReport", "StagedEngine"]


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """The state that a target reports to the agent on its instance.

    Attributes:
        held: layers in memory.
        busy: whether the target is running an order.
        sequence: number of orders begun since the start of the target.
        running: number of requests in progress.
        born_ms: start of the target, in Unix milliseconds; 0 if not reported.
            A changed value means a restart: the target has lost all layers
            and all knowledge of earlier orders, and counts orders anew.
    """

    held: tuple[fleet_pb2.HeldLayers, ...]
    busy: bool
    sequence: int
    running: int
    born_ms: int = 0


class StagedEngine(abc.ABC):
    """A target on this instance; it does not verify staged pieces itself."""

    @abc.abstractmethod
    async def report(self) -> EngineReport | EngineUnreachable:
        """Fetches the state of the target."""

    @abc.abstractmethod
    async def stage_piece(self, model: str, index: int, data: bytes) -> bool:
        """Stages one piece; returns whether the target accepted it."""

    @abc.abstractmethod
    async def fetch_staged_piece(self, model: str, index: int) -> bytes | None:
        """Fetches a staged piece; None if there is none."""

    @abc.abstractmethod
    async def start(
        self,
        model: str,
        version: int,
        sequence: int,
        *,
        abort_running: bool,
        before_s: float,
    ) -> OrderOutcome | OrderExpired:
        """Orders the target to load the staged pieces as a version.

        Args:
            model: name of the model.
            version: version of the staged pieces.
            sequence: number of orders begun so far; the target runs the order
                only if its own count is the same.
            abort_running: abort running requests instead of waiting for them.
            before_s: loop time after which the order must not be sent, because
                the check of the staged pieces is too old by then.
        """

    @abc.abstractmethod
    async def keep_only(
        self,
        part: fleet_pb2.HeldLayers,
        sequence: int,
        *,
        abort_running: bool = False,
    ) -> OrderOutcome:
        """Orders the target to unload all layers except some that it holds.

        From then on the target refuses requests that need other layers;
        running requests still end. No staged pieces are needed. A newer
        version can be loaded completely afterwards, once no request is
        running.

        Args:
            part: the layers to keep.
            sequence: number of orders begun so far; the target runs the order
                only if its own count is the same.
            abort_running: abort running requests instead of letting them end.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections."""
