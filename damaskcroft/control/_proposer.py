"""Proposes commands as log entries that carry the log time."""

import asyncio

from damaskcroft._generated import control_pb2
from damaskcroft.clock import now_s
from damaskcroft.consensus import Outcome, Replica, Undecided
from damaskcroft.control._state import ControlState


class Proposer:
    """Proposes commands at this replica.

    Log time advances from the last committed time by the monotonic clock of
    this process, so that a jump of the wall clock cannot expire claims early.
    """

    def __init__(self, replica: Replica, state: ControlState):
        """Proposes at `replica`, which applies its log to `state`."""
        self.replica = replica
        self.state = state
        self._base_ms = 0
        self._base_at = 0.0
        self._term = -1

    async def propose(
        self, command: control_pb2.Command, timeout_s: float
    ) -> Outcome:
        """Commits a command; after the timeout its outcome is undecided."""
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
