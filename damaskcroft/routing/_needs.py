"""Which waiting requests compete for the same targets.

It is for queues in which some requests can be served by a part of the targets
only. A request for which there is no room doesn't block those behind it that
other targets can serve, but none behind it takes room that it could use.
"""

from collections.abc import Iterable

from damaskcroft.routing._placement import Candidate
from damaskcroft.routing._tickets import QueueTicket

__all__ = ["Need", "is_wanted_by", "need_of"]

# Model and allowed regions of a request.
Need = tuple[str, frozenset[str] | None]


def need_of(ticket: QueueTicket) -> Need:
    """Returns what decides which targets can serve a ticket."""
    return ticket.model, ticket.allowed_regions


def is_wanted_by(
    candidate: Candidate, model: str, blocked: Iterable[QueueTicket]
) -> bool:
    """Whether a blocked request for a model could run at a target."""
    return any(
        ticket.model == model
        and (
            ticket.allowed_regions is None
            or candidate.region in ticket.allowed_regions
        )
        for ticket in blocked
    )
