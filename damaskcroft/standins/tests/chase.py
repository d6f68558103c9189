"""Rolls versions out again and again while the leader of control is killed.

One fleet and many rounds, so that a failure that comes once in hundreds of
runs comes within minutes. Each round writes a version, kills the leader at a
moment drawn from the seed, anywhere from before the record is accepted to
after the rollout has ended, and stops other processes for some tens of
milliseconds, some agents for longer than their lease. The version must be on
every target 60 s after the kill, as in `test_processes`.

Run `python -m damaskcroft.standins.tests.chase --seed 7 --rounds 30`; the same
seed plays the same moments. The fleet's folder is kept after a failure.
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

# The kill comes between these times, counted from the operator's call: a
# rollout takes two to three seconds.
_FIRST_KILL_S = 0.0
_LAST_KILL_S = 3.0
_SHORT_PAUSES_S = (0.02, 0.08)
# Leases last 1.5 s here.
_LONG_PAUSES_S = (0.5, 2.5)
_LONG_SHARE = 0.2
_PAUSES = 4
_SERVED_WITHIN_S = 60.0
_TOLD_TO_END = 128 + signal.SIGTERM
# Between two rounds the old leader counts again.
_SETTLE_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Pause:
    """One process stopped for a while.

    Attributes:
        name: the process.
        at_s: when, from the operator's call.
        for_s: how long.
    """

    name: str
    at_s: float
    for_s: float


class _Round:
    """One version, one killed leader."""

    def __init__(self, site: Site, name: str, rng: random.Random):
        self._site = site
        self._name = name
        self._kill_at_s = rng.uniform(_FIRST_KILL_S, _LAST_KILL_S)
        names = sorted(site.fleet.processes_by_name)
        self._pauses = [self._pause(rng, names) for _ in range(_PAUSES)]

    def _pause(self, rng: random.Random, names: list[str]) -> _Pause:
        span = _LONG_PAUSES_S if rng.random() < _LONG_SHARE else _SHORT_PAUSES_S
        at_s = rng.uniform(_FIRST_KILL_S, _LAST_KILL_S)
        return _Pause(rng.choice(names), at_s, rng.uniform(*span))

    def play(self, load) -> str:
        """Plays the round; gives a line on how it went."""
        version = self._site.write_version(self._name)
        load.plan.weights_by_version[self._name] = version.weights_digest
        troubles = threading.Thread(target=self._trouble)
        began_at = time.monotonic()
        troubles.start()
        try:
            # As operators do: the same change again until it is accepted.
            self._site.fleet.wait_for(
                lambda: self._site.apply(version).returncode == 0, "accepted"
            )
            accepted_s = time.monotonic() - began_at
            self._site.wait_served(self._name, timeout_s=_SERVED_WITHIN_S)
        finally:
            troubles.join()
        served_s = time.monotonic() - began_at
        self._site.fleet.restart(self._killed)
        self._site.fleet.wait_for(
            lambda: bool(self._site.fleet.get_json(self._killed, "/readyz")),
            f"{self._killed} is back",
        )
        time.sleep(_SETTLE_S)
        return (
            f"version {self._name}: killed {self._killed} at "
            f"{self._kill_at_s:.2f} s, accepted {accepted_s:.2f} s, "
            f"served {served_s:.2f} s"
        )

    def _trouble(self) -> None:
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
    """Plays rounds until one fails."""
    # Told to end, it ends its fleet first.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(_TOLD_TO_END))
    rng = random.Random(seed)
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"chase-{seed}-"))
    plan = FleetPlan(targets(), lease_s=1.5, stall_s=1.0)
    with running_fleet(folder, plan) as fleet:
        site = Site(fleet)
        site.deploy("1")
        with site.load() as load:
            for number in range(2, rounds + 2):
                print(seed, _Round(site, str(number), rng).play(load))
        load.check_promises()
    shutil.rmtree(folder)


if __name__ == "__main__":
    typer.run(main)
