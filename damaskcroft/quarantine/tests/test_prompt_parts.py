"""Verdicts on parts of prompts that different requests share."""

import asyncio
import itertools

import pytest

from damaskcroft._generated import quarantine_pb2
from damaskcroft.quarantine import (
    CrashRegistry,
    PartPattern,
    RequestTraits,
    SerialCopies,
    part_key,
)
from damaskcroft.quarantine._crash_registry import _MAX_KEYS
from damaskcroft.quarantine.tests.part_simulation import (
    CRASHING_PART,
    PartSimulation,
)

_CONTACT_S = 3.0
_MAX_LATE_ARRIVALS = 3
_MINUTE_S = 60.0


def crash(start, requests, chain=9, answered=(), service="", age_ms=0):
    """A crash under some requests.

    Args:
        start: the start that crashed.
        requests: by fingerprint, the customer and the parts of each request.
        chain: chain of all requests and parts.
        answered: requests and parts that had been answered shortly before.
        service: service of the target.
        age_ms: age of the crash.
    """
    parts = sorted({part for _, parts in requests.values() for part in parts})
    return quarantine_pb2.TargetCrash(
        start_id=start,
        suspects=[
            quarantine_pb2.Suspect(
                fingerprint=name,
                chain=chain,
                customer=customer,
                parts=[parts.index(part) for part in held],
                answered=name in answered,
            )
            for name, (customer, held) in requests.items()
        ],
        parts=[
            quarantine_pb2.Suspect(
                fingerprint=part, chain=chain, answered=part in answered
            )
            for part in parts
        ],
        service=service,
        age_ms=age_ms,
    )


def bad(number, parts=(b"bad",), customer="c"):
    """A request, by its number, as `crash` takes it."""
    return {b"bad %d" % number: (customer, list(parts))}


def merge_crashes(registry, numbers, **kwargs):
    """Merges crashes in sequence, each under another request."""
    for number in numbers:
        registry.merge(
            crash(f"t{number}", bad(number, **kwargs), chain=number + 1)
        )


def refuses(registry, *parts, customer="c"):
    traits = RequestTraits(customer, frozenset(parts))
    return registry.refused_pattern(traits) is not None


def pattern(*parts, customer="c"):
    return PartPattern(frozenset(parts), customer)


def patterns(registry):
    return {each.pattern for each in registry.quarantined() if each.pattern}


@pytest.fixture
def registry(loop):
    del loop  # The registry reads its clock.
    return CrashRegistry()


@pytest.fixture
def play(loop):
    """Runs a function on the virtual clock."""

    def run(scenario):
        async def within():
            scenario()

        loop.run(within())

    return run


def test_different_requests_with_one_part_are_refused_after_three(
    play, registry
):
    def scenario():
        merge_crashes(registry, range(2))
        assert not refuses(registry, b"bad")
        merge_crashes(registry, [2])
        assert refuses(registry, b"bad", b"other")
        assert not refuses(registry, b"other")
        assert not refuses(registry)

    play(scenario)


def test_one_request_that_crashes_targets_is_no_evidence_against_its_parts(
    play, registry
):
    def scenario():
        for n in range(6):
            registry.merge(crash(f"t{n}", bad(0), chain=n + 1))
        assert registry.quarantined_s(b"bad 0") > 0
        assert not refuses(registry, b"bad")

    play(scenario)


def test_requests_of_one_customer_lead_to_no_refusal_of_anothers(
    play, registry
):
    def scenario():
        merge_crashes(registry, range(3))
        assert refuses(registry, b"bad", customer="c")
        assert not refuses(registry, b"bad", customer="d")
        registry.merge(crash("t3", bad(3, customer="d")))
        assert refuses(registry, b"bad", customer="d")
        assert refuses(registry, b"bad", customer="e")

    play(scenario)


def test_a_customer_whose_request_was_lost_beside_others_is_served(
    play, registry
):
    def scenario():
        for n in range(3):
            beside = {b"beside": ("d", [b"bad"])} if n == 0 else {}
            registry.merge(crash(f"t{n}", bad(n) | beside, chain=n + 1))
        assert refuses(registry, b"bad", customer="c")
        assert not refuses(registry, b"bad", customer="d")

    play(scenario)


def test_parts_that_occur_together_are_refused_only_together(play, registry):
    def scenario():
        merge_crashes(registry, range(3), parts=(b"bad", b"new"))
        assert refuses(registry, b"bad", b"new", b"other")
        assert not refuses(registry, b"new")
        assert not refuses(registry, b"bad")
        registry.merge(crash("t3", bad(3)))
        assert refuses(registry, b"bad")
        assert not refuses(registry, b"new")

    play(scenario)


def test_an_innocent_part_beside_the_crashing_one_is_not_refused(
    play, registry
):
    def scenario():
        for n in range(4):
            sound = {b"sound %d" % n: ("c", [b"new"])}
            requests = bad(n, parts=(b"bad", b"new")) | sound
            registry.merge(crash(f"t{n}", requests, chain=n + 1))
        assert patterns(registry) == {pattern(b"bad", b"new")}

    play(scenario)


def test_parts_that_cannot_be_told_apart_need_more_crashes(play, registry):
    def scenario():
        for n in range(5):
            sound = {b"sound %d" % n: ("c", [b"new"])}
            assert patterns(registry) == set()
            registry.merge(crash(f"t{n}", bad(n) | sound, chain=n + 1))
        assert patterns(registry) == {pattern(b"bad"), pattern(b"new")}

    play(scenario)


def test_an_answer_clears_a_part_and_ends_its_quarantine(play, registry):
    def scenario():
        merge_crashes(registry, range(3), parts=(b"bad", b"sound"))
        registry.clear_all([b"sound"])
        assert patterns(registry) == {pattern(b"bad")}
        changed = registry.clear_all([b"bad"])
        assert len(changed) == 3
        assert patterns(registry) == set()
        assert registry.clear_all([b"bad"]) == []

    play(scenario)


def test_an_answer_of_another_service_does_not_clear_a_part(play, registry):
    def scenario():
        for n in range(3):
            registry.merge(crash(f"t{n}", bad(n), service="s"))
        registry.clear_all([b"bad"], "other")
        assert refuses(registry, b"bad")

    play(scenario)


def test_crashes_of_all_targets_at_once_refuse_no_part(play, registry):
    # Guards against a power failure that is counted against what all run.
    def scenario():
        for n in range(20):
            registry.merge(crash(f"t{n}", bad(n), chain=1))
        assert patterns(registry) == set()

    play(scenario)


def test_a_part_that_was_answered_shortly_before_needs_more_crashes(
    play, registry
):
    def scenario():
        for n in range(7):
            registry.merge(
                crash(f"t{n}", bad(n), chain=n + 1, answered=[b"bad"])
            )
        assert patterns(registry) == set()
        registry.merge(crash("t7", bad(7), chain=8))
        assert patterns(registry) == {pattern(b"bad")}

    play(scenario)


def test_a_request_lost_beside_a_crashing_part_is_free_once_that_is_found(
    play, registry
):
    # Guards against an innocent request that is taken for the cause first, so
    # that crashes no longer count against the part.
    def scenario():
        innocent = {b"innocent": ("c", [b"other"])}
        for n, request in enumerate((0, 0, 1)):
            registry.merge(crash(f"t{n}", bad(request) | innocent, chain=n + 1))
        assert registry.quarantined_s(b"innocent") > 0
        registry.merge(crash("t3", bad(2), chain=4))
        assert refuses(registry, b"bad")
        assert registry.quarantined_s(b"innocent") == 0

    play(scenario)


def test_a_part_beside_several_crashing_requests_is_not_refused(play, registry):
    # Guards against a verdict on a part whose requests were lost beside others
    # that crash targets by themselves.
    def scenario():
        for n, culprit in itertools.product(range(3), range(3)):
            requests = {
                b"culprit %d" % culprit: ("c", [b"theirs %d" % culprit]),
                b"sound %d-%d" % (n, culprit): ("c", [b"new"]),
            }
            if culprit != n:
                del requests[b"sound %d-%d" % (n, culprit)]
            start = f"t{n}-{culprit}"
            registry.merge(crash(start, requests, chain=n + 1))
        assert patterns(registry) == set()

    play(scenario)


def test_a_part_and_a_request_that_crash_targets_are_both_refused(
    loop, registry
):
    async def scenario():
        culprit = {b"culprit": ("d", [b"theirs"])}
        for n in range(9):
            requests = (bad(n), culprit, bad(n) | culprit)[n % 3]
            registry.merge(crash(f"t{n}", requests, chain=n + 1))
            await asyncio.sleep(1)
        assert patterns(registry) == {pattern(b"bad")}
        assert registry.quarantined_s(b"culprit") > 0

    loop.run(scenario())


def test_the_order_of_reports_does_not_matter(play):
    def scenario():
        reports = [
            crash(f"t{n}", bad(n, parts=(b"bad", b"new")), n + 1, age_ms=9 - n)
            for n in range(3)
        ]
        cleared = quarantine_pb2.TargetCrash(start_id="t1", cleared=[b"new"])
        for order in itertools.permutations([*reports, cleared]):
            registry = CrashRegistry()
            registry.merge_all(order)
            assert patterns(registry) == {pattern(b"bad")}

    play(scenario)


def test_a_snapshot_carries_the_verdict(play, registry):
    def scenario():
        merge_crashes(registry, range(3), parts=(b"bad", b"new"))
        other = CrashRegistry()
        other.merge_all(registry.snapshot())
        assert patterns(other) == patterns(registry)
        assert other.merge_all(registry.snapshot()) == []

    play(scenario)


def test_parts_are_merged_into_reports_of_processes_that_know_none(
    play, registry
):
    def scenario():
        for n in range(3):
            report = crash(f"t{n}", bad(n), chain=n + 1)
            without_parts = quarantine_pb2.TargetCrash()
            without_parts.CopyFrom(report)
            del without_parts.parts[:]
            del without_parts.suspects[0].parts[:]
            registry.merge(without_parts)
            assert registry.merge(report)
        assert patterns(registry) == {pattern(b"bad")}

    play(scenario)


def test_malformed_positions_of_parts_are_ignored(play, registry):
    def scenario():
        report = crash("t", bad(0))
        report.suspects[0].parts.append(7)
        registry.merge(report)
        assert registry.is_suspect(b"bad")

    play(scenario)


def test_the_memory_of_crashes_with_long_prompts_is_bounded(play, registry):
    def scenario():
        parts = [b"part %d" % n for n in range(32)]
        for n in range(400):
            requests = {
                b"r %d-%d" % (n, k): ("c", [b"%d-%d" % (n, k), *parts])
                for k in range(16)
            }
            registry.merge(crash(f"t{n}", requests, chain=1))
        counts = [
            len(s.parts) + 1
            for report in registry.snapshot()
            for s in report.suspects
        ]
        assert sum(counts) <= _MAX_KEYS

    play(scenario)


def test_a_quarantine_of_a_part_ends_and_lasts_longer_after_a_retry(
    loop, registry
):
    async def scenario():
        merge_crashes(registry, range(3))
        (first,) = registry.quarantined()
        assert first.left_s >= _MINUTE_S
        await asyncio.sleep(first.left_s + 1)
        assert not refuses(registry, b"bad")
        registry.merge(crash("t3", bad(3)))
        (second,) = registry.quarantined()
        assert second.left_s > 3 * first.left_s

    loop.run(scenario())


def test_an_operator_lifts_all_parts_that_are_refused_together(play, registry):
    def scenario():
        merge_crashes(registry, range(3), parts=(b"bad", b"new"))
        assert len(registry.lift(b"new")) == 3
        assert patterns(registry) == set()

    play(scenario)


def test_a_part_is_a_new_suspect_until_it_has_been_answered(play, registry):
    def scenario():
        registry.merge(crash("t0", bad(0)))
        assert registry.is_new_suspect(b"bad")
        registry.merge(crash("t1", bad(1), answered=[b"bad"]))
        assert not registry.is_new_suspect(b"bad")
        assert not registry.is_new_suspect(b"unknown")

    play(scenario)


def test_requests_with_a_new_suspect_part_run_one_by_one(loop, registry):
    async def scenario():
        registry.merge(crash("t0", bad(0)))
        copies = SerialCopies(registry)
        ended_at = []

        async def run():
            until = asyncio.get_running_loop().time() + _MINUTE_S
            async with copies.one_with_part_at_a_time(
                b"bad", until, lambda: refuses(registry, b"bad")
            ):
                await asyncio.sleep(0.5)
                ended_at.append(asyncio.get_running_loop().time())

        async with asyncio.TaskGroup() as group:
            for _ in range(3):
                group.create_task(run())
            await asyncio.sleep(0.7)
            merge_crashes(registry, range(1, 3))
        assert ended_at == pytest.approx([0.5, 1.0, 1.2])

    loop.run(scenario())


def test_a_copy_that_waits_is_refused_once_its_part_is(loop, registry):
    # Guards against a request that waits for its turn although it is refused.
    async def scenario():
        merge_crashes(registry, range(2))
        copies = SerialCopies(registry)
        until = asyncio.get_running_loop().time() + _MINUTE_S

        def one_at_a_time():
            return copies.one_at_a_time(
                b"bad 0", until, is_refused=lambda: refuses(registry, b"bad")
            )

        async def wait_for_turn():
            async with one_at_a_time():
                return asyncio.get_running_loop().time()

        async with one_at_a_time():
            waiting = asyncio.create_task(wait_for_turn())
            await asyncio.sleep(1)
            merge_crashes(registry, [2])
            assert await waiting == 1.0

    loop.run(scenario())


def test_keys_of_parts_are_readable_unambiguous_and_bounded():
    assert part_key("svc", "m", "5c1e07a2") == b"svc/m/5c1e07a2"
    assert part_key("a/b", "c", "d") != part_key("a", "b/c", "d")
    assert part_key("s", "m", "a") != part_key("s", "n", "a")
    assert len(part_key("s", "m", "f" * 4000)) < 100


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("bad_subject", [False, True])
@pytest.mark.parametrize("crashes_s", [0.0, 0.2])
@pytest.mark.parametrize("bad_every_s", [0.1, 0.25, 0.5])
def test_a_crashing_part_is_refused_everywhere_and_no_other_one(
    loop, bad_every_s, crashes_s, bad_subject, seed
):
    """Forty sound requests a second at ten targets, repeated when lost.

    Half of them are about a subject that is first asked for when the requests
    with the crashing part begin. In half of the runs a target also crashes by
    itself every five seconds on average.
    """

    async def scenario():
        simulation = PartSimulation(
            CrashRegistry(),
            seed,
            40,
            crashes_s,
            bad_subject=bad_subject,
            customers=1 + seed % 2 * 2,
        )
        await simulation.run(20, asyncio.sleep, bad_every_s=bad_every_s)
        return simulation

    simulation = loop.run(scenario())
    # The bound holds from the fifth crash on, if there are as many.
    late = [
        arrived_at
        for fifth_at in sorted(simulation.bad_crashes)[4:5]
        for arrived_at in simulation.bad_arrivals
        if arrived_at > fifth_at + _CONTACT_S
    ]
    assert len(late) <= _MAX_LATE_ARRIVALS
    assert simulation.patterns_at_end
    assert all(CRASHING_PART in p.parts for p in simulation.patterns_at_end)


@pytest.mark.parametrize("seed", range(4))
def test_random_crashes_refuse_no_part(loop, seed):
    """Each of ten targets crashes by itself every ten seconds on average."""

    async def scenario():
        simulation = PartSimulation(CrashRegistry(), seed, 40, 1.0)
        await simulation.run(40, asyncio.sleep, bad_every_s=0)
        assert simulation.lost > 100
        assert simulation.wrong_patterns == set()

    loop.run(scenario())
