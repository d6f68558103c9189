"""Repeated rollouts during which the control leader is killed.

One fleet runs many rounds, so that a failure that occurs once in hundreds of
runs occurs within minutes. Each round writes a version, kills the leader at a
seeded time, from before the record is accepted to after the rollout has ended,
and suspends other processes for tens of milliseconds, some of them for longer
than a lease. Every target must serve the version within 60 s of the acceptance
of its record, as in `test_processes`.

Run `python -m damaskcroft.standins.tests.chase --seed 7 --rounds 30`; the same
seed gives the same times. The folder of the fleet is kept after a failure.
"""

import dataclasses
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import threading
import time
from typing import Annotated

import typer

from damaskcroft.standins.fleet import FleetPlan, running_fleet
from damaskcroft.standins.tests.conftest import Site, targets

# The leader is killed between these times after the operator's call, because
# a rollout takes two to three seconds.
_EARLIEST_KILL_S = 0.0
_LATEST_KILL_S = 3.0
_SHORT_PAUSES_S = (0.02, 0.08)
# Some exceed the lease of 1.5 s.
_LONG_PAUSES_S = (0.5, 2.5)
_LONG_PAUSE_PROBABILITY = 0.2
_PAUSES = 4
_SERVED_WITHIN_S = 60.0
_SIGTERM_EXIT_STATUS = 128 + signal.SIGTERM
# Lets the restarted leader count for the quorum before the next round.
_SETTLE_TIME_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Pause:
    """A process suspended for some time.

    Attributes:
        name: name of the process.
        at_s: time of the suspension after the operator's call.
        for_s: duration.
    """

    name: str
    at_s: float
    for_s: float


class _Round:
    """A rollout of one version during which one leader is killed."""

    def __init__(self, site: Site, name: str, rng: random.Random):
        self._site = site
        self._name = name
        self._kill_at_s = rng.uniform(_EARLIEST_KILL_S, _LATEST_KILL_S)
        names = sorted(site.fleet.processes_by_name)
        self._pauses = [self._draw_pause(rng, names) for _ in range(_PAUSES)]

    def _draw_pause(self, rng: random.Random, names: list[str]) -> _Pause:
        duration_range_s = (
            _LONG_PAUSES_S
            if rng.random() < _LONG_PAUSE_PROBABILITY
            else _SHORT_PAUSES_S
        )
        at_s = rng.uniform(_EARLIEST_KILL_S, _LATEST_KILL_S)
        return _Pause(rng.choice(names), at_s, rng.uniform(*duration_range_s))

    def run(self, load) -> str:
        """Runs the round; returns a line that summarizes it."""
        version = self._site.write_version(self._name)
        load.plan.weights_by_version[self._name] = version.weights_digest
        fault_thread = threading.Thread(target=self._inject_faults)
        began_at = time.monotonic()
        fault_thread.start()
        try:
            # Like an operator, repeats the same change until it is accepted.
            self._site.fleet.wait_for(
                lambda: self._site.apply(version).returncode == 0, "accepted"
            )
            accepted_s = time.monotonic() - began_at
            self._site.wait_served(self._name, timeout_s=_SERVED_WITHIN_S)
        finally:
            fault_thread.join()
        served_s = time.monotonic() - began_at
        self._site.fleet.restart(self._killed)
        self._site.fleet.wait_for(
            lambda: bool(self._site.fleet.get_json(self._killed, "/readyz")),
            f"{self._killed} is ready again",
        )
        time.sleep(_SETTLE_TIME_S)
        return (
            f"version {self._name}: killed {self._killed} at "
            f"{self._kill_at_s:.2f} s, accepted {accepted_s:.2f} s, "
            f"served {served_s:.2f} s"
        )

    def _inject_faults(self) -> None:
        events = [(p.at_s, p) for p in self._pauses]
        events += [(p.at_s + p.for_s, p.name) for p in self._pauses]
        events.append((self._kill_at_s, None))
        began_at = time.monotonic()
        for at_s, event in sorted(events, key=lambda pair: pair[0]):
            time.sleep(max(0.0, began_at + at_s - time.monotonic()))
            if event is None:
                self._killed = self._site.fleet.leader() or "control-0"
                self._site.fleet.kill(self._killed)
            elif isinstance(event, _Pause):
                self._signal(event.name, signal.SIGSTOP)
            else:
                self._signal(event, signal.SIGCONT)

    def _signal(self, name: str, number: int) -> None:
        if name in self._site.fleet.processes_by_name:
            self._site.fleet.signal(name, number)


def main(
    seed: Annotated[int, typer.Option(help="of all moments")] = 0,
    rounds: Annotated[int, typer.Option(help="versions to roll out")] = 20,
) -> None:
    """Runs rounds until one fails."""
    # SIGTERM raises SystemExit, so that the fleet is ended first.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(_SIGTERM_EXIT_STATUS))
    rng = random.Random(seed)
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"chase-{seed}-"))
    plan = FleetPlan(targets(), lease_s=1.5, stall_s=1.0)
    with running_fleet(folder, plan) as fleet:
        site = Site(fleet)
        site.deploy("1")
        with site.load() as load:
            for number in range(2, rounds + 2):
                print(seed, _Round(site, str(number), rng).run(load))
        load.assert_guarantees()
    shutil.rmtree(folder)


if __name__ == "__main__":
    typer.run(main)
