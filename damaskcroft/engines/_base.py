"""What an agent may ask of its target."""

import abc
import contextlib
import dataclasses
from collections.abc import AsyncIterator

from damaskcroft._generated import control_pb2
from damaskcroft.limits import LimitWord, Unnamed


@dataclasses.dataclass(frozen=True, slots=True)
class LoadOrder:
    """An order to load one version.

    Attributes:
        assignment: what to load; its fencing number goes with the order.
        folder: where the verified files lie on this instance.
    """

    assignment: control_pb2.Assignment
    folder: str


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAccepted:
    """The target has taken the order; its state tells how it ends."""


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRefused:
    """The target has seen a newer fencing number, or can't obey."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class OrderFailed:
    """No answer, or not sent since the lease would end too soon."""

    reason: str


OrderOutcome = OrderAccepted | OrderRefused | OrderFailed


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """What a target says of itself.

    Attributes:
        active: manifest now served, or empty.
        loaded: manifests in memory, the active one included.
        failed: reasons by manifest that would not load.
    """

    active: str
    loaded: tuple[str, ...]
    failed: dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class EngineUnreachable:
    """The target does not answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetCall:
    """A caller's request as it goes to the target."""

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
        content_type: of the body.
        body: the body's pieces as they come; ends only when it is whole.
            Raises ConnectionError if the connection breaks before.
        request_id: which request the target says that it answers.
        limit: how many requests a second it takes from all senders.
    """

    status: int
    content_type: str
    body: AsyncIterator[bytes]
    request_id: str
    limit: LimitWord = Unnamed()


@dataclasses.dataclass(frozen=True, slots=True)
class CallNotSent:
    """Certain: no byte of the request reached the target."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallFailed:
    """The connection broke after the request may have been read."""


CallOutcome = CallStarted | CallNotSent | CallFailed


class Engine(abc.ABC):
    """A target: takes orders from its agent alone, and answers calls."""

    @abc.abstractmethod
    async def state(self) -> EngineState | EngineUnreachable:
        """Reads the target's state back."""

    @abc.abstractmethod
    async def load(self, order: LoadOrder) -> OrderOutcome:
        """Orders a version to be loaded beside what is active."""

    @abc.abstractmethod
    async def activate(self, order: LoadOrder) -> OrderOutcome:
        """Orders a loaded version to be served, and others to be dropped."""

    @abc.abstractmethod
    async def unload(self, assignment: control_pb2.Assignment) -> OrderOutcome:
        """Orders that nothing be served."""

    @abc.abstractmethod
    async def is_gone(self) -> bool:
        """Whether its process has ended; asked when a connection has."""

    @abc.abstractmethod
    def call(
        self, call: TargetCall, *, fresh_connection: bool
    ) -> contextlib.AbstractAsyncContextManager[CallOutcome]:
        """Sends a caller's request; leaving the block cancels the rest.

        Args:
            call: the request.
            fresh_connection: use no kept connection, whose silent closing
                could not be told from a run that was cut off.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections."""
