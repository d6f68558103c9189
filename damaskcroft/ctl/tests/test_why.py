"""Causes that are told from log lines alone."""

from damaskcroft.ctl._log_lines import parsed
from damaskcroft.ctl._why import story


def log(*lines, process="entry-1", day="2026-01-01"):
    """Lines of one process, each beginning with its time of day."""
    return [
        f"time={day}T{time} process={process} event={rest}"
        for time, rest in (line.split(" ", 1) for line in lines)
    ]


def told(*lines):
    return story("r-1", parsed(lines))


def test_what_happened_on_the_day_before_is_not_beside_a_request():
    way = told(
        *log("23:59:40.000 control_lost", day="2026-01-01"),
        *log("23:59:58.000 control_in_touch", day="2026-01-01"),
        *log("00:00:01.000 refused request=r-1 reason=stopping",
             day="2026-01-02"),
    )  # fmt: skip
    assert any("control_in_touch" in line for line in way)
    assert not any("control_lost" in line for line in way)


def test_a_line_that_was_cut_in_its_time_is_passed_over():
    way = told(
        "time=2026-01-0 process=entry-1 event=starting",
        *log("10:00:00.000 refused request=r-1 reason=stopping"),
    )
    assert way[-1] == "cause: the entry was about to end"
