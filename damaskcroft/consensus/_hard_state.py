"""Term, vote and incarnation of one replica, stored on its disk.

The file holds two copies, each in a block of its own that is overwritten in
place, because elections wait for these writes and replacing a whole file takes
far longer on a busy disk. A save first writes the copy that is not known to be
intact, so that one copy is intact at any moment.
"""

import secrets

from damaskcroft._generated import consensus_pb2
from damaskcroft.consensus import _frames
from damaskcroft.consensus._disk import Disk
from damaskcroft.consensus._errors import LogDamagedError
from damaskcroft.consensus._log import DurableLog

__all__ = ["HARD_STATE_NAME", "HardStateFile", "create_hard_state_file"]

HARD_STATE_NAME = "vote"
# Disks write a block at once; a torn write to one copy leaves the other intact.
_BLOCK_BYTES = 4096
_COPY_COUNT = 2


class HardStateFile:
    """Hard state, made durable before any reply that depends on it."""

    __slots__ = ("_copy_write_order", "_disk", "_state")

    def __init__(self, disk: Disk, log: DurableLog):
        """Reads the state; an empty disk gets a new incarnation.

        Raises:
            LogDamagedError: the state is unreadable, or missing although the
                disk holds a log.
            OSError: the disk failed.
        """
        self._disk = disk
        self._copy_write_order = list(range(_COPY_COUNT))
        content = disk.read(HARD_STATE_NAME)
        if content is None:
            self._state = self._create_incarnation(log)
            return
        state_by_copy = {
            copy: state
            for copy in range(_COPY_COUNT)
            if (state := _decode_copy(content, copy)) is not None
        }
        if not state_by_copy:
            raise LogDamagedError(HARD_STATE_NAME, 0)
        newest_copy = max(
            state_by_copy, key=lambda copy: _recency_key(state_by_copy[copy])
        )
        self._copy_write_order.sort(key=lambda copy: copy == newest_copy)
        self._state = state_by_copy[newest_copy]
        # A process that was killed may have left it in the page cache only.
        self.save(self.term, self.voted_for)

    @property
    def term(self) -> int:
        """The newest term known to this replica."""
        return self._state.term

    @property
    def voted_for(self) -> str:
        """Id of the candidate voted for in that term, or empty."""
        return self._state.voted_for

    @property
    def incarnation(self) -> str:
        """The incarnation of this disk."""
        return self._state.incarnation

    def save(self, term: int, voted_for: str) -> None:
        """Makes term and vote durable before anything depends on them.

        Raises:
            OSError: the disk failed; the old state stays in effect, but a
                restart may read the new one.
        """
        saved = consensus_pb2.HardState(
            term=term, voted_for=voted_for, incarnation=self.incarnation
        )
        content = _frames.encode_frame(saved.SerializeToString())
        for copy in tuple(self._copy_write_order):
            # The copy is not known to be intact until it has been written.
            self._copy_write_order.sort(key=lambda each: each != copy)
            offset_bytes = copy * _BLOCK_BYTES
            self._disk.overwrite(HARD_STATE_NAME, offset_bytes, content)
        self._state = saved

    def _create_incarnation(self, log: DurableLog) -> consensus_pb2.HardState:
        """Starts an empty disk with a new identity.

        Votes and acknowledgements of an earlier disk are lost, so the replica
        must not be counted as the same voter.
        """
        if log.last_index or log.config().members:
            raise LogDamagedError(HARD_STATE_NAME, 0)
        state = consensus_pb2.HardState(incarnation=secrets.token_hex(8))
        create_hard_state_file(self._disk, state)
        return state


def create_hard_state_file(disk: Disk, state: consensus_pb2.HardState) -> None:
    """Creates the file with both copies, which later saves overwrite."""
    copy = _frames.encode_frame(state.SerializeToString())
    disk.replace(HARD_STATE_NAME, copy.ljust(_BLOCK_BYTES, b"\0") * _COPY_COUNT)


def _decode_copy(content: bytes, copy: int) -> consensus_pb2.HardState | None:
    payload = _frames.decode_frame(content, copy * _BLOCK_BYTES)
    if payload is None:
        return None
    return consensus_pb2.HardState.FromString(payload)


def _recency_key(state: consensus_pb2.HardState) -> tuple[int, bool]:
    """Sort key of the copies: within a term, the vote is set once."""
    return state.term, bool(state.voted_for)
