"""Lists and lifts the quarantine of requests on which targets crashed."""

from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from grpclib import GRPCError, Status

from damaskcroft._generated import quarantine_grpc, quarantine_pb2
from damaskcroft.clock import arrived_after_s, now_s
from damaskcroft.control._answers import EXPIRED, record_refusal
from damaskcroft.quarantine import CrashRegistry

__all__ = ["QuarantineService"]

# Operators ask another node after six seconds without an answer.
_LIFT_VALID_S = 5.0


class QuarantineService(quarantine_grpc.QuarantineBase):
    """Lists quarantined requests and lifts the quarantine of some.

    Args:
        registry: the crashes known to this node.
        publish: sends cleared crashes to other processes.
        is_authoritative: whether this node may answer for the fleet now.
    """

    def __init__(
        self,
        registry: CrashRegistry,
        publish: Callable[
            [Iterable[quarantine_pb2.TargetCrash]], Awaitable[None]
        ],
        is_authoritative: Callable[[], bool] = lambda: True,
    ):
        """Serves the quarantined requests of `registry`."""
        self._registry = registry
        self._publish = publish
        self._is_authoritative = is_authoritative

    async def Review(self, stream: Any) -> None:  # noqa: N802
        """Lifts the requested quarantines, then lists the remaining ones.

        A lift that its caller may have given up is refused: the request may
        have been quarantined anew since.
        """
        valid_until = arrived_after_s() + _LIFT_VALID_S
        request = await stream.recv_message()
        if not self._is_authoritative():
            raise GRPCError(Status.UNAVAILABLE, "not the leader")
        if request.lift and now_s() > valid_until:
            record_refusal("lift", EXPIRED)
            raise GRPCError(Status.UNAVAILABLE, EXPIRED.reason)
        reply = quarantine_pb2.QuarantineReply()
        for suspect in request.lift:
            cleared = self._registry.lift(suspect)
            if not cleared:
                continue
            reply.lifted += 1
            await self._publish(cleared)
        for quarantined in self._registry.quarantined():
            refused = reply.requests.add(
                fingerprint=quarantined.fingerprint,
                start_ids=quarantined.start_ids,
                left_s=quarantined.left_s,
            )
            pattern = quarantined.pattern
            if pattern is None:
                continue
            refused.parts.extend(sorted(pattern.parts))
            if pattern.customer is not None:
                refused.customer = pattern.customer
        await stream.send_message(reply)
