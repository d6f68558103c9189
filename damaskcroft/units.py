"""Converts the platform's units into those of the code."""

__all__ = ["bytes_per_s"]

_BITS_PER_MEGABIT = 1_000_000
_BITS_PER_BYTE = 8


def bytes_per_s(mbps: float) -> float:
    """Converts a link's rate from megabits per second."""
    return mbps * _BITS_PER_MEGABIT / _BITS_PER_BYTE
