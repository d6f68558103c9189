"""Retry budgets of a fleet's entries in virtual time, against the fleet's rule.

Entries learn of each other from control nodes by the updates of `FleetView`.
Callers take each retry that an entry allows, as when every answer fails.
"""

import asyncio
import collections
import dataclasses
import random

from damaskcroft._generated import fleet_pb2
from damaskcroft.clock import now_s
from damaskcroft.fleet import Bounds, FleetView
from damaskcroft.forwarding import follow_retry_budget
from damaskcroft.hosted.tests.soak._retries import (
    RATIO,
    WINDOW_S,
    allowed_retries,
    count_in_window,
)

EXTRA = 104
_BOUNDS = Bounds(
    drain_s=2.0,
    grace_s=8.0,
    configuration_s=2.0,
    retry_ratio=RATIO,
    retry_window_s=WINDOW_S,
    retry_extra=EXTRA,
    weights_s=8.0,
)

_STEP_S = 0.05
_UPDATE_EVERY_S = 0.5
_RECONNECT_S = 0.3
_CLEANUP_EVERY_S = 0.5
_NODES = ("c0", "c1", "c2")


class Entry:
    """One start of an entry."""

    def __init__(self, name, bounds):
        self.name = name
        self.view = FleetView()
        self.budget = follow_retry_budget(self.view, name, bounds)
        self.is_cut_off = False
        self.frozen_until = 0.0

    def clean_up(self):
        self.budget.report()

    def count_request(self, service):
        self.budget.count_request(service)

    def spend(self, service):
        return self.budget.spend(service) is not None


class Fleet:
    """Entries, control nodes, and callers' requests by service.

    Args:
        entries: number of entries.
        rates_s: requests a second by service.
        seed: seed of which entry receives each request.
        extra: constant of the rule.
    """

    def __init__(self, entries, rates_s, seed=1, extra=EXTRA):
        self._bounds = dataclasses.replace(_BOUNDS, retry_extra=extra)
        self._rng = random.Random(seed)
        self._delays_rng = random.Random(seed)
        self._rates_s = rates_s
        self._owed = dict.fromkeys(rates_s, 0.0)
        self.entries_by_name = {}
        # Loop time from which an entry is connected to a node.
        self._joined_at = {}
        self._down_until = dict.fromkeys(_NODES, 0.0)
        self.requests = collections.defaultdict(list)
        self.retries = collections.defaultdict(list)
        self.retries_by_name = collections.defaultdict(list)
        self.failing = set(rates_s)
        for number in range(entries):
            self.start(f"e{number}")

    # --- What happens to processes --------------------------------------------

    def start(self, name):
        """Starts an entry, or kills it and starts it again."""
        self.entries_by_name[name] = Entry(name, self._bounds)
        for node in _NODES:
            self._reconnect(name, node)

    def restart(self, *names):
        for name in names or list(self.entries_by_name):
            self.start(name)

    def cut_off(self, *names):
        for name in names:
            self.entries_by_name[name].is_cut_off = True

    def rejoin(self, *names):
        for name in names:
            self.entries_by_name[name].is_cut_off = False
            for node in _NODES:
                self._reconnect(name, node)

    def freeze(self, seconds, *names):
        for name in names:
            self.entries_by_name[name].frozen_until = now_s() + seconds

    def restart_control(self, *nodes, down_s=0.0):
        for node in nodes or _NODES:
            self._down_until[node] = now_s() + down_s
            for name in self.entries_by_name:
                self._reconnect(name, node, down_s)

    def _reconnect(self, name, node, after_s=0.0):
        delay_s = _RECONNECT_S * (0.5 + self._delays_rng.random())
        self._joined_at[name, node] = now_s() + after_s + delay_s

    # --- The course of time ---------------------------------------------------

    async def run(self, seconds):
        """Lets time pass; callers take every retry that they get."""
        for _ in range(round(seconds / _STEP_S)):
            self._step()
            await asyncio.sleep(_STEP_S)

    def _step(self):
        now = now_s()
        steps = round(now / _STEP_S)
        if steps % round(_UPDATE_EVERY_S / _STEP_S) == 0:
            for node in _NODES:
                self._send_updates(node, now)
        awake = [
            e for e in self.entries_by_name.values() if e.frozen_until <= now
        ]
        if steps % round(_CLEANUP_EVERY_S / _STEP_S) == 1:
            for entry in awake:
                entry.clean_up()
        for service, rate_s in self._rates_s.items():
            self._owed[service] += rate_s * _STEP_S
            while self._owed[service] >= 1:
                self._owed[service] -= 1
                self.requests[service].append(now)
                if awake:
                    self._rng.choice(awake).count_request(service)
        for service in sorted(self.failing):
            for entry in awake:
                while entry.spend(service):
                    self.retries[service].append(now)
                    self.retries_by_name[entry.name].append(now)

    def _send_updates(self, node, now):
        if self._down_until[node] > now:
            return
        connected = {
            name
            for name, entry in self.entries_by_name.items()
            if self._joined_at[name, node] <= now and not entry.is_cut_off
        }
        update = fleet_pb2.FleetUpdate(
            control_addresses=_NODES, entries=len(connected)
        )
        update.entry_names.whole = True
        update.entry_names.joined.extend(sorted(connected))
        for name in connected:
            entry = self.entries_by_name[name]
            if entry.frozen_until <= now:
                entry.view.apply_update(update, node)

    # --- The rule -------------------------------------------------------------

    def worst_share(self, service, since=0.0):
        """The most retries in a window, as a share of what the rule allows."""
        retries = [at for at in self.retries[service] if at >= since]
        return max(
            (
                count_in_window(retries, at) / self.allowed(service, at)
                for at in dict.fromkeys(retries)
            ),
            default=0.0,
        )

    def allowed(self, service, begin):
        """Retries that the rule allows in the window that begins then."""
        return allowed_retries(
            self.requests[service], begin, self._bounds.retry_extra
        )

    def used_share(self, service, begin):
        """Retries in one window as a share of what the rule allows."""
        return count_in_window(self.retries[service], begin) / self.allowed(
            service, begin
        )
