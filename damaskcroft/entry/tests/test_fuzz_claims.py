"""Stateful fuzzing of non-idempotent requests.

Oracle: the targets' own journal. A key runs at most once; what is refused as
not run did not run; every answer is whole and its caller's.
"""

import asyncio
import collections

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from damaskcroft.entry.tests.fakes import AGENTS, World, ran_word
from damaskcroft.standins.virtual_time import VirtualTimeLoop

agents = st.sampled_from(AGENTS)
entries = st.integers(0, 1)


class ClaimsMachine(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed):
        self.loop = VirtualTimeLoop()
        asyncio.set_event_loop(self.loop)
        self.world = None
        self.loop.run(self.build(seed))
        self.keys = 0

    async def build(self, seed):
        self.world = World(seed)
        await self.world.start()

    def do(self, work, *arguments):
        async def call():
            result = work(*arguments)
            if asyncio.iscoroutine(result):
                await result

        self.loop.run(call())

    @rule(entry=entries, count=st.integers(1, 4))
    def ask(self, entry, count):
        for _ in range(count):
            self.keys += 1
            self.do(self.world.ask, entry, f"k{self.keys}")

    @rule(entry=entries, back=st.integers(0, 3))
    def resend(self, entry, back):
        if self.keys > back:
            self.do(self.world.ask, entry, f"k{self.keys - back}")

    @rule(entry=entries, back=st.integers(0, 3))
    def ask_at_both(self, entry, back):
        self.keys += 1
        self.do(self.world.ask, entry, f"k{self.keys}")
        self.loop.pass_time(0.003 * back)
        self.do(self.world.ask, 1 - entry, f"k{self.keys}")

    @rule(seconds=st.sampled_from([0.004, 0.012, 0.06, 0.3, 3.0]))
    def pass_time(self, seconds):
        self.loop.pass_time(seconds)

    @rule(agent=agents, told=st.booleans())
    def kill_agent(self, agent, told):
        self.do(self.world.kill_agent, agent)
        if told:
            self.do(self.world.tell)

    @rule(agent=agents, told=st.booleans())
    def restart_agent(self, agent, told):
        self.do(self.world.kill_agent, agent)
        self.do(self.world.start_agent, agent)
        if told:
            self.do(self.world.tell)

    @rule(agent=agents, told=st.booleans())
    def freeze(self, agent, told):
        if agent in self.world.agents:
            self.world.agents[agent].thawed.clear()
        if told:
            self.do(self.world.tell, [agent])

    @rule(agent=agents)
    def thaw(self, agent):
        if agent in self.world.agents:
            self.do(self.world.agents[agent].thawed.set)
        self.do(self.world.tell)

    @rule(agent=agents, draining=st.booleans())
    def drain(self, agent, draining):
        if agent in self.world.agents:
            self.world.agents[agent].gate.draining = draining

    @rule(agent=agents)
    def lose_lease(self, agent):
        if agent in self.world.agents:
            self.world.agents[agent].lease.release()

    @rule(
        agent=agents,
        mode=st.sampled_from(["well", "refuses", "breaks", "cuts"]),
        work_s=st.sampled_from([0.01, 0.05, 1.0]),
    )
    def change_target(self, agent, mode, work_s):
        self.world.engines[agent].mode = mode
        self.world.engines[agent].work_s = work_s

    @rule(work_s=st.sampled_from([0.01, 0.05, 1.5]))
    def change_all_targets(self, work_s):
        for engine in self.world.engines.values():
            engine.mode, engine.work_s = "well", work_s

    @rule(entry=entries, frozen_s=st.sampled_from([0.5, 2.0, 4.5]))
    def freeze_entry_after_claim(self, entry, frozen_s):
        """Its caller meanwhile resends to the other entry."""
        self.world.entries[entry].thawed.clear()
        self.keys += 1
        self.do(self.world.ask, entry, f"k{self.keys}")
        self.loop.pass_time(0.05)
        self.do(self.world.ask, 1 - entry, f"k{self.keys}")
        self.loop.pass_time(frozen_s)
        self.do(self.world.entries[entry].thawed.set)

    @rule(mode=st.sampled_from(["well", "no_quorum", "loses_answers"]))
    def change_control(self, mode):
        self.world.control.mode = mode

    @rule(entry=entries)
    def kill_entry(self, entry):
        self.do(self.world.entries[entry].kill)

    @invariant()
    def promises_hold(self):
        if not hasattr(self, "world"):
            return
        runs = collections.Counter(key for _, key in self.world.journal)
        for key, count in runs.items():
            assert count <= 1, f"{key} ran {count} times"
        for call, response, own_runs in self.world.finals:
            word = ran_word(response)
            if word is None:
                whole = f"answer to {call.key}, whole".encode()
                assert response.body == whole
            if word == "not_run":
                assert own_runs == 0, f"{call.request_id} was run"

    def teardown(self):
        if not hasattr(self, "world"):
            return
        self.do(self.recover)
        self.loop.pass_time(10.0)
        before = len(self.world.finals)
        for number in range(1, self.keys + 1):
            self.do(self.world.ask, number % 2, f"k{number}")
            self.loop.pass_time(0.5)
        self.loop.pass_time(30.0)
        self.promises_hold()
        for _, response, _ in self.world.finals[before:]:
            # By now each is answered, or known to have an unknown outcome.
            assert ran_word(response) in (None, "unknown")
        assert len(self.world.finals) == before + self.keys
        self.do(self.world.stop)
        self.loop.pass_time(1.0)
        self.loop.close()

    async def recover(self):
        self.world.control.mode = "well"
        for name, engine in self.world.engines.items():
            engine.mode, engine.work_s = "well", 0.01
            if name not in self.world.agents:
                await self.world.start_agent(name)
            agent = self.world.agents[name]
            agent.thawed.set()
            agent.gate.draining = False
            agent.lease.grant(self.loop.time(), 1e9)
        await self.world.tell()


TestFuzzClaims = ClaimsMachine.TestCase
