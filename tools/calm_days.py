"""Runs the bench of a kit on the scenario without faults of each site."""

import os
import pathlib
import sys

_BENCH = pathlib.Path("more/system/bin/fleetbench")
_SITES = pathlib.Path("more/system/sites")
_FAULTLESS_SCENARIO = "quiet-1"
_USAGE_ERROR = 2


def main() -> None:
    """Runs the bench for one site, or prints the commands for several.

    Usage: calm_days.py KIT [SITE]. The bench replaces this process instead of
    being started as a child, so one call can run only one site; for several
    sites, it prints one command per line.
    """
    if len(sys.argv) < 2:
        print("usage: calm_days.py KIT [SITE]", file=sys.stderr)
        raise SystemExit(_USAGE_ERROR)
    kit = pathlib.Path(sys.argv[1])
    sites = sorted((kit / _SITES).glob("*.toml"))
    if len(sys.argv) > 2:
        sites = [site for site in sites if site.stem == sys.argv[2]]
    if not sites:
        print(f"no matching site file in {kit / _SITES}", file=sys.stderr)
        raise SystemExit(_USAGE_ERROR)
    if len(sites) > 1:
        for site in sites:
            print(f"{kit / _BENCH} run {site} {_FAULTLESS_SCENARIO}")
        return
    bench = str(kit / _BENCH)
    os.execv(bench, [bench, "run", str(sites[0]), _FAULTLESS_SCENARIO])


if __name__ == "__main__":
    main()
