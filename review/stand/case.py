"""Runs a case within its time and turns its outcome into an exit status."""

import asyncio
import pathlib
import signal
from collections.abc import Awaitable, Callable

from stand.deployment import Record

__all__ = ["run_case"]

_MAX_S = 110
_COULD_NOT_RUN = 2


def run_case(
    run: Callable[[bool, Record], Awaitable[int]],
    folder: pathlib.Path,
    trouble: bool,
) -> int:
    """Runs a case; its clean-up also runs after SIGTERM.

    Args:
        run: the case; takes whether to cause the disruption and the record,
            and returns 1 if the rule was broken, 0 if it held.
        folder: folder of the record.
        trouble: whether to cause the disruption.

    Returns:
        The exit status.
    """

    async def bounded() -> int:
        record = Record(folder / "record.txt")
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, task.cancel
        )
        try:
            async with asyncio.timeout(_MAX_S):
                return await run(trouble, record)
        except (TimeoutError, OSError, asyncio.CancelledError) as error:
            record(f"the case did not run: {error!r}")
            return _COULD_NOT_RUN

    return asyncio.run(bounded())
