"""Processes whose settings file lists other control nodes than at the start.

Guards against an entry that stays without a configuration and answers 503 for
good: none of its first seeds answered, and it ignored the seeds that its
settings file listed later, even after SIGHUP.
"""

import signal

import pytest

from damaskcroft.hosted.tests import deployment as fleet
from damaskcroft.hosted.tests.one_target import send_request, wait_until

UNUSED = [f"{ip}9" for ip in fleet.CONTROL_IPS]


@pytest.mark.parametrize("signalled", [True, False])
def test_an_entry_without_control_follows_seeds_added_later(
    play, monkeypatch, signalled
):
    async def scenario(deployment, gate, received):
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

        await wait_until(started)
        file.write_text(new_settings)
        if signalled:
            process.send_signal(signal.SIGHUP)

        async def serves():
            return (await send_request(deployment))[0] == 200

        await wait_until(serves)

    play(scenario)
