"""Relays state changes received by one node to another control node."""

from damaskcroft._generated import fleet_grpc, fleet_pb2
from damaskcroft.observe import log_event
from damaskcroft.rpc import CALL_ERRORS, ChannelPool

__all__ = ["relay"]

# The call of the target is answered within one second, in which a second node
# may have to be asked.
_TIMEOUT_S = 0.4


async def relay(
    channels: ChannelPool, address: str, request: fleet_pb2.RelayRequest
) -> bool:
    """Sends an update to one control node.

    Args:
        channels: channels to the control nodes.
        address: address at which the node serves internal calls.
        request: the update.

    Returns:
        Whether the node accepted it.
    """
    stub = fleet_grpc.FleetStub(channels.channel(address))
    try:
        await stub.Relay(request, timeout=_TIMEOUT_S)
    except CALL_ERRORS as error:
        log_event("relay_failed", address=address, reason=error)
        return False
    return True
