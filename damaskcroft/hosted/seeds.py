"""Discovery of control nodes through a changed settings file."""

import asyncio

from damaskcroft.fleet import FleetView, Watcher
from damaskcroft.observe import log_event
from damaskcroft.platform.settings import SettingsFileError, load_node_settings

__all__ = ["follow_new_seeds"]

# Twice the silence after which the stream to a control node is reopened.
_MAX_CONTROL_SILENCE_S = 4.0
_CHECK_INTERVAL_S = 2.0


async def follow_new_seeds(view: FleetView, watcher: Watcher) -> None:
    """Follows the seeds of the settings file while control is silent.

    All control nodes that the process knew may have been replaced meanwhile.
    The file is polled because it may change without a signal.
    """
    while True:
        await asyncio.sleep(_CHECK_INTERVAL_S)
        if view.last_update_age_s <= _MAX_CONTROL_SILENCE_S:
            continue
        try:
            settings = load_node_settings()
        except SettingsFileError as error:
            log_event("reload_failed", reason=error)
            continue
        watcher.follow(settings.rpc_address_at(s) for s in settings.seeds)
