"""Logs under a flood, and before a reader that does not read."""

import os
import subprocess
import sys
import threading
import time

from damaskcroft.ctl._log_lines import parsed
from damaskcroft.observe._budget import LineBudget
from damaskcroft.observe._writer import LineWriter


class Clock:
    now = 0.0

    def __call__(self):
        return self.now


def test_a_flood_of_refusals_keeps_the_volume_bounded():
    clock = Clock()
    budget = LineBudget(100, clock)
    written, summed = 0, 0
    for _ in range(10):
        for number in range(5000):
            reason = "overloaded" if number % 2 else "no_target"
            written += budget.takes("refused", reason)
        # Another event has a budget of its own.
        assert budget.takes("configuration_applied", "")
        clock.now += 1.0
        told = list(budget.over())
        assert {(event, reason) for event, reason, _ in told} == {
            ("refused", "overloaded"),
            ("refused", "no_target"),
        }
        summed += sum(count for _, _, count in told)
    assert written == 1000
    assert written + summed == 50_000


def test_what_was_left_out_is_told_once():
    clock = Clock()
    budget = LineBudget(1, clock)
    assert budget.takes("refused", "a")
    assert not budget.takes("refused", "a")
    assert list(budget.over()) == []
    clock.now += 1.0
    assert list(budget.over()) == [("refused", "a", 1)]
    clock.now += 1.0
    assert list(budget.over()) == []
    assert budget.takes("refused", "a")


def test_a_reader_that_stops_reading_holds_nobody_up():
    """The pipe is full after 64 KiB; lines are dropped and counted."""
    reading, writing = os.pipe()
    with os.fdopen(writing, "w") as stream:
        writer = LineWriter(stream, max_lines=50)
        line = "x" * 1000
        for _ in range(70):
            writer.write(line)
        while writer._lines:
            time.sleep(0.01)
        # The thread is stuck in the pipe by now or will be; nobody else is.
        for _ in range(1000):
            writer.write(line)
        assert len(writer._lines) <= 50
        received = []

        def read_all():
            with os.fdopen(reading) as source:
                received.extend(source)

        reader = threading.Thread(target=read_all)
        reader.start()
        writer.close()
    reader.join()
    dropped = [r for r in received if "event=log_lines_dropped" in r]
    assert dropped
    counted = sum(int(r.rpartition("=")[2]) for r in dropped)
    whole = sum(r == line + "\n" for r in received)
    assert whole + counted == 1070


# Writes more than a pipe and the buffer take, and then waits to be read.
FLOODING = """
import sys
from damaskcroft.observe import log_warning, start_logs
start_logs("p-1")
for number in range(20_000):
    log_warning("flood", number=number)
print("written", file=sys.stderr, flush=True)
sys.stdin.read()
"""


def test_lines_that_were_dropped_are_told_like_any_other():
    process = subprocess.Popen(
        [sys.executable, "-c", FLOODING],
        stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=subprocess.PIPE,
        text=True,
    )  # fmt: skip
    assert process.stderr.readline() == "written\n"
    written, _ = process.communicate(timeout=30)
    lines = list(parsed(written.splitlines()))
    told = [line for line in lines if line.event == "log_lines_dropped"]
    assert {line.process for line in told} == {"p-1"}
    floods = sum(line.event == "flood" for line in lines)
    assert floods + sum(line.number("count") for line in told) == 20_000


def test_a_reader_that_stops_reading_does_not_hold_up_the_end():
    # Against a process that its platform kills while it waits for its reader.
    process = subprocess.Popen(
        [sys.executable, "-c", FLOODING],
        stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=subprocess.PIPE,
        text=True,
    )  # fmt: skip
    with process:
        assert process.stderr.readline() == "written\n"
        told_at = time.monotonic()
        process.stdin.close()
        process.wait(10)
        assert time.monotonic() - told_at < 0.95
