"""Errors of the replicated log."""


class ConsensusError(Exception):
    """Base class of the errors of this package."""


class LogDamagedError(ConsensusError):
    """Synced content of the data folder is unreadable.

    The replica must not start with it, because it may have lost entries or a
    vote that it has acknowledged. Empty the folder, so that the replica rejoins
    as a learner.

    Attributes:
        name: the damaged file.
        offset_bytes: where the damage starts.
    """

    def __init__(self, name: str, offset_bytes: int):
        """Takes the damaged file's name and the offset of the damage."""
        super().__init__(f"{name} is damaged at byte {offset_bytes}")
        self.name = name
        self.offset_bytes = offset_bytes


class NotFormattedError(ConsensusError):
    """Formatting was refused because the data folder holds a replica."""
