"""How a program begins and ends, whatever it does."""

import asyncio
import contextlib
import os
import signal
from collections.abc import Iterator

from damaskcroft.observe import end_logs, log_event, log_warning

_EXIT_CANNOT_START = 3
_EXIT_FORCED = 4
# For the log, at an end that is forced.
_LAST_LINES_S = 0.1
# Tasks that are named when an end is forced.
_MOST_NAMED = 5


def stop_event() -> asyncio.Event:
    """An event that SIGTERM and SIGINT set, in the running loop."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    return stop


@contextlib.contextmanager
def start_failure_logged(*errors: type[Exception]) -> Iterator[None]:
    """Runs a program; ends it with a logged event when it can't start.

    Raises:
        SystemExit: 3 after one of `errors`.
    """
    try:
        with contextlib.suppress(KeyboardInterrupt):
            yield
    except errors as error:
        log_event("cannot_start", reason=error)
        raise SystemExit(_EXIT_CANNOT_START) from error


def end_now() -> None:
    """Ends a process whose last steps take too long; for a timer to call.

    At a program's end asyncio waits for tasks and threads without a bound.
    """
    left = [str(task.get_coro()) for task in asyncio.all_tasks()]
    log_warning(
        "end_forced", tasks=len(left), named=", ".join(left[:_MOST_NAMED])
    )
    end_logs(_LAST_LINES_S)
    os._exit(_EXIT_FORCED)
