"""Lists rate limits of targets for operators."""

from typing import Any

from damaskcroft._generated import limits_grpc, limits_pb2
from damaskcroft.limits import LimitRegistry

__all__ = ["LimitsService"]


class LimitsService(limits_grpc.LimitsBase):
    """Lists the rate limits that targets announce in their answers.

    Args:
        registry: the rate limits known to this node.
    """

    def __init__(self, registry: LimitRegistry):
        """Serves the rate limits of `registry`."""
        self._registry = registry

    async def Review(self, stream: Any) -> None:  # noqa: N802
        """Sends all rate limits in force."""
        await stream.recv_message()
        await stream.send_message(
            limits_pb2.LimitsReply(limits=self._registry.named())
        )
