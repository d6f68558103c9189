"""Errors of the replicated log."""


class ConsensusError(Exception):
    """Base of every error of this package."""


class LogDamagedError(ConsensusError):
    """Synced content of the data folder is unreadable.

    The replica must not start with it: it may have lost entries or a vote
    that it answered for. Empty the folder, so that it rejoins as a learner.

    Attributes:
        name: the damaged file.
        offset_bytes: where the damage starts.
    """

    def __init__(self, name: str, offset_bytes: int):
        """Names the file and the place of the damage."""
        super().__init__(f"{name} is damaged at byte {offset_bytes}")
        self.name = name
        self.offset_bytes = offset_bytes


class NotFormattedError(ConsensusError):
    """A data folder that already holds a replica was to be formatted."""
