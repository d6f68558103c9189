"""How long an answer asks to be left alone (RFC 9110, 10.2.3)."""

import email.utils
import math
import time

__all__ = ["retry_after_s"]


def retry_after_s(value: str, date: str = "") -> float | None:
    """The seconds that a Retry-After header asks for.

    Fractions of seconds are taken as well, as some servers send them.

    Args:
        value: the header: seconds, or a date.
        date: the Date header of the same answer, so that a difference of
            clocks doesn't count; empty if there is none.

    Returns:
        None where there is no such header or it makes no sense.
    """
    try:
        seconds = float(value)
    except ValueError:
        until = _timestamp(value)
        if until is None:
            return None
        told_at = _timestamp(date)
        seconds = until - (time.time() if told_at is None else told_at)
    return seconds if math.isfinite(seconds) and seconds >= 0 else None


def _timestamp(date: str) -> float | None:
    """Seconds since the epoch; None for what is no date."""
    if not date:
        return None
    try:
        return email.utils.parsedate_to_datetime(date).timestamp()
    except (ValueError, TypeError, OverflowError):
        return None
