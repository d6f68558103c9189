"""Why the target's order is not carried out yet, and for how long."""

import asyncio
import contextlib
from collections.abc import Iterator

from damaskcroft._generated import control_pb2
from damaskcroft.clock import now_s
from damaskcroft.membership import held_up_word
from damaskcroft.observe import log_event, log_warning, metrics

__all__ = ["HeldUp"]

_LOOK_EVERY_S = 0.5
# An order takes a second or two where nothing is wrong.
_TOLD_AFTER_S = 3.0
# Often enough for an operator who follows the log, six lines a minute.
_TOLD_EVERY_S = 10.0
_MS = 1000  # In a second.


class HeldUp:
    """What holds an order up now.

    Attributes:
        reason: what it is; HELD_UP_BY_NOTHING when nothing does.
    """

    def __init__(self) -> None:
        """Creates a record of an order that nothing holds up."""
        self.reason = control_pb2.HELD_UP_BY_NOTHING
        self._since = 0.0

    def by(self, reason: control_pb2.HeldUpBy) -> None:
        """Notes a reason; one that lasts keeps its beginning."""
        if reason == self.reason:
            return
        self.reason = reason
        self._since = now_s()

    def by_nothing(self) -> None:
        """Notes that the order goes on."""
        self.by(control_pb2.HELD_UP_BY_NOTHING)

    @contextlib.contextmanager
    def waiting(self, reason: control_pb2.HeldUpBy) -> Iterator[None]:
        """Notes a reason until the block ends."""
        self.by(reason)
        try:
            yield
        finally:
            self.by_nothing()

    def for_s(self) -> float:
        """For how long by the same reason."""
        if self.reason == control_pb2.HELD_UP_BY_NOTHING:
            return 0.0
        return now_s() - self._since

    def for_ms(self) -> int:
        """The same, as reports have it."""
        return int(self.for_s() * _MS)

    async def tell(self) -> None:
        """Logs and counts what lasts, until cancelled."""
        told = control_pb2.HELD_UP_BY_NOTHING
        next_at = 0.0
        while True:
            if told != self.reason:
                if told != control_pb2.HELD_UP_BY_NOTHING:
                    metrics.ORDER_HELD_UP_S.labels(held_up_word(told)).set(0)
                    log_event("order_goes_on", reason=held_up_word(told))
                told = control_pb2.HELD_UP_BY_NOTHING
                next_at = 0.0
            for_s = self.for_s()
            if for_s >= _TOLD_AFTER_S:
                told = self.reason
                word = held_up_word(self.reason)
                metrics.ORDER_HELD_UP_S.labels(word).set(for_s)
                if now_s() >= next_at:
                    next_at = now_s() + _TOLD_EVERY_S
                    log_warning("order_held_up", reason=word, for_s=for_s)
            await asyncio.sleep(_LOOK_EVERY_S)
