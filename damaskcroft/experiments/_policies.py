"""Ways in which an entry may queue and place, to be compared."""

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
    return_after_s,
)

__all__ = ["POLICIES_BY_NAME", "Policy", "Standing"]

Choose = Callable[[QueueTicket], Placement | None]
Take = Callable[[Candidate, QueueTicket], Slot]


class Policy(abc.ABC):
    """What one entry decides with; each entry has its own parts."""

    @abc.abstractmethod
    def placer(self, domain: str, rng: random.Random) -> Placer:
        """Chooses engines for an entry in a failure domain."""

    @abc.abstractmethod
    def queue(self, choose: Choose, take: Take) -> RequestQueue:
        """Holds requests while engines are full."""

    def return_after_s(self, foreseen_s: float, rng: random.Random) -> float:
        """When a refused caller is told to come back."""
        return return_after_s(foreseen_s, rng)


class Standing(Policy):
    """What entries do."""

    def placer(self, domain: str, rng: random.Random) -> Placer:
        """See Policy."""
        return Placer(domain, domain, Outliers(), rng)

    def queue(self, choose: Choose, take: Take) -> RequestQueue:
        """See Policy."""
        return RequestQueue(choose, take)


class _Unbounded(UnreadBound):
    """Lets engines have as much unread as they may."""

    def note(self, took_s: float, goal_s: float) -> None:
        """See UnreadBound."""


class Unbounded(Standing):
    """Without a bound that follows first events."""

    def placer(self, domain: str, rng: random.Random) -> Placer:
        """See Policy."""
        return Placer(
            domain, domain, Outliers(), rng, unread_bound=_Unbounded()
        )


class Patient(Standing):
    """Those who can't be in time wait on, as long as others do."""

    def queue(self, choose: Choose, take: Take) -> RequestQueue:
        """See Policy."""
        return RequestQueue(choose, take, refuses_late=False)


class Plain(Unbounded, Patient):
    """Neither."""


POLICIES_BY_NAME: dict[str, Policy] = {
    "standing": Standing(),
    "unbounded": Unbounded(),
    "patient": Patient(),
    "plain": Plain(),
}
