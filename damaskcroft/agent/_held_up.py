"""State of a delayed order: the reason of the delay and its duration."""

import asyncio
import contextlib
from collections.abc import Iterator

from damaskcroft._generated import control_pb2
from damaskcroft.clock import now_s
from damaskcroft.membership import held_up_reason
from damaskcroft.observe import log_event, log_warning, metrics

__all__ = ["HeldUp"]

_POLL_S = 0.5
# An order takes a second or two in normal operation.
_REPORT_AFTER_S = 3.0
# Six lines a minute suffice for an operator who follows the log.
_REPORT_EVERY_S = 10.0
_MS = 1000  # In a second.


class HeldUp:
    """Records what currently delays an order.

    Attributes:
        reason: reason of the delay; HELD_UP_BY_NOTHING if there is none.
    """

    def __init__(self) -> None:
        """Starts without a delay."""
        self.reason = control_pb2.HELD_UP_BY_NOTHING
        self._since = 0.0

    def set_reason(self, reason: control_pb2.HeldUpBy) -> None:
        """Sets the reason; a repeated one keeps its start time."""
        if reason == self.reason:
            return
        self.reason = reason
        self._since = now_s()

    def clear_reason(self) -> None:
        """Records that the order is no longer delayed."""
        self.set_reason(control_pb2.HELD_UP_BY_NOTHING)

    @contextlib.contextmanager
    def delayed_by(self, reason: control_pb2.HeldUpBy) -> Iterator[None]:
        """Sets a reason until the block ends."""
        self.set_reason(reason)
        try:
            yield
        finally:
            self.clear_reason()

    def duration_s(self) -> float:
        """Returns how long the current reason has lasted, in seconds."""
        if self.reason == control_pb2.HELD_UP_BY_NOTHING:
            return 0.0
        return now_s() - self._since

    def duration_as_ms(self) -> int:
        """Returns how long the current reason has lasted, in milliseconds."""
        return int(self.duration_s() * _MS)

    async def tell(self) -> None:
        """Logs long delays and exports their durations, until cancelled."""
        reported = control_pb2.HELD_UP_BY_NOTHING
        next_at = 0.0
        while True:
            if reported != self.reason:
                if reported != control_pb2.HELD_UP_BY_NOTHING:
                    metrics.ORDER_HELD_UP_S.labels(
                        held_up_reason(reported)
                    ).set(0)
                    log_event("order_goes_on", reason=held_up_reason(reported))
                reported = control_pb2.HELD_UP_BY_NOTHING
                next_at = 0.0
            for_s = self.duration_s()
            if for_s >= _REPORT_AFTER_S:
                reported = self.reason
                word = held_up_reason(self.reason)
                metrics.ORDER_HELD_UP_S.labels(word).set(for_s)
                if now_s() >= next_at:
                    next_at = now_s() + _REPORT_EVERY_S
                    log_warning("order_held_up", reason=word, for_s=for_s)
            await asyncio.sleep(_POLL_S)
