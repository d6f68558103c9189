"""From a caller's request to a job, or to a refusal at once."""

import asyncio
import dataclasses
import random

from damaskcroft._generated import fleet_pb2
from damaskcroft.clock import now_s
from damaskcroft.fleet import FleetView
from damaskcroft.forwarding._answer_times import AnswerTimes
from damaskcroft.forwarding._call import Call, Wire
from damaskcroft.forwarding._forwarder import Forwarder
from damaskcroft.forwarding._job import (
    DEADLINE,
    BrokenOff,
    Gave,
    Job,
    Ran,
    Refused,
)
from damaskcroft.http1 import (
    Answer,
    CallerHandler,
    CallerLimits,
    CallerRequest,
    Headers,
)
from damaskcroft.observe import log_event, metrics
from damaskcroft.routing import return_after_s

__all__ = ["EntryGate"]

_MS = 1000  # In a second.
# After it was told to end, an entry takes for this long what there is time for
# by others of its route: the balancer needs two of its questions, a second
# apart, to send none. Where all entries end at once it goes on sending,
# and what could be cut by its own time is refused.
_STILL_TAKEN_S = 2.5
# A request may take so much longer than others of its route, on a machine that
# has grown busier.
_SLOWER_S = 0.3
# For so long after its first request an entry may be about to hear of
# configuration and targets: after a loss of power control elects a leader and
# targets announce themselves within two seconds. Later it has been cut off, and
# another entry may serve whom this one refuses.
_FIRST_VIEW_S = 3.0
# Share of its time that a request waits for that: a caller told to come back
# does so within a third of what it has left, and must then still be served.
_FIRST_VIEW_SHARE = 0.33
_LOOK_EVERY_S = 0.02
_STATUS_BY_REASON = {
    "malformed": 400,
    "no_configuration": 503,
    "unknown_key": 401,
    "unknown_route": 404,
}
_NOT_RUN_STATUS = 503
_LOST_STATUS = 502
_LATE_STATUS = 504


@dataclasses.dataclass(frozen=True, slots=True)
class _Stop:
    """When an entry was told to end, and when it gives its last answers."""

    since: float
    last_answers_at: float

    def comes_before(self, timeout_s: float, usual_s: float) -> bool:
        """Whether a request that comes now may miss the last answers.

        Args:
            timeout_s: when it will be over in any case.
            usual_s: what the longest like it have taken.
        """
        now = now_s()
        needed_s = timeout_s
        if now - self.since < _STILL_TAKEN_S:
            needed_s = min(timeout_s, usual_s + _SLOWER_S)
        return now + needed_s > self.last_answers_at


class EntryGate(CallerHandler):
    """Answers callers at one entry."""

    def __init__(
        self,
        wire: Wire,
        view: FleetView,
        forwarder: Forwarder,
        rng: random.Random | None = None,
    ):
        """Looks requests up in `view` and hands them to `forwarder`."""
        self._wire = wire
        self._view = view
        self._forwarder = forwarder
        self._rng = rng or random.Random()
        self._has_had_view = False
        # When a request first found nothing that it could be sent by.
        self._view_wanted_since: float | None = None
        self._limits = CallerLimits()
        self._limits_version = 0
        self._answer_times = AnswerTimes()
        self._stop: _Stop | None = None

    def is_stopping(self) -> bool:
        """See CallerHandler."""
        return self._stop is not None

    def stop(self, within_s: float) -> None:
        """Takes note that this entry ends soon.

        Args:
            within_s: until each request gets its final answer, whatever has
                become of it.
        """
        now = now_s()
        self._stop = _Stop(now, now + within_s)
        self._forwarder.end_by(self._stop.last_answers_at)

    def limits(self) -> CallerLimits:
        """See CallerHandler."""
        table = self._view.table
        if table is not None and self._limits_version != table.version:
            self._limits = _limits_of(table.limits)
            self._limits_version = table.version
        return self._limits

    def refused(self, status: int, reason: str) -> Headers:
        """See CallerHandler."""
        metrics.REFUSALS.labels(reason, Ran.NO.value).inc()
        log_event("refused_unread", status=status, reason=reason)
        return []

    async def handle(self, request: CallerRequest, answer: Answer) -> None:
        """See CallerHandler."""
        call = self._wire.call(request)
        if call is None:
            await self._refuse("", Refused("malformed", Ran.NO), answer)
            return
        await self._wait_for_first_view(call)
        made = self._job(call)
        if isinstance(made, Refused):
            await self._refuse(call.request_id, made, answer)
            return
        try:
            ending = await self._forwarder.forward(made, answer)
        except asyncio.CancelledError:
            if answer.caller_has_ended:
                metrics.REFUSALS.labels("caller_left", Ran.MAYBE.value).inc()
            raise
        match ending:
            case Gave():
                took_s = now_s() - call.arrived_at
                self._answer_times.took(made.route.name, took_s)
                metrics.ANSWERS.labels(made.service).inc()
            case BrokenOff(reason=reason):
                metrics.REFUSALS.labels(reason, Ran.MAYBE.value).inc()
            case Refused():
                await self._refuse(call.request_id, ending, answer, made)

    async def _wait_for_first_view(self, call: Call) -> None:
        """Lets a request wait for what an entry hears right after its start.

        Where all entries start at once, as after a loss of power, callers that
        were refused would meet another entry that knows no more.
        """
        if self._has_had_view:
            return
        if self._view_wanted_since is None:
            self._view_wanted_since = now_s()
        began_at = now_s()
        until = self._view_wanted_since + _FIRST_VIEW_S
        if call.deadline_s is not None:
            share_s = call.deadline_s * _FIRST_VIEW_SHARE
            until = min(until, call.arrived_at + share_s)
        while not self._has_view() and now_s() < until:
            await asyncio.sleep(_LOOK_EVERY_S)
        self._has_had_view = self._has_view()
        waited_s = now_s() - began_at
        if waited_s >= _LOOK_EVERY_S:
            log_event(
                "waited_for_view",
                request=call.request_id,
                waited_s=waited_s,
                came=self._has_had_view,
            )

    def _has_view(self) -> bool:
        has_targets = next(iter(self._view.book.believed()), None) is not None
        return self._view.table is not None and has_targets

    def _job(self, call: Call) -> Job | Refused:
        table = self._view.table
        if table is None:
            return Refused("no_configuration", Ran.NO)
        route = table.route(call.host, call.path)
        if route is None:
            detail = f"version {table.version}"
            return Refused("unknown_route", Ran.NO, detail)
        customer = None
        if table.keys_required and not route.public:
            customer = table.customer(call.key)
            if customer is None:
                detail = f"version {table.version}"
                return Refused("unknown_key", Ran.NO, detail)
        timeout_s = route.timeout_ms / _MS
        if call.deadline_s is not None:
            timeout_s = min(timeout_s, call.deadline_s)
        usual_s = self._answer_times.longest_s(route.name, timeout_s)
        if self._stop and self._stop.comes_before(timeout_s, usual_s):
            return Refused("stopping", Ran.NO)
        deadline_at = call.arrived_at + timeout_s
        if self._stop is not None:
            deadline_at = min(deadline_at, self._stop.last_answers_at)
        return Job(
            call=call,
            route=route,
            service=self._pick_service(route),
            customer=customer.name if customer else "",
            priority=_priority(route, customer),
            deadline_at=deadline_at,
            configuration=table.version,
        )

    def _pick_service(self, route: fleet_pb2.Route) -> str:
        if len(route.shares) == 1:
            return route.shares[0].service
        names = [share.service for share in route.shares]
        weights = [share.weight for share in route.shares]
        return self._rng.choices(names, weights)[0]

    async def _refuse(
        self,
        request_id: str,
        refused: Refused,
        answer: Answer,
        job: Job | None = None,
    ) -> None:
        status = _status(refused)
        wait_s = None
        if status == _NOT_RUN_STATUS:
            wait_s = refused.returns_s
            if wait_s is None:
                wait_s = return_after_s(refused.foreseen_s, self._rng)
        metrics.REFUSALS.labels(refused.reason, refused.ran.value).inc()
        log_event(
            "refused",
            request=request_id,
            status=status,
            reason=refused.reason,
            ran=refused.ran.value,
            detail=refused.detail,
            route=job.route.name if job else "",
            service=job.service if job else "",
            configuration=self._view.version,
            heard_s=self._view.heard_s_ago,
            retry_after_s=wait_s,
        )
        headers = self._wire.refusal_headers(request_id, wait_s)
        await answer.give(status, headers, b"")


def _status(refused: Refused) -> int:
    fixed = _STATUS_BY_REASON.get(refused.reason)
    if fixed is not None:
        return fixed
    if refused.ran is Ran.NO:
        return _NOT_RUN_STATUS
    return _LATE_STATUS if refused.reason == DEADLINE else _LOST_STATUS


def _priority(
    route: fleet_pb2.Route, customer: fleet_pb2.Customer | None
) -> int:
    if customer is not None and customer.HasField("priority"):
        return customer.priority
    return route.priority


def _limits_of(limits: fleet_pb2.CallerLimits) -> CallerLimits:
    usual = CallerLimits()
    return CallerLimits(
        head_bytes=limits.max_header_bytes or usual.head_bytes,
        body_bytes=limits.max_body_bytes or usual.body_bytes,
        head_timeout_s=limits.header_timeout_ms / _MS or usual.head_timeout_s,
        idle_timeout_s=limits.idle_timeout_ms / _MS or usual.idle_timeout_s,
    )
