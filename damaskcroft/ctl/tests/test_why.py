"""Causes of request outcomes, derived from log lines alone."""

import pytest

from damaskcroft.ctl._log_lines import parsed
from damaskcroft.ctl._why import explain_request


def log(*lines, process="entry-1", day="2026-01-01"):
    """Returns log lines of one process, given as time of day and event."""
    return [
        f"time={day}T{time} process={process} event={rest}"
        for time, rest in (line.split(" ", 1) for line in lines)
    ]


def explain(*lines):
    return explain_request("r-1", parsed(lines))


def test_events_long_before_midnight_are_not_related():
    report = explain(
        *log("23:59:40.000 control_lost", day="2026-01-01"),
        *log("23:59:58.000 control_in_touch", day="2026-01-01"),
        *log("00:00:01.000 refused request=r-1 reason=stopping",
             day="2026-01-02"),
    )  # fmt: skip
    assert any("control_in_touch" in line for line in report)
    assert not any("control_lost" in line for line in report)


def test_line_with_truncated_timestamp_is_skipped():
    report = explain(
        "time=2026-01-0 process=entry-1 event=starting",
        *log("10:00:00.000 refused request=r-1 reason=stopping"),
    )
    assert report[-1] == "cause: the entry was about to end"


# --- Requests without an outcome ---------------------------------------------

QUEUED = (
    "10:00:01.350 queued request=r-1 reason=overloaded service=s"
    " waited_s=0.25 waiting=18 left_s=5.75"
)
SENT = (
    "10:00:01.350 sent request=r-1 target=t-1 address=10.0.0.1:80 attempt=1"
    " left_s=5.75"
)


def test_queued_request_is_lost_with_its_process():
    report = explain(
        *log(QUEUED, "10:00:03.000 starting role=entry"),
        *log("10:00:02.000 starting role=entry", process="entry-2"),
    )
    assert report[-1] == (
        "cause: waited in line at entry-1 since 2026-01-01T10:00:01.100,"
        " 18 waiting, while all targets were full; no line says that it was"
        " sent; entry-1 started anew at 2026-01-01T10:00:03.000: lost with it"
    )


def test_sent_request_is_lost_with_its_process_and_may_have_run():
    report = explain(*log(SENT, "10:00:03.000 starting role=entry"))
    assert report[-1] == (
        "cause: sent to target t-1 at 10.0.0.1:80 by entry-1 at"
        " 2026-01-01T10:00:01.350, and may have run; entry-1 started anew at"
        " 2026-01-01T10:00:03.000: lost with it"
    )


def test_restart_of_another_process_loses_no_request():
    report = explain(
        *log(SENT, "10:00:01.400 control_lost"),
        *log("10:00:03.000 starting role=entry", process="entry-2"),
    )
    assert report[-1] == "cause: no outcome is logged; the last word is sent"


def test_process_without_later_lines_is_reported():
    report = explain(*log(SENT))
    assert report[-1].endswith("and entry-1 wrote nothing after it")


def test_restart_after_the_deadline_does_not_lose_the_request():
    report = explain(
        *log(SENT, "10:00:09.000 control_lost", "10:00:11.000 starting x=1")
    )
    assert "lost with it" not in report[-1]
    assert "its time was over before entry-1 started anew" in report[-1]


def test_suppressed_lines_make_a_loss_uncertain():
    summed = "10:00:02.000 log_lines_summed of={} reason= count=7"
    start = "10:00:03.000 starting role=entry"
    certain = explain(*log(SENT, summed.format("target_changed"), start))
    assert certain[-1].endswith("lost with it")
    uncertain = explain(*log(SENT, summed.format("answered"), start))
    assert uncertain[-1].endswith("or its later lines were left out of the log")


# --- Failures of targets -----------------------------------------------------


def test_late_failure_is_reported_as_failure_and_late():
    report = explain(
        *log(
            "10:00:01.000 attempt_failed request=r-1 target=t-1"
            " address=10.0.0.1:80 reason=status_503",
            "10:00:01.001 answered_late request=r-1 status=503 queued_s=0.9"
            " first_s=1.0 longest_gap_s=0 targets=1",
        )
    )
    assert report[-1] == (
        "cause: target t-1 at 10.0.0.1:80 answered with 503, its own failure;"
        " answered late: 0.9 s in line for a target, longest pause 0 s"
    )


# --- Refusals ----------------------------------------------------------------


def test_missing_weights_are_reported_with_their_version():
    report = explain(
        *log(
            "10:00:00.000 weights_named model=m version=2",
            "10:00:01.000 refused request=r-1 reason=no_weights ran=no"
            " service=s retry_after_s=0.7",
        )
    )
    assert report[-1] == (
        "cause: no target of s holds the weights that are due, version 2; told"
        " to come back in 0.7 s"
    )


def test_overload_after_missing_weights_reports_both():
    report = explain(
        *log(
            "10:00:00.250 queued request=r-1 reason=no_weights service=s"
            " waited_s=0.25 waiting=18 left_s=5.75",
            "10:00:02.000 refused request=r-1 reason=overloaded ran=no"
            ' service=s detail="18 waiting" retry_after_s=None',
        )
    )
    assert report[-1] == (
        "cause: every target of s was full, 18 waiting; 0.25 s after it came"
        " no target held the weights that were due"
    )


def test_no_ready_target_differs_from_no_other_target():
    refused = (
        "10:00:01.000 refused request=r-1 reason=no_target ran={} service=s"
        " retry_after_s=None"
    )
    first = explain(*log(refused.format("no")))
    assert first[-1] == "cause: no target of s was ready"
    other = explain(
        *log(
            "10:00:00.500 attempt_failed request=r-1 target=t-1"
            " address=10.0.0.1:80 reason=silent",
            refused.format("maybe"),
        )
    )
    assert other[-1] == (
        "cause: no other target of s was left; target t-1 at 10.0.0.1:80"
        " failed: silent"
    )


# --- Weights of which a newer version is due ---------------------------------


@pytest.mark.parametrize(
    ("within_s", "connect_s", "words"),
    [
        (
            "1.11",
            "None",
            "version_due, sent with 1.11 s left to begin on its weights, over a"
            " kept connection, given up 0.87 s after it was sent",
        ),
        (
            "1.11",
            "0.213",
            "version_due, sent with 1.11 s left to begin on its weights,"
            " connecting took 0.213 s, given up 0.87 s after it was sent",
        ),
        (
            "None",
            "None",
            "version_due, sent before a newer version was named, over a kept"
            " connection, given up 0.87 s after it was sent",
        ),
    ],
)
def test_aborted_attempt_reports_its_remaining_time(within_s, connect_s, words):
    report = explain(
        *log(
            "10:00:24.940 sent request=r-1 target=t-1 address=10.0.0.1:80"
            f" begins_within_s={within_s}",
            "10:00:25.810 attempt_failed request=r-1 target=t-1"
            f" address=10.0.0.1:80 reason=version_due connect_s={connect_s}",
            "10:00:25.811 refused request=r-1 reason=attempts_used ran=maybe"
            " service=s retry_after_s=None",
        )
    )
    assert report[-1] == (
        "cause: refused as attempts_used; target t-1 at 10.0.0.1:80 failed: "
        + words
    )


def test_failed_connection_is_not_reported_as_kept():
    report = explain(
        *log(
            "10:00:01.000 attempt_failed request=r-1 target=t-1"
            " address=10.0.0.1:80 reason=connect_timeout connect_s=None",
            "10:00:01.001 refused request=r-1 reason=unreachable ran=no",
        )
    )
    assert report[-1].endswith("failed: connect_timeout")


def test_agents_without_a_desired_version_are_listed_for_missing_weights():
    """Lists agents of the request's service, as of the time of the refusal."""
    wanted_line = "{} weights_wanted service={} path={} named=None"
    report = explain(
        *log(wanted_line.format("09:00:00.000", "s", '""'), process="agent-2"),
        *log(wanted_line.format("09:00:00.000", "s", '""'), process="agent-1"),
        *log(wanted_line.format("09:00:00.000", "o", '""'), process="agent-3"),
        *log(
            wanted_line.format("09:00:00.000", "s", '""'),
            wanted_line.format("09:00:01.000", "s", "m/1"),
            process="agent-4",
        ),
        *log(
            "10:00:01.000 refused request=r-1 reason=no_weights ran=no"
            " service=s retry_after_s=None",
        ),
        *log(wanted_line.format("10:00:02.000", "s", '""'), process="agent-4"),
    )
    assert report[-1] == (
        "cause: no target of s holds the weights that are due; these agents"
        " wanted none: agent-1, agent-2"
    )


# --- Delayed answers ---------------------------------------------------------

LEFT = "10:00:03.000 caller_left request=r-1 after_s=1.9"


def test_disconnect_reports_what_the_caller_waited_for():
    assert explain(*log(LEFT))[-1] == "cause: the caller left after 1.9 s"
    queued = explain(*log(QUEUED, LEFT))
    assert queued[-1].endswith("after 1.9 s, in line all that time")
    held_back = "10:00:01.100 held_back request=r-1 service=s priority=2"
    assert explain(*log(held_back, QUEUED, LEFT))[-1] == queued[-1]
    at_target = explain(*log(QUEUED, SENT, LEFT))
    assert at_target[-1].endswith(
        "after 1.9 s, while target t-1 at 10.0.0.1:80 had it"
    )


def test_late_answer_lists_earlier_failed_targets():
    report = explain(
        *log(
            "10:00:01.000 attempt_failed request=r-1 target=t-1"
            " address=10.0.0.1:80 reason=silent",
            "10:00:01.500 answered_late request=r-1 status=200 queued_s=0"
            " first_s=1.4 longest_gap_s=0.1 targets=2",
        )
    )
    assert report[-1] == (
        "cause: answered late: first event 1.4 s after it came, at the target,"
        " 2 targets were tried, longest pause 0.1 s; target t-1 at"
        " 10.0.0.1:80 failed: silent"
    )


def test_outrun_target_is_not_called_a_failure():
    report = explain(
        *log(
            SENT,
            "10:00:01.450 attempt_failed request=r-1 target=t-1"
            " address=10.0.0.1:80 reason=outrun",
            "10:00:01.900 answered_late request=r-1 status=200 queued_s=0"
            " first_s=0.5 longest_gap_s=0 targets=2",
        )
    )
    assert report[-1].endswith(
        "target t-1 at 10.0.0.1:80 was slow and a hedge answered first"
    )
