import random

import pytest

from damaskcroft.consensus.tests.fakes import Cluster
from damaskcroft.consensus.tests.power import Folders


@pytest.fixture
def cluster(loop):
    """Three replicas in virtual time, with a leader."""
    made = Cluster(loop)
    loop.pass_time(3.0)
    yield made
    for replica in made.replicas.values():
        loop.run(replica.stop())


@pytest.fixture
def folders(tmp_path, monkeypatch):
    """Folders that keep after a loss of power only what was synced."""
    made = Folders(tmp_path, random.Random(0))
    made.patch(monkeypatch)
    yield made
    made.close()
