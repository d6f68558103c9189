import pytest

from damaskcroft._generated import control_pb2
from damaskcroft.claims import ClaimTable

RETENTION_MS = 1000


@pytest.fixture
def table():
    return ClaimTable(retention_ms=RETENTION_MS, max_per_customer=2)


def claim(table, index, key="k", time_ms=0, **fields):
    request = control_pb2.ClaimRequest(
        customer="c", key=key, body_digest=b"d", **fields
    )
    return table.claim(index, time_ms, request).outcome


def settle(table, run_number, result, time_ms=0, key="k"):
    return table.settle(
        time_ms,
        control_pb2.SettleRequest(
            customer="c", key=key, run_number=run_number, result=result
        ),
    )


def test_a_late_settlement_of_an_older_run_changes_nothing(table):
    claim(table, 1)
    settle(table, 1, control_pb2.RESULT_NOT_RUN)
    assert claim(table, 2) == control_pb2.CLAIM_GRANTED
    assert not settle(table, 1, control_pb2.RESULT_NOT_RUN)
    assert claim(table, 3) == control_pb2.CLAIM_IN_PROGRESS


def test_a_known_outcome_never_changes_but_an_unknown_one_may(table):
    claim(table, 1)
    settle(table, 1, control_pb2.RESULT_UNKNOWN)
    assert claim(table, 2) == control_pb2.CLAIM_UNKNOWN
    settle(table, 1, control_pb2.RESULT_DONE)
    settle(table, 1, control_pb2.RESULT_NOT_RUN)
    assert claim(table, 3) == control_pb2.CLAIM_KEPT


def test_a_replaced_run_cannot_be_replaced_again(table):
    claim(table, 1)
    moved = claim(table, 2, replaces_run=1)
    assert moved == control_pb2.CLAIM_GRANTED
    again = claim(table, 3, replaces_run=1)
    assert again == control_pb2.CLAIM_IN_PROGRESS


def test_a_customer_can_exhaust_only_its_own_claims(table):
    claim(table, 1, "a")
    claim(table, 2, "b")
    assert claim(table, 3, "c") == control_pb2.CLAIM_FULL
    other = control_pb2.ClaimRequest(customer="other", key="c")
    assert table.claim(4, 0, other).outcome == control_pb2.CLAIM_GRANTED


def test_settled_claims_expire_and_running_ones_do_not(table):
    claim(table, 1, "done")
    claim(table, 2, "running")
    settle(table, 1, control_pb2.RESULT_DONE, key="done")
    late_ms = RETENTION_MS + 1
    assert claim(table, 3, "new", late_ms) == control_pb2.CLAIM_GRANTED
    assert table.find("c", "done") is None
    still = claim(table, 4, "running", late_ms)
    assert still == control_pb2.CLAIM_IN_PROGRESS


def test_a_snapshot_restores_claims_and_counts(table):
    claim(table, 1, "a")
    settle(table, 1, control_pb2.RESULT_DONE, key="a")
    copy = ClaimTable(retention_ms=RETENTION_MS, max_per_customer=2)
    copy.restore(table.image())
    assert claim(copy, 2, "a") == control_pb2.CLAIM_KEPT
    claim(copy, 3, "b")
    assert claim(copy, 4, "c") == control_pb2.CLAIM_FULL
