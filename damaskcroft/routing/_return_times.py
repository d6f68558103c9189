"""When refused callers are told to come back."""

import random

__all__ = ["return_after_s"]

# How soon a refused caller may come back where nothing better is known: long
# enough that a request under way (about a second) has ended.
_RETRY_AFTER_S = 0.65
# A queue may be shorter by then than foreseen, as others leave it too; callers
# wait for no more than a third of their time, two seconds where they have six.
_MAX_RETRY_AFTER_S = 2.0
# Callers that were refused together return spread over half to one and a half
# times that time.
_RETRY_SPREAD = 0.5


def return_after_s(foreseen_s: float, rng: random.Random) -> float:
    """When there should be room again, spread over some time.

    Args:
        foreseen_s: how long the queue is; 0 if unknown.
        rng: spreads.
    """
    wait_s = max(_RETRY_AFTER_S, min(foreseen_s, _MAX_RETRY_AFTER_S))
    spread = 1 + _RETRY_SPREAD * (2 * rng.random() - 1)
    return min(wait_s * spread, _MAX_RETRY_AFTER_S)
