"""A cluster of entries, agents and control in virtual time."""

import pytest

from damaskcroft.entry.tests.fakes import Cluster


@pytest.fixture
def cluster(loop):
    cluster = Cluster(seed=1)
    loop.run(cluster.start())
    yield cluster
    loop.run(cluster.stop())
