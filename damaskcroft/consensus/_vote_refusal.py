"""Why a replica gives a candidate no vote."""

import enum

__all__ = ["VoteRefusal"]


class VoteRefusal(enum.Enum):
    """The reason, as logs have it."""

    NO_VOTER = "no_voter"
    LEADS = "leads"
    HEARS_LEADER = "hears_leader"
    JUST_STARTED = "just_started"
    OTHER_INCARNATION = "other_incarnation"
    LOG_BEHIND = "log_behind"
    OLD_TERM = "old_term"
    VOTED_FOR_OTHER = "voted_for_other"
