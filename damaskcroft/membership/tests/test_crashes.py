"""Crash reports of one entry reach the others through the leader."""

import pytest

from damaskcroft._generated import control_pb2, quarantine_pb2
from damaskcroft.membership import LeaseLedger, Roster


def renewal(*starts):
    bad = quarantine_pb2.Suspect(fingerprint=b"bad", chain=9)
    return control_pb2.Renewal(
        crashes=[
            quarantine_pb2.TargetCrash(start_id=start, suspects=[bad])
            for start in starts
        ]
    )


@pytest.fixture
def ledger(loop):
    async def made():
        return LeaseLedger(3.0)

    return loop.run(made())


def test_crash_reports_of_two_entries_are_combined(loop, ledger):
    async def scenario():
        ledger.renew("e1", "a", renewal("t1", "t2"))
        before = ledger.sequence
        assert ledger.crashes_since(before) == []
        ledger.renew("e2", "b", renewal("t3"))
        roster = Roster()
        roster.apply(
            control_pb2.RosterDelta(crashes=ledger.crashes_since(before))
        )
        assert roster.crashes.quarantined_s(b"bad")

    loop.run(scenario())


def test_known_crashes_are_not_sent_again(loop, ledger):
    async def scenario():
        ledger.renew("e1", "a", renewal("t1"))
        before = ledger.sequence
        ledger.renew("e1", "a", renewal("t1"))
        assert ledger.crashes_since(before) == []

    loop.run(scenario())


def test_crashes_are_kept_in_a_new_term(loop, ledger):
    async def scenario():
        ledger.renew("e1", "a", renewal("t1", "t2", "t3"))
        ledger.lead(2)
        assert ledger.crashes.quarantined_s(b"bad")
        assert ledger.crashes_since(-1)

    loop.run(scenario())
