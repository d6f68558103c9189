"""An agent follows the newest record, whenever it comes.

What was found by reading: while an agent stopped the work for one version, a
newer record could come; the wait for the next change began after it, and the
newer version was not begun until some other change came.
"""

import asyncio

from damaskcroft._generated import control_pb2
from damaskcroft.agent._staging import Stager
from damaskcroft.membership import Roster
from damaskcroft.records.tests.fakes import deployment_record


class StagerOfNothing(Stager):
    """Notes what it should stage; a newer record comes as work is stopped."""

    def __init__(self, roster, comes_late):
        own = control_pb2.Announcement(id="a", kind=control_pb2.HOLDER_AGENT)
        parts = [None] * 7
        super().__init__(own, roster, *parts)
        self.begun = []
        self.comes_late = comes_late

    async def _stage(self, wanted):
        self.begun.append(wanted.version)
        try:
            await asyncio.sleep(1e6)
        finally:
            late = self.comes_late.pop(wanted.version, None)
            if late is not None:
                await tell(self._roster, late)


async def tell(roster, new):
    roster.records_by_key[(new.kind, new.name)] = new
    await roster.notify()


def test_a_record_that_comes_while_work_is_stopped_is_followed(loop):
    async def scenario():
        roster = Roster()
        stager = StagerOfNothing(roster, {"1": deployment_record("3", 3)})
        running = asyncio.ensure_future(stager.run())
        for revision, version in enumerate(("1", "2"), 1):
            await asyncio.sleep(1.0)
            await tell(roster, deployment_record(version, revision))
        await asyncio.sleep(5.0)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        return stager.begun

    assert loop.run(scenario())[-1] == "3"
