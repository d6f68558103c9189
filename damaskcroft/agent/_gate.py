"""Admission of requests to one target.

One version at a time is served behind the gate. A refusal certifies that the
target has received no byte of the request and never will.
"""

import asyncio
import collections
import contextlib
import dataclasses
import math
from collections.abc import Iterator

from damaskcroft._generated import agent_pb2
from damaskcroft.agent._target_limit import TargetLimit
from damaskcroft.membership import Lease
from damaskcroft.observe import metrics

_MS = 1000  # In a second.
_RETRY_SOON_MS = 50
_RETRY_LATER_MS = 1000
_MAX_RECORDED_RUNS = 100_000


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request may be sent to the target.

    Attributes:
        manifest: manifest digest of the version the request is pinned to.
        version: that version's name.
        fencing: the assignment's fencing number.
    """

    manifest: str
    version: str
    fencing: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request has certainly not been run.

    Attributes:
        reason: reason of the refusal.
        retry_after_ms: time after which a retry at this target makes sense.
    """

    reason: agent_pb2.RefusalReason
    retry_after_ms: int


class Gate:
    """Admits requests to one target.

    Args:
        lease: the agent's lease.
        slots: number of requests that the target runs at once.
        incarnation: identifies this agent process.
        is_service: whether the target is a plain service without versions.
        limit: rate limit that the target announces; None applies none.
    """

    def __init__(
        self,
        lease: Lease,
        slots: int,
        incarnation: str,
        *,
        is_service: bool,
        limit: TargetLimit | None = None,
    ):
        """Starts closed, except for a plain service."""
        self._limit = limit
        self._lease = lease
        self._slots = slots
        self._incarnation = incarnation
        self._is_service = is_service
        self.manifest = ""
        self.model = ""
        self.version = ""
        self.fencing = 0
        self.is_open = is_service
        self.draining = False
        self.outstanding = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._seen_runs: collections.OrderedDict[int, bool] = (
            collections.OrderedDict()
        )

    def admit(self, request: agent_pb2.RunRequest) -> Admitted | Refused:
        """Admits or refuses one request, without waiting."""
        refused = self._refusal(request)
        if refused is not None:
            reason = agent_pb2.RefusalReason.Name(refused.reason)
            metrics.GATE_REFUSALS.labels(reason).inc()
            return refused
        if request.HasField("claim"):
            self._record_run(request.claim.run_number, ran=True)
        if self._limit is not None:
            self._limit.consume_token()
        return Admitted(self.manifest, self.version, self.fencing)

    @contextlib.contextmanager
    def running(self) -> Iterator[None]:
        """Counts one admitted request until the block ends."""
        self.outstanding += 1
        self._idle.clear()
        try:
            yield
        finally:
            self.outstanding -= 1
            if not self.outstanding:
                self._idle.set()

    def fence_if_unseen(
        self, inquiry: agent_pb2.InquireRequest
    ) -> agent_pb2.InquireOutcome:
        """Returns whether a claimed run was seen; fences it off if not."""
        if inquiry.agent_incarnation != self._incarnation:
            return agent_pb2.INQUIRE_OTHER_INCARNATION
        if self._seen_runs.get(inquiry.run_number):
            return agent_pb2.INQUIRE_RUNNING
        self._record_run(inquiry.run_number, ran=False)
        return agent_pb2.INQUIRE_NEVER_SEEN

    def mark_not_run(self, run_number: int) -> None:
        """Records that an admitted run never reached the target."""
        self._record_run(run_number, ran=False)

    def open(
        self, model: str, version: str, manifest: str, fencing: int
    ) -> None:
        """Admits requests for one version."""
        self.model = model
        self.version = version
        self.manifest = manifest
        self.fencing = fencing
        self.is_open = True

    def shut(self) -> None:
        """Refuses all requests until the gate is opened again."""
        self.is_open = False
        if not self._is_service:
            self.manifest = ""

    async def wait_idle(self) -> None:
        """Waits until no admitted request is running."""
        await self._idle.wait()

    def _refusal(self, request: agent_pb2.RunRequest) -> Refused | None:
        claimed = request.HasField("claim")
        if claimed:
            refused = self._claim_refusal(request.claim)
            if refused is not None:
                return refused
        if self.draining:
            return Refused(agent_pb2.REFUSED_DRAINING, _RETRY_LATER_MS)
        if not self.is_open or request.manifest != self.manifest:
            return Refused(agent_pb2.REFUSED_WRONG_VERSION, _RETRY_SOON_MS)
        if not request.deadline_ms:
            return Refused(agent_pb2.REFUSED_DEADLINE, _RETRY_SOON_MS)
        if claimed and not self._lease.is_held:
            # Without a lease only repeatable requests are admitted.
            return Refused(agent_pb2.REFUSED_LEASE_LAPSED, _RETRY_LATER_MS)
        # Alerts and pings may exceed the slots, because the target schedules
        # by priority.
        if request.priority > 1 and self.outstanding >= self._slots:
            return Refused(agent_pb2.REFUSED_BUSY, _RETRY_SOON_MS)
        wait_s = self._limit.wait_s() if self._limit is not None else 0.0
        if wait_s:
            wait_ms = math.ceil(wait_s * _MS)
            return Refused(agent_pb2.REFUSED_RATE_LIMITED, wait_ms)
        return None

    def _claim_refusal(self, claim: agent_pb2.RunClaim) -> Refused | None:
        if claim.agent_incarnation != self._incarnation:
            return Refused(agent_pb2.REFUSED_OTHER_INCARNATION, _RETRY_SOON_MS)
        ran = self._seen_runs.get(claim.run_number)
        if ran is None:
            return None
        if ran:
            return Refused(agent_pb2.REFUSED_DUPLICATE_RUN, _RETRY_SOON_MS)
        return Refused(agent_pb2.REFUSED_FENCED_RUN, _RETRY_SOON_MS)

    def _record_run(self, run_number: int, *, ran: bool) -> None:
        self._seen_runs[run_number] = ran
        while len(self._seen_runs) > _MAX_RECORDED_RUNS:
            self._seen_runs.popitem(last=False)
