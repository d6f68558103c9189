"""Plays the calm day of each site of a kit, as an operator would first."""

import os
import pathlib
import sys

_BENCH = pathlib.Path("more/system/bin/fleetbench")
_SITES = pathlib.Path("more/system/sites")
_CALM_DAY = "quiet-1"
_USAGE = 2


def main() -> None:
    """Runs the kit's bench in place of this process, a site at a time.

    Usage: calm_days.py KIT [SITE]. Without a site, lists the commands: one
    bench run takes the place of this process, so that none is started.
    """
    if len(sys.argv) < 2:
        print("usage: calm_days.py KIT [SITE]", file=sys.stderr)
        raise SystemExit(_USAGE)
    kit = pathlib.Path(sys.argv[1])
    sites = sorted((kit / _SITES).glob("*.toml"))
    if len(sys.argv) > 2:
        sites = [site for site in sites if site.stem == sys.argv[2]]
    if not sites:
        print(f"no such site below {kit / _SITES}", file=sys.stderr)
        raise SystemExit(_USAGE)
    if len(sites) > 1:
        for site in sites:
            print(f"{kit / _BENCH} run {site} {_CALM_DAY}")
        return
    bench = str(kit / _BENCH)
    os.execv(bench, [bench, "run", str(sites[0]), _CALM_DAY])


if __name__ == "__main__":
    main()
