"""Staging of the newest record, whenever it arrives.

A newer record could arrive while an agent was cancelling the staging of an
older version. The agent began to wait for the next change after it, so the
newer version was not staged until another change came.
"""

import asyncio

from damaskcroft._generated import control_pb2
from damaskcroft.agent._staging import Stager
from damaskcroft.membership import Roster
from damaskcroft.records.tests.fakes import deployment_record


class RecordingStager(Stager):
    """Records what it should stage; cancelling it delivers a newer record."""

    def __init__(self, roster, late_records):
        own = control_pb2.Announcement(id="a", kind=control_pb2.HOLDER_AGENT)
        parts = [None] * 7
        super().__init__(own, roster, *parts)
        self.started = []
        self.late_records = late_records

    async def _stage(self, desired):
        self.started.append(desired.version)
        try:
            await asyncio.sleep(1e6)
        finally:
            late = self.late_records.pop(desired.version, None)
            if late is not None:
                await publish_record(self._roster, late)


async def publish_record(roster, new):
    roster.records_by_key[(new.kind, new.name)] = new
    await roster.notify()


def test_record_that_arrives_during_cancellation_is_staged(loop):
    async def scenario():
        roster = Roster()
        stager = RecordingStager(roster, {"1": deployment_record("3", 3)})
        running = asyncio.ensure_future(stager.run())
        for revision, version in enumerate(("1", "2"), 1):
            await asyncio.sleep(1.0)
            await publish_record(roster, deployment_record(version, revision))
        await asyncio.sleep(5.0)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        return stager.started

    assert loop.run(scenario())[-1] == "3"
