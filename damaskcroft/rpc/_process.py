"""Stop signals, start failures and forced exit of a program."""

import asyncio
import contextlib
import os
import signal
from collections.abc import Iterator

from damaskcroft.observe import end_logs, log_event, log_warning

_EXIT_CANNOT_START = 3
_EXIT_FORCED = 4
# For the last log lines to be written before a forced exit.
_LOG_FLUSH_TIMEOUT_S = 0.1
# Maximum number of remaining tasks that the log of a forced exit names.
_MAX_LOGGED_TASKS = 5


def stop_event() -> asyncio.Event:
    """Returns an event of the running loop that SIGTERM and SIGINT set."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    return stop


@contextlib.contextmanager
def logging_start_failure(*errors: type[Exception]) -> Iterator[None]:
    """Runs a program in the block; logs an event if it cannot start.

    Raises:
        SystemExit: 3 after one of `errors`.
    """
    try:
        with contextlib.suppress(KeyboardInterrupt):
            yield
    except errors as error:
        log_event("cannot_start", reason=error)
        raise SystemExit(_EXIT_CANNOT_START) from error


def force_exit() -> None:
    """Forces a process to exit; called by a timer when its end takes too long.

    At a program's end asyncio waits for tasks and threads without a time
    limit.
    """
    left = [str(task.get_coro()) for task in asyncio.all_tasks()]
    log_warning(
        "end_forced", tasks=len(left), named=", ".join(left[:_MAX_LOGGED_TASKS])
    )
    end_logs(_LOG_FLUSH_TIMEOUT_S)
    os._exit(_EXIT_FORCED)
