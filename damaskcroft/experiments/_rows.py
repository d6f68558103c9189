"""Results of a policy under a load that rises past saturation and falls."""

import dataclasses
import statistics
from collections.abc import Sequence

from damaskcroft.experiments._parameters import (
    FleetParameters,
    LoadParameters,
    RequestKind,
)
from damaskcroft.experiments._policies import Policy
from damaskcroft.experiments._results import Outcome, Results
from damaskcroft.experiments._simulation import simulate

__all__ = ["Row", "load_profile", "mean_row"]

# The load is light at first, rises to the one under test, and is light again.
_LIGHT_LOAD = 0.55
_RISES_AT_S, _FULL_AT_S, _FALLS_AT_S, _ENDS_AT_S = 4.0, 8.0, 20.0, 26.0
# Evaluated intervals of arrival: the load under test once it is steady,
# and the recovery from a few latency objectives after the load has fallen.
_MEASURED_S = (10.0, 20.0)
_RECOVERY_S = (21.5, 26.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Means over all seeds of a policy and a load; printed by field name.

    Attributes:
        policy: name of the policy.
        load: load relative to saturation.
        asked_per_s: first attempts per second.
        in_time_per_s: answers in time per second.
        in_time: share of all attempts that were answered in time.
        late: share of all attempts that were answered late.
        refused: share of all attempts that were refused.
        tries: attempts of a caller.
        late_work: share of the engines' work that was spent on late answers.
        least_entry: smallest share in time among entries.
        least_kind: smallest share in time among kinds of requests.
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


def load_profile(load_factor: float) -> LoadParameters:
    """Returns a load that rises to `load_factor`, and falls.

    The factor is relative to the saturation rate of the engines.
    """
    intermediate = (_LIGHT_LOAD + load_factor) / 2
    return LoadParameters(
        steps=(
            (0.0, _LIGHT_LOAD),
            (_RISES_AT_S, intermediate),
            (_FULL_AT_S, load_factor),
            (_FALLS_AT_S, _LIGHT_LOAD),
        ),
        ends_s=_ENDS_AT_S,
    )


def mean_row(
    name: str,
    policy: Policy,
    fleet: FleetParameters,
    load_factor: float,
    seeds: int,
    kinds: tuple[RequestKind, ...] = LoadParameters().kinds,
) -> Row:
    """Simulates a policy under a load; returns means over the seeds."""
    load = dataclasses.replace(load_profile(load_factor), kinds=kinds)
    results_by_seed = [
        _measure(simulate(policy, fleet, load, seed), fleet, load)
        for seed in range(1, seeds + 1)
    ]
    means = [
        statistics.fmean(values)
        for values in zip(*results_by_seed, strict=True)
    ]
    return Row(name, load_factor, *means)


def _measure(
    results: Results, fleet: FleetParameters, load: LoadParameters
) -> Sequence[float]:
    measured = results.sent_between(*_MEASURED_S)
    measured_s = _MEASURED_S[1] - _MEASURED_S[0]
    entries = (measured.filter_by_entry(n) for n in range(fleet.entries))
    kinds = (measured.filter_by_kind(kind.name) for kind in load.kinds)
    return (
        sum(not attempt.is_retry for attempt in measured.attempts) / measured_s,
        measured.count(Outcome.IN_TIME) / measured_s,
        measured.share(Outcome.IN_TIME),
        measured.share(Outcome.LATE),
        measured.share(Outcome.REFUSED),
        measured.attempts_per_caller,
        measured.late_work_share,
        min(entry.share(Outcome.IN_TIME) for entry in entries),
        min(kind.share(Outcome.IN_TIME) for kind in kinds),
        results.sent_between(*_RECOVERY_S).share(Outcome.IN_TIME),
    )
