"""Chunk transfers between agents over real connections."""

import asyncio
import contextlib
import hashlib
import logging
import socket

from damaskcroft._generated import agent_pb2
from damaskcroft.agent import ChunkServer, ChunkService
from damaskcroft.rpc import ChannelPool, Keys, serve_grpc
from damaskcroft.standins.loopback import free_address
from damaskcroft.weights import (
    BurstCounts,
    GrpcPeerSource,
    MemoryStore,
    Pacer,
    PeerChunkMissing,
    PeerData,
    PeerFailed,
    manifest_of_digests,
)

KEYS = Keys(None, None)
CHUNKS = 12
CHUNK_BYTES = 24_576


def make_manifest(chunks):
    digests = [hashlib.sha256(data).digest() for data in chunks]
    made = manifest_of_digests("m", "1", len(chunks[0]), digests)
    return made.SerializeToString(deterministic=True)


@contextlib.asynccontextmanager
async def serving_agent(uploads=2):
    """Serves chunks of one agent; yields what a requesting agent needs."""
    chunks = [bytes([number]) * CHUNK_BYTES for number in range(CHUNKS)]
    store = MemoryStore(10**9)
    version = store.open_version(make_manifest(chunks), set())
    server = ChunkServer(store, Pacer(1e9), uploads, BurstCounts())
    address = free_address()
    channels = ChannelPool(KEYS)
    async with serve_grpc(address, [ChunkService(server)], KEYS):
        yield version, chunks, address, GrpcPeerSource(channels, 2.0)
        channels.close()


def chunk_request(version, index, wait_ms=0):
    return agent_pb2.ChunkRequest(
        manifest=version.digest,
        digest=version.manifest.chunks[index].digest,
        wait_ms=wait_ms,
    )


def test_parallel_chunk_transfers_are_complete():
    async def scenario():
        async with serving_agent() as (version, chunks, address, source):
            for index, data in enumerate(chunks):
                version.write_chunk(index, data)
            outcomes = await asyncio.gather(
                *(
                    source.fetch_chunk(address, chunk_request(version, index))
                    for index in range(CHUNKS)
                )
            )
            assert [outcome.data for outcome in outcomes] == chunks

    asyncio.run(asyncio.wait_for(scenario(), 30))


def test_request_waits_for_a_chunk_that_arrives_later():
    async def scenario():
        async with serving_agent() as (version, chunks, address, source):
            assert isinstance(
                await source.fetch_chunk(address, chunk_request(version, 3)),
                PeerChunkMissing,
            )
            asking = asyncio.create_task(
                source.fetch_chunk(
                    address, chunk_request(version, 3, wait_ms=5000)
                )
            )
            await asyncio.sleep(0.05)
            version.write_chunk(3, chunks[3])
            assert (await asking).data == chunks[3]

    asyncio.run(asyncio.wait_for(scenario(), 30))


def test_manifest_is_found_by_its_version_path():
    async def scenario():
        async with serving_agent() as (version, _, address, source):
            manifest = version.manifest
            path = f"{manifest.model}/{manifest.version}"
            outcome = await source.fetch_manifest(address, "", path)
            assert outcome == PeerData(version.content)
            unknown = await source.fetch_manifest(address, "", "m/none")
            assert isinstance(unknown, PeerChunkMissing)

    asyncio.run(asyncio.wait_for(scenario(), 30))


def test_unreachable_agent_is_distinguished_from_one_without_the_chunk():
    async def scenario():
        async with serving_agent() as (version, _, _, source):
            outcome = await source.fetch_chunk(
                free_address(), chunk_request(version, 0)
            )
            assert isinstance(outcome, PeerFailed)

    asyncio.run(asyncio.wait_for(scenario(), 30))


def test_agent_with_a_full_listen_backlog_times_out():
    """Its listen backlog is full, as on an unreachable machine."""

    async def scenario():
        with socket.socket() as unresponsive:
            unresponsive.bind(("127.0.0.1", 0))
            unresponsive.listen(0)
            host, port = unresponsive.getsockname()
            backlog = []
            for _ in range(4):
                pending = socket.socket()
                pending.setblocking(False)
                pending.connect_ex((host, port))
                backlog.append(pending)
            async with serving_agent() as (version, _, _, _):
                channels = ChannelPool(KEYS)
                source = GrpcPeerSource(channels, 0.3)
                outcome = await source.fetch_chunk(
                    f"{host}:{port}", chunk_request(version, 0)
                )
                assert outcome == PeerFailed("stalled")
                channels.close()
            for pending in backlog:
                pending.close()

    asyncio.run(asyncio.wait_for(scenario(), 30))


class SilentReceiver:
    """Requests a chunk, then never asks for a part."""

    async def send_message(self, message): ...

    async def recv_message(self):
        await asyncio.Event().wait()


def test_silent_receiver_is_dropped_with_one_log_line(loop, caplog):
    """Guards against a logged traceback for each chunk in transfer to it."""
    caplog.set_level(logging.INFO)
    store = MemoryStore(10**6)
    chunk = b"x" * CHUNK_BYTES
    version = store.open_version(make_manifest([chunk]), set())
    version.write_chunk(0, chunk)
    server = ChunkServer(store, Pacer(1e9), 1, BurstCounts())
    request = chunk_request(version, 0)
    request.requester = "agent-1"

    async def scenario():
        for _ in range(2):
            async with asyncio.timeout(15.0):
                await server.send_chunk(request, SilentReceiver())

    loop.run(scenario())
    lines = [r for r in caplog.messages if "receiver_silent" in r]
    assert len(lines) == 2
    assert "peer=agent-1 index=0" in lines[0]
