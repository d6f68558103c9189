"""How replicas reach each other."""

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
    """A peer did not answer in time; it may have received the message."""


class RequestHandler(abc.ABC):
    """Answers what other members send; a replica is one."""

    @abc.abstractmethod
    async def handle_vote(
        self, request: consensus_pb2.VoteRequest
    ) -> consensus_pb2.VoteReply:
        """Gives or refuses a vote; a given vote is synced first."""

    @abc.abstractmethod
    async def handle_append(
        self, request: consensus_pb2.AppendRequest
    ) -> consensus_pb2.AppendReply:
        """Takes a leader's entries; synced before the answer."""

    @abc.abstractmethod
    async def handle_install(
        self, request: consensus_pb2.InstallRequest
    ) -> consensus_pb2.AppendReply:
        """Takes a leader's snapshot in place of missing entries."""

    @abc.abstractmethod
    async def handle_join(
        self, request: consensus_pb2.JoinRequest
    ) -> consensus_pb2.JoinReply:
        """Takes a replica in, or back, as a learner."""

    @abc.abstractmethod
    async def handle_timeout_now(
        self, request: consensus_pb2.TimeoutNowRequest
    ) -> consensus_pb2.TimeoutNowReply:
        """Stands for election at once, told so by its leader."""


class Transport(abc.ABC):
    """Sends one message to a member and gives its answer."""

    @abc.abstractmethod
    async def vote(
        self, address: str, request: consensus_pb2.VoteRequest
    ) -> consensus_pb2.VoteReply:
        """Asks for a vote.

        Raises:
            PeerUnreachableError: no answer in time (also for the others).
        """

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
        """Asks to be taken back as a learner."""

    @abc.abstractmethod
    async def timeout_now(
        self, address: str, request: consensus_pb2.TimeoutNowRequest
    ) -> consensus_pb2.TimeoutNowReply:
        """Tells a follower to stand for election at once."""


class GrpcTransport(Transport):
    """Members reached by grpclib.

    Args:
        pool: channels to the members.
        timeout_s: longest wait for a vote or an append.
        install_timeout_s: longest wait for a snapshot's arrival.
    """

    __slots__ = ("_install_timeout_s", "_pool", "_timeout_s")

    def __init__(
        self, pool: ChannelPool, timeout_s: float, install_timeout_s: float
    ):
        """Uses channels of `pool`."""
        self._pool = pool
        self._timeout_s = timeout_s
        self._install_timeout_s = install_timeout_s

    async def vote(
        self, address: str, request: consensus_pb2.VoteRequest
    ) -> consensus_pb2.VoteReply:
        """See Transport."""
        return await self._call(address, "Vote", request, self._timeout_s)

    async def append(
        self, address: str, request: consensus_pb2.AppendRequest
    ) -> consensus_pb2.AppendReply:
        """See Transport."""
        return await self._call(address, "Append", request, self._timeout_s)

    async def install(
        self, address: str, request: consensus_pb2.InstallRequest
    ) -> consensus_pb2.AppendReply:
        """See Transport."""
        return await self._call(
            address, "Install", request, self._install_timeout_s
        )

    async def join(
        self, address: str, request: consensus_pb2.JoinRequest
    ) -> consensus_pb2.JoinReply:
        """See Transport."""
        return await self._call(address, "Join", request, self._timeout_s)

    async def timeout_now(
        self, address: str, request: consensus_pb2.TimeoutNowRequest
    ) -> consensus_pb2.TimeoutNowReply:
        """See Transport."""
        return await self._call(address, "TimeoutNow", request, self._timeout_s)

    async def _call(
        self, address: str, method: str, request: Any, timeout_s: float
    ) -> Any:
        stub = consensus_grpc.ReplicaStub(self._pool.channel(address))
        try:
            call = getattr(stub, method)(request, timeout=timeout_s)
            return await called(call, timeout_s)
        except TimeoutError as error:
            # The connection may have gone silent for good.
            self._pool.drop(address)
            raise PeerUnreachableError(f"{address}: {error}") from error
        except CALL_ERRORS as error:
            raise PeerUnreachableError(f"{address}: {error}") from error


class ReplicaService(consensus_grpc.ReplicaBase):
    """The gRPC face of a replica."""

    def __init__(self, replica: RequestHandler):
        """Serves `replica`."""
        self._replica = replica

    async def Vote(self, stream: Any) -> None:  # noqa: N802
        """Answers a vote request."""
        request = await stream.recv_message()
        with _disk_errors_told():
            reply = await self._replica.handle_vote(request)
        await stream.send_message(reply)

    async def Append(self, stream: Any) -> None:  # noqa: N802
        """Answers entries or a heartbeat."""
        request = await stream.recv_message()
        with _disk_errors_told():
            reply = await self._replica.handle_append(request)
        await stream.send_message(reply)

    async def Install(self, stream: Any) -> None:  # noqa: N802
        """Answers a snapshot."""
        request = await stream.recv_message()
        with _disk_errors_told():
            reply = await self._replica.handle_install(request)
        await stream.send_message(reply)

    async def Join(self, stream: Any) -> None:  # noqa: N802
        """Answers a replica that lost its disk."""
        request = await stream.recv_message()
        await stream.send_message(await self._replica.handle_join(request))

    async def TimeoutNow(self, stream: Any) -> None:  # noqa: N802
        """Answers a leader that hands over."""
        request = await stream.recv_message()
        reply = await self._replica.handle_timeout_now(request)
        await stream.send_message(reply)


@contextlib.contextmanager
def _disk_errors_told() -> Iterator[None]:
    """Turns a failing disk into a refusal; the asking replica tries again."""
    try:
        yield
    except OSError as error:
        log_event("disk_failed", reason=error)
        raise grpclib.GRPCError(
            grpclib.const.Status.UNAVAILABLE, str(error)
        ) from error
