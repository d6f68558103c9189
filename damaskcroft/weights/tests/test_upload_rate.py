"""How senders notice the queue before their own link."""

import asyncio

from damaskcroft.weights import Pacer, UploadRate
from damaskcroft.weights._path_delay import PathDelay

LINK_BYTES_S = 450_000.0
PART_BYTES = 8192


def test_queueing_is_what_comes_on_top_of_the_least(loop):
    async def scenario():
        delay = PathDelay()
        # The sender's clock is half an hour ahead.
        ahead_s = 1800.0
        queued = []
        for on_its_way_s in (0.02, 0.05, 0.12, 0.02):
            sent_at = loop.time() + ahead_s
            await asyncio.sleep(on_its_way_s)
            queued.append(round(delay.queued_s(sent_at), 6))
        assert queued == [0.0, 0.03, 0.1, 0.0]

    loop.run(scenario())


def test_a_senders_clock_that_stood_still_is_got_over(loop):
    async def scenario():
        delay = PathDelay()
        delay.queued_s(loop.time())
        for _ in range(90):
            await asyncio.sleep(0.1)
            # Frozen for three seconds, its clock did not run.
            queued_s = delay.queued_s(loop.time() - 3.0)
        assert queued_s < 1e-6

    loop.run(scenario())


def play(loop, live_bytes_s, seconds):
    """A link that live answers share; gives the bytes sent, and the queues."""

    async def scenario():
        pacer = Pacer(LINK_BYTES_S)
        rate = UploadRate(pacer)
        free_at = loop.time()
        sent, queues = 0, []
        end = loop.time() + seconds
        last = loop.time()
        while loop.time() < end:
            await pacer.pass_bytes(PART_BYTES)
            now = loop.time()
            live = live_bytes_s * (now - last)
            last = now
            free_at = max(free_at, now) + (PART_BYTES + live) / LINK_BYTES_S
            sent += PART_BYTES
            queues.append(free_at - now)
            loop.call_later(free_at - now, rate.heard, "r", free_at - now)
        return sent, queues

    return loop.run(scenario())


def test_live_answers_wait_behind_a_few_parts_only(loop):
    """Answers take a fifth of the link for eight seconds."""
    sent, queues = play(loop, 0.2 * LINK_BYTES_S, 8)
    settled = queues[len(queues) // 4 :]
    assert sum(settled) / len(settled) < 0.06
    assert max(settled) < 0.12
    assert sent > 0.7 * 0.8 * LINK_BYTES_S * 8


def test_a_receiver_behind_a_narrow_link_slows_nobody_else(loop):
    async def scenario():
        pacer = Pacer(LINK_BYTES_S)
        rate = UploadRate(pacer)
        for _ in range(100):
            await asyncio.sleep(0.02)
            rate.heard("narrow", 0.9)
            rate.heard("sound", 0.01)
        assert pacer.share == 1.0

    loop.run(scenario())
