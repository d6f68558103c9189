"""Plays policies on the same seeds and prints what callers get."""

import dataclasses
import pathlib
import statistics
from collections.abc import Sequence
from typing import Annotated

import typer

from damaskcroft.experiments import (
    POLICIES_BY_NAME,
    Figures,
    FleetShape,
    LoadShape,
    Outcome,
    Policy,
    play,
    saturation_per_s,
)

# A light load first, then the one in question, then a light one again.
_LIGHT = 0.55
_RISES_AT_S, _FULL_AT_S, _FALLS_AT_S, _ENDS_S = 4.0, 8.0, 20.0, 26.0
# What is counted: the load in question once it has lasted, and callers that
# come some goals after it has ended.
_COUNTED_S = (10.0, 20.0)
_AFTER_S = (21.5, 26.0)

app = typer.Typer(pretty_exceptions_enable=False, add_completion=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Means over all seeds of a policy and a load.

    Attributes:
        policy: its name.
        load: times what engines carry.
        asked_per_s: first tries.
        in_time_per_s: answers in time.
        in_time: share of all tries.
        late: likewise.
        refused: likewise.
        tries: of a caller.
        late_work: share of the engines' work that was spent on late answers.
        least_entry: the smallest share in time of an entry's callers.
        least_kind: and of a kind of request.
        after: share in time once the load has fallen.
    """

    policy: str
    load: float
    asked_per_s: float
    in_time_per_s: float
    in_time: float
    late: float
    refused: float
    tries: float
    late_work: float
    least_entry: float
    least_kind: float
    after: float


def profile(times: float) -> LoadShape:
    """A load that rises to so many times what engines carry, and falls."""
    half_way = (_LIGHT + times) / 2
    return LoadShape(
        steps=(
            (0.0, _LIGHT),
            (_RISES_AT_S, half_way),
            (_FULL_AT_S, times),
            (_FALLS_AT_S, _LIGHT),
        ),
        ends_s=_ENDS_S,
    )


def row(
    name: str, policy: Policy, fleet: FleetShape, times: float, seeds: int
) -> Row:
    """Plays a policy under a load on some seeds."""
    load = profile(times)
    found = [
        _measured(play(policy, fleet, load, seed), fleet, load)
        for seed in range(1, seeds + 1)
    ]
    means = [statistics.fmean(values) for values in zip(*found, strict=True)]
    return Row(name, times, *means)


def _measured(
    figures: Figures, fleet: FleetShape, load: LoadShape
) -> Sequence[float]:
    counted = figures.between(*_COUNTED_S)
    counted_s = _COUNTED_S[1] - _COUNTED_S[0]
    entries = (counted.of_entry(n) for n in range(fleet.entries))
    kinds = (counted.of_kind(kind.name) for kind in load.kinds)
    return (
        sum(not tried.is_return for tried in counted.tries) / counted_s,
        counted.count(Outcome.IN_TIME) / counted_s,
        counted.share(Outcome.IN_TIME),
        counted.share(Outcome.LATE),
        counted.share(Outcome.REFUSED),
        counted.tries_per_caller,
        counted.late_work_share,
        min(entry.share(Outcome.IN_TIME) for entry in entries),
        min(kind.share(Outcome.IN_TIME) for kind in kinds),
        figures.between(*_AFTER_S).share(Outcome.IN_TIME),
    )


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
    loads: Annotated[
        str, typer.Option(help="times what engines carry, by commas")
    ] = "0.8,1.0,1.1,1.3,2.0",
    seeds: Annotated[int, typer.Option(help="plays of each")] = 3,
    entries: Annotated[int, typer.Option()] = FleetShape().entries,
    engines: Annotated[int, typer.Option()] = FleetShape().engines,
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
        row(name, POLICIES_BY_NAME[name], fleet, float(times), seeds)
        for name in policies
        for times in loads.split(",")
    ]
    _print(rows)
    if plot is not None:
        _plot(rows, plot)


if __name__ == "__main__":
    app()
