"""Plays policies on the same seeds and prints what callers get."""

import dataclasses
import pathlib
from typing import Annotated

import typer

from damaskcroft.experiments import (
    POLICIES_BY_NAME,
    FleetShape,
    LoadShape,
    Row,
    mean_row,
    saturation_per_s,
)

_LOADS = [0.8, 1.0, 1.1, 1.3, 2.0]

app = typer.Typer(pretty_exceptions_enable=False, add_completion=False)


def _print(rows: list[Row]) -> None:
    names = [field.name for field in dataclasses.fields(Row)]
    typer.echo("  ".join(f"{name:>13}" for name in names))
    for each in rows:
        values = dataclasses.astuple(each)
        cells = [f"{values[0]:>13}", *(f"{v:13.2f}" for v in values[1:])]
        typer.echo("  ".join(cells))


def _plot(rows: list[Row], path: pathlib.Path) -> None:
    """Goodput against load, a line a policy."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(6, 3.5))
    for policy in dict.fromkeys(each.policy for each in rows):
        of_policy = [each for each in rows if each.policy == policy]
        axes.plot(
            [each.load for each in of_policy],
            [each.in_time_per_s for each in of_policy],
            "o-",
            label=policy,
        )
    axes.set_xlabel("load, times what engines carry")
    axes.set_ylabel("answers in time, a second")
    axes.set_ylim(bottom=0)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)


@app.command()
def main(
    policies: Annotated[
        list[str], typer.Argument(help=", ".join(POLICIES_BY_NAME))
    ],
    load: Annotated[
        list[float], typer.Option(min=0.01, help="times what engines carry")
    ] = _LOADS,
    seeds: Annotated[int, typer.Option(min=1, help="plays of each")] = 3,
    entries: Annotated[int, typer.Option(min=1)] = FleetShape().entries,
    engines: Annotated[int, typer.Option(min=1)] = FleetShape().engines,
    plot: Annotated[
        pathlib.Path | None, typer.Option(help="a picture to write")
    ] = None,
) -> None:
    """Plays policies past saturation, each on the same arrivals."""
    unknown = [name for name in policies if name not in POLICIES_BY_NAME]
    if unknown:
        raise typer.BadParameter(f"no such policy: {', '.join(unknown)}")
    fleet = FleetShape(entries=entries, engines=engines)
    carried = saturation_per_s(fleet, LoadShape())
    typer.echo(f"{engines} engines carry {carried:.0f} requests a second")
    rows = [
        mean_row(name, POLICIES_BY_NAME[name], fleet, times, seeds)
        for name in policies
        for times in load
    ]
    _print(rows)
    if plot is not None:
        _plot(rows, plot)


if __name__ == "__main__":
    app()
