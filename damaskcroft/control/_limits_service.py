"""What operators ask of the limits that targets name."""

from typing import Any

from damaskcroft._generated import limits_grpc, limits_pb2
from damaskcroft.limits import LimitBook

__all__ = ["LimitsService"]


class LimitsService(limits_grpc.LimitsBase):
    """Lists targets that name how many requests a second they take.

    Args:
        book: what this node knows.
    """

    def __init__(self, book: LimitBook):
        """See the class."""
        self._book = book

    async def Review(self, stream: Any) -> None:  # noqa: N802
        """Tells all limits that are named now."""
        await stream.recv_message()
        await stream.send_message(
            limits_pb2.LimitsReply(limits=self._book.named())
        )
