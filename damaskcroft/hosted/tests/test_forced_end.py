"""Hosted programs whose shutdown never completes."""

import signal
import subprocess
import sys
import time

import pytest

GRACE_S = 3.0
PROGRAM = """
import asyncio, contextlib, threading, types
from damaskcroft.hosted import process

settings = types.SimpleNamespace(
    name="e", ip="", failure_domain="", first_start=False, seeds=(),
    bounds=types.SimpleNamespace(grace_s={grace_s}),
)
process.load_node_settings = lambda: settings

async def ignore_cancellation():
    while True:
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(100)

async def stuck_step():
    await ignore_cancellation()

async def stuck_task():
    asyncio.create_task(ignore_cancellation())

async def stuck_thread():
    asyncio.get_running_loop().run_in_executor(None, threading.Event().wait)

async def serve(settings, stop):
    print("serving", flush=True)
    await stop.wait()
    await {last_step}()

process.run_hosted("entry", serve, 0)
"""


@pytest.mark.parametrize(
    "last_step", ["stuck_step", "stuck_task", "stuck_thread"]
)
def test_a_stuck_last_step_does_not_outlive_the_grace_period(last_step):
    # Guards against a process that the platform has to kill, and that logs no
    # last line.
    program = PROGRAM.format(grace_s=GRACE_S, last_step=last_step)
    started = subprocess.Popen(
        [sys.executable, "-c", program], stdout=subprocess.PIPE, text=True
    )
    try:
        while "serving" not in started.stdout.readline():
            assert started.poll() is None
        started.send_signal(signal.SIGTERM)
        signalled_at = time.monotonic()
        lines, _ = started.communicate(timeout=2 * GRACE_S)
        assert time.monotonic() - signalled_at < GRACE_S
    finally:
        started.kill()
        started.wait()
    assert "event=end_forced" in lines
