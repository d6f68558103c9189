"""Entries, agents and control in one process, connected in memory."""

import asyncio
import contextlib
import json
import random

from grpclib.client import Channel
from grpclib.testing import ChannelFor

from damaskcroft._generated import control_grpc, control_pb2
from damaskcroft.agent._crashes import TargetWatch
from damaskcroft.agent._gate import Gate
from damaskcroft.agent._runs import Runner
from damaskcroft.agent._service import AgentService
from damaskcroft.agent._settler import Settler
from damaskcroft.agent._target_limit import TargetLimit
from damaskcroft.control._state import ControlState
from damaskcroft.engines import (
    CallFailed,
    CallNotSent,
    CallStarted,
    PlainService,
)
from damaskcroft.entry._calls import Call
from damaskcroft.entry._claims import ClaimClient
from damaskcroft.entry._dispatch import Dispatcher
from damaskcroft.limits import Unnamed
from damaskcroft.membership import Lease, Roster
from damaskcroft.routing import Admission, PoolTable

SERVICE = "billing"
POOL = f"service/{SERVICE}"
CONTROL = "control"
DEADLINE_S = 5.0
AGENTS = ("agent-0", "agent-1", "agent-2")


class RefusingChannel(Channel):
    """A channel to a process that has ended."""

    async def __connect__(self):
        raise ConnectionRefusedError("connection refused")


class FakeChannelPool:
    """Channels by address to the services that now run there."""

    def __init__(self):
        self.channels_by_address = {}

    def channel(self, address):
        channel = self.channels_by_address.get(address)
        return channel or RefusingChannel("127.0.0.1", 1)


class FakeEngine(PlainService):
    """A target that records each run in a journal shared by all targets."""

    def __init__(self, name, journal):
        self.name = name
        self.journal = journal
        self.mode = "healthy"
        self.work_s = 0.05
        self.content_type = "text/plain"
        self.limit = Unnamed()

    @contextlib.asynccontextmanager
    async def call(self, call, *, fresh_connection):
        if self.mode == "refuses":
            yield CallNotSent()
            return
        self.journal.append((call.request_id, json.loads(call.body)["key"]))
        await asyncio.sleep(self.work_s)
        if self.mode in ("breaks", "crashes"):
            yield CallFailed()
            return
        status = 500 if self.mode == "fails" else 200
        yield CallStarted(
            status,
            self.content_type,
            self._body(call),
            call.request_id,
            self.limit,
        )

    async def is_gone(self):
        return self.mode == "crashes"

    async def _body(self, call):
        yield f"answer to {json.loads(call.body)['key']}".encode()
        await asyncio.sleep(self.work_s)
        if self.mode == "cuts":
            raise ConnectionError("cut")
        yield b", whole"


class FreezableService(AgentService):
    def __init__(self, agent):
        super().__init__(agent.runner, agent.gate)
        self.agent = agent

    async def Run(self, stream):  # noqa: N802
        await self.agent.thawed.wait()
        await super().Run(stream)

    async def Inquire(self, stream):  # noqa: N802
        await self.agent.thawed.wait()
        await super().Inquire(stream)


class FakeAgent:
    """One agent process, with the real gate, runner and service."""

    def __init__(self, name, incarnation, engine, pool):
        self.name = name
        self.incarnation = incarnation
        self.thawed = asyncio.Event()
        self.thawed.set()
        self.lease = Lease()
        self.lease.grant(asyncio.get_running_loop().time(), 1e9)
        watch = TargetWatch(engine, incarnation)
        limit = TargetLimit(watch)
        self.gate = Gate(
            self.lease, 8, incarnation, is_service=True, limit=limit
        )
        self.runner = Runner(
            self.gate,
            engine,
            Settler(pool, [CONTROL]),
            watch,
            limit,
            lambda _: None,
        )
        self.service = FreezableService(self)

    async def die(self):
        for task in list(self.runner._claimed_runs):
            task.cancel()
        await asyncio.sleep(0)


class FakeControl(control_grpc.ControlBase):
    """The real replicated state, with injectable failures of the log."""

    def __init__(self):
        self.state = ControlState(10**9, 10**6)
        self.index = 0
        self.mode = "healthy"
        self.settled = asyncio.Condition()

    def apply(self, command):
        self.index += 1
        return self.state.apply(self.index, command.SerializeToString())

    async def Hold(self, stream): ...  # noqa: N802

    async def Write(self, stream): ...  # noqa: N802

    async def Read(self, stream): ...  # noqa: N802

    async def Claim(self, stream):  # noqa: N802
        request = await stream.recv_message()
        await asyncio.sleep(0.005)
        if self.mode == "no_quorum":
            reply = control_pb2.ClaimReply(outcome=control_pb2.CLAIM_NO_QUORUM)
        else:
            reply = self.apply(control_pb2.Command(claim=request))
            if self.mode == "loses_answers":
                reply = control_pb2.ClaimReply(
                    outcome=control_pb2.CLAIM_UNDECIDED
                )
        if reply.outcome == control_pb2.CLAIM_IN_PROGRESS:
            await asyncio.sleep(request.wait_ms / 1000)
            held = self.state.claims.find(request.customer, request.key)
            reply = self.state.claims.answer(held)
        await stream.send_message(reply)

    async def Settle(self, stream):  # noqa: N802
        request = await stream.recv_message()
        await asyncio.sleep(0.005)
        committed = self.mode != "no_quorum"
        if committed:
            self.apply(control_pb2.Command(settle=request))
        if self.mode == "loses_answers":
            committed = False
        await stream.send_message(control_pb2.SettleReply(committed=committed))


class FakeClient:
    """The part of the lease client that a dispatcher uses."""

    def __init__(self):
        self.roster = Roster()
        self.leader_address = CONTROL
        self.lease = Lease()
        self.peers = []

    def renew_now(self):
        """Copies the crashes known here to every other entry."""
        for other in self.peers:
            for crash in self.roster.crashes.snapshot():
                other.roster.crashes.merge(crash)


class FreezableClaimClient(ClaimClient):
    """Can stop between the claim and the run, as a frozen process does."""

    def __init__(self, name, client, pool, thawed):
        super().__init__(name, client, pool)
        self.thawed = thawed

    async def claim(self, *arguments):
        outcome = await super().claim(*arguments)
        await self.thawed.wait()
        return outcome


class Entry:
    """The real dispatcher of one entry, with its calls in progress."""

    def __init__(self, name, pool):
        self.client = FakeClient()
        self.thawed = asyncio.Event()
        self.thawed.set()
        self.pools = PoolTable(self.client.roster)
        self.admission = Admission(
            lambda name: self.pools.pool(name).slots, 0.2, 1000
        )
        self.dispatcher = Dispatcher(
            self.client,
            self.pools,
            self.admission,
            FreezableClaimClient(name, self.client, pool, self.thawed),
            pool,
            retry_fraction=0.2,
        )
        self.tasks = set()
        self.lapse_task = asyncio.ensure_future(self.dispatcher.run())

    def kill(self):
        """Cancels all calls; the next process with this name takes over."""
        for task in self.tasks:
            task.cancel()
        self.tasks.clear()


class Cluster:
    """A whole system, its run journal and the responses to all callers."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.pool = FakeChannelPool()
        self.journal = []
        self.engines = {}
        self.agents = {}
        self.control = FakeControl()
        self.serial = 0
        self.final_responses = []
        self.servers_by_address = {}

    async def start(self):
        await self.start_server(CONTROL, self.control)
        for name in AGENTS:
            self.engines[name] = FakeEngine(name, self.journal)
            await self.start_agent(name)
        self.entries = [Entry(f"entry-{n}", self.pool) for n in range(2)]
        clients = [entry.client for entry in self.entries]
        for client in clients:
            client.peers = [other for other in clients if other != client]
        await self.publish_roster()

    async def start_server(self, address, service):
        server = ChannelFor([service])
        self.pool.channels_by_address[address] = await server.__aenter__()
        self.servers_by_address[address] = server

    async def stop_server(self, address):
        self.pool.channels_by_address.pop(address)
        await self.servers_by_address.pop(address).__aexit__(None, None, None)

    async def start_agent(self, name):
        self.serial += 1
        incarnation = f"{name}#{self.serial}"
        agent = FakeAgent(name, incarnation, self.engines[name], self.pool)
        self.agents[name] = agent
        await self.start_server(name, agent.service)

    async def kill_agent(self, name):
        agent = self.agents.pop(name, None)
        if agent is not None:
            await self.stop_server(name)
            await agent.die()

    async def publish_roster(self, lapsed=()):
        """Gives all entries the current roster, as control does."""
        for entry in self.entries:
            roster = entry.client.roster
            roster.revision += 1
            roster.lapsed_ids = set(lapsed) | (set(AGENTS) - set(self.agents))
            for name, agent in self.agents.items():
                roster.holders_by_id[name] = control_pb2.Announcement(
                    id=name,
                    kind=control_pb2.HOLDER_AGENT,
                    incarnation=agent.incarnation,
                    address=name,
                    service=SERVICE,
                    slots=8,
                )
                roster.reports_by_id[name] = control_pb2.TargetReport(
                    id=name,
                    incarnation=agent.incarnation,
                    draining=agent.gate.draining,
                )
            entry.pools.rebuild()
            await roster.notify()

    def send(
        self,
        entry_index,
        key,
        body_key=None,
        deadline_s=DEADLINE_S,
        pool=POOL,
        prefix=b"",
    ):
        """Starts a call at an entry; records its response when it ends."""
        self.serial += 1
        call = Call(
            request_id=f"r{self.serial}",
            method="POST",
            path="/vouchers",
            content_type="application/json",
            body=json.dumps({"key": body_key or key}).encode(),
            pool=pool,
            customer="c",
            district="",
            priority=2,
            deadline_s=deadline_s,
            key=key,
            prefix=prefix,
        )
        entry = self.entries[entry_index]
        task = asyncio.ensure_future(self.dispatch(entry, call))
        entry.tasks.add(task)
        task.add_done_callback(entry.tasks.discard)
        return task

    async def dispatch(self, entry, call):
        final = await entry.dispatcher.answer(call)
        response = final.response
        runs = [r for r, k in self.journal if r == call.request_id]
        self.final_responses.append((call, response, len(runs)))
        return response

    async def stop(self):
        for entry in self.entries:
            entry.kill()
            entry.lapse_task.cancel()
        for name in list(self.agents):
            await self.kill_agent(name)
        await self.stop_server(CONTROL)


def ran_status(response):
    """The `ran` field of a refusal, or None for an answer."""
    if response.status_code == 200:
        return None
    return json.loads(response.body)["error"]["ran"]
