"""Interface between an agent and its target: orders, state and calls."""

import abc
import contextlib
import dataclasses
from collections.abc import AsyncIterator

from damaskcroft._generated import control_pb2
from damaskcroft.engines._orders import EngineUnreachable, OrderOutcome
from damaskcroft.limits import LimitHeader, Unnamed


@dataclasses.dataclass(frozen=True, slots=True)
class LoadOrder:
    """An order to load one version of a model.

    Attributes:
        assignment: the version to load, and the fencing number of the order.
        folder: directory of the verified files on this instance.
    """

    assignment: control_pb2.Assignment
    folder: str


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """The state that a target reports.

    Attributes:
        active: manifest being served, or empty.
        loaded: manifests in memory, including the active one.
        failed: reasons of failed loads, by manifest.
    """

    active: str
    loaded: tuple[str, ...]
    failed: dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class TargetCall:
    """A caller's request as it is sent to the target."""

    request_id: str
    method: str
    path: str
    content_type: str
    body: bytes
    priority: int
    manifest: str


@dataclasses.dataclass(frozen=True, slots=True)
class CallStarted:
    """The target has begun to answer.

    Attributes:
        status: HTTP status.
        content_type: content type of the body.
        body: chunks of the body as they arrive; ends only if the body is
            complete, and raises ConnectionError if the connection breaks
            before.
        request_id: id of the request that the target states it answers.
        limit: rate limit of the target, in requests a second from all
            senders together.
    """

    status: int
    content_type: str
    body: AsyncIterator[bytes]
    request_id: str
    limit: LimitHeader = Unnamed()


@dataclasses.dataclass(frozen=True, slots=True)
class CallNotSent:
    """It is certain that no byte of the request reached the target."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallFailed:
    """The connection broke, and the target may have read the request."""


CallOutcome = CallStarted | CallNotSent | CallFailed


class Engine(abc.ABC):
    """A target that runs calls, and accepts orders from its agent only."""

    @abc.abstractmethod
    async def state(self) -> EngineState | EngineUnreachable:
        """Fetches the state of the target."""

    @abc.abstractmethod
    async def load(self, order: LoadOrder) -> OrderOutcome:
        """Orders a version to be loaded in addition to the active one."""

    @abc.abstractmethod
    async def activate(self, order: LoadOrder) -> OrderOutcome:
        """Orders a loaded version to be served and all others unloaded."""

    @abc.abstractmethod
    async def unload(self, assignment: control_pb2.Assignment) -> OrderOutcome:
        """Orders the target to serve no version."""

    @abc.abstractmethod
    async def is_gone(self) -> bool:
        """Whether the target's process has ended.

        Meant to be called after a connection to the target has ended.
        """

    @abc.abstractmethod
    def call(
        self, call: TargetCall, *, fresh_connection: bool
    ) -> contextlib.AbstractAsyncContextManager[CallOutcome]:
        """Sends a caller's request; leaving the block cancels the answer.

        Args:
            call: the request.
            fresh_connection: open a new connection, because a silently
                closed one that is reused can't be distinguished from a run
                that was interrupted.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections."""
