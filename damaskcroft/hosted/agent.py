"""damask-agent on a machine beside a target."""

from damaskcroft.fleet import NodeSettings
from damaskcroft.observe import log_event
from damaskcroft.rpc import stop_event

__all__ = ["serve"]


async def serve(settings: NodeSettings) -> None:
    """Runs one agent until SIGTERM."""
    stop = stop_event()
    log_event("started", role="agent", target=settings.target_address)
    await stop.wait()
    log_event("stopping", role="agent")
