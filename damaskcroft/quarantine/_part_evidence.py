"""Evidence that a part of prompts crashes targets, whatever else they hold."""

import dataclasses
from collections.abc import Iterable, Mapping

from damaskcroft.quarantine._crashes import Crash, RequestTraits

__all__ = ["PartPattern", "common_pattern", "distinct_request_crashes"]


@dataclasses.dataclass(frozen=True, slots=True)
class PartPattern:
    """What all requests under which targets crashed have in common.

    Several parts that always occurred together can't be told apart, so only
    requests with all of them match. The same holds for the customer, so that
    requests of one customer, which may crash targets for another reason, do not
    lead to the refusal of other customers' requests.

    Attributes:
        parts: keys of the parts.
        customer: the only customer that sent them; None if there were several.
    """

    parts: frozenset[bytes]
    customer: str | None

    def matches(self, traits: RequestTraits) -> bool:
        """Whether a request has all that the pattern names."""
        if self.customer is not None and self.customer != traits.customer:
            return False
        return self.parts <= traits.parts


def distinct_request_crashes(
    crashes: Iterable[Crash], part: bytes
) -> list[Crash]:
    """Crashes under different requests with a part, in order of time.

    A request that is sent again counts once, because it may crash targets for
    a reason of its own.
    """
    counted: list[Crash] = []
    seen: set[bytes] = set()
    for crash in sorted(crashes, key=lambda crash: crash.occurred_at):
        requests = set(crash.requests_with(part))
        if seen.isdisjoint(requests):
            counted.append(crash)
        seen |= requests
    return counted


def common_pattern(
    crashes_by_start: Mapping[str, Crash], part: bytes, starts: Iterable[str]
) -> PartPattern:
    """What all requests with a part that were lost in some crashes share.

    Parts that have run to their end elsewhere are left out.
    """
    crashes = [crashes_by_start[start] for start in starts]
    traits_by_crash = [
        [crash.traits_by_request[r] for r in crash.requests_with(part)]
        for crash in crashes
    ]
    exonerated = set().union(
        *(crash.answered | crash.cleared for crash in crashes)
    )
    parts = frozenset.intersection(
        *(each.parts for traits in traits_by_crash for each in traits)
    )
    # Other customers' requests may have been lost beside those of the customer
    # whose requests ran on each start.
    customers = set.intersection(
        *({each.customer for each in traits} for traits in traits_by_crash)
    )
    return PartPattern(
        parts - exonerated | {part},
        customers.pop() if len(customers) == 1 else None,
    )
