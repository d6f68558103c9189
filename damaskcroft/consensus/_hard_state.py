"""Term, vote and incarnation of one replica, on its disk."""

import secrets

from damaskcroft._generated import consensus_pb2
from damaskcroft.consensus import _frames
from damaskcroft.consensus._disk import Disk
from damaskcroft.consensus._errors import LogDamagedError
from damaskcroft.consensus._log import DurableLog
from damaskcroft.consensus._setup import HARD_STATE_NAME


class HardStateFile:
    """What must last before any answer that depends on it."""

    __slots__ = ("_disk", "_state")

    def __init__(self, disk: Disk, log: DurableLog):
        """Reads the disk; an empty one draws a new incarnation.

        Raises:
            LogDamagedError: the state is unreadable, or missing beside a log.
        """
        self._disk = disk
        content = disk.read(HARD_STATE_NAME)
        if content is None:
            self._state = self._new_incarnation(log)
            return
        payload = _frames.frame_at(content, 0)
        if payload is None:
            raise LogDamagedError(HARD_STATE_NAME, 0)
        self._state = consensus_pb2.HardState.FromString(payload)

    @property
    def term(self) -> int:
        """The newest term that this replica knows."""
        return self._state.term

    @property
    def voted_for(self) -> str:
        """Whom it voted for in that term, or empty."""
        return self._state.voted_for

    @property
    def incarnation(self) -> str:
        """This disk's incarnation."""
        return self._state.incarnation

    def save(self, term: int, voted_for: str) -> None:
        """Makes term and vote last before anything depends on them.

        Raises:
            OSError: the disk took nothing; the old ones hold.
        """
        saved = consensus_pb2.HardState(
            term=term, voted_for=voted_for, incarnation=self.incarnation
        )
        self._write(saved)
        self._state = saved

    def _new_incarnation(self, log: DurableLog) -> consensus_pb2.HardState:
        """An empty disk: whatever it promised before is lost."""
        if log.last_index or log.config().members:
            raise LogDamagedError(HARD_STATE_NAME, 0)
        state = consensus_pb2.HardState(incarnation=secrets.token_hex(8))
        self._write(state)
        return state

    def _write(self, state: consensus_pb2.HardState) -> None:
        content = _frames.framed(state.SerializeToString())
        self._disk.replace(HARD_STATE_NAME, content)
