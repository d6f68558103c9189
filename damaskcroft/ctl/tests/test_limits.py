"""Listing of rate limits for operators."""

from damaskcroft._generated import limits_pb2
from damaskcroft.ctl._views import limits_table


def test_each_limited_target_is_one_row():
    reply = limits_pb2.LimitsReply()
    reply.limits.add(start_id="b@2", rate_s=1.8, revision=3)
    reply.limits.add(start_id="a@1", rate_s=0, revision=1)
    lines = limits_table(reply).splitlines()
    assert [line.split() for line in lines] == [
        ["TARGET", "REQUESTS_S"], ["a@1", "0"], ["b@2", "1.8"],
    ]  # fmt: skip
