"""Attempts that are under way, and why some are ended before they are done."""

import contextlib
from collections.abc import Collection, Iterator

from damaskcroft.forwarding._relay import Sending
from damaskcroft.forwarding._services import Services
from damaskcroft.forwarding._suspects import (
    QUARANTINED,
    STARTED_AGAIN,
    Suspects,
)

__all__ = ["Running"]


class Running:
    """All attempts of one entry.

    Args:
        services: what has become of their targets.
        suspects: which requests must not begin anywhere.
    """

    __slots__ = ("_sendings", "_services", "_suspects")

    def __init__(self, services: Services, suspects: Suspects):
        """Nothing is under way yet."""
        self._sendings: set[Sending] = set()
        self._services = services
        self._suspects = suspects
        suspects.listen(self._give_up_quarantined)

    @contextlib.contextmanager
    def watched(self, sending: Sending) -> Iterator[None]:
        """Lets the attempt be ended while the block runs."""
        self._sendings.add(sending)
        try:
            yield
        finally:
            self._sendings.discard(sending)

    def to_hedge(self, silent_ids: Collection[str]) -> list[Sending]:
        """Attempts that may have a second one beside them, and should.

        They are at silent targets, or at some that have started again: what
        ran there is lost, unless its later start took it before that was known.
        """
        return [
            running
            for running in self._sendings
            if running.job.is_repeatable
            and not running.progress.is_tied
            and running.hedge.may_begin
            and (
                running.target.id in silent_ids
                or self._services.has_started_again(running.target)
            )
        ]

    def give_up_lost(self, silent_ids: Collection[str]) -> None:
        """Ends attempts that may go on elsewhere and can't end well here.

        They end at targets whose weights are due to be gone before they begin,
        and at those that have started again and are silent since.

        Args:
            silent_ids: targets that have said nothing for long.
        """
        outdated_by_kind: dict[tuple[str, str], set[str]] = {}
        for running in list(self._sendings):
            if not running.job.is_repeatable:
                continue
            if self._is_lost(running, silent_ids):
                running.made.give_up(STARTED_AGAIN)
                continue
            if running.made.begun:
                continue
            kind = (running.job.service, running.job.call.model)
            if kind not in outdated_by_kind:
                outdated_by_kind[kind] = self._services.outdated_ids(*kind)
            if running.target.id in outdated_by_kind[kind]:
                running.made.give_up("version_due")

    def _is_lost(self, running: Sending, silent_ids: Collection[str]) -> bool:
        if running.target.id not in silent_ids or running.hedge.is_running:
            return False
        return self._services.has_started_again(running.target)

    def _give_up_quarantined(self) -> None:
        """Takes back what a target has not begun and should not begin."""
        for running in list(self._sendings):
            if running.made.begun:
                continue
            if self._suspects.quarantined_s(running.job, running.progress):
                running.made.give_up(QUARANTINED)
