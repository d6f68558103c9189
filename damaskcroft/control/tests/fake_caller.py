"""A caller without a connection."""

from damaskcroft.clock import now_s
from damaskcroft.rpc import Caller


class FakeCaller(Caller):
    """A caller whose order arrived some time ago."""

    def __init__(self, age_s=0.0, *, has_left=False):
        self._arrived_after_s = now_s() - age_s
        self._has_left = has_left

    @property
    def arrived_after_s(self):
        return self._arrived_after_s

    async def has_left(self):
        return self._has_left
