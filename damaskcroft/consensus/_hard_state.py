"""Term, vote and incarnation of one replica, on its disk.

They are kept twice, each copy in a block of its own that is written in place:
elections wait for them, and swapping whole files takes far longer on a busy
disk. The copy that isn't known to be whole is written first, so that one is
whole at any moment.
"""

import secrets

from damaskcroft._generated import consensus_pb2
from damaskcroft.consensus import _frames
from damaskcroft.consensus._disk import Disk
from damaskcroft.consensus._errors import LogDamagedError
from damaskcroft.consensus._log import DurableLog

__all__ = ["HARD_STATE_NAME", "HardStateFile", "new_hard_state"]

HARD_STATE_NAME = "vote"
# What disks write at once; a copy that is torn leaves the other one whole.
_BLOCK_BYTES = 4096
_COPIES = 2


class HardStateFile:
    """What must last before any answer that depends on it."""

    __slots__ = ("_disk", "_state", "_writing_order")

    def __init__(self, disk: Disk, log: DurableLog):
        """Reads the disk; an empty one draws a new incarnation.

        Raises:
            LogDamagedError: the state is unreadable, or missing beside a log.
            OSError: the disk failed.
        """
        self._disk = disk
        self._writing_order = list(range(_COPIES))
        content = disk.read(HARD_STATE_NAME)
        if content is None:
            self._state = self._new_incarnation(log)
            return
        state_by_copy = {
            copy: state
            for copy in range(_COPIES)
            if (state := _copy_at(content, copy)) is not None
        }
        if not state_by_copy:
            raise LogDamagedError(HARD_STATE_NAME, 0)
        newest = max(state_by_copy, key=lambda copy: _age(state_by_copy[copy]))
        self._writing_order.sort(key=lambda copy: copy == newest)
        self._state = state_by_copy[newest]
        # A process that was killed may have left it to the kernel alone.
        self.save(self.term, self.voted_for)

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
            OSError: the disk failed; the old ones hold, and may be the new
                ones after a restart.
        """
        saved = consensus_pb2.HardState(
            term=term, voted_for=voted_for, incarnation=self.incarnation
        )
        content = _frames.framed(saved.SerializeToString())
        for copy in tuple(self._writing_order):
            # Not known to be whole until it has been written.
            self._writing_order.sort(key=lambda each: each != copy)
            offset_bytes = copy * _BLOCK_BYTES
            self._disk.overwrite(HARD_STATE_NAME, offset_bytes, content)
        self._state = saved

    def _new_incarnation(self, log: DurableLog) -> consensus_pb2.HardState:
        """An empty disk: whatever it promised before is lost."""
        if log.last_index or log.config().members:
            raise LogDamagedError(HARD_STATE_NAME, 0)
        state = consensus_pb2.HardState(incarnation=secrets.token_hex(8))
        new_hard_state(self._disk, state)
        return state


def new_hard_state(disk: Disk, state: consensus_pb2.HardState) -> None:
    """Writes the file that a replica's saves go to."""
    copy = _frames.framed(state.SerializeToString())
    disk.replace(HARD_STATE_NAME, copy.ljust(_BLOCK_BYTES, b"\0") * _COPIES)


def _copy_at(content: bytes, copy: int) -> consensus_pb2.HardState | None:
    payload = _frames.frame_at(content, copy * _BLOCK_BYTES)
    if payload is None:
        return None
    return consensus_pb2.HardState.FromString(payload)


def _age(state: consensus_pb2.HardState) -> tuple[int, bool]:
    """Orders copies: a term has no vote at first, then one for good."""
    return state.term, bool(state.voted_for)
