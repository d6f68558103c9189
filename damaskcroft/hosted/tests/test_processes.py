"""The hosted programs as real processes on loopback, met by the wire alone."""

import asyncio
import contextlib
import json
import os
import signal
import sys

import pytest

from damaskcroft.ctl._log_lines import parsed
from damaskcroft.ctl._why import story
from damaskcroft.hosted.tests.deployment import (
    CONTROL_IPS,
    ENTRY_IP,
    TARGET_IP,
)
from damaskcroft.hosted.tests.one_target import ask, until


def test_a_stopping_entry_answers_what_it_has_read(play):
    async def scenario(deployment, gate, asked):
        gate.clear()
        before = len(asked)
        asking = asyncio.create_task(ask(deployment))

        async def running():
            return len(asked) > before

        await until(running)
        entry = deployment.processes["entry-14"]
        entry.send_signal(signal.SIGTERM)

        async def not_ready():
            status, _, _ = await deployment.call(
                ENTRY_IP, deployment.ready, b"GET", "/api/ready"
            )
            return status == 503

        await until(not_ready)
        gate.set()
        status, head, body = await asking
        assert (status, body) == (200, b"body")
        assert head.value(b"connection") == "close"
        assert await entry.wait() == 0

    play(scenario)


def test_a_changed_settings_file_ends_nothing(play):
    async def scenario(deployment, gate, asked):
        for process in deployment.processes.values():
            process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        assert (await ask(deployment))[0] == 200
        status, _ = await deployment.operator(b"GET", "/api/config/get")
        assert status == 200
        assert all(
            process.returncode is None
            for process in deployment.processes.values()
        )

    play(scenario)


def signals_taken(process):
    """Numbers of the signals that a process ignores or handles."""
    masks = [
        int(line.split()[1], 16)
        for line in open(f"/proc/{process.pid}/status")
        if line.startswith(("SigIgn:", "SigCgt:"))
    ]
    return {n for n in range(1, 64) for mask in masks if mask >> (n - 1) & 1}


def test_a_settings_signal_that_comes_at_a_start_ends_nothing(play):
    """It is taken before the program's imports, which take long under load."""

    async def scenario(deployment, gate, asked):
        process = deployment.processes[f"entry-{ENTRY_IP[-2:]}"]
        process.kill()
        await process.wait()
        process = await deployment.start("entry", ENTRY_IP, first=False)
        while signal.SIGHUP not in signals_taken(process):
            await asyncio.sleep(0.001)
        with open(f"/proc/{process.pid}/maps") as maps:
            assert "_message" not in maps.read(), "protobuf is imported"
        process.send_signal(signal.SIGHUP)

        async def serves():
            return (await ask(deployment))[0] == 200

        await until(serves)
        assert process.returncode is None

    play(scenario)


@pytest.mark.parametrize("name", ["control-11", "entry-14"])
def test_a_settings_signal_that_comes_at_an_end_ends_nothing(play, name):
    """Against an end by the signal once the event loop had closed."""

    async def scenario(deployment, gate, asked):
        process = deployment.processes[name]
        log = deployment.folder / f"{name}.log"

        async def started():
            return "event=started" in log.read_text()

        await until(started)
        process.send_signal(signal.SIGTERM)
        while process.returncode is None:
            # Not by the process's own method, which would take its end away
            # from asyncio.
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, signal.SIGHUP)
            await asyncio.sleep(0.001)
        assert process.returncode == 0
        assert "event=stopped" in log.read_text().splitlines()[-1]

    play(scenario)


def test_all_control_killed_at_once_comes_back_with_what_it_promised(play):
    async def scenario(deployment, gate, asked):
        for ip in CONTROL_IPS:
            process = deployment.processes[f"control-{ip[-2:]}"]
            process.kill()
            await process.wait()
        assert (await ask(deployment))[0] == 200
        for ip in CONTROL_IPS:
            await deployment.start("control", ip, first=False)

        async def read_back():
            status, body = await deployment.operator(b"GET", "/api/config/get")
            return status == 200 and json.loads(body)["version"] == 3

        await until(read_back)

    play(scenario)


def test_an_entry_that_starts_later_learns_all(play):
    async def scenario(deployment, gate, asked):
        entry = deployment.processes["entry-14"]
        entry.kill()
        await entry.wait()
        await deployment.start("entry", ENTRY_IP, first=False)

        async def served():
            status, _, _ = await ask(deployment)
            assert status not in (401, 404)
            return status == 200

        await until(served)

    play(scenario)


def test_a_killed_entry_leaves_word_of_what_it_had(play):
    """Four requests are at the target, one more waits in line."""

    async def scenario(deployment, gate, asked):
        gate.clear()
        log = deployment.folder / "entry-14.log"

        def begin(name):
            return asyncio.create_task(ask(deployment, name))

        async def all_sent():
            return log.read_text().count("event=sent request=sent-") == 4

        async def told():
            return "event=queued request=waits" in log.read_text()

        asking = [begin(f"sent-{number}") for number in range(1, 5)]
        await until(all_sent)
        asking.append(begin("waits"))
        await until(told)
        await deployment.end("entry", ENTRY_IP)
        await asyncio.gather(*asking)
        await deployment.start("entry", ENTRY_IP, first=False)

        async def back():
            return log.read_text().count("event=starting") == 2

        await until(back)
        lines = list(parsed(log.read_text().splitlines()))
        sent, waited = (story(name, lines)[-1] for name in ("sent-1", "waits"))
        assert sent.startswith(f"cause: sent to target i-1 at {TARGET_IP}:")
        assert waited.startswith("cause: waited in line at entry-14 since")
        assert sent.endswith("lost with it")
        assert waited.endswith("lost with it")

    play(scenario)


def test_a_wrong_field_ends_the_start_with_one_line(tmp_path):
    async def scenario():
        file = tmp_path / "settings.toml"
        file.write_text('node_name = "n"\nip = 5\n')
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "damaskcroft.hosted", "entry",
            env={"DAMASKCROFT_NODE_FILE": str(file)},
            stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        _, told = await process.communicate()
        assert process.returncode == 2
        assert len(told.decode().splitlines()) == 1

    asyncio.run(scenario())
