import random

import pytest

from damaskcroft.consensus.tests.fakes import Cluster
from damaskcroft.consensus.tests.power_loss import Folders


@pytest.fixture
def cluster(loop):
    """Three replicas with an elected leader, in virtual time."""
    made = Cluster(loop)
    loop.pass_time(3.0)
    yield made
    for replica in made.replicas.values():
        loop.run(replica.stop())


@pytest.fixture
def folders(tmp_path, monkeypatch):
    """Folders of which only synced content survives a power loss."""
    made = Folders(tmp_path, random.Random(0))
    made.patch(monkeypatch)
    yield made
    made.close()
