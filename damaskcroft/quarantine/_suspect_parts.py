"""Suspect parts of prompts, as one entry handles them.

A part is new if no request with it was answered shortly before its crashes.
"""

import contextlib
from collections.abc import Callable, Iterator

from damaskcroft.observe import log_event, metrics
from damaskcroft.quarantine._copies import SerialCopies
from damaskcroft.quarantine._crash_detection import LostPart
from damaskcroft.quarantine._crash_registry import CrashRegistry
from damaskcroft.quarantine._crashes import RequestTraits
from damaskcroft.quarantine._fingerprint import part_names
from damaskcroft.quarantine._recent_answers import RecentAnswers

__all__ = ["SuspectParts"]

# Number of crashes in sequence from which a new part is likely their cause.
_LIKELY_CAUSE_CRASHES = 2


class SuspectParts:
    """The parts of prompts that this entry has sent, and what it knows of them.

    Args:
        registry: registry of the crashes that the fleet knows of.
        copies: runs requests with new suspect parts one by one.
    """

    __slots__ = ("_copies", "_recent_answers", "_registry")

    def __init__(self, registry: CrashRegistry, copies: SerialCopies):
        """Starts without any recorded answer."""
        self._registry = registry
        self._copies = copies
        self._recent_answers = RecentAnswers()

    def chains(self, traits: RequestTraits) -> dict[bytes, int]:
        """The known crashes in sequence of each part of a request."""
        if not self._registry.has_suspects:
            return {}
        return {part: self._registry.chain(part) for part in traits.parts}

    def lost(
        self, traits: RequestTraits, chains: dict[bytes, int]
    ) -> Iterator[LostPart]:
        """The parts of a request that was lost with its target.

        Args:
            traits: what the request shares with others.
            chains: the result of `chains` when it was sent.
        """
        for part in traits.parts:
            yield LostPart(
                part,
                chains.get(part, 0) + 1,
                self._recent_answers.contains(part),
            )

    def record_answer(
        self, traits: RequestTraits, request_id: str
    ) -> set[bytes]:
        """Records the parts of a request that has run to its end.

        Returns:
            Those of them that are suspects and have to be cleared.
        """
        for part in traits.parts:
            self._recent_answers.record(part)
        cleared = {p for p in traits.parts if self._registry.is_suspect(p)}
        if cleared:
            metrics.QUARANTINE.labels("part_cleared").inc(len(cleared))
            log_event(
                "parts_cleared", request=request_id, parts=part_names(cleared)
            )
        return cleared

    def one_at_a_time(
        self,
        traits: RequestTraits,
        deadline_at: float,
        is_refused: Callable[[], bool],
    ) -> contextlib.AbstractAsyncContextManager[None]:
        """Waits briefly while another request with the same new suspect runs.

        Args:
            traits: what the request shares with others.
            deadline_at: loop time of the request's deadline.
            is_refused: whether the request is quarantined by now.
        """
        part = self._most_suspect(traits)
        if part is None:
            return contextlib.nullcontext()
        return self._copies.one_with_part_at_a_time(
            part, deadline_at, is_refused
        )

    def is_likely_cause(self, traits: RequestTraits) -> bool:
        """Whether a new part of a request has had several crashes."""
        part = self._most_suspect(traits)
        if part is None:
            return False
        return self._registry.chain(part) >= _LIKELY_CAUSE_CRASHES

    def _most_suspect(self, traits: RequestTraits) -> bytes | None:
        """The new suspect part with most crashes in sequence, or None."""
        new_suspects = [
            part
            for part in traits.parts
            if self._registry.is_new_suspect(part)
            and not self._recent_answers.contains(part)
        ]
        return max(
            new_suspects,
            key=lambda part: (self._registry.chain(part), part),
            default=None,
        )
