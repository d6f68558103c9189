"""Queueing and placement policies to be compared.

Each class has the name by which the command line selects the policy.
"""

import abc
import random
from collections.abc import Callable

from damaskcroft.routing import (
    Candidate,
    Outliers,
    Placement,
    Placer,
    QueueTicket,
    RequestQueue,
    Slot,
    UnreadBound,
    draw_retry_after_s,
)

__all__ = ["POLICIES_BY_NAME", "Policy", "Standing"]

Choose = Callable[[QueueTicket], Placement | None]
Take = Callable[[Candidate, QueueTicket], Slot]


class Policy(abc.ABC):
    """Factory of the placer and the queue of an entry."""

    @abc.abstractmethod
    def placer(self, domain: str, rng: random.Random) -> Placer:
        """Returns a placer for an entry in a failure domain."""

    @abc.abstractmethod
    def queue(self, choose: Choose, take: Take) -> RequestQueue:
        """Returns a queue for requests that wait while engines are full."""

    def draw_retry_after_s(
        self, expected_wait_s: float, rng: random.Random
    ) -> float:
        """Returns the Retry-After of a refused caller."""
        return draw_retry_after_s(expected_wait_s, rng)


class Standing(Policy):
    """The policy of actual entries."""

    def placer(self, domain: str, rng: random.Random) -> Placer:
        """Returns a placer with its defaults."""
        return Placer(domain, domain, Outliers(), rng)

    def queue(self, choose: Choose, take: Take) -> RequestQueue:
        """Returns a queue with its defaults."""
        return RequestQueue(choose, take)


class _NoAdaptiveBound(UnreadBound):
    """Leaves the bound on unread prompts at its maximum."""

    def record(self, took_s: float, latency_objective_s: float) -> None:
        """Ignores measured times, so that the bound does not follow them."""


class Unbounded(Standing):
    """Places without a bound that follows the time to first events."""

    def placer(self, domain: str, rng: random.Random) -> Placer:
        """Returns a placer whose bound on unread prompts does not adapt."""
        return Placer(
            domain, domain, Outliers(), rng, unread_bound=_NoAdaptiveBound()
        )


class Patient(Standing):
    """Keeps requests that will be late queued for as long as other requests."""

    def queue(self, choose: Choose, take: Take) -> RequestQueue:
        """Returns a queue that does not refuse late requests."""
        return RequestQueue(choose, take, refuses_late=False)


class Plain(Unbounded, Patient):
    """Has neither the adaptive bound nor the refusal of late requests."""


POLICIES_BY_NAME: dict[str, Policy] = {
    "standing": Standing(),
    "unbounded": Unbounded(),
    "patient": Patient(),
    "plain": Plain(),
}
