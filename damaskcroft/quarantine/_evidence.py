"""Whether a target crashed when its connections ended.

A reset, a cut, a slow link and a planned stop end connections as well. That
its process is gone is known where nothing listens at its address any more, or
where a later start has taken its place, and it had not said that it leaves.
"""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from damaskcroft._generated import quarantine_pb2
from damaskcroft.clock import now_s
from damaskcroft.http1 import connect
from damaskcroft.observe import log_event, metrics

__all__ = ["CrashWatch", "Loss", "TargetStart", "is_gone"]

# A process that ends closes its connections one by one, before or after the
# socket that it listens on; looked at several times, in seconds.
_LOOK_AFTER_S = (0.0, 0.05, 0.2)
_CONNECT_TIMEOUT_S = 0.5
# Within which a target that crashed is back and has announced itself. Later it
# may have ended for any reason.
_BACK_WITHIN_S = 10.0
# Ends the name of a start that took the place of one that crashed, and that
# nobody has announced yet.
_LATER = "/later"
_MS_IN_S = 1000


class TargetStart(Protocol):
    """One start of a target, as far as evidence needs it."""

    @property
    def id(self) -> str:
        """Names the start; a later one of the same target has another."""

    @property
    def address(self) -> str:
        """Where it listens."""


_StartT = TypeVar("_StartT", bound=TargetStart)


@dataclasses.dataclass(frozen=True, slots=True)
class Loss(Generic[_StartT]):
    """A request whose connection ended before its answer.

    Attributes:
        target: the start of a target that it was sent to.
        service: which the target runs for.
        fingerprint: of the request.
        request_id: its id, for the log.
        chain: how many crashes in a row this one would make; see `Suspect` in
            the schema.
        was_answered: whether it had run to its end shortly before.
        connecting_at: loop time at which a connection was opened for it; None
            where a kept one was used.
    """

    target: _StartT
    service: str
    fingerprint: bytes
    request_id: str
    chain: int = 1
    was_answered: bool = False
    connecting_at: float | None = None


class _Pending(Generic[_StartT]):
    """A start of a target that may have crashed.

    Attributes:
        start_id: its name.
        target: which, or the start whose place it took.
        service: which it runs for.
        since: loop time of the first loss since it was last looked at.
        suspects: the requests that were lost there, by fingerprint.
        is_crash: whether it is known to have crashed.
        looked: done once its address has been looked at.
    """

    __slots__ = (
        "is_crash",
        "looked",
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
        self.is_crash = False
        self.looked: asyncio.Task[None] | None = None


class CrashWatch(Generic[_StartT]):
    """Tells crashes from other ends of connections.

    Args:
        is_leaving: whether a start said that it ends, by plan.
        is_replaced: whether a later start has taken a start's place.
        crashed: told of each crash with the requests that ran there, and
            again when it turns out that others did.
        crashed_at: loop time at which a start crashed, by its name; None for
            one that is not known to have.
    """

    def __init__(
        self,
        is_leaving: Callable[[_StartT], bool],
        is_replaced: Callable[[_StartT], bool],
        crashed: Callable[[quarantine_pb2.TargetCrash], None],
        crashed_at: Callable[[str], float | None] = lambda _: None,
    ):
        """See the class."""
        self._is_leaving = is_leaving
        self._is_replaced = is_replaced
        self._crashed = crashed
        self._crashed_at = crashed_at
        self._pending_by_start: dict[str, _Pending[_StartT]] = {}

    def lost(self, loss: Loss[_StartT]) -> asyncio.Task[None] | None:
        """Takes note of a lost request.

        Returns:
            Done once the target's address has been looked at; None for one
            that was about to end anyhow.
        """
        target = loss.target
        if self._is_leaving(target):
            return None
        start_id = self._start_reached(loss)
        pending = self._pending_by_start.get(start_id)
        if pending is None:
            pending = _Pending(start_id, target, loss.service)
            self._pending_by_start[start_id] = pending
        log_event(
            "request_lost_with_connection",
            request=loss.request_id,
            target=start_id,
            fingerprint=loss.fingerprint.hex(),
        )
        suspect = pending.suspects.setdefault(
            loss.fingerprint,
            quarantine_pb2.Suspect(fingerprint=loss.fingerprint),
        )
        suspect.chain = max(suspect.chain, loss.chain)
        suspect.answered = suspect.answered or loss.was_answered
        if pending.is_crash:
            self._tell(pending)
        elif pending.looked is None or pending.looked.done():
            # It lived when it was looked at, and has lost another since.
            pending.since = now_s()
            pending.looked = asyncio.create_task(self._look_at(pending))
        return pending.looked

    def _start_reached(self, loss: Loss[_StartT]) -> str:
        """The start that a request was lost with.

        A connection that was opened after a start had crashed reached one that
        took its place, at the same address.
        """
        start_id = loss.target.id
        if loss.connecting_at is None:
            return start_id
        while (crashed_at := self._crashed_at(start_id)) is not None:
            if loss.connecting_at <= crashed_at:
                break
            start_id += _LATER
        return start_id

    def has_crashed(self, target: _StartT) -> bool:
        """Whether a start that lost a request is known to have ended."""
        pending = self._pending_by_start.get(target.id)
        return pending is not None and pending.is_crash

    def look(self) -> None:
        """Looks for later starts; to be called often."""
        for start_id, pending in list(self._pending_by_start.items()):
            is_old = now_s() - pending.since > _BACK_WITHIN_S
            if is_old or self._is_leaving(pending.target):
                del self._pending_by_start[start_id]
                continue
            is_announced = start_id == pending.target.id
            if pending.is_crash or not is_announced:
                continue
            if self._is_replaced(pending.target):
                self._confirm(pending, "started_again")

    async def _look_at(self, pending: _Pending[_StartT]) -> None:
        gone = await is_gone(pending.target.address)
        if gone and not pending.is_crash:
            self._confirm(pending, "refuses_connections")

    def _confirm(self, pending: _Pending[_StartT], how: str) -> None:
        pending.is_crash = True
        metrics.TARGET_CRASHES.labels(how).inc()
        log_event(
            "target_crashed",
            target=pending.start_id,
            how=how,
            suspects=",".join(sorted(s.hex() for s in pending.suspects)),
        )
        self._tell(pending)

    def _tell(self, pending: _Pending[_StartT]) -> None:
        self._crashed(
            quarantine_pb2.TargetCrash(
                start_id=pending.start_id,
                suspects=[
                    suspect for _, suspect in sorted(pending.suspects.items())
                ],
                age_ms=int((now_s() - pending.since) * _MS_IN_S),
                service=pending.service,
            )
        )


async def is_gone(address: str) -> bool:
    """Whether the process that listened at an address has ended.

    To be asked when one of its connections has ended.
    """
    for after_s in _LOOK_AFTER_S:
        await asyncio.sleep(after_s)
        if await _is_refused(address):
            return True
    return False


async def _is_refused(address: str) -> bool:
    """Whether nothing listens at an address; a silent one can't be told."""
    try:
        channel = await connect(address, _CONNECT_TIMEOUT_S)
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    channel.abort()
    return False
