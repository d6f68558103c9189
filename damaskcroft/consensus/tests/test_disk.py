import pytest

from damaskcroft.consensus import FolderDisk, format_disk
from damaskcroft.consensus.tests.fakes import MEMBERS


@pytest.mark.parametrize("below", ["log", "data/log"])
def test_a_new_data_folder_outlasts_a_loss_of_power(folders, below):
    """Control forgot everything when its new folder's name was not synced."""
    machine = folders.empty("a")
    format_disk(FolderDisk(machine / below), MEMBERS)
    left = folders.after_power_loss("a", machine, kept_share=0.0)
    assert FolderDisk(left / below).read("vote") is not None
