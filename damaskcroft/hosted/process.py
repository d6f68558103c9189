"""What every hosted program does around its own work."""

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
    end_now,
    http_served,
    start_failure_logged,
    stop_event,
)

__all__ = ["run_hosted"]

_EXIT_BAD_SETTINGS = 2
# At the end, for whoever reads metrics: the platform may end the process soon.
_METRICS_END_S = 0.2
# A process that is still there so long before its platform's SIGKILL ends at
# once: at a program's end asyncio waits for tasks and threads without a bound.
# Of a short grace period it is a share.
_FORCED_END_S = 0.3
_FORCED_END_SHARE = 1 / 10


def run_hosted(
    role: str,
    serve: Callable[[NodeSettings, asyncio.Event], Awaitable[None]],
    metrics_port: int,
) -> None:
    """Runs a program from the platform's settings to its end.

    Args:
        role: the program's name.
        serve: its work, given an event that SIGTERM sets; returns when it
            has ended gracefully.
        metrics_port: where metrics are served; 0 for nowhere.

    Raises:
        SystemExit: 2 for faults in the settings, 3 when it can't start.
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
    with start_failure_logged(OSError):
        run(_run(serve, settings, metrics_port))
    log_event("stopped", role=role)


async def _run(
    serve: Callable[[NodeSettings, asyncio.Event], Awaitable[None]],
    settings: NodeSettings,
    metrics_port: int,
) -> None:
    loop = asyncio.get_running_loop()
    stop = stop_event()

    def bound_end(_: asyncio.Task) -> None:
        if not stop.is_set():
            return
        grace_s = settings.bounds.grace_s
        before_s = min(_FORCED_END_S, grace_s * _FORCED_END_SHARE)
        loop.call_later(grace_s - before_s, end_now)

    # Called back, since a task would be cancelled before the last steps.
    stopping = asyncio.create_task(stop.wait())
    stopping.add_done_callback(bound_end)
    with _reloading():
        if not metrics_port:
            await serve(settings, stop)
            return
        metrics_address = f"{settings.ip}:{metrics_port}"
        async with http_served(
            metrics_address, [], notice_s=_METRICS_END_S, end_s=_METRICS_END_S
        ) as metrics_face:
            stopping.add_done_callback(lambda _: metrics_face.give_notice())
            await serve(settings, stop)


@contextlib.contextmanager
def _reloading() -> Iterator[None]:
    """Takes SIGHUP within the block, and ignores it after that.

    A handler of the loop's own would be gone with the loop: the signal would
    end the process in its last steps, and what it has not logged yet is lost.
    """
    loop = asyncio.get_running_loop()

    def reload_soon(*_: object) -> None:
        loop.call_soon_threadsafe(_reload)

    signal.signal(signal.SIGHUP, reload_soon)
    try:
        yield
    finally:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)


def _reload() -> None:
    """Reads changed settings.

    Only seeds and bounds may change while a process runs. Seeds are for
    finding control; who is in touch knows its members from itself, and who
    isn't reads them in `seeds`.
    """
    try:
        settings = load_node_settings()
    except SettingsFileError as error:
        log_event("reload_failed", reason=error)
        return
    log_event("reloaded", seeds=",".join(settings.seeds))
