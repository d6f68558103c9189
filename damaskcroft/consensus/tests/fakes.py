"""Fakes of disk and network, and a cluster of replicas in virtual time."""

import asyncio
import random

from damaskcroft.consensus import (
    Disk,
    PeerUnreachableError,
    Replica,
    ReplicaOptions,
    StateMachine,
    Transport,
    format_disk,
)

MAX_SYNC_S = 0.03
LATENCY_S = 0.001
TIMEOUT_S = 0.3
MEMBERS = {"a": "addr-a", "b": "addr-b", "c": "addr-c"}


def address_of(member):
    """Returns the address of an initial or of an added member."""
    return MEMBERS.get(member, f"addr-{member}")


class FakeDisk(Disk):
    """An in-memory disk; a crash keeps only a part of unsynced content."""

    def __init__(self, rng, synced=None):
        self.rng = rng
        self.synced = dict(synced or {})
        self.pending = {}
        self.dead = False
        self.full = False

    def read(self, name):
        if name not in self.synced and name not in self.pending:
            return None
        return self.synced.get(name, b"") + self.pending.get(name, b"")

    def append(self, name, content):
        self._raise_if_dead()
        if self.full:
            # A full disk may accept the first bytes only.
            content = content[: len(content) // 2]
        self.pending[name] = self.pending.get(name, b"") + content
        self._raise_if_full()

    async def sync(self, name):
        size = len(self.pending.get(name, b""))
        before = self.synced.get(name, b"")
        await asyncio.sleep(MAX_SYNC_S * self.rng.random())
        self._raise_if_dead()
        if self.synced.get(name, b"") != before:
            return  # Replaced or truncated meanwhile, which syncs the file.
        pending = self.pending.get(name, b"")
        self.synced[name] = before + pending[:size]
        self.pending[name] = pending[size:]

    def truncate(self, name, size_bytes):
        self._raise_if_dead()
        self.synced[name] = self.read(name)[:size_bytes]
        self.pending.pop(name, None)

    def replace(self, name, content):
        self._raise_if_dead()
        self._raise_if_full()
        self.synced[name] = content
        self.pending.pop(name, None)

    def overwrite(self, name, offset_bytes, content):
        self._raise_if_dead()
        self._raise_if_full()
        whole = bytearray(self.read(name).ljust(offset_bytes, b"\0"))
        whole[offset_bytes : offset_bytes + len(content)] = content
        self.synced[name] = bytes(whole)
        self.pending.pop(name, None)

    def crash(self, kept_share):
        """Returns the disk as the next process finds it; this one fails."""
        self.dead = True
        survivor = FakeDisk(self.rng, self.synced)
        for name, content in self.pending.items():
            kept = content[: int(len(content) * kept_share)]
            survivor.synced[name] = survivor.synced.get(name, b"") + kept
        return survivor

    def _raise_if_dead(self):
        if self.dead:
            raise OSError("the process was killed")

    def _raise_if_full(self):
        if self.full:
            raise OSError("no space left")


class ListMachine(StateMachine):
    """Records every command with its index."""

    def __init__(self):
        self.applied = []

    def apply(self, index, command):
        self.applied.append((index, command.decode()))
        return index

    def snapshot(self):
        return repr(self.applied).encode()

    def restore(self, state):
        self.applied = list(eval(state.decode(), {}))  # noqa: S307


class FakeNetwork:
    """Delivers calls between replicas, with latency, losses and cuts."""

    def __init__(self, rng):
        self.rng = rng
        self.replicas_by_address = {}
        self.cuts = set()
        self.lost_share = 0.0
        self.latency_s = LATENCY_S
        # Whether a cancelled call raises only PeerUnreachableError, as in
        # grpclib if a call is cancelled as it fails.
        self.hides_cancellation = False
        # Sender and receiver of each AppendRequest.
        self.appends = []

    async def deliver(self, sender, receiver):
        await asyncio.sleep(self.latency_s * (0.5 + self.rng.random()))
        lost = self.rng.random() < self.lost_share
        if (sender, receiver) in self.cuts or lost:
            await asyncio.sleep(TIMEOUT_S)
            raise PeerUnreachableError(receiver)


class FakeTransport(Transport):
    def __init__(self, network, sender):
        self.network = network
        self.sender = sender

    async def vote(self, address, request):
        return await self.call(address, "handle_vote", request)

    async def append(self, address, request):
        self.network.appends.append((self.sender, address))
        return await self.call(address, "handle_append", request)

    async def install(self, address, request):
        return await self.call(address, "handle_install", request)

    async def join(self, address, request):
        return await self.call(address, "handle_join", request)

    async def timeout_now(self, address, request):
        return await self.call(address, "handle_timeout_now", request)

    async def call(self, address, method, request):
        copy = type(request).FromString(request.SerializeToString())
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await self.network.deliver(self.sender, address)
                replica = self.network.replicas_by_address.get(address)
                if replica is None:
                    raise PeerUnreachableError(address)
                reply = await getattr(replica, method)(copy)
                await self.network.deliver(address, self.sender)
        except (OSError, TimeoutError) as error:
            raise PeerUnreachableError(address) from error
        except asyncio.CancelledError:
            if self.network.hides_cancellation:
                raise PeerUnreachableError(address) from None
            raise
        return type(reply).FromString(reply.SerializeToString())


class Cluster:
    """Three replicas on fake disks and a fake network, in virtual time."""

    def __init__(self, loop, seed=0, snapshot_entries=15):
        self.loop = loop
        self.rng = random.Random(seed)
        self.network = FakeNetwork(self.rng)
        self.snapshot_entries = snapshot_entries
        self.disks = {}
        self.replicas = {}
        self.machines = {}
        for member in MEMBERS:
            self.disks[member] = self.empty_disk(member)
            format_disk(self.disks[member], MEMBERS)
            self.start(member)

    def empty_disk(self, member):
        return FakeDisk(self.rng)

    def make_machine(self):
        return ListMachine()

    def add(self, member):
        """Starts a replica on a new machine, with an empty disk."""
        self.disks[member] = self.empty_disk(member)
        self.start(member)

    def start(self, member):
        machine = self.make_machine()
        address = address_of(member)
        options = ReplicaOptions(
            id=member,
            address=address,
            first_members=MEMBERS,
            election_timeout_s=0.6,
            heartbeat_s=0.1,
            snapshot_entries=self.snapshot_entries,
        )
        replica = Replica(
            options,
            self.disks[member],
            FakeTransport(self.network, address),
            machine,
            random.Random(self.rng.random()),
        )
        self.machines[member] = machine
        self.replicas[member] = replica
        self.network.replicas_by_address[address] = replica
        self.loop.run(replica.start())

    def crash(self, member, kept_share=0.0):
        replica = self.replicas.pop(member)
        del self.network.replicas_by_address[address_of(member)]
        self.disks[member] = self.disks[member].crash(kept_share)
        self.loop.run(replica.stop())

    def lose_disk(self, member):
        if member in self.replicas:
            self.crash(member)
        self.disks[member] = self.empty_disk(member)

    def leaders(self):
        return [r for r in self.replicas.values() if r.is_leader]

    def leader(self):
        """Returns the leader with the newest term, or None."""
        return max(self.leaders(), key=lambda r: r.term, default=None)

    def is_voting(self, member):
        """Whether the newest leader lists the member's disk as a voter."""
        leader, replica = self.leader(), self.replicas.get(member)
        if leader is None or replica is None:
            return False
        if leader.log.config_entry()[0] > leader.commit_index:
            return False
        return any(
            voter.id == member
            and not voter.learner
            and voter.incarnation == replica.incarnation
            for voter in leader.log.config().members
        )

    def write(self, value, timeout_s=1.0):
        """Proposes to the newest leader; returns the outcome, or None."""
        leader = self.leader()
        if leader is None:
            return None

        async def propose():
            try:
                async with asyncio.timeout(timeout_s):
                    return await leader.propose(value.encode())
            except TimeoutError:
                return None

        return self.loop.run(propose())

    async def propose_briefly(self, leader, value):
        """Proposes and cancels before the outcome is known."""
        proposing = asyncio.create_task(leader.propose(value.encode()))
        await asyncio.sleep(self.rng.random() * 0.02)
        proposing.cancel()

    async def confirmed_leaders(self):
        return [r for r in self.replicas.values() if r.is_confirmed_leader]

    def heal(self):
        self.network.cuts.clear()
        self.network.lost_share = 0.0
        for member in MEMBERS:
            if member not in self.replicas:
                self.start(member)

    def stop(self):
        for replica in self.replicas.values():
            self.loop.run(replica.stop())
        self.loop.close()
