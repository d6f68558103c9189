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
    """

    __slots__ = ("_crashes", "_engine", "_is_gone", "_looking", "_name")

    def __init__(self, engine: Engine, name: str):
        """See the class."""
        self._engine = engine
        self._name = name
        self._crashes = 0
        self._is_gone = False
        self._looking = asyncio.Lock()

    def answers(self) -> None:
        """Takes note that the target has begun an answer."""
        self._is_gone = False

    async def crashed_start(self) -> str:
        """Names the start that has crashed; empty if the target lives.

        To be asked when a connection has ended before its answer. All that ran
        on one start is given the same name.
        """
        async with self._looking:
            if not self._is_gone:
                self._is_gone = await self._engine.is_gone()
                if not self._is_gone:
                    return ""
                self._crashes += 1
                metrics.TARGET_CRASHES.labels("refuses_connections").inc()
                log_event("target_crashed", target=self._start)
            return self._start

    @property
    def _start(self) -> str:
        return f"{self._name}/{self._crashes}"
