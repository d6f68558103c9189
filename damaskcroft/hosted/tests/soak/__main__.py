"""Command line of the soak test; see `--help`."""

import asyncio
import pathlib
import random
import shutil
import tempfile
from typing import Annotated

import typer

from damaskcroft.hosted.tests.soak._run import Soak


def main(
    seeds: Annotated[int, typer.Option(help="number of seeds to play")] = 5,
    first: Annotated[
        int, typer.Option(help="first seed; 0 draws one at random")
    ] = 0,
    seconds: Annotated[
        float, typer.Option(help="duration of the faults")
    ] = 15.0,
    folder: Annotated[
        pathlib.Path | None,
        typer.Option(help="folder for the logs of failed runs"),
    ] = None,
) -> None:
    """Plays seeds in order; exits with 1 if one violates a guarantee."""
    first = first or random.SystemRandom().randrange(10**6)
    logs_folder = folder or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    failed = []
    for seed in range(first, first + seeds):
        seed_folder = logs_folder / str(seed)
        seed_folder.mkdir(parents=True)
        soak = Soak(seed, seed_folder)
        violations = asyncio.run(soak.run(seconds))
        print(f"seed {seed}: {soak.history.summary()}", flush=True)
        for violation in violations[:10]:
            print(f"  {violation}", flush=True)
        if violations:
            failed.append(seed)
        else:
            shutil.rmtree(seed_folder)
    print(f"{seeds} seeds, failed: {failed or 'none'}; logs in {logs_folder}")
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
