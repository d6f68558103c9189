"""Verdicts on requests, from reports of crashes in any order."""

import asyncio
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from damaskcroft._generated import quarantine_pb2
from damaskcroft.quarantine import CrashRegistry, RecentAnswers, fingerprint
from damaskcroft.quarantine._crash_registry import _MAX_STARTS
from damaskcroft.quarantine.tests.crash_simulation import CrashSimulation
from damaskcroft.standins.virtual_time import VirtualTimeLoop

_HOUR_S = 3600.0


def crash(start, *suspects, cleared=(), age_ms=0, chain=9, answered=False):
    """A crash under some requests, by default the last of a long sequence."""
    return quarantine_pb2.TargetCrash(
        start_id=start,
        suspects=[
            quarantine_pb2.Suspect(
                fingerprint=suspect, chain=chain, answered=answered
            )
            for suspect in suspects
        ],
        cleared=cleared,
        age_ms=age_ms,
    )


@pytest.fixture
def registry():
    return CrashRegistry()


@pytest.fixture
def registry_with_quarantine(loop, registry):
    """A registry in which three targets have crashed under b"bad"."""

    async def scenario():
        for n in range(3):
            registry.merge(crash(f"t{n}", b"bad"))
            await asyncio.sleep(1)

    loop.run(scenario())
    return registry


def quarantined_fingerprints(registry):
    return {each.fingerprint for each in registry.quarantined()}


def test_repeated_reports_of_one_crash_count_once(loop, registry):
    async def scenario():
        for _ in range(5):
            registry.merge(crash("t0", b"bad"))
        registry.merge(crash("t1", b"bad"))
        assert registry.is_suspect(b"bad")
        assert not registry.quarantined_s(b"bad")
        registry.merge(crash("t2", b"bad"))
        assert registry.quarantined_s(b"bad") > 60

    loop.run(scenario())


def test_crashes_seen_by_different_entries_are_merged(loop):
    async def scenario():
        first_registry, second_registry = CrashRegistry(), CrashRegistry()
        first_registry.merge(crash("t0", b"bad"))
        first_registry.merge(crash("t1", b"bad"))
        second_registry.merge(crash("t2", b"bad", b"beside"))
        for report in list(second_registry.snapshot()):
            first_registry.merge(report)
        for report in list(first_registry.snapshot()):
            second_registry.merge(report)
        assert (
            quarantined_fingerprints(first_registry)
            == quarantined_fingerprints(second_registry)
            == {b"bad"}
        )

    loop.run(scenario())


def test_requests_beside_a_quarantined_one_are_not_quarantined(loop, registry):
    async def scenario():
        for n, suspects in enumerate(("a b", "a", "c")):
            registry.merge(crash(f"t{n}", b"bad", *suspects.encode().split()))
            await asyncio.sleep(0.1)
        registry.merge(crash("t3", b"a"))
        assert quarantined_fingerprints(registry) == {b"bad"}
        # Another request explains two of its three crashes.
        assert not registry.quarantined_s(b"a")

    loop.run(scenario())


def test_an_explained_crash_counts_with_two_sole_suspect_crashes(
    loop, registry
):
    # Guards against a request that goes on crashing targets because its earlier
    # crashes, beside other requests, are explained by those.
    async def scenario():
        for n in range(3):
            registry.merge(
                crash(f"t{n}", b"bad", *([b"worse"] if n == 1 else []))
            )
            await asyncio.sleep(0.1)
        registry.merge(crash("t3", b"worse"))
        await asyncio.sleep(0.1)
        assert quarantined_fingerprints(registry) == {b"bad"}
        registry.merge(crash("t4", b"worse"))
        assert quarantined_fingerprints(registry) == {b"bad", b"worse"}

    loop.run(scenario())


@pytest.mark.parametrize(("crashed", "expected"), [(2, False), (3, True)])
def test_few_targets_are_left_if_more_crashed_recently(
    loop, registry, crashed, expected
):
    # Guards against losing the last targets of a service to one suspect after
    # another.
    async def scenario():
        for n in range(crashed):
            report = crash(f"t{n}", b"bad")
            report.service = "s"
            registry.merge(report)
        starts = [f"t{n}" for n in range(crashed + 2)]
        assert registry.few_left("s", starts) is expected
        assert not registry.few_left("another", starts)
        await asyncio.sleep(4)
        assert not registry.few_left("s", starts)

    loop.run(scenario())


def test_an_answer_clears_and_later_crashes_count_from_zero(loop, registry):
    async def scenario():
        for n in range(2):
            registry.merge(crash(f"t{n}", b"bad"))
        reports = registry.clear(b"bad")
        assert not registry.is_suspect(b"bad")
        other = CrashRegistry()
        for report in reports:
            other.merge(report)
        other.merge(crash("t2", b"bad"))
        assert other.is_suspect(b"bad")
        assert quarantined_fingerprints(other) == set()

    loop.run(scenario())


def test_a_late_report_does_not_undo_a_clearance(loop, registry):
    async def scenario():
        late = crash("t0", b"bad")
        registry.merge(late)
        registry.clear(b"bad")
        registry.merge(late)
        assert not registry.is_suspect(b"bad")

    loop.run(scenario())


@given(st.permutations(range(8)))
def test_the_order_of_reports_does_not_matter(order):
    async def scenario():
        reports = [crash(f"t{n}", b"bad", b"x%d" % n) for n in range(4)]
        reports += [crash(f"t{n}", b"bad", cleared=[b"x0"]) for n in range(4)]
        registry, shuffled_registry = CrashRegistry(), CrashRegistry()
        for report in reports:
            registry.merge(report)
        for n in order:
            shuffled_registry.merge(reports[n])
        assert (
            quarantined_fingerprints(registry)
            == quarantined_fingerprints(shuffled_registry)
            == {b"bad"}
        )
        for n in range(4):
            name = b"x%d" % n
            assert registry.is_suspect(name) == shuffled_registry.is_suspect(
                name
            )

    loop = VirtualTimeLoop()
    loop.run(scenario())
    loop.close()


def test_a_crash_after_a_quarantine_extends_it(loop, registry_with_quarantine):
    async def scenario():
        registry = registry_with_quarantine
        retries = 0
        ends_at = asyncio.get_running_loop().time() + 24 * _HOUR_S
        while asyncio.get_running_loop().time() < ends_at:
            if not registry.quarantined_s(b"bad"):
                retries += 1
                registry.merge(crash(f"again{retries}", b"bad"))
                assert registry.quarantined_s(b"bad")
            await asyncio.sleep(60)
        assert retries == 3

    loop.run(scenario())


def test_a_crash_without_quarantine_expires(loop, registry_with_quarantine):
    async def scenario():
        registry = registry_with_quarantine
        registry.merge(crash("other", b"beside"))
        await asyncio.sleep(2 * _HOUR_S)
        registry.evict_expired()
        assert not registry.is_suspect(b"beside")
        assert {report.start_id for report in registry.snapshot()} == {
            "t0",
            "t1",
            "t2",
        }

    loop.run(scenario())


def test_an_operator_lifts_a_quarantine(loop, registry_with_quarantine):
    async def scenario():
        registry_with_quarantine.clear(b"bad")
        assert quarantined_fingerprints(registry_with_quarantine) == set()

    loop.run(scenario())


def test_the_registry_is_bounded_and_quarantines_stay(
    loop, registry_with_quarantine
):
    async def scenario():
        registry = registry_with_quarantine
        for n in range(2 * _MAX_STARTS):
            registry.merge(crash(f"s{n}", b"other %d" % n))
            await asyncio.sleep(1)
        assert len(list(registry.snapshot())) == _MAX_STARTS
        registry.merge(crash("again", b"bad"))
        assert quarantined_fingerprints(registry) == {b"bad"}

    loop.run(scenario())


def test_the_age_in_a_report_dates_the_crash(loop, registry):
    async def scenario():
        for n in range(3):
            registry.merge(crash(f"t{n}", b"bad", age_ms=300_000))
        assert 200 < registry.quarantined_s(b"bad") <= 300

    loop.run(scenario())


def test_customers_do_not_share_a_fingerprint():
    def fingerprint_of(customer, body=b"x", path=b"/a"):
        return fingerprint(customer, "h", b"POST", path, body)

    assert fingerprint_of("a") == fingerprint_of("a")
    assert (
        len(
            {
                fingerprint_of("a"),
                fingerprint_of("b"),
                fingerprint_of("a", b"y"),
                fingerprint_of("a", path=b"/b"),
            }
        )
        == 4
    )
    assert fingerprint("a", "h", b"P", b"/ab", b"") != fingerprint(
        "a", "h", b"P", b"/a", b"b"
    )


@pytest.mark.parametrize("chain", [1, 2])
def test_a_request_on_all_targets_of_a_mass_crash_is_not_quarantined(
    loop, registry, chain
):
    async def scenario():
        for n in range(10):
            registry.merge(crash(f"t{n}", b"popular", chain=chain))
        assert registry.chain(b"popular") == chain
        assert quarantined_fingerprints(registry) == set()

    loop.run(scenario())


def test_a_longer_chain_reported_later_counts(loop, registry):
    async def scenario():
        for chain in (1, 3):
            for n in range(3):
                registry.merge(crash(f"t{n}", b"bad", chain=chain))
        assert quarantined_fingerprints(registry) == {b"bad"}

    loop.run(scenario())


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("crashes_s", [0.0, 0.2])
def test_only_the_request_that_crashes_targets_is_quarantined(
    loop, crashes_s, seed
):
    """Forty innocent requests a second at ten targets, repeated when lost.

    One request crashes its targets; in half of the runs a target also crashes
    by itself every five seconds on average.
    """

    async def scenario():
        registry = CrashRegistry()
        simulation = CrashSimulation(registry, seed, 40, crashes_s)
        await simulation.run(30, asyncio.sleep, poison_every_s=0.4)
        assert simulation.poison_crashes <= 4
        assert quarantined_fingerprints(registry) == {b"poison"}
        assert simulation.falsely_quarantined == set()
        assert simulation.served > 1000

    loop.run(scenario())


@pytest.mark.parametrize("seed", range(5))
def test_random_crashes_quarantine_no_request(loop, seed):
    """Guards against quarantines of requests that random crashes have hit.

    Each of ten targets crashes by itself every ten seconds on average.
    """

    async def scenario():
        simulation = CrashSimulation(CrashRegistry(), seed, 40, 1.0)
        await simulation.run(40, asyncio.sleep)
        assert simulation.lost > 100
        assert simulation.falsely_quarantined == set()

    loop.run(scenario())


@pytest.mark.parametrize("seed", range(10))
def test_a_frequent_request_is_not_quarantined_beside_the_cause(loop, seed):
    """Guards against a false quarantine of a request that many callers send.

    Three targets receive the same request twenty times a second. It was refused
    for ten minutes when it had been lost three times in sequence, by chance or
    beside another request that crashed the targets.
    """

    async def scenario():
        registry = CrashRegistry()
        simulation = CrashSimulation(
            registry, seed, 10, 0.7, targets=3, shared_s=20
        )
        await simulation.run(
            40, asyncio.sleep, poison_every_s=0.3, crashes_after_s=5
        )
        assert b"shared" not in simulation.falsely_quarantined
        assert quarantined_fingerprints(registry) >= {b"poison"}

    loop.run(scenario())


def test_a_recently_answered_request_needs_more_crashes(loop, registry):
    async def scenario():
        for n in range(1, 8):
            registry.merge(crash(f"t{n}", b"often", chain=n, answered=n == 1))
            assert quarantined_fingerprints(registry) == set()
        registry.merge(crash("t8", b"often", chain=8))
        assert quarantined_fingerprints(registry) == {b"often"}

    loop.run(scenario())


def test_recent_answers_expire_and_are_bounded(loop):
    async def scenario():
        answers = RecentAnswers()
        for n in range(10_000):
            answers.record(b"%d" % n)
        assert not answers.contains(b"0")
        assert answers.contains(b"9999")
        await asyncio.sleep(_HOUR_S)
        assert not answers.contains(b"9999")

    loop.run(scenario())


def test_processes_end_a_quarantine_at_different_times(loop):
    async def scenario():
        registries = [
            CrashRegistry(random.Random(n).random()) for n in range(5)
        ]
        for registry in registries:
            for n in range(3):
                registry.merge(crash(f"t{n}", b"bad"))
        end_times = {
            round(registry.quarantined_s(b"bad")) for registry in registries
        }
        assert len(end_times) == 5

    loop.run(scenario())


def test_verdicts_are_computed_once_for_a_batch_of_reports(loop, registry):
    async def scenario():
        changes = []
        registry.add_listener(lambda: changes.append(registry.changes))
        news = registry.merge_all([crash(f"t{n}", b"bad") for n in range(3)])
        assert len(news) == 3
        assert changes == [1]
        assert registry.merge_all(news) == []

    loop.run(scenario())


def test_alternating_requests_are_quarantined_at_their_third_crash(
    loop, registry
):
    async def scenario():
        bad = [b"bad %d" % n for n in range(6)]
        for chain in (1, 2, 3):
            for n, name in enumerate(bad):
                registry.merge(
                    crash(f"t{n}-{chain}", name, b"beside", chain=chain)
                )
                registry.clear(b"beside")
                await asyncio.sleep(0.2)
        assert quarantined_fingerprints(registry) == set(bad)

    loop.run(scenario())


def test_random_crashes_raise_the_required_number(loop, registry):
    """Guards against a false quarantine where many targets crash by themselves.

    A third crash in sequence is weak evidence there.
    """

    async def scenario():
        for n in range(12):
            registry.merge(crash(f"other{n}", b"o%d" % n, chain=1))
            if n in (3, 7, 11):
                registry.merge(crash(f"t{n}", b"unlucky", chain=n // 4 + 1))
            await asyncio.sleep(0.2)
        assert quarantined_fingerprints(registry) == set()

    loop.run(scenario())
