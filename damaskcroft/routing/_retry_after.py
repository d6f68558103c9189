"""Retry-After times for refused callers."""

import random

__all__ = ["draw_retry_after_s"]

# Shortest mean Retry-After, also used if the wait is unknown: long enough that
# a request under way (about a second) has ended.
_MIN_RETRY_AFTER_S = 0.65
# The queue may become shorter than predicted, because other requests leave it
# too; callers wait for at most a third of their time, which is two seconds of
# six.
_MAX_RETRY_AFTER_S = 2.0
# Callers that were refused together retry spread over half to one and a half
# times the predicted time.
_RETRY_SPREAD = 0.5


def draw_retry_after_s(expected_wait_s: float, rng: random.Random) -> float:
    """Returns the Retry-After of one caller, with random spread.

    Args:
        expected_wait_s: predicted wait in the queue; 0 if unknown.
        rng: source of the spread.
    """
    wait_s = max(_MIN_RETRY_AFTER_S, min(expected_wait_s, _MAX_RETRY_AFTER_S))
    spread = 1 + _RETRY_SPREAD * (2 * rng.random() - 1)
    return min(wait_s * spread, _MAX_RETRY_AFTER_S)
