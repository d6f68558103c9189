"""Control nodes that a changed settings file names."""

import asyncio

from damaskcroft.fleet import FleetView, Watcher
from damaskcroft.observe import log_event
from damaskcroft.platform.settings import SettingsFileError, load_node_settings

__all__ = ["follow_new_seeds"]

# Twice the silence after which a control node's stream is opened anew.
_OUT_OF_TOUCH_S = 4.0
_LOOK_EVERY_S = 2.0


async def follow_new_seeds(view: FleetView, watcher: Watcher) -> None:
    """Follows the seeds of the settings file while no control node is heard.

    All that a process knew may have been replaced meanwhile. The file is read
    again and again, since it may change without a signal.
    """
    while True:
        await asyncio.sleep(_LOOK_EVERY_S)
        if view.heard_s_ago <= _OUT_OF_TOUCH_S:
            continue
        try:
            settings = load_node_settings()
        except SettingsFileError as error:
            log_event("reload_failed", reason=error)
            continue
        watcher.follow(settings.rpc_address_at(s) for s in settings.seeds)
