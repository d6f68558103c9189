"""Turns commands into log entries stamped with log time."""

import asyncio

from damaskcroft._generated import control_pb2
from damaskcroft.clock import now_s
from damaskcroft.consensus import Outcome, Replica, Undecided
from damaskcroft.control._state import ControlState


class Proposer:
    """Proposes commands at this replica.

    Log time moves by this process's monotonic clock from the last committed
    time on, so that a wall clock that jumps can't expire claims early.
    """

    def __init__(self, replica: Replica, state: ControlState):
        """Uses one replica and the state that it drives."""
        self.replica = replica
        self.state = state
        self._base_ms = 0
        self._base_at = 0.0
        self._term = -1

    async def propose(
        self, command: control_pb2.Command, timeout_s: float
    ) -> Outcome:
        """Commits a command, or says that it's not known to be committed."""
        command.time_ms = self._log_time_ms()
        try:
            async with asyncio.timeout(timeout_s):
                return await self.replica.propose(command.SerializeToString())
        except TimeoutError:
            return Undecided()

    def _log_time_ms(self) -> int:
        if self._term != self.replica.term:
            self._term = self.replica.term
            self._base_ms = self.state.time_ms
            self._base_at = now_s()
        passed_ms = int((now_s() - self._base_at) * 1000)
        return max(self.state.time_ms, self._base_ms + passed_ms)
