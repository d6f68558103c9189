"""Stateful fuzz test of requests with an idempotency key.

The oracle is the journal of the targets. A key runs at most once, a request
that is refused as not run has not run, and every caller receives the complete
answer to its own request.
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

from damaskcroft.entry.tests.fakes import AGENTS, Cluster, ran_status
from damaskcroft.standins.virtual_time import VirtualTimeLoop

agents = st.sampled_from(AGENTS)
entries = st.integers(0, 1)


class ClaimsMachine(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed):
        self.loop = VirtualTimeLoop()
        asyncio.set_event_loop(self.loop)
        self.cluster = None
        self.loop.run(self.build(seed))
        self.keys = 0

    async def build(self, seed):
        self.cluster = Cluster(seed)
        await self.cluster.start()

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
            self.do(self.cluster.send, entry, f"k{self.keys}")

    @rule(entry=entries, back=st.integers(0, 3))
    def resend(self, entry, back):
        if self.keys > back:
            self.do(self.cluster.send, entry, f"k{self.keys - back}")

    @rule(entry=entries, back=st.integers(0, 3))
    def ask_at_both(self, entry, back):
        self.keys += 1
        self.do(self.cluster.send, entry, f"k{self.keys}")
        self.loop.pass_time(0.003 * back)
        self.do(self.cluster.send, 1 - entry, f"k{self.keys}")

    @rule(seconds=st.sampled_from([0.004, 0.012, 0.06, 0.3, 3.0]))
    def pass_time(self, seconds):
        self.loop.pass_time(seconds)

    @rule(agent=agents, published=st.booleans())
    def kill_agent(self, agent, published):
        self.do(self.cluster.kill_agent, agent)
        if published:
            self.do(self.cluster.publish_roster)

    @rule(agent=agents, published=st.booleans())
    def restart_agent(self, agent, published):
        self.do(self.cluster.kill_agent, agent)
        self.do(self.cluster.start_agent, agent)
        if published:
            self.do(self.cluster.publish_roster)

    @rule(agent=agents, published=st.booleans())
    def freeze(self, agent, published):
        if agent in self.cluster.agents:
            self.cluster.agents[agent].thawed.clear()
        if published:
            self.do(self.cluster.publish_roster, [agent])

    @rule(agent=agents)
    def thaw(self, agent):
        if agent in self.cluster.agents:
            self.do(self.cluster.agents[agent].thawed.set)
        self.do(self.cluster.publish_roster)

    @rule(agent=agents, draining=st.booleans())
    def drain(self, agent, draining):
        if agent in self.cluster.agents:
            self.cluster.agents[agent].gate.draining = draining

    @rule(agent=agents)
    def lose_lease(self, agent):
        if agent in self.cluster.agents:
            self.cluster.agents[agent].lease.release()

    @rule(
        agent=agents,
        mode=st.sampled_from(["healthy", "refuses", "breaks", "cuts"]),
        work_s=st.sampled_from([0.01, 0.05, 1.0]),
    )
    def change_target(self, agent, mode, work_s):
        self.cluster.engines[agent].mode = mode
        self.cluster.engines[agent].work_s = work_s

    @rule(work_s=st.sampled_from([0.01, 0.05, 1.5]))
    def change_all_targets(self, work_s):
        for engine in self.cluster.engines.values():
            engine.mode, engine.work_s = "healthy", work_s

    @rule(entry=entries, frozen_s=st.sampled_from([0.5, 2.0, 4.5]))
    def freeze_entry_after_claim(self, entry, frozen_s):
        """The caller retries at the other entry during the freeze."""
        self.cluster.entries[entry].thawed.clear()
        self.keys += 1
        self.do(self.cluster.send, entry, f"k{self.keys}")
        self.loop.pass_time(0.05)
        self.do(self.cluster.send, 1 - entry, f"k{self.keys}")
        self.loop.pass_time(frozen_s)
        self.do(self.cluster.entries[entry].thawed.set)

    @rule(mode=st.sampled_from(["healthy", "no_quorum", "loses_answers"]))
    def change_control(self, mode):
        self.cluster.control.mode = mode

    @rule(entry=entries)
    def kill_entry(self, entry):
        self.do(self.cluster.entries[entry].kill)

    @invariant()
    def promises_hold(self):
        if not hasattr(self, "cluster"):
            return
        runs = collections.Counter(key for _, key in self.cluster.journal)
        for key, count in runs.items():
            assert count <= 1, f"{key} ran {count} times"
        for call, response, own_runs in self.cluster.final_responses:
            ran = ran_status(response)
            if ran is None:
                complete_answer = f"answer to {call.key}, whole".encode()
                assert response.body == complete_answer
            if ran == "not_run":
                assert own_runs == 0, f"{call.request_id} was run"

    def teardown(self):
        if not hasattr(self, "cluster"):
            return
        self.do(self.recover)
        self.loop.pass_time(10.0)
        before = len(self.cluster.final_responses)
        for number in range(1, self.keys + 1):
            self.do(self.cluster.send, number % 2, f"k{number}")
            self.loop.pass_time(0.5)
        self.loop.pass_time(30.0)
        self.promises_hold()
        for _, response, _ in self.cluster.final_responses[before:]:
            # After recovery, each request is answered or has an unknown
            # outcome.
            assert ran_status(response) in (None, "unknown")
        assert len(self.cluster.final_responses) == before + self.keys
        self.do(self.cluster.stop)
        self.loop.pass_time(1.0)
        self.loop.close()

    async def recover(self):
        self.cluster.control.mode = "healthy"
        for name, engine in self.cluster.engines.items():
            engine.mode, engine.work_s = "healthy", 0.01
            if name not in self.cluster.agents:
                await self.cluster.start_agent(name)
            agent = self.cluster.agents[name]
            agent.thawed.set()
            agent.gate.draining = False
            agent.lease.grant(self.loop.time(), 1e9)
        await self.cluster.publish_roster()


TestFuzzClaims = ClaimsMachine.TestCase
