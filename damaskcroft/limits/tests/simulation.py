"""Simulation of entries that share one target's rate limit, in virtual time.

    python -m damaskcroft.limits.tests.simulation

prints, for each policy and fleet: the maximum number of requests in any four
seconds, the number allowed, and the used share of the announced rate.
"""

import asyncio
import bisect
import random

from damaskcroft.limits import TokenBucket, sending_share
from damaskcroft.standins.virtual_time import VirtualTimeLoop

WINDOW_S = 4.0
_SECONDS = 60.0
_START = "t@1"


def among_all(start_id, rate_s, own_name, entries):
    """Gives each entry the same share."""
    del start_id, own_name
    return rate_s / len(entries)


def by_one(start_id, rate_s, own_name, entries):
    """Gives one entry the whole limit."""
    del start_id
    return rate_s if own_name == min(entries) else 0.0


def by_demand(demand_s_by_name):
    """Returns the policy that leases by demand approach.

    It assumes that all demand is known, without skew and without loss.
    """
    total_s = sum(demand_s_by_name.values())

    def share(start_id, rate_s, own_name, entries):
        del start_id, entries
        return rate_s * demand_s_by_name[own_name] / total_s

    return share


class Simulation:
    """Entries whose callers all request one limited target.

    Args:
        share: the policy, with the signature of `sending_share`.
        rate_s: the limit.
        demand_s_by_name: requests a second of each entry's callers.
        seed: seed of the arrivals.
    """

    def __init__(self, share, rate_s, demand_s_by_name, seed=0):
        self._share = share
        self._rate_s = rate_s
        self._demand_s_by_name = demand_s_by_name
        self._entries = frozenset(demand_s_by_name)
        self._rng = random.Random(seed)
        self.sent_at = []

    async def run(self):
        async with asyncio.TaskGroup() as group:
            for name, demand_s in self._demand_s_by_name.items():
                group.create_task(self._entry(name, demand_s))

    async def _entry(self, name, demand_s):
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + _SECONDS
        share_s = self._share(_START, self._rate_s, name, self._entries)
        bucket = TokenBucket(share_s) if share_s else None
        while loop.time() < ends_at:
            await asyncio.sleep(self._rng.expovariate(demand_s))
            if bucket is not None and not bucket.wait_s():
                bucket.take()
                self.sent_at.append(loop.time())

    @property
    def max_requests(self):
        """The maximum number of requests in any window."""
        times = sorted(self.sent_at)
        return max(
            (
                bisect.bisect_left(times, at + WINDOW_S) - index
                for index, at in enumerate(times)
            ),
            default=0,
        )

    @property
    def used_share(self):
        """The share of the announced rate that was sent."""
        return len(self.sent_at) / (self._rate_s * _SECONDS)


def demand_of(entries, skew):
    """Returns ten requests a second per entry; `skew` favours the first."""
    weights = [1 / (n + 1) ** skew for n in range(entries)]
    total_s = 10.0 * entries
    return {
        f"entry-{n}": total_s * weight / sum(weights)
        for n, weight in enumerate(weights)
    }


def allowed_requests(rate_s):
    """Returns the number of requests that the platform allows in a window."""
    return 1.5 * WINDOW_S * rate_s + 5


def simulate(share, rate_s, demand_s_by_name, seed=0):
    """Returns a simulation that has ended."""
    simulation = Simulation(share, rate_s, demand_s_by_name, seed)
    loop = VirtualTimeLoop()
    loop.run(simulation.run())
    loop.close()
    return simulation


def main():
    for entries, skew in ((4, 0), (15, 0), (15, 1.5), (350, 0)):
        demand = demand_of(entries, skew)
        policies = {
            "among all": among_all,
            "by one": by_one,
            "by few": sending_share,
            "by demand": by_demand(demand),
        }
        for rate_s in (0.5, 1, 5, 40):
            for policy, share in policies.items():
                result = simulate(share, rate_s, demand)
                print(
                    f"{entries:3d} entries, skew {skew}: {rate_s:4} a second, "
                    f"{policy:9}: most {result.max_requests:3d} of "
                    f"{allowed_requests(rate_s):5}, "
                    f"used {result.used_share:.2f}"
                )


if __name__ == "__main__":
    main()
