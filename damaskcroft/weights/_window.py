"""Limits how many chunk parts are in flight to this machine at once.

Weights share the machine's link with callers' requests, and a queue in front of
the link delays both. The window therefore shrinks when parts are queued for
long and grows while they are not, after "Low Extra Delay Background Transport"
(LEDBAT, RFC 6817).
"""

import asyncio
import bisect
import collections
import contextlib
from collections.abc import AsyncIterator

from damaskcroft.clock import now_s

__all__ = ["PartWindow"]

# Queueing delay that the window aims at: three parts queued at the receiver's
# link (18 ms each on a link of 3.65 Mbit/s).
_TARGET_QUEUEING_DELAY_S = 0.06
# Enough samples that every sender with parts in flight is represented.
_MAX_SAMPLES = 8
# Transfer times describe the link for this long, provided that there are enough
# of them. Few parts arrive over a narrow link, because silent senders are given
# up, and links stay narrow for some seconds.
_SAMPLE_LIFETIME_S = 6.0
_MIN_SAMPLES = 4
# Transfer times up to this age describe the present state of the link. On a
# fast link the shortest of them is below `_FAST_PART_S`: a part takes 18 ms on
# a link of 3.65 Mbit/s, behind a few others.
_RECENT_S = 1.0
_FAST_PART_S = 0.15
_MIN_WINDOW_PARTS = 1.0
# Parts queued at their senders count too, and each sender serves three or four
# receivers: a dozen parts keep a link full.
_MAX_WINDOW_PARTS = 12.0
_INITIAL_WINDOW_PARTS = 4.0
# Without this maximum, a sender on a narrow link would occupy the whole window
# with its many chunks.
_MAX_PARTS_PER_SENDER = 3
# Chunks that may be requested beyond the window's parts, so that one is always
# ready to continue with: an answer takes a round trip.
_SPARE_CHUNKS = 1
_INCREASE_PARTS = 0.25
_DECREASE_FACTOR = 0.8


class PartWindow:
    """Limits the parts that are requested and have not arrived.

    Chunks get slots in the order in which their transfer began: a complete
    chunk can be passed on to other agents, many half-complete ones can't.
    """

    __slots__ = (
        "_admitted_chunks",
        "_last_rank",
        "_outstanding_by_sender",
        "_queueing_delays_s",
        "_request_count",
        "_requested_at_by_part",
        "_transfer_times",
        "_waiting_chunks",
        "_waiting_parts",
        "limit",
    )

    def __init__(self) -> None:
        """The window is small at first, with nothing in flight."""
        self.limit = _INITIAL_WINDOW_PARTS
        self._outstanding_by_sender: collections.Counter[str] = (
            collections.Counter()
        )
        self._last_rank = 0
        self._admitted_chunks = 0
        self._waiting_chunks: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )
        self._queueing_delays_s: collections.deque[float] = collections.deque(
            maxlen=_MAX_SAMPLES
        )
        self._transfer_times: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=_MAX_SAMPLES)
        )
        self._waiting_parts: list[
            tuple[int, int, str, asyncio.Future[None]]
        ] = []
        # When the parts that have not arrived were requested.
        self._requested_at_by_part: dict[object, float] = {}
        # Orders parts of equal rank by the time of their request.
        self._request_count = 0

    @contextlib.asynccontextmanager
    async def chunk_slot(self) -> AsyncIterator[None]:
        """Waits until a chunk that is ready at its sender may be requested.

        Chunks that hold an upload slot at their sender while they wait here for
        part slots would keep other agents out of it; behind a narrow link,
        those of a whole region.
        """
        await self._acquire_chunk_slot()
        try:
            yield
        finally:
            self._admitted_chunks -= 1
            self._admit_chunks()

    async def _acquire_chunk_slot(self) -> None:
        admitted = asyncio.get_running_loop().create_future()
        self._waiting_chunks.append(admitted)
        self._admit_chunks()
        try:
            await admitted
        except asyncio.CancelledError:
            if admitted.done() and not admitted.cancelled():
                self._admitted_chunks -= 1
                self._admit_chunks()
            raise

    def _admit_chunks(self) -> None:
        """Admits waiting chunks in order while slots are free."""
        while self._waiting_chunks:
            if self._admitted_chunks >= self.limit + _SPARE_CHUNKS:
                return
            admitted = self._waiting_chunks.popleft()
            if not admitted.done():
                self._admitted_chunks += 1
                admitted.set_result(None)

    def next_rank(self) -> int:
        """Returns the rank of a chunk whose parts will be requested."""
        self._last_rank += 1
        return self._last_rank

    @contextlib.asynccontextmanager
    async def part_slot(self, rank: int, sender: str) -> AsyncIterator[None]:
        """Waits for a part's slot; the block ends when the part has arrived.

        Args:
            rank: the chunk's rank, from `next_rank`.
            sender: the agent that is asked.
        """
        await self._acquire_part_slot(rank, sender)
        requested_at = now_s()
        part = object()
        self._requested_at_by_part[part] = requested_at
        try:
            yield
            self._transfer_times.append((now_s(), now_s() - requested_at))
        finally:
            del self._requested_at_by_part[part]
            self._release_part_slot(sender)

    async def _acquire_part_slot(self, rank: int, sender: str) -> None:
        admitted = asyncio.get_running_loop().create_future()
        self._request_count += 1
        bisect.insort(
            self._waiting_parts, (rank, self._request_count, sender, admitted)
        )
        self._admit_parts()
        try:
            await admitted
        except asyncio.CancelledError:
            if admitted.done() and not admitted.cancelled():
                self._release_part_slot(sender)
            raise

    def _release_part_slot(self, sender: str) -> None:
        self._outstanding_by_sender[sender] -= 1
        self._admit_parts()

    def _admit_parts(self) -> None:
        position = 0
        while position < len(self._waiting_parts):
            if self._outstanding_by_sender.total() >= self.limit:
                return
            _, _, sender, admitted = self._waiting_parts[position]
            if self._outstanding_by_sender[sender] >= _MAX_PARTS_PER_SENDER:
                position += 1
                continue
            self._waiting_parts.pop(position)
            if not admitted.done():
                self._outstanding_by_sender[sender] += 1
                admitted.set_result(None)

    @property
    def min_transfer_s(self) -> float:
        """Shortest time from request to arrival among recent parts; 0 if idle.

        Parts come from several senders, so a delay common to all of them is due
        to this machine's own link. If too few parts have arrived, the age of
        the requests without an answer is used.
        """
        times_s = self._recent_transfer_times_s(_SAMPLE_LIFETIME_S)
        if len(times_s) >= _MIN_SAMPLES:
            return max(min(times_s), self._silence_s())
        return self._silence_s()

    @property
    def is_fast(self) -> bool:
        """Whether parts arrived fast just now; False if none arrived."""
        times_s = self._recent_transfer_times_s(_RECENT_S)
        return len(times_s) >= _MIN_SAMPLES and min(times_s) < _FAST_PART_S

    def _recent_transfer_times_s(self, age_s: float) -> list[float]:
        since = now_s() - age_s
        return [
            transfer_s
            for arrived_at, transfer_s in self._transfer_times
            if arrived_at > since
        ]

    def _silence_s(self) -> float:
        """Time without an arrival while enough parts were requested."""
        if len(self._requested_at_by_part) < _MIN_SAMPLES:
            return 0.0
        last_arrival_at = (
            self._transfer_times[-1][0]
            if self._transfer_times
            else float("-inf")
        )
        return now_s() - max(
            last_arrival_at, min(self._requested_at_by_part.values())
        )

    def record_queueing_delay(self, queued_s: float) -> None:
        """Adjusts the window to the queueing delay of one part.

        A queue at this machine's own link delays every part, so the minimum of
        the last delays shows it; a slow sender delays only its own parts.
        """
        self._queueing_delays_s.append(queued_s)
        if min(self._queueing_delays_s) > _TARGET_QUEUEING_DELAY_S:
            self.limit = max(_MIN_WINDOW_PARTS, self.limit * _DECREASE_FACTOR)
        else:
            self.limit = min(
                _MAX_WINDOW_PARTS, self.limit + _INCREASE_PARTS / self.limit
            )
