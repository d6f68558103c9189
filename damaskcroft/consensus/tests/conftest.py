import pytest

from damaskcroft.consensus.tests.fakes import Cluster


@pytest.fixture
def cluster(loop):
    """Three replicas in virtual time, with a leader."""
    made = Cluster(loop)
    loop.pass_time(3.0)
    yield made
    for replica in made.replicas.values():
        loop.run(replica.stop())
