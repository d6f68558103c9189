"""Loopback addresses that no other fleet uses at the same time.

A free port that is found, released and bound later can be taken in between by
another fleet or by an outgoing connection. Each process that starts fleets
therefore reserves a network, 127.x.y.0/24, for its lifetime. Connections to a
loopback address originate from 127.0.0.1 and use no port of these networks.
"""

import functools
import itertools
import random
import socket
from collections.abc import Iterator

__all__ = ["LoopbackNetwork", "free_address", "own_network", "ports"]

# The owner of a network binds this socket at its last address.
_GUARD_HOST_OCTET = 254
_GUARD_PORT = 19_999
_FIRST_PORT = 20_000
# Second octets of networks: high values, not used in hand-written addresses.
_SECOND_OCTETS = range(64, 128)
_MAX_ATTEMPTS = 100
# Lower host octets are hard-coded in tests.
_HOST_OCTETS = range(20, 200)


class LoopbackNetwork:
    """A /24 network reserved by this process.

    Attributes:
        prefix: the first three octets, such as `127.70.3`.
    """

    def __init__(self, prefix: str, guard: socket.socket):
        """Reserves a network while `guard` stays open; see `own_network`."""
        self.prefix = prefix
        self._guard = guard
        self._host_octets = itertools.cycle(_HOST_OCTETS)

    def next_host(self) -> str:
        """Returns the next address, cycling through the network."""
        return f"{self.prefix}.{next(self._host_octets)}"


def ports() -> Iterator[int]:
    """Iterates over the ports of an address, each once."""
    return iter(range(_FIRST_PORT, 2**16))


@functools.cache
def own_network() -> LoopbackNetwork:
    """Returns the network of this process; reserves it on first use.

    Raises:
        OSError: no network is free.
    """
    rng = random.SystemRandom()
    for _ in range(_MAX_ATTEMPTS):
        prefix = f"127.{rng.choice(_SECOND_OCTETS)}.{rng.randrange(256)}"
        guard = socket.socket()
        try:
            guard.bind((f"{prefix}.{_GUARD_HOST_OCTET}", _GUARD_PORT))
        except OSError:
            guard.close()
            continue
        return LoopbackNetwork(prefix, guard)
    raise OSError("no loopback network is free")


def free_address() -> str:
    """Returns an address and port that no other fleet binds."""
    return f"{own_network().next_host()}:{_FIRST_PORT}"
