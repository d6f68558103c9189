"""What every daemon does around its own work: settings, logs, keys."""

import asyncio
import pathlib
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from google.protobuf.message import Message

from damaskcroft.clock import run
from damaskcroft.config import settings_or_exit
from damaskcroft.observe import start_logs
from damaskcroft.rpc._keys import Keys, KeysError, load_keys
from damaskcroft.rpc._process import end_now, start_failure_logged

# For what a program leaves at its end: tasks and threads that don't end.
_LAST_STEPS_S = 10.0
_SettingsT = TypeVar("_SettingsT", bound=Message)


def run_daemon(
    settings_file: pathlib.Path | None,
    kind: type[_SettingsT],
    serve: Callable[[_SettingsT, Keys], Awaitable[None]],
    *,
    check: bool,
    reference: bool,
    errors: tuple[type[Exception], ...] = (),
) -> None:
    """Runs a daemon from its settings file to its end.

    Args:
        settings_file: the INI file.
        kind: the daemon's settings message.
        serve: its work; returns when it has ended gracefully.
        check: only check the settings.
        reference: only print all settings.
        errors: what `serve` may raise, beside OSError, when it can't start.

    Raises:
        SystemExit: 2 for faults in the settings, 3 when it can't start.
    """
    settings: Any = settings_or_exit(
        settings_file,
        kind,
        check=check,
        reference=reference,
    )
    cannot_start: tuple[type[Exception], ...] = (KeysError, OSError, *errors)
    start_logs(settings.process.name)
    with start_failure_logged(*cannot_start):
        keys = load_keys(settings.keys)
        run(_awaited(serve(settings, keys)))


async def _awaited(work: Awaitable[None]) -> None:
    try:
        await work
    finally:
        asyncio.get_running_loop().call_later(_LAST_STEPS_S, end_now)
