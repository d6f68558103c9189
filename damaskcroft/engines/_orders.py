"""Outcomes of an order to a target, apart from the interface of its calls.

Each data class costs up to a millisecond of a start, and many programs need
only these.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAccepted:
    """The target has accepted the order; its state shows the result."""


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRefused:
    """The target has seen a newer fencing number or can't run the order."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class OrderFailed:
    """No answer came, or the lease ends too soon for the order to be sent."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class OrderExpired:
    """The order was not sent: its time had passed before it could be."""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineUnreachable:
    """The target does not answer."""


OrderOutcome = OrderAccepted | OrderRefused | OrderFailed
