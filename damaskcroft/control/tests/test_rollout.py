"""Choice of the next targets of a rollout while some are unreachable.

Guards against a rollout that stops without a reason in the log: the process of
a target could not be reached while its agent could, and with `max_out 1`
control logged `assigned target=drafting-0 version=1` and nothing more for a
minute.
"""

import pytest

from damaskcroft._generated import control_pb2, records_pb2
from damaskcroft.control._rollout import next_wave

NEW, OLD = "new", "old"
LONG_MS = 60_000


def target(name):
    return control_pb2.Announcement(id=name, kind=control_pb2.HOLDER_AGENT)


def report(name, manifest=OLD, **fields):
    values = {
        "phase": control_pb2.PHASE_SERVING,
        "staged_manifest": NEW,
        **fields,
    }
    return control_pb2.TargetReport(id=name, manifest=manifest, **values)


def unreachable(name, manifest="", held_up_ms=LONG_MS):
    return report(
        name,
        manifest,
        phase=control_pb2.PHASE_ACTIVATING,
        held_up_by=control_pb2.HELD_UP_TARGET_UNREACHABLE,
        held_up_ms=held_up_ms,
    )


@pytest.fixture
def wave():
    """Returns a function that chooses the next wave for reports.

    Targets in `assigned` are assigned the new version already.
    """

    def wave(reports, assigned=(), floor=1, max_out=1):
        deployment = records_pb2.Deployment(
            name="d", manifest=NEW, floor=floor, max_out=max_out
        )
        assignments = {
            name: control_pb2.Assignment(target=name, manifest=NEW)
            for name in assigned
        }
        targets = [target(r.id) for r in reports]
        return next_wave(
            deployment, targets, assignments, {r.id: r for r in reports}
        )

    return wave


def target_ids(wave):
    return [target.id for target in wave.targets]


def test_an_unreachable_target_does_not_delay_the_others(wave):
    reports = [unreachable("a"), report("b"), report("c")]
    assert target_ids(wave(reports, assigned=["a"])) == ["b"]


def test_a_target_unreachable_for_a_moment_is_waited_for(wave):
    reports = [unreachable("a", held_up_ms=500), report("b"), report("c")]
    assert target_ids(wave(reports, assigned=["a"])) == []


def test_an_unreachable_target_does_not_count_for_the_floor(wave):
    # The target still admits requests, but none can reach it.
    reports = [unreachable("a", OLD), report("b"), report("c")]
    assert target_ids(wave(reports, assigned=["a"], floor=2)) == []


def test_a_target_that_is_loading_delays_the_others(wave):
    loading = report(
        "a",
        "",
        phase=control_pb2.PHASE_ACTIVATING,
        held_up_by=control_pb2.HELD_UP_LOAD_UNENDED,
        held_up_ms=LONG_MS,
    )
    reports = [loading, report("b"), report("c")]
    assert target_ids(wave(reports, assigned=["a"])) == []


def test_a_wave_lists_what_delays_its_targets(wave):
    reports = [unreachable("a", held_up_ms=500), report("b"), report("c")]
    assert wave(reports, assigned=["a"]).held_up_by_target == {
        "a": control_pb2.HELD_UP_TARGET_UNREACHABLE
    }


def test_a_completed_rollout_waits_for_nothing(wave):
    reports = [report("a", NEW), report("b", NEW)]
    chosen = wave(reports, assigned=["a", "b"])
    assert (target_ids(chosen), chosen.held_up_by_target) == ([], {})


def test_at_most_max_out_targets_change_at_once(wave):
    reports = [report("a", NEW), report("b"), report("c"), report("d")]
    chosen = wave(reports, assigned=["a"], max_out=2)
    assert target_ids(chosen) == ["b", "c"]


def test_a_single_target_is_tried_until_one_serves(wave):
    reports = [report("a"), report("b"), report("c")]
    assert target_ids(wave(reports, max_out=3)) == ["a"]
