"""What operators ask of requests that are refused since targets crashed."""

from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from grpclib import GRPCError, Status

from damaskcroft._generated import quarantine_grpc, quarantine_pb2
from damaskcroft.quarantine import CrashBook

__all__ = ["QuarantineService"]


class QuarantineService(quarantine_grpc.QuarantineBase):
    """Lists quarantined requests, and lets some run again.

    Args:
        book: what this node knows.
        tell: tells others what was cleared.
        knows: whether this node may answer for the fleet now.
    """

    def __init__(
        self,
        book: CrashBook,
        tell: Callable[[Iterable[quarantine_pb2.TargetCrash]], Awaitable[None]],
        knows: Callable[[], bool] = lambda: True,
    ):
        """See the class."""
        self._book = book
        self._tell = tell
        self._knows = knows

    async def Review(self, stream: Any) -> None:  # noqa: N802
        """Lifts what is asked for, then lists the others."""
        request = await stream.recv_message()
        if not self._knows():
            raise GRPCError(Status.UNAVAILABLE, "not the leader")
        reply = quarantine_pb2.QuarantineReply()
        for fingerprint in request.lift:
            cleared = self._book.clear(fingerprint)
            if not cleared:
                continue
            reply.lifted += 1
            await self._tell(cleared)
        for quarantined in self._book.quarantined():
            reply.requests.add(
                fingerprint=quarantined.fingerprint,
                start_ids=quarantined.start_ids,
                left_s=quarantined.left_s,
            )
        await stream.send_message(reply)
