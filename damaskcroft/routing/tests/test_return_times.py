"""Retry-After times for refused callers."""

import random

from damaskcroft.routing import draw_retry_after_s


def test_retry_after_follows_the_predicted_wait_and_is_spread():
    rng = random.Random(1)
    unknown = [draw_retry_after_s(0.0, rng) for _ in range(200)]
    assert 0.3 < min(unknown) < 0.4 and 0.9 < max(unknown) < 1.0
    long = [draw_retry_after_s(1.4, rng) for _ in range(200)]
    assert 0.7 <= min(long) < 0.8 and 1.9 < max(long) <= 2.0
    assert max(draw_retry_after_s(60.0, rng) for _ in range(200)) == 2.0
