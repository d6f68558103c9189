"""Simulation of queueing and placement policies of entries under load.

An entry's own queue and placer run unchanged, in virtual time, with models of
engines and callers. All policies are simulated on the same arrivals:

    python -m damaskcroft.experiments standing plain --load 1.0 --load 1.3

Connections, links, failures and processor time are not modelled. A policy that
is better here is tested on a complete deployment next.
"""

from damaskcroft.experiments._parameters import (
    EngineParameters,
    FleetParameters,
    LoadParameters,
    RequestKind,
    saturation_per_s,
)
from damaskcroft.experiments._policies import POLICIES_BY_NAME, Policy
from damaskcroft.experiments._results import Attempt, Outcome, Results
from damaskcroft.experiments._rows import Row, load_profile, mean_row
from damaskcroft.experiments._simulation import simulate

__all__ = [
    "POLICIES_BY_NAME",
    "Attempt",
    "EngineParameters",
    "FleetParameters",
    "LoadParameters",
    "Outcome",
    "Policy",
    "RequestKind",
    "Results",
    "Row",
    "load_profile",
    "mean_row",
    "saturation_per_s",
    "simulate",
]
