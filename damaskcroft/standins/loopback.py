"""Loopback addresses that no other fleet uses at the same time.

Ports that are looked for, let go and bound later are taken meanwhile by other
fleets, or by outgoing connections. So each process that starts fleets holds a
network of its own, 127.x.y.0/24, for as long as it lives. Connections to a
loopback address come from 127.0.0.1 and take no port of these networks.
"""

import functools
import itertools
import random
import socket
from collections.abc import Iterator

__all__ = ["LoopbackNetwork", "free_address", "own_network", "ports"]

# Bound by the owner of a network, at its last address.
_GUARD_HOST = 254
_GUARD_PORT = 19_999
_FIRST_PORT = 20_000
# Second numbers of networks: high ones, which nobody picks by hand.
_SECOND_NUMBERS = range(64, 128)
_TRIES = 100
# Below are addresses that tests give out by hand.
_HOSTS = range(20, 200)


class LoopbackNetwork:
    """A /24 that this process holds.

    Attributes:
        prefix: its first three numbers, such as `127.70.3`.
    """

    def __init__(self, prefix: str, guard: socket.socket):
        """Holds a network by its guard; see `own_network`."""
        self.prefix = prefix
        self._guard = guard
        self._numbers = itertools.cycle(_HOSTS)

    def next_host(self) -> str:
        """An address that no fleet of this process has used lately."""
        return f"{self.prefix}.{next(self._numbers)}"


def ports() -> Iterator[int]:
    """Ports of one address, each once."""
    return iter(range(_FIRST_PORT, 2**16))


@functools.cache
def own_network() -> LoopbackNetwork:
    """The network of this process.

    Raises:
        OSError: none was free.
    """
    rng = random.SystemRandom()
    for _ in range(_TRIES):
        prefix = f"127.{rng.choice(_SECOND_NUMBERS)}.{rng.randrange(256)}"
        guard = socket.socket()
        try:
            guard.bind((f"{prefix}.{_GUARD_HOST}", _GUARD_PORT))
        except OSError:
            guard.close()
            continue
        return LoopbackNetwork(prefix, guard)
    raise OSError("no loopback network is free")


def free_address() -> str:
    """An address and port that nobody else binds meanwhile."""
    return f"{own_network().next_host()}:{_FIRST_PORT}"
