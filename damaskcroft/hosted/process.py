"""Common life cycle of the hosted programs.

Covers settings, logs, metrics, reload on SIGHUP, graceful shutdown on SIGTERM
and a forced exit shortly before the platform sends SIGKILL.
"""

import asyncio
import contextlib
import signal
import sys
from collections.abc import Awaitable, Callable, Iterator

from damaskcroft.clock import run
from damaskcroft.fleet import NodeSettings
from damaskcroft.observe import log_event, start_logs
from damaskcroft.platform.settings import SettingsFileError, load_node_settings
from damaskcroft.rpc import (
    force_exit,
    logging_start_failure,
    serve_metrics,
    stop_event,
)

__all__ = ["run_hosted"]

_EXIT_BAD_SETTINGS = 2
# How long metrics requests may still be served at shutdown. It is short because
# the platform may kill the process soon after.
_METRICS_SHUTDOWN_S = 0.2
# A process that is still running this long before the platform's SIGKILL exits
# at once, because asyncio waits for remaining tasks and threads without a bound
# when a program ends. For a short grace period the margin is a share of it.
_FORCED_EXIT_MARGIN_S = 0.3
_FORCED_EXIT_MARGIN_SHARE = 1 / 10


def run_hosted(
    role: str,
    serve: Callable[[NodeSettings, asyncio.Event], Awaitable[None]],
    metrics_port: int,
) -> None:
    """Runs a program: loads its settings, serves, and shuts down.

    Args:
        role: the program's name.
        serve: the program's work. It receives an event that SIGTERM sets,
            and returns after a graceful shutdown.
        metrics_port: port on which metrics are served; 0 to serve none.

    Raises:
        SystemExit: 2 if the settings are invalid, 3 if the program can't
            start.
    """
    try:
        settings = load_node_settings()
    except SettingsFileError as error:
        print(error, file=sys.stderr)
        raise SystemExit(_EXIT_BAD_SETTINGS) from error
    start_logs(settings.name)
    log_event(
        "starting",
        role=role,
        ip=settings.ip,
        failure_domain=settings.failure_domain,
        first_start=settings.first_start,
        seeds=",".join(settings.seeds),
    )
    with logging_start_failure(OSError):
        run(_run(serve, settings, metrics_port))
    log_event("stopped", role=role)


async def _run(
    serve: Callable[[NodeSettings, asyncio.Event], Awaitable[None]],
    settings: NodeSettings,
    metrics_port: int,
) -> None:
    loop = asyncio.get_running_loop()
    stop = stop_event()

    def schedule_forced_exit(_: asyncio.Task) -> None:
        if not stop.is_set():
            return
        grace_s = settings.bounds.grace_s
        margin_s = min(
            _FORCED_EXIT_MARGIN_S, grace_s * _FORCED_EXIT_MARGIN_SHARE
        )
        loop.call_later(grace_s - margin_s, force_exit)

    # A callback rather than a task: asyncio cancels tasks before the final
    # shutdown steps that this guards.
    stopping = asyncio.create_task(stop.wait())
    stopping.add_done_callback(schedule_forced_exit)
    with _reload_on_sighup():
        if not metrics_port:
            await serve(settings, stop)
            return
        metrics_address = f"{settings.ip}:{metrics_port}"
        async with serve_metrics(
            metrics_address, _METRICS_SHUTDOWN_S
        ) as metrics_server:
            stopping.add_done_callback(
                lambda _: metrics_server.announce_shutdown()
            )
            await serve(settings, stop)


@contextlib.contextmanager
def _reload_on_sighup() -> Iterator[None]:
    """Reloads the settings on SIGHUP within the block; ignores SIGHUP after.

    A handler installed by the event loop is removed when the loop closes. A
    signal during the last steps would then end the process and lose the log
    lines that it has not written yet.
    """
    loop = asyncio.get_running_loop()

    def schedule_reload(*_: object) -> None:
        loop.call_soon_threadsafe(_reload)

    signal.signal(signal.SIGHUP, schedule_reload)
    try:
        yield
    finally:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)


def _reload() -> None:
    """Validates and logs the changed settings file.

    Only seeds and bounds may change while a process runs. Seeds serve to find
    control nodes. A process that is connected to control learns the members
    from it; one that is not reads the seeds in `follow_new_seeds`.
    """
    try:
        settings = load_node_settings()
    except SettingsFileError as error:
        log_event("reload_failed", reason=error)
        return
    log_event("reloaded", seeds=",".join(settings.seeds))
