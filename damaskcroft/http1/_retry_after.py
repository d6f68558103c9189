"""Parsing of the Retry-After header (RFC 9110, 10.2.3)."""

import email.utils
import math
import time

__all__ = ["retry_after_s"]


def retry_after_s(value: str, date: str = "") -> float | None:
    """Parses the seconds of a Retry-After header.

    Fractions of seconds are accepted as well, because some servers send them.

    Args:
        value: value of the header: seconds, or a date.
        date: the Date header of the same answer, so that clock skew has no
            effect; empty if there is none.

    Returns:
        The seconds; None if the header is absent or invalid.
    """
    try:
        seconds = float(value)
    except ValueError:
        until = _timestamp(value)
        if until is None:
            return None
        answered_at = _timestamp(date)
        seconds = until - (time.time() if answered_at is None else answered_at)
    return seconds if math.isfinite(seconds) and seconds >= 0 else None


def _timestamp(date: str) -> float | None:
    """Returns seconds since the epoch; None for an invalid date."""
    if not date:
        return None
    try:
        return email.utils.parsedate_to_datetime(date).timestamp()
    except (ValueError, TypeError, OverflowError):
        return None
