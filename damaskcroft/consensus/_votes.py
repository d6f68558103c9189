"""Votes: why one is not given, and when a majority has given theirs."""

import asyncio
import enum

from damaskcroft.clock import now_s
from damaskcroft.observe import log_warning

__all__ = ["VoteRefusal", "majority_agrees"]


class VoteRefusal(enum.Enum):
    """Why a replica gives a candidate no vote, as logs have it."""

    LEADS = "leads"
    HEARS_LEADER = "hears_leader"
    JUST_STARTED = "just_started"
    LOG_BEHIND = "log_behind"
    OLD_TERM = "old_term"
    VOTED_FOR_OTHER = "voted_for_other"


async def majority_agrees(
    asked: list[asyncio.Task[bool]], electorate: int, timeout_s: float
) -> bool:
    """Waits no longer than a majority takes; one's own vote counts.

    A question that fails, or is not back in time, is one vote that is not
    given: whoever stands must be able to stand again.

    Raises:
        OSError: a newer term that was heard of can't be kept.
    """
    granted = 1
    waiting = set(asked)
    until = now_s() + timeout_s
    while waiting and granted <= electorate // 2:
        answered, waiting = await asyncio.wait(
            waiting,
            timeout=max(0.0, until - now_s()),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not answered:
            return False
        granted += sum(_is_granted(task) for task in answered)
    return granted > electorate // 2


def _is_granted(question: asyncio.Task[bool]) -> bool:
    if question.cancelled():
        log_warning("vote_failed", reason="cancelled")
        return False
    error = question.exception()
    if error is None:
        return question.result()
    if isinstance(error, OSError):
        raise error
    log_warning("vote_failed", reason=repr(error))
    return False
