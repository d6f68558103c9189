"""Detection of target crashes by the agent, for the requests it was running."""

import asyncio

from damaskcroft.engines import Engine
from damaskcroft.observe import log_event, metrics

__all__ = ["TargetWatch"]


class TargetWatch:
    """Numbers the starts of one target; each detected crash ends one.

    A start is one run of the target's process.

    Args:
        engine: the target.
        name: unique name of this agent process.

    Attributes:
        start: number of the current start, which runs requests sent now.
    """

    __slots__ = ("_engine", "_lock", "_name", "start")

    def __init__(self, engine: Engine, name: str):
        """Begins with start number 1."""
        self._engine = engine
        self._name = name
        self._lock = asyncio.Lock()
        self.start = 1

    async def name_if_crashed(self, start: int) -> str:
        """Returns the name of a start that has crashed; empty if it runs.

        Called when a connection has ended before its answer.

        Args:
            start: number of the start that was current when the request was
                sent.
        """
        async with self._lock:
            if start == self.start:
                if not await self._engine.is_gone():
                    return ""
                self.start += 1
                metrics.TARGET_CRASHES.labels("refuses_connections").inc()
                log_event("target_crashed", target=self._start_name(start))
        return self._start_name(start)

    def _start_name(self, start: int) -> str:
        return f"{self._name}/{start}"
