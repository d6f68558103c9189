"""Entries that share one target's limit, in virtual time, by several ways.

    python -m damaskcroft.limits.tests.plays

prints, for each way and fleet: the most requests in any four seconds, what is
allowed, and how much of the named rate was used.
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
    """Each entry gets the same share."""
    del start_id, own_name
    return rate_s / len(entries)


def by_one(start_id, rate_s, own_name, entries):
    """One entry sends; the others send elsewhere."""
    del start_id
    return rate_s if own_name == min(entries) else 0.0


def by_demand(demand_s_by_name):
    """What leases by demand come to once all is known: no skew, no loss."""
    whole_s = sum(demand_s_by_name.values())

    def share(start_id, rate_s, own_name, entries):
        del start_id, entries
        return rate_s * demand_s_by_name[own_name] / whole_s

    return share


class Play:
    """Entries whose callers all want one limited target.

    Args:
        share: the way, as `sending_share`.
        rate_s: the limit.
        demand_s_by_name: requests a second of each entry's callers.
        seed: names the arrivals.
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
    def most(self):
        """The most requests in any window."""
        times = sorted(self.sent_at)
        return max(
            (
                bisect.bisect_left(times, at + WINDOW_S) - index
                for index, at in enumerate(times)
            ),
            default=0,
        )

    @property
    def used(self):
        """The share of the named rate that was sent."""
        return len(self.sent_at) / (self._rate_s * _SECONDS)


def demand_of(entries, skew):
    """Ten requests a second for each entry; `skew` moves them to the first."""
    weights = [1 / (n + 1) ** skew for n in range(entries)]
    whole_s = 10.0 * entries
    return {
        f"entry-{n}": whole_s * weight / sum(weights)
        for n, weight in enumerate(weights)
    }


def allowed(rate_s):
    """What the platform's rule allows in a window."""
    return 1.5 * WINDOW_S * rate_s + 5


def played(share, rate_s, demand_s_by_name, seed=0):
    """A play that has ended."""
    play = Play(share, rate_s, demand_s_by_name, seed)
    loop = VirtualTimeLoop()
    loop.run(play.run())
    loop.close()
    return play


def main():
    for entries, skew in ((4, 0), (15, 0), (15, 1.5), (350, 0)):
        demand = demand_of(entries, skew)
        ways = {
            "among all": among_all,
            "by one": by_one,
            "by few": sending_share,
            "by demand": by_demand(demand),
        }
        for rate_s in (0.5, 1, 5, 40):
            for way, share in ways.items():
                play = played(share, rate_s, demand)
                print(
                    f"{entries:3d} entries, skew {skew}: {rate_s:4} a second, "
                    f"{way:9}: most {play.most:3d} of {allowed(rate_s):5}, "
                    f"used {play.used:.2f}"
                )


if __name__ == "__main__":
    main()
