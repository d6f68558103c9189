"""Keeps traffic at a link's rate and yields to live requests."""

import asyncio

_MAX_BURST_S = 0.05
_MIN_SHARE = 0.05


class Pacer:
    """A token bucket (RFC 2697's committed rate, without its excess burst).

    Args:
        rate_bytes_s: the link's rate in one direction.
    """

    __slots__ = ("_next_at", "_rate_bytes_s", "_share")

    def __init__(self, rate_bytes_s: float):
        """The bucket is full and the share is 1 at first."""
        self._rate_bytes_s = rate_bytes_s
        self._share = 1.0
        self._next_at = 0.0

    @property
    def share(self) -> float:
        """The share of the link that may be used, above 0 and at most 1."""
        return self._share

    @share.setter
    def share(self, share: float) -> None:
        self._share = min(1.0, max(_MIN_SHARE, share))

    def bytes_in(self, seconds: float) -> int:
        """Bytes that the link carries in some time at its full rate."""
        return int(self._rate_bytes_s * seconds)

    async def pass_bytes(self, size_bytes: int) -> None:
        """Waits until `size_bytes` more may pass."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        start = max(self._next_at, now - _MAX_BURST_S)
        self._next_at = start + size_bytes / (self._rate_bytes_s * self._share)
        if self._next_at > now:
            await asyncio.sleep(self._next_at - now)
