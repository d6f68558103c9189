"""Which targets are next, and what a target that can't be reached holds up.

What happened: a target's process could not be reached while its agent could.
Control logged `assigned target=drafting-0 version=1` and then nothing for a
minute; the rollout stood still with `max_out 1`, and nothing said why.
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


def out_of_reach(name, manifest="", held_up_ms=LONG_MS):
    return report(
        name,
        manifest,
        phase=control_pb2.PHASE_ACTIVATING,
        held_up_by=control_pb2.HELD_UP_TARGET_UNREACHABLE,
        held_up_ms=held_up_ms,
    )


@pytest.fixture
def wave():
    """The next wave for reports; some targets are assigned already."""

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


def names(wave):
    return [target.id for target in wave.targets]


def test_a_target_out_of_reach_does_not_hold_up_the_others(wave):
    reports = [out_of_reach("a"), report("b"), report("c")]
    assert names(wave(reports, assigned=["a"])) == ["b"]


def test_a_target_out_of_reach_for_a_moment_is_waited_for(wave):
    reports = [out_of_reach("a", held_up_ms=500), report("b"), report("c")]
    assert names(wave(reports, assigned=["a"])) == []


def test_a_target_out_of_reach_does_not_count_for_the_floor(wave):
    # Its gate is open still, but no request can pass.
    reports = [out_of_reach("a", OLD), report("b"), report("c")]
    assert names(wave(reports, assigned=["a"], floor=2)) == []


def test_a_target_that_loads_still_holds_the_others_back(wave):
    loading = report(
        "a",
        "",
        phase=control_pb2.PHASE_ACTIVATING,
        held_up_by=control_pb2.HELD_UP_LOAD_UNENDED,
        held_up_ms=LONG_MS,
    )
    reports = [loading, report("b"), report("c")]
    assert names(wave(reports, assigned=["a"])) == []


def test_a_wave_names_what_it_waits_for(wave):
    reports = [out_of_reach("a", held_up_ms=500), report("b"), report("c")]
    assert wave(reports, assigned=["a"]).waits_for == {
        "a": control_pb2.HELD_UP_TARGET_UNREACHABLE
    }


def test_a_rollout_that_has_ended_waits_for_nothing(wave):
    reports = [report("a", NEW), report("b", NEW)]
    found = wave(reports, assigned=["a", "b"])
    assert (names(found), found.waits_for) == ([], {})


def test_at_most_as_many_as_allowed_are_out(wave):
    reports = [report("a", NEW), report("b"), report("c"), report("d")]
    found = wave(reports, assigned=["a"], max_out=2)
    assert names(found) == ["b", "c"]


def test_until_one_serves_a_single_target_is_tried(wave):
    reports = [report("a"), report("b"), report("c")]
    assert names(wave(reports, max_out=3)) == ["a"]
