"""Transport of messages between replicas, and its gRPC implementation."""

import abc
import contextlib
from collections.abc import Iterator
from typing import Any

import grpclib
import grpclib.const

from damaskcroft._generated import consensus_grpc, consensus_pb2
from damaskcroft.consensus._errors import ConsensusError
from damaskcroft.observe import log_event
from damaskcroft.rpc import CALL_ERRORS, ChannelPool, called


class PeerUnreachableError(ConsensusError):
    """A peer did not reply in time; it may have received the message."""


class RequestHandler(abc.ABC):
    """Handles requests of other members; implemented by a replica."""

    @abc.abstractmethod
    async def handle_vote(
        self, request: consensus_pb2.VoteRequest
    ) -> consensus_pb2.VoteReply:
        """Grants or refuses a vote; a granted vote is made durable first."""

    @abc.abstractmethod
    async def handle_append(
        self, request: consensus_pb2.AppendRequest
    ) -> consensus_pb2.AppendReply:
        """Stores a leader's entries; they are durable before the reply."""

    @abc.abstractmethod
    async def handle_install(
        self, request: consensus_pb2.InstallRequest
    ) -> consensus_pb2.AppendReply:
        """Installs a leader's snapshot in place of missing entries."""

    @abc.abstractmethod
    async def handle_join(
        self, request: consensus_pb2.JoinRequest
    ) -> consensus_pb2.JoinReply:
        """Adds a new or returning replica as a learner."""

    @abc.abstractmethod
    async def handle_timeout_now(
        self, request: consensus_pb2.TimeoutNowRequest
    ) -> consensus_pb2.TimeoutNowReply:
        """Starts an election at once, at the request of the current leader."""


class Transport(abc.ABC):
    """Sends one message to a member and returns its reply.

    All methods raise `PeerUnreachableError` if no reply arrives in time.
    """

    @abc.abstractmethod
    async def vote(
        self, address: str, request: consensus_pb2.VoteRequest
    ) -> consensus_pb2.VoteReply:
        """Requests a vote."""

    @abc.abstractmethod
    async def append(
        self, address: str, request: consensus_pb2.AppendRequest
    ) -> consensus_pb2.AppendReply:
        """Sends entries or a heartbeat."""

    @abc.abstractmethod
    async def install(
        self, address: str, request: consensus_pb2.InstallRequest
    ) -> consensus_pb2.AppendReply:
        """Sends a snapshot."""

    @abc.abstractmethod
    async def join(
        self, address: str, request: consensus_pb2.JoinRequest
    ) -> consensus_pb2.JoinReply:
        """Requests to be added as a learner."""

    @abc.abstractmethod
    async def timeout_now(
        self, address: str, request: consensus_pb2.TimeoutNowRequest
    ) -> consensus_pb2.TimeoutNowReply:
        """Requests that a follower start an election at once."""


class GrpcTransport(Transport):
    """Transport over grpclib.

    Args:
        pool: channels to the members.
        timeout_s: maximum wait for any reply but that to a snapshot.
        install_timeout_s: maximum wait for a snapshot transfer.
    """

    __slots__ = ("_install_timeout_s", "_pool", "_timeout_s")

    def __init__(
        self, pool: ChannelPool, timeout_s: float, install_timeout_s: float
    ):
        """Keeps the pool and the timeouts; channels are opened when needed."""
        self._pool = pool
        self._timeout_s = timeout_s
        self._install_timeout_s = install_timeout_s

    async def vote(
        self, address: str, request: consensus_pb2.VoteRequest
    ) -> consensus_pb2.VoteReply:
        """Calls `Vote` of the peer."""
        return await self._call(address, "Vote", request, self._timeout_s)

    async def append(
        self, address: str, request: consensus_pb2.AppendRequest
    ) -> consensus_pb2.AppendReply:
        """Calls `Append` of the peer."""
        return await self._call(address, "Append", request, self._timeout_s)

    async def install(
        self, address: str, request: consensus_pb2.InstallRequest
    ) -> consensus_pb2.AppendReply:
        """Calls `Install` of the peer, with the longer timeout."""
        return await self._call(
            address, "Install", request, self._install_timeout_s
        )

    async def join(
        self, address: str, request: consensus_pb2.JoinRequest
    ) -> consensus_pb2.JoinReply:
        """Calls `Join` of the peer."""
        return await self._call(address, "Join", request, self._timeout_s)

    async def timeout_now(
        self, address: str, request: consensus_pb2.TimeoutNowRequest
    ) -> consensus_pb2.TimeoutNowReply:
        """Calls `TimeoutNow` of the peer."""
        return await self._call(address, "TimeoutNow", request, self._timeout_s)

    async def _call(
        self, address: str, method: str, request: Any, timeout_s: float
    ) -> Any:
        stub = consensus_grpc.ReplicaStub(self._pool.channel(address))
        try:
            call = getattr(stub, method)(request, timeout=timeout_s)
            return await called(call, timeout_s)
        except TimeoutError as error:
            # The connection may be dead without the transport noticing.
            self._pool.drop(address)
            raise PeerUnreachableError(f"{address}: {error}") from error
        except CALL_ERRORS as error:
            raise PeerUnreachableError(f"{address}: {error}") from error


class ReplicaService(consensus_grpc.ReplicaBase):
    """gRPC service of a replica."""

    def __init__(self, replica: RequestHandler):
        """Takes the replica that handles the requests."""
        self._replica = replica

    async def Vote(self, stream: Any) -> None:  # noqa: N802
        """Handles a vote request."""
        request = await stream.recv_message()
        with _disk_errors_as_unavailable():
            reply = await self._replica.handle_vote(request)
        await stream.send_message(reply)

    async def Append(self, stream: Any) -> None:  # noqa: N802
        """Handles entries or a heartbeat."""
        request = await stream.recv_message()
        with _disk_errors_as_unavailable():
            reply = await self._replica.handle_append(request)
        await stream.send_message(reply)

    async def Install(self, stream: Any) -> None:  # noqa: N802
        """Handles a snapshot."""
        request = await stream.recv_message()
        with _disk_errors_as_unavailable():
            reply = await self._replica.handle_install(request)
        await stream.send_message(reply)

    async def Join(self, stream: Any) -> None:  # noqa: N802
        """Handles the request of a replica that wants to join."""
        request = await stream.recv_message()
        await stream.send_message(await self._replica.handle_join(request))

    async def TimeoutNow(self, stream: Any) -> None:  # noqa: N802
        """Handles a leadership transfer to this replica."""
        request = await stream.recv_message()
        reply = await self._replica.handle_timeout_now(request)
        await stream.send_message(reply)


@contextlib.contextmanager
def _disk_errors_as_unavailable() -> Iterator[None]:
    """Reports disk errors as UNAVAILABLE, so that the calling peer retries."""
    try:
        yield
    except OSError as error:
        log_event("disk_failed", reason=error)
        raise grpclib.GRPCError(
            grpclib.const.Status.UNAVAILABLE, str(error)
        ) from error
