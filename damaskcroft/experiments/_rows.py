"""Figures of a policy under a load that rises past saturation and falls."""

import dataclasses
import statistics
from collections.abc import Sequence

from damaskcroft.experiments._figures import Figures, Outcome
from damaskcroft.experiments._play import play
from damaskcroft.experiments._policies import Policy
from damaskcroft.experiments._shapes import FleetShape, LoadShape

__all__ = ["Row", "mean_row", "profile"]

# A light load first, then the one in question, then a light one again.
_LIGHT = 0.55
_RISES_AT_S, _FULL_AT_S, _FALLS_AT_S, _ENDS_S = 4.0, 8.0, 20.0, 26.0
# What is counted: the load in question once it has lasted, and callers that
# come some goals after it has ended.
_COUNTED_S = (10.0, 20.0)
_AFTER_S = (21.5, 26.0)


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


def mean_row(
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
