"""Crashed starts of targets and the requests that ran there."""

import collections
import dataclasses
from collections.abc import Iterable, Iterator, Mapping

__all__ = ["Crash", "RequestTraits", "longest_chain", "starts_by_suspect"]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTraits:
    """What a request shares with other requests.

    Attributes:
        customer: customer that sends it; empty on public routes.
        parts: keys of the parts of its prompt that other requests may share.
    """

    customer: str = ""
    parts: frozenset[bytes] = frozenset()


class Crash:
    """One start of a target that crashed.

    Suspects are the requests that ran there, by fingerprint, and the parts of
    their prompts that other requests may share, by key.

    Attributes:
        answered: those of its suspects that had run to their end elsewhere
            shortly before.
        occurred_at: loop time of the crash on this process's clock.
        requests: by the fingerprint of each request that ran there, its chain:
            the number of crashes in sequence up to this one.
        parts: the same by the key of each part.
        traits_by_request: by fingerprint, what the request shares with others.
        cleared: those of its suspects that have been cleared since.
        service: service for which the target ran; empty if unknown.
    """

    __slots__ = (
        "answered",
        "cleared",
        "occurred_at",
        "parts",
        "requests",
        "service",
        "traits_by_request",
    )

    def __init__(self, at: float):
        """Creates a crash without suspects."""
        self.occurred_at = at
        self.service = ""
        self.requests: dict[bytes, int] = {}
        self.parts: dict[bytes, int] = {}
        self.traits_by_request: dict[bytes, RequestTraits] = {}
        self.answered: set[bytes] = set()
        self.cleared: set[bytes] = set()

    @property
    def uncleared_requests(self) -> list[bytes]:
        """The requests that have not been cleared."""
        return [r for r in self.requests if r not in self.cleared]

    @property
    def uncleared_parts(self) -> list[bytes]:
        """The parts that have not been cleared."""
        return [p for p in self.parts if p not in self.cleared]

    @property
    def key_count(self) -> int:
        """Number of keys that it holds, as a measure of its memory."""
        return len(self.requests) + sum(
            len(traits.parts) for traits in self.traits_by_request.values()
        )

    def chain(self, suspect: bytes) -> int:
        """The chain of a request or a part; 0 if it did not run there."""
        return self.requests.get(suspect) or self.parts.get(suspect, 0)

    def requests_with(self, part: bytes) -> Iterator[bytes]:
        """Fingerprints of the requests with a part."""
        return (
            request
            for request, traits in self.traits_by_request.items()
            if part in traits.parts
        )


def longest_chain(
    crashes_by_start: Mapping[str, Crash],
    suspect: bytes,
    starts: Iterable[str],
) -> int:
    """The longest sequence among some crashes under a request or a part.

    Args:
        crashes_by_start: all known crashes.
        suspect: fingerprint of the request, or key of the part.
        starts: the starts that crashed under it.
    """
    return max(
        (crashes_by_start[start].chain(suspect) for start in starts),
        default=0,
    )


def starts_by_suspect(
    suspects_by_start: Mapping[str, Iterable[bytes]],
) -> dict[bytes, list[str]]:
    """Inverts suspects by start into starts by suspect."""
    found: dict[bytes, list[str]] = collections.defaultdict(list)
    for start, suspects in suspects_by_start.items():
        for suspect in suspects:
            found[suspect].append(start)
    return dict(found)
