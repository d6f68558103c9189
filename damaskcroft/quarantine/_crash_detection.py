"""Detection of crashed targets after their connections have ended.

Resets, network partitions, slow links and planned stops end connections as
well. A process is known to have ended if nothing listens at its address any
more, or if a later start has replaced it, and it is counted as a crash if the
target had not announced that it leaves.
"""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from damaskcroft._generated import quarantine_pb2
from damaskcroft.clock import now_s
from damaskcroft.http1 import connect
from damaskcroft.observe import log_event, metrics
from damaskcroft.quarantine._fingerprint import part_names

__all__ = [
    "CrashDetector",
    "LostPart",
    "LostRequest",
    "TargetStart",
    "is_gone",
]

# Delays in seconds before each check of the address. There are several because
# a process that ends closes its connections one by one, before or after its
# listening socket.
_CHECK_DELAYS_S = (0.0, 0.05, 0.2)
_CONNECT_TIMEOUT_S = 0.5
# A target that crashed restarts and announces itself within this time. A start
# that is replaced later may have ended for any reason.
_RESTART_WITHIN_S = 10.0
# Suffix of the id of a start that replaced a crashed one and has not been
# announced yet.
_REPLACEMENT_SUFFIX = "/later"
_MS_IN_S = 1000


class TargetStart(Protocol):
    """The attributes of one start of a target that crash detection uses."""

    @property
    def id(self) -> str:
        """Identifies the start; later starts of the same target differ."""

    @property
    def address(self) -> str:
        """The address at which it listens."""


_StartT = TypeVar("_StartT", bound=TargetStart)


@dataclasses.dataclass(frozen=True, slots=True)
class LostPart:
    """A part of a lost request's prompt that other requests may share.

    Attributes:
        key: key of the part.
        chain: length of the sequence of crashes if this is one.
        was_answered: whether a request with it had run to its end shortly
            before.
    """

    key: bytes
    chain: int = 1
    was_answered: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LostRequest(Generic[_StartT]):
    """A request whose connection ended before it was answered.

    Attributes:
        target: the start of a target to which it was sent.
        service: service for which the target runs.
        fingerprint: fingerprint of the request.
        request_id: request id, for the log.
        chain: length of the sequence of crashes if this is one; see `Suspect`
            in the schema.
        was_answered: whether the request had run to its end shortly before.
        connecting_at: loop time at which a connection was opened for it; None
            if an existing one was reused.
        customer: customer that sends it; empty on public routes.
        parts: the parts of its prompt that other requests may share.
    """

    target: _StartT
    service: str
    fingerprint: bytes
    request_id: str
    chain: int = 1
    was_answered: bool = False
    connecting_at: float | None = None
    customer: str = ""
    parts: tuple[LostPart, ...] = ()


class _PossibleCrash(Generic[_StartT]):
    """A start of a target that may have crashed.

    Attributes:
        start_id: id of the start.
        target: the start, or the one that it replaced.
        service: service for which it runs.
        since: loop time of the first loss since its address was last checked.
        suspects: the requests that were lost there, by fingerprint.
        parts: the parts of their prompts, by key.
        is_crash: whether it is known to have crashed.
        check_task: the task that checks its address.
    """

    __slots__ = (
        "check_task",
        "is_crash",
        "parts",
        "service",
        "since",
        "start_id",
        "suspects",
        "target",
    )

    def __init__(self, start_id: str, target: _StartT, service: str):
        self.start_id = start_id
        self.target = target
        self.service = service
        self.since = now_s()
        self.suspects: dict[bytes, quarantine_pb2.Suspect] = {}
        self.parts: dict[bytes, quarantine_pb2.Suspect] = {}
        self.is_crash = False
        self.check_task: asyncio.Task[None] | None = None

    def add(self, loss: LostRequest[_StartT]) -> None:
        """Adds a lost request and the parts of its prompt."""
        suspect = _suspect(
            self.suspects, loss.fingerprint, loss.chain, loss.was_answered
        )
        suspect.customer = loss.customer
        for part in loss.parts:
            _suspect(self.parts, part.key, part.chain, part.was_answered)
        # Parts are only added, so that their positions stay the same.
        positions = {key: number for number, key in enumerate(self.parts)}
        suspect.parts[:] = [positions[part.key] for part in loss.parts]


def _suspect(
    suspects: dict[bytes, quarantine_pb2.Suspect],
    key: bytes,
    chain: int,
    was_answered: bool,
) -> quarantine_pb2.Suspect:
    """Adds a suspect, or a later loss of a known one."""
    suspect = suspects.setdefault(key, quarantine_pb2.Suspect(fingerprint=key))
    suspect.chain = max(suspect.chain, chain)
    suspect.answered = suspect.answered or was_answered
    return suspect


class CrashDetector(Generic[_StartT]):
    """Distinguishes crashes from other ends of connections.

    Args:
        is_draining: whether a start announced that it ends as planned.
        is_replaced: whether a later start has replaced a start.
        on_crash: called for each crash with the requests that ran there, and
            again when further ones are found.
        crashed_at: loop time at which a start crashed, by its id; None if no
            crash is known.
    """

    def __init__(
        self,
        is_draining: Callable[[_StartT], bool],
        is_replaced: Callable[[_StartT], bool],
        on_crash: Callable[[quarantine_pb2.TargetCrash], None],
        crashed_at: Callable[[str], float | None] = lambda _: None,
    ):
        """Starts without any recorded loss."""
        self._is_draining = is_draining
        self._is_replaced = is_replaced
        self._on_crash = on_crash
        self._crashed_at = crashed_at
        self._possible_crashes_by_start: dict[str, _PossibleCrash[_StartT]] = {}

    def record_loss(
        self, loss: LostRequest[_StartT]
    ) -> asyncio.Task[None] | None:
        """Records a lost request and checks the address of its target.

        Returns:
            The task that checks the target's address; None for a target that
            had announced its end.
        """
        target = loss.target
        if self._is_draining(target):
            return None
        start_id = self._start_id_reached(loss)
        possible_crash = self._possible_crashes_by_start.get(start_id)
        if possible_crash is None:
            possible_crash = _PossibleCrash(start_id, target, loss.service)
            self._possible_crashes_by_start[start_id] = possible_crash
        log_event(
            "request_lost_with_connection",
            request=loss.request_id,
            target=start_id,
            fingerprint=loss.fingerprint.hex(),
            parts=part_names(part.key for part in loss.parts),
        )
        possible_crash.add(loss)
        if possible_crash.is_crash:
            self._report(possible_crash)
        elif (
            possible_crash.check_task is None
            or possible_crash.check_task.done()
        ):
            # The process was alive at the last check and has lost another
            # request since.
            possible_crash.since = now_s()
            possible_crash.check_task = asyncio.create_task(
                self._check_address(possible_crash)
            )
        return possible_crash.check_task

    def _start_id_reached(self, loss: LostRequest[_StartT]) -> str:
        """The id of the start with which a request was lost.

        A connection that was opened after a start had crashed reached the start
        that replaced it at the same address.
        """
        start_id = loss.target.id
        if loss.connecting_at is None:
            return start_id
        while (crashed_at := self._crashed_at(start_id)) is not None:
            if loss.connecting_at <= crashed_at:
                break
            start_id += _REPLACEMENT_SUFFIX
        return start_id

    def has_crashed(self, target: _StartT) -> bool:
        """Whether a start that lost a request is known to have crashed."""
        possible_crash = self._possible_crashes_by_start.get(target.id)
        return possible_crash is not None and possible_crash.is_crash

    def check_replacements(self) -> None:
        """Checks for replaced starts; to be called frequently."""
        for start_id, possible_crash in list(
            self._possible_crashes_by_start.items()
        ):
            is_expired = now_s() - possible_crash.since > _RESTART_WITHIN_S
            if is_expired or self._is_draining(possible_crash.target):
                del self._possible_crashes_by_start[start_id]
                continue
            is_announced = start_id == possible_crash.target.id
            if possible_crash.is_crash or not is_announced:
                continue
            if self._is_replaced(possible_crash.target):
                self._confirm(possible_crash, "started_again")

    async def _check_address(
        self, possible_crash: _PossibleCrash[_StartT]
    ) -> None:
        has_ended = await is_gone(possible_crash.target.address)
        if has_ended and not possible_crash.is_crash:
            self._confirm(possible_crash, "refuses_connections")

    def _confirm(
        self, possible_crash: _PossibleCrash[_StartT], how: str
    ) -> None:
        possible_crash.is_crash = True
        metrics.TARGET_CRASHES.labels(how).inc()
        log_event(
            "target_crashed",
            target=possible_crash.start_id,
            how=how,
            suspects=",".join(sorted(s.hex() for s in possible_crash.suspects)),
            parts=part_names(possible_crash.parts),
        )
        self._report(possible_crash)

    def _report(self, possible_crash: _PossibleCrash[_StartT]) -> None:
        self._on_crash(
            quarantine_pb2.TargetCrash(
                start_id=possible_crash.start_id,
                suspects=[
                    suspect
                    for _, suspect in sorted(possible_crash.suspects.items())
                ],
                age_ms=int((now_s() - possible_crash.since) * _MS_IN_S),
                service=possible_crash.service,
                parts=possible_crash.parts.values(),
            )
        )


async def is_gone(address: str) -> bool:
    """Whether the process that listened at an address has ended.

    To be called when one of its connections has ended.
    """
    for delay_s in _CHECK_DELAYS_S:
        await asyncio.sleep(delay_s)
        if await _is_refused(address):
            return True
    return False


async def _is_refused(address: str) -> bool:
    """Whether an address refuses connections; False if it does not answer."""
    try:
        channel = await connect(address, _CONNECT_TIMEOUT_S)
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    channel.abort()
    return False
