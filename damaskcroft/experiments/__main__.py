"""Command that simulates policies on the same seeds and prints a table."""

import dataclasses
import pathlib
from typing import Annotated

import typer

from damaskcroft.experiments import (
    POLICIES_BY_NAME,
    FleetParameters,
    LoadParameters,
    Row,
    mean_row,
    saturation_per_s,
)

_LOADS = [0.8, 1.0, 1.1, 1.3, 2.0]

app = typer.Typer(pretty_exceptions_enable=False, add_completion=False)


def _print(rows: list[Row]) -> None:
    names = [field.name for field in dataclasses.fields(Row)]
    typer.echo("  ".join(f"{name:>13}" for name in names))
    for row in rows:
        values = dataclasses.astuple(row)
        cells = [f"{values[0]:>13}", *(f"{v:13.2f}" for v in values[1:])]
        typer.echo("  ".join(cells))


def _plot(rows: list[Row], path: pathlib.Path) -> None:
    """Plots goodput against load, with one curve for each policy."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(6, 3.5))
    for policy in dict.fromkeys(row.policy for row in rows):
        rows_of_policy = [row for row in rows if row.policy == policy]
        axes.plot(
            [row.load for row in rows_of_policy],
            [row.in_time_per_s for row in rows_of_policy],
            "o-",
            label=policy,
        )
    axes.set_xlabel("load relative to saturation")
    axes.set_ylabel("answers in time per second")
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
        list[float], typer.Option(min=0.01, help="load relative to saturation")
    ] = _LOADS,
    seeds: Annotated[
        int, typer.Option(min=1, help="runs of each policy and load")
    ] = 3,
    entries: Annotated[int, typer.Option(min=1)] = FleetParameters().entries,
    engines: Annotated[int, typer.Option(min=1)] = FleetParameters().engines,
    plot: Annotated[
        pathlib.Path | None, typer.Option(help="image file to write")
    ] = None,
) -> None:
    """Simulates policies past saturation, each on the same arrivals."""
    unknown = [name for name in policies if name not in POLICIES_BY_NAME]
    if unknown:
        raise typer.BadParameter(f"no such policy: {', '.join(unknown)}")
    fleet = FleetParameters(entries=entries, engines=engines)
    saturation = saturation_per_s(fleet, LoadParameters())
    typer.echo(
        f"{engines} engines are saturated at {saturation:.0f} requests a second"
    )
    rows = [
        mean_row(name, POLICIES_BY_NAME[name], fleet, load_factor, seeds)
        for name in policies
        for load_factor in load
    ]
    _print(rows)
    if plot is not None:
        _plot(rows, plot)


if __name__ == "__main__":
    app()
