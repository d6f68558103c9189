"""Hands what one node got to know to a control node."""

from damaskcroft._generated import fleet_grpc, fleet_pb2
from damaskcroft.observe import log_event
from damaskcroft.rpc import CALL_ERRORS, ChannelPool

__all__ = ["relay"]

# A target's call is answered within a second, and a second node may be asked.
_TIMEOUT_S = 0.4


async def relay(
    channels: ChannelPool, address: str, request: fleet_pb2.RelayRequest
) -> bool:
    """Tells one control node; whether it took it.

    Args:
        channels: to the control nodes.
        address: where the node serves our calls.
        request: what it should know.
    """
    stub = fleet_grpc.FleetStub(channels.channel(address))
    try:
        await stub.Relay(request, timeout=_TIMEOUT_S)
    except CALL_ERRORS as error:
        log_event("relay_failed", address=address, reason=error)
        return False
    return True
