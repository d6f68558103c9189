"""Plays seeds by hand: `python -m damaskcroft.hosted.tests.soak --help`."""

import asyncio
import pathlib
import random
import shutil
import tempfile
from typing import Annotated

import typer

from damaskcroft.hosted.tests.soak._run import Soak


def main(
    seeds: Annotated[int, typer.Option(help="how many to play")] = 5,
    first: Annotated[
        int, typer.Option(help="the first seed; 0 for one drawn now")
    ] = 0,
    seconds: Annotated[float, typer.Option(help="of faults")] = 15.0,
    folder: Annotated[
        pathlib.Path | None, typer.Option(help="where failed runs are kept")
    ] = None,
) -> None:
    """Plays seeds one after another; exit status 1 if any broke a promise."""
    first = first or random.SystemRandom().randrange(10**6)
    kept = folder or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    failed = []
    for seed in range(first, first + seeds):
        place = kept / str(seed)
        place.mkdir(parents=True)
        soak = Soak(seed, place)
        broken = asyncio.run(soak.run(seconds))
        print(f"seed {seed}: {soak.book.summary()}", flush=True)
        for what in broken[:10]:
            print(f"  {what}", flush=True)
        if broken:
            failed.append(seed)
        else:
            shutil.rmtree(place)
    print(f"{seeds} seeds, failed: {failed or 'none'}; logs in {kept}")
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
