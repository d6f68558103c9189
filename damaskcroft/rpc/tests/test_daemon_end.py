"""Forced exit of a daemon whose tasks or threads never end."""

import signal
import subprocess
import sys
import time

import pytest

PROGRAM = """
import asyncio, contextlib, threading, types
from damaskcroft.rpc import _daemon, stop_event

_daemon._EXIT_TIMEOUT_S = 0.5
_daemon.settings_or_exit = lambda *_, **__: types.SimpleNamespace(
    process=types.SimpleNamespace(name="a"), keys=None
)
_daemon.load_keys = lambda keys: keys

async def ignore_cancellation():
    while True:
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(100)

async def task():
    asyncio.create_task(ignore_cancellation())

async def thread():
    asyncio.get_running_loop().run_in_executor(None, threading.Event().wait)

async def serve(settings, keys):
    stop = stop_event()
    print("serving", flush=True)
    await stop.wait()
    await {left}()

_daemon.run_daemon(None, type(None), serve, check=False, reference=False)
"""


@pytest.mark.parametrize("left", ["task", "thread"])
def test_a_task_or_thread_left_running_does_not_keep_a_daemon_alive(left):
    # Guards against a daemon that never exits and does not log why.
    started = subprocess.Popen(
        [sys.executable, "-c", PROGRAM.format(left=left)],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        while "serving" not in started.stdout.readline():
            assert started.poll() is None
        started.send_signal(signal.SIGTERM)
        stopped_at = time.monotonic()
        lines, _ = started.communicate(timeout=5)
        assert time.monotonic() - stopped_at < 3.0
    finally:
        started.kill()
        started.wait()
    assert "event=end_forced" in lines
