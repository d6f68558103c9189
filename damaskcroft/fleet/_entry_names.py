"""Which entries the fleet has, as control nodes tell their watchers."""

import math

from damaskcroft._generated import fleet_pb2
from damaskcroft.clock import now_s

__all__ = ["EntryNames"]

# A node that has just started, or was cut off, doesn't see all of them: a name
# counts for so long after a node told it last.
_HOLD_S = 3.0
# For how long one answer to the question is given again.
_GATHERED_S = 0.25


class _Told:
    """What one control node told last.

    Attributes:
        names: the entries that follow it.
        heard_at: when it was last heard.
    """

    __slots__ = ("heard_at", "names")

    def __init__(self, names: frozenset[str]):
        self.names = names
        self.heard_at = now_s()


class EntryNames:
    """Entries that any control node has lately told of."""

    __slots__ = ("_gathered", "_gathered_until", "_gone_at", "_told_by_node")

    def __init__(self) -> None:
        """Knows none."""
        self._told_by_node: dict[str, _Told] = {}
        # When a node last told of a name that it no longer tells.
        self._gone_at: dict[str, float] = {}
        self._gathered: frozenset[str] = frozenset()
        self._gathered_until = -math.inf

    def told(self, node: str, told: fleet_pb2.EntryNames) -> None:
        """A control node tells which entries follow it, or what changed."""
        known = self._told_by_node.get(node)
        before = known.names if known is not None else frozenset()
        names = frozenset(told.joined)
        if not told.whole:
            names = names | before - frozenset(told.left)
        self._told_by_node[node] = _Told(names)
        self._gone_at.update(dict.fromkeys(before - names, now_s()))
        self._gathered_until = -math.inf

    def heard(self, node: str) -> None:
        """A control node still follows whom it told of."""
        told = self._told_by_node.get(node)
        if told is not None:
            told.heard_at = now_s()

    def names(self) -> frozenset[str]:
        """All of them."""
        now = now_s()
        if now >= self._gathered_until:
            self._gathered = self._gather(now)
            self._gathered_until = now + _GATHERED_S
        return self._gathered

    def _gather(self, now: float) -> frozenset[str]:
        since = now - _HOLD_S
        self._told_by_node = {
            node: told
            for node, told in self._told_by_node.items()
            if told.heard_at >= since
        }
        self._gone_at = {
            name: at for name, at in self._gone_at.items() if at >= since
        }
        found = (told.names for told in self._told_by_node.values())
        return frozenset(self._gone_at).union(*found)
