import collections

import pytest
from hypothesis import given
from hypothesis import strategies as st

from damaskcroft.weights import Participant, make_planner

CHUNKS = 120


def participants(count, domains):
    return [
        Participant(f"agent-{n:03}", f"addr-{n}", f"domain-{n % domains}")
        for n in range(count)
    ]


def parents(name, members, index, suspects_of=None):
    found = {}
    for member in members:
        planner = make_planner(name, member.id, members)
        suspects = (suspects_of or {}).get(member.id, frozenset())
        found[member.id] = planner.parent(index, suspects)
    return found


@pytest.mark.parametrize("name", ["chain", "rendezvous", "latin"])
@given(
    count=st.integers(1, 40),
    domains=st.integers(1, 5),
    index=st.integers(0, 500),
    data=st.data(),
)
def test_no_circle_of_waiting_whatever_agents_suspect(
    name, count, domains, index, data
):
    members = participants(count, domains)
    ids = [member.id for member in members]
    suspects_of = {
        agent_id: data.draw(st.frozensets(st.sampled_from(ids), max_size=3))
        - {agent_id}
        for agent_id in ids
    }
    found = parents(name, members, index, suspects_of)
    for start in ids:
        seen, at = set(), start
        while at is not None:
            assert at not in seen
            seen.add(at)
            parent = found[at]
            at = parent.id if parent else None


@pytest.mark.parametrize("name", ["chain", "rendezvous", "latin"])
def test_each_chunk_has_one_outside_reader(name):
    members = participants(20, 3)
    for index in range(CHUNKS):
        found = parents(name, members, index)
        assert sum(parent is None for parent in found.values()) == 1


def test_chunks_cross_between_failure_domains_as_rarely_as_possible():
    members = participants(30, 3)
    domain_by_id = {m.id: m.failure_domain for m in members}
    for index in range(CHUNKS):
        crossings = sum(
            parent is not None
            and parent.failure_domain != domain_by_id[agent_id]
            for agent_id, parent in parents("latin", members, index).items()
        )
        assert crossings == 2


def test_uploads_are_even_over_few_chunks():
    """Latin squares keep uploads within 1.15 copies; hashing does not."""
    members = participants(30, 3)
    worst = {}
    for name in ("latin", "rendezvous"):
        uploads = collections.Counter()
        for index in range(64):
            for parent in parents(name, members, index).values():
                if parent is not None:
                    uploads[parent.id] += 1
        worst[name] = max(uploads.values()) / 64
    assert worst["latin"] < 1.15 < worst["rendezvous"]
