"""Tests of the upload rate, which keeps the sender's own queue short."""

import asyncio

from damaskcroft.weights import Pacer, UploadRate
from damaskcroft.weights._path_delay import PathDelay

LINK_BYTES_S = 450_000.0
PART_BYTES = 8192


def test_queueing_delay_is_the_excess_over_the_minimum(loop):
    async def scenario():
        delay = PathDelay()
        # The sender's clock is half an hour ahead.
        ahead_s = 1800.0
        queued = []
        for transit_s in (0.02, 0.05, 0.12, 0.02):
            sent_at = loop.time() + ahead_s
            await asyncio.sleep(transit_s)
            queued.append(round(delay.queueing_delay_s(sent_at), 6))
        assert queued == [0.0, 0.03, 0.1, 0.0]

    loop.run(scenario())


def test_path_delay_recovers_after_the_senders_clock_stood_still(loop):
    async def scenario():
        delay = PathDelay()
        delay.queueing_delay_s(loop.time())
        for _ in range(90):
            await asyncio.sleep(0.1)
            # The clock stood still while the sender was frozen for 3 s.
            queued_s = delay.queueing_delay_s(loop.time() - 3.0)
        assert queued_s < 1e-6

    loop.run(scenario())


def simulate_link(loop, live_bytes_s, seconds):
    """Shares a link with live answers; returns bytes sent and queues."""

    async def scenario():
        pacer = Pacer(LINK_BYTES_S)
        rate = UploadRate(pacer)
        free_at = loop.time()
        sent, queues_s = 0, []
        end_at = loop.time() + seconds
        last_at = loop.time()
        while loop.time() < end_at:
            await pacer.pass_bytes(PART_BYTES)
            now = loop.time()
            live_bytes = live_bytes_s * (now - last_at)
            last_at = now
            free_at = (
                max(free_at, now) + (PART_BYTES + live_bytes) / LINK_BYTES_S
            )
            sent += PART_BYTES
            queues_s.append(free_at - now)
            loop.call_later(
                free_at - now, rate.record_queueing_delay, "r", free_at - now
            )
        return sent, queues_s

    return loop.run(scenario())


def test_live_answers_wait_behind_few_parts(loop):
    """Live answers use a fifth of the link for eight seconds."""
    sent, queues_s = simulate_link(loop, 0.2 * LINK_BYTES_S, 8)
    steady_queues_s = queues_s[len(queues_s) // 4 :]
    assert sum(steady_queues_s) / len(steady_queues_s) < 0.06
    assert max(steady_queues_s) < 0.12
    assert sent > 0.7 * 0.8 * LINK_BYTES_S * 8


def test_receiver_behind_a_narrow_link_does_not_reduce_the_rate(loop):
    async def scenario():
        pacer = Pacer(LINK_BYTES_S)
        rate = UploadRate(pacer)
        for _ in range(100):
            await asyncio.sleep(0.02)
            rate.record_queueing_delay("narrow", 0.9)
            rate.record_queueing_delay("sound", 0.01)
        assert pacer.share == 1.0

    loop.run(scenario())
