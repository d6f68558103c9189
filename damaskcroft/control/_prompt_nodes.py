"""Choice of the control nodes that send each agent every change promptly.

Each change of an agent reaches every control node and from each of them every
agent, so during a change of version the updates grow with agents times agents
times control nodes. Two nodes send an agent each change as it comes; the others
send it what they have with their periodic updates. Desired versions and
configurations come from all nodes at once. For up to some hundred agents.
"""

import hashlib
from collections.abc import Iterable

__all__ = ["prompt_nodes"]

# Two, so that the loss of one node delays nothing.
_PROMPT_NODES = 2


def prompt_nodes(watcher: str, members: Iterable[str]) -> frozenset[str]:
    """Addresses of the nodes that send every change to a watcher at once.

    Rendezvous hashing (Thaler and Ravishankar, 1998) spreads the watchers, and
    a change of members moves only those of the nodes that come or go.

    Args:
        watcher: name of the watcher.
        members: addresses of all control nodes.
    """
    ranked = sorted(
        members, key=lambda member: _weight(watcher, member), reverse=True
    )
    return frozenset(ranked[:_PROMPT_NODES])


def _weight(watcher: str, member: str) -> bytes:
    # The same in all processes, which hash() is not.
    return hashlib.blake2b(f"{watcher} {member}".encode()).digest()
