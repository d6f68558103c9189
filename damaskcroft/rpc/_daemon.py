"""Common frame of all daemons: settings, logs, keys and process exit."""

import asyncio
import pathlib
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from google.protobuf.message import Message

from damaskcroft.clock import run
from damaskcroft.config import settings_or_exit
from damaskcroft.observe import start_logs
from damaskcroft.rpc._keys import Keys, KeysError, load_keys
from damaskcroft.rpc._process import force_exit, logging_start_failure

# For tasks and threads that still run when the work of a program has ended;
# after this time the process is forced to exit.
_EXIT_TIMEOUT_S = 10.0
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
    """Runs a daemon with the settings of a file until its work ends.

    Args:
        settings_file: the INI file.
        kind: type of the daemon's settings message.
        serve: the daemon's work; returns after a graceful shutdown.
        check: whether to only check the settings.
        reference: whether to only print all settings.
        errors: exceptions, beside OSError, that `serve` raises if it cannot
            start.

    Raises:
        SystemExit: 2 for invalid settings, 3 if the daemon cannot start.
    """
    settings: Any = settings_or_exit(
        settings_file,
        kind,
        check=check,
        reference=reference,
    )
    start_errors: tuple[type[Exception], ...] = (KeysError, OSError, *errors)
    start_logs(settings.process.name)
    with logging_start_failure(*start_errors):
        keys = load_keys(settings.keys)
        run(_awaited(serve(settings, keys)))


async def _awaited(work: Awaitable[None]) -> None:
    try:
        await work
    finally:
        asyncio.get_running_loop().call_later(_EXIT_TIMEOUT_S, force_exit)
