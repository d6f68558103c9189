"""Whether an agent's target crashed under the requests that it ran."""

import asyncio

from damaskcroft.engines import Engine
from damaskcroft.observe import log_event, metrics

__all__ = ["TargetWatch"]


class TargetWatch:
    """Numbers the starts of one target by the crashes that end them.

    Args:
        engine: the target.
        name: of this agent's process; no other process has it.

    Attributes:
        start: number of the present start; requests that are sent now run on
            it.
    """

    __slots__ = ("_engine", "_looking", "_name", "start")

    def __init__(self, engine: Engine, name: str):
        """See the class."""
        self._engine = engine
        self._name = name
        self._looking = asyncio.Lock()
        self.start = 1

    async def crashed(self, start: int) -> str:
        """Names a start that has crashed; empty if it lives.

        To be asked when a connection has ended before its answer.

        Args:
            start: number of the start that was present when the request was
                sent.
        """
        async with self._looking:
            if start == self.start:
                if not await self._engine.is_gone():
                    return ""
                self.start += 1
                metrics.TARGET_CRASHES.labels("refuses_connections").inc()
                log_event("target_crashed", target=self._named(start))
        return self._named(start)

    def _named(self, start: int) -> str:
        return f"{self._name}/{start}"
