"""The gate that every request to a target passes.

One version at a time is behind it. What it refuses is certified: the target
has seen no byte of it and never will.
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
_MAX_RUNS_REMEMBERED = 100_000


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request may go to the target.

    Attributes:
        manifest: the version it is pinned to.
        version: that version's name.
        fencing: the assignment's fencing number.
    """

    manifest: str
    version: str
    fencing: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Certified not run.

    Attributes:
        reason: why.
        retry_after_ms: when trying here again makes sense.
    """

    reason: agent_pb2.RefusalReason
    retry_after_ms: int


class Gate:
    """Admits requests to one target.

    Args:
        lease: the agent's lease.
        slots: how many requests the target runs at once.
        incarnation: this agent process.
        is_service: the target is a plain service, with no version.
        limit: the rate that the target names; None to keep to none.
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
        """Creates a gate with nothing behind it yet."""
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
        """Decides on one request at this instant."""
        refused = self._refusal(request)
        if refused is not None:
            reason = agent_pb2.RefusalReason.Name(refused.reason)
            metrics.GATE_REFUSALS.labels(reason).inc()
            return refused
        if request.HasField("claim"):
            self._remember(request.claim.run_number, ran=True)
        if self._limit is not None:
            self._limit.sending()
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

    def forbid(
        self, inquiry: agent_pb2.InquireRequest
    ) -> agent_pb2.InquireOutcome:
        """Tells whether a claimed run was seen; if not, it never will run."""
        if inquiry.agent_incarnation != self._incarnation:
            return agent_pb2.INQUIRE_OTHER_INCARNATION
        if self._seen_runs.get(inquiry.run_number):
            return agent_pb2.INQUIRE_RUNNING
        self._remember(inquiry.run_number, ran=False)
        return agent_pb2.INQUIRE_NEVER_SEEN

    def mark_not_run(self, run_number: int) -> None:
        """Notes that an admitted run never reached the target."""
        self._remember(run_number, ran=False)

    def open(
        self, model: str, version: str, manifest: str, fencing: int
    ) -> None:
        """Puts one version behind the gate."""
        self.model = model
        self.version = version
        self.manifest = manifest
        self.fencing = fencing
        self.is_open = True

    def shut(self) -> None:
        """Lets nothing in until it is opened again."""
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
            # Cut off: only work that may be repeated goes on.
            return Refused(agent_pb2.REFUSED_LEASE_LAPSED, _RETRY_LATER_MS)
        # Alerts and pings may go above the slots; the target orders by
        # priority.
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

    def _remember(self, run_number: int, *, ran: bool) -> None:
        self._seen_runs[run_number] = ran
        while len(self._seen_runs) > _MAX_RUNS_REMEMBERED:
            self._seen_runs.popitem(last=False)
