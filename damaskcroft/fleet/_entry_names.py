"""Names of the entries of the fleet, as control nodes report them."""

import math

from damaskcroft._generated import fleet_pb2
from damaskcroft.clock import now_s

__all__ = ["EntryNames"]

# A name stays valid for this time after a node last reported it, because a node
# that has just started, or was partitioned, does not see all entries.
_REPORT_TTL_S = 3.0
# Time for which the collected names are cached.
_CACHE_S = 0.25


class _NodeReport:
    """The last report of one control node.

    Attributes:
        names: the entries that follow it.
        received_at: loop time of its last update.
    """

    __slots__ = ("names", "received_at")

    def __init__(self, names: frozenset[str]):
        self.names = names
        self.received_at = now_s()


class EntryNames:
    """Entries that any control node has recently reported."""

    __slots__ = (
        "_cached_names",
        "_cached_until",
        "_removed_at",
        "_reports_by_node",
    )

    def __init__(self) -> None:
        """Starts without any names."""
        self._reports_by_node: dict[str, _NodeReport] = {}
        # Loop time at which a node removed a name from its report.
        self._removed_at: dict[str, float] = {}
        self._cached_names: frozenset[str] = frozenset()
        self._cached_until = -math.inf

    def apply(self, node: str, report: fleet_pb2.EntryNames) -> None:
        """Applies a control node's report of the entries that follow it.

        Args:
            node: address of the control node.
            report: all entries, or the changes since its last report.
        """
        known = self._reports_by_node.get(node)
        before = known.names if known is not None else frozenset()
        names = frozenset(report.joined)
        if not report.whole:
            names = names | before - frozenset(report.left)
        self._reports_by_node[node] = _NodeReport(names)
        self._removed_at.update(dict.fromkeys(before - names, now_s()))
        self._cached_until = -math.inf

    def refresh(self, node: str) -> None:
        """Extends the validity of a control node's last report."""
        report = self._reports_by_node.get(node)
        if report is not None:
            report.received_at = now_s()

    def nodes_heard(self, within_s: float) -> set[str]:
        """Returns the control nodes whose reports are no older than a time.

        Args:
            within_s: maximum age, at most the validity of a report.
        """
        since = now_s() - within_s
        return {
            node
            for node, report in self._reports_by_node.items()
            if report.received_at >= since
        }

    def names(self) -> frozenset[str]:
        """The names of all entries."""
        now = now_s()
        if now >= self._cached_until:
            self._cached_names = self._collect(now)
            self._cached_until = now + _CACHE_S
        return self._cached_names

    def _collect(self, now: float) -> frozenset[str]:
        since = now - _REPORT_TTL_S
        self._reports_by_node = {
            node: report
            for node, report in self._reports_by_node.items()
            if report.received_at >= since
        }
        self._removed_at = {
            name: at for name, at in self._removed_at.items() if at >= since
        }
        found = (report.names for report in self._reports_by_node.values())
        return frozenset(self._removed_at).union(*found)
