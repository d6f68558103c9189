"""Judges policies of an entry in seconds, without a network.

An entry's own queue and placing run unchanged, in virtual time, before models
of engines and callers. Two policies are played on the same arrivals:

    python -m damaskcroft.experiments standing plain --load 1.0 --load 1.3

What it leaves out: connections, links, failures, processor time. A policy that
is better here is tried on a whole deployment next.
"""

from damaskcroft.experiments._figures import Figures, Outcome, Tried
from damaskcroft.experiments._play import play
from damaskcroft.experiments._policies import POLICIES_BY_NAME, Policy
from damaskcroft.experiments._rows import Row, mean_row, profile
from damaskcroft.experiments._shapes import (
    EngineShape,
    FleetShape,
    Kind,
    LoadShape,
    saturation_per_s,
)

__all__ = [
    "POLICIES_BY_NAME",
    "EngineShape",
    "Figures",
    "FleetShape",
    "Kind",
    "LoadShape",
    "Outcome",
    "Policy",
    "Row",
    "Tried",
    "mean_row",
    "play",
    "profile",
    "saturation_per_s",
]
