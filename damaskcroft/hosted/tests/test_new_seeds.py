"""Processes whose settings file names other control nodes than at the start.

What happened: an entry none of whose seeds answered stayed without a
configuration for good, and answered 503, though its settings file had named
others since and it had been told so by SIGHUP.
"""

import signal

import pytest

from damaskcroft.hosted.tests import deployment as fleet
from damaskcroft.hosted.tests.one_target import ask, until

UNUSED = [f"{ip}9" for ip in fleet.CONTROL_IPS]


@pytest.mark.parametrize("signalled", [True, False])
def test_an_entry_out_of_touch_follows_seeds_that_came_later(
    play, monkeypatch, signalled
):
    async def scenario(deployment, gate, asked):
        await deployment.end("entry", fleet.ENTRY_IP)
        file = deployment.folder / "entry-14.toml"
        new_settings = file.read_text()
        monkeypatch.setattr(fleet, "CONTROL_IPS", UNUSED)
        log = deployment.folder / "entry-14.log"
        starts = log.read_text().count("event=started")
        process = await deployment.start("entry", fleet.ENTRY_IP, first=False)
        monkeypatch.undo()

        async def started():
            return log.read_text().count("event=started") > starts

        await until(started)
        file.write_text(new_settings)
        if signalled:
            process.send_signal(signal.SIGHUP)

        async def serves():
            return (await ask(deployment))[0] == 200

        await until(serves)

    play(scenario)
