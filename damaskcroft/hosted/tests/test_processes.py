"""Starts, stops and restarts of the hosted programs as real processes."""

import asyncio
import contextlib
import json
import os
import signal
import sys

import pytest

from damaskcroft.ctl._log_lines import parsed
from damaskcroft.ctl._why import explain_request
from damaskcroft.hosted.tests.deployment import (
    CONTROL_IPS,
    ENTRY_IP,
    TARGET_IP,
)
from damaskcroft.hosted.tests.one_target import send_request, wait_until


def test_a_stopping_entry_answers_requests_it_has_read(play):
    async def scenario(deployment, gate, received):
        gate.clear()
        before = len(received)
        pending = asyncio.create_task(send_request(deployment))

        async def running():
            return len(received) > before

        await wait_until(running)
        entry = deployment.processes["entry-14"]
        entry.send_signal(signal.SIGTERM)

        async def not_ready():
            status, _, _ = await deployment.call(
                ENTRY_IP, deployment.ready, b"GET", "/api/ready"
            )
            return status == 503

        await wait_until(not_ready)
        gate.set()
        status, head, body = await pending
        assert (status, body) == (200, b"body")
        assert head.value(b"connection") == "close"
        assert await entry.wait() == 0

    play(scenario)


def test_sighup_ends_no_process(play):
    async def scenario(deployment, gate, received):
        for process in deployment.processes.values():
            process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        assert (await send_request(deployment))[0] == 200
        status, _ = await deployment.operator(b"GET", "/api/config/get")
        assert status == 200
        assert all(
            process.returncode is None
            for process in deployment.processes.values()
        )

    play(scenario)


def handled_signals(process):
    """Returns the numbers of the signals that a process ignores or handles."""
    masks = [
        int(line.split()[1], 16)
        for line in open(f"/proc/{process.pid}/status")
        if line.startswith(("SigIgn:", "SigCgt:"))
    ]
    return {n for n in range(1, 64) for mask in masks if mask >> (n - 1) & 1}


def test_a_settings_signal_that_comes_at_a_start_ends_nothing(play):
    """SIGHUP is ignored before the imports, which take long under load."""

    async def scenario(deployment, gate, received):
        process = deployment.processes[f"entry-{ENTRY_IP[-2:]}"]
        process.kill()
        await process.wait()
        process = await deployment.start("entry", ENTRY_IP, first=False)
        while signal.SIGHUP not in handled_signals(process):
            await asyncio.sleep(0.001)
        with open(f"/proc/{process.pid}/maps") as maps:
            assert "_message" not in maps.read(), "protobuf is imported"
        process.send_signal(signal.SIGHUP)

        async def serves():
            return (await send_request(deployment))[0] == 200

        await wait_until(serves)
        assert process.returncode is None

    play(scenario)


@pytest.mark.parametrize("name", ["control-11", "entry-14"])
def test_sighup_during_shutdown_does_not_end_the_process(play, name):
    """Guards against an end by SIGHUP after the event loop has closed."""

    async def scenario(deployment, gate, received):
        process = deployment.processes[name]
        log = deployment.folder / f"{name}.log"

        async def started():
            return "event=started" in log.read_text()

        await wait_until(started)
        process.send_signal(signal.SIGTERM)
        while process.returncode is None:
            # `process.send_signal` would reap the process before asyncio can.
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, signal.SIGHUP)
            await asyncio.sleep(0.001)
        assert process.returncode == 0
        assert "event=stopped" in log.read_text().splitlines()[-1]

    play(scenario)


def test_acknowledged_changes_survive_a_kill_of_all_control_nodes(play):
    async def scenario(deployment, gate, received):
        for ip in CONTROL_IPS:
            process = deployment.processes[f"control-{ip[-2:]}"]
            process.kill()
            await process.wait()
        assert (await send_request(deployment))[0] == 200
        for ip in CONTROL_IPS:
            await deployment.start("control", ip, first=False)

        async def read_back():
            status, body = await deployment.operator(b"GET", "/api/config/get")
            return status == 200 and json.loads(body)["version"] == 3

        await wait_until(read_back)

    play(scenario)


def test_a_restarted_entry_serves_only_with_a_configuration(play):
    async def scenario(deployment, gate, received):
        entry = deployment.processes["entry-14"]
        entry.kill()
        await entry.wait()
        await deployment.start("entry", ENTRY_IP, first=False)

        async def served():
            status, _, _ = await send_request(deployment)
            assert status not in (401, 404)
            return status == 200

        await wait_until(served)

    play(scenario)


def test_logs_explain_the_requests_lost_with_a_killed_entry(play):
    """Four requests are at the target, and one more is queued."""

    async def scenario(deployment, gate, received):
        gate.clear()
        log = deployment.folder / "entry-14.log"

        def start_request(name):
            return asyncio.create_task(send_request(deployment, name))

        async def all_dispatched():
            return log.read_text().count("event=sent request=sent-") == 4

        async def stderr():
            return "event=queued request=waits" in log.read_text()

        pending = [start_request(f"sent-{number}") for number in range(1, 5)]
        await wait_until(all_dispatched)
        pending.append(start_request("waits"))
        await wait_until(stderr)
        await deployment.end("entry", ENTRY_IP)
        await asyncio.gather(*pending)
        await deployment.start("entry", ENTRY_IP, first=False)

        async def back():
            return log.read_text().count("event=starting") == 2

        await wait_until(back)
        lines = list(parsed(log.read_text().splitlines()))
        sent, queued = (
            explain_request(name, lines)[-1] for name in ("sent-1", "waits")
        )
        assert sent.startswith(f"cause: sent to target i-1 at {TARGET_IP}:")
        assert queued.startswith("cause: waited in line at entry-14 since")
        assert sent.endswith("lost with it")
        assert queued.endswith("lost with it")

    play(scenario)


def test_an_invalid_setting_ends_the_start_with_one_line(tmp_path):
    async def scenario():
        file = tmp_path / "settings.toml"
        file.write_text('node_name = "n"\nip = 5\n')
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "damaskcroft.hosted", "entry",
            env={"DAMASKCROFT_NODE_FILE": str(file)},
            stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        _, stderr = await process.communicate()
        assert process.returncode == 2
        assert len(stderr.decode().splitlines()) == 1

    asyncio.run(scenario())
