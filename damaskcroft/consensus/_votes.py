"""Vote refusals, and waiting for the votes of a majority."""

import asyncio
import enum

from damaskcroft.clock import now_s
from damaskcroft.observe import log_warning

__all__ = ["VoteRefusal", "wait_for_majority"]


class VoteRefusal(enum.Enum):
    """Why a replica refuses its vote; the values are written to the log."""

    LEADS = "leads"
    HEARS_LEADER = "hears_leader"
    JUST_STARTED = "just_started"
    LOG_BEHIND = "log_behind"
    OLD_TERM = "old_term"
    VOTED_FOR_OTHER = "voted_for_other"


async def wait_for_majority(
    vote_tasks: list[asyncio.Task[bool]], voter_count: int, timeout_s: float
) -> bool:
    """Waits until a majority has granted its vote, or no longer can.

    The candidate's own vote counts. A request that fails or gets no reply in
    time counts as a vote not granted, so that the candidate can start another
    election.

    Raises:
        OSError: a newer term in a reply could not be made durable.
    """
    granted = 1
    waiting = set(vote_tasks)
    deadline = now_s() + timeout_s
    while waiting and granted <= voter_count // 2:
        answered, waiting = await asyncio.wait(
            waiting,
            timeout=max(0.0, deadline - now_s()),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not answered:
            return False
        granted += sum(_is_granted(task) for task in answered)
    return granted > voter_count // 2


def _is_granted(vote_task: asyncio.Task[bool]) -> bool:
    if vote_task.cancelled():
        log_warning("vote_failed", reason="cancelled")
        return False
    error = vote_task.exception()
    if error is None:
        return vote_task.result()
    if isinstance(error, OSError):
        raise error
    log_warning("vote_failed", reason=repr(error))
    return False
