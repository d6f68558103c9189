"""Admission of callers' requests at an entry.

Each request becomes a job for the forwarder or is refused at once: when it is
malformed, no configuration is known, no route or key matches, or the entry is
about to stop.
"""

import asyncio
import dataclasses
import random

from damaskcroft._generated import fleet_pb2
from damaskcroft.clock import now_s
from damaskcroft.fleet import FleetView, allowed_regions
from damaskcroft.forwarding._answer_times import AnswerTimes
from damaskcroft.forwarding._call import Call, Wire
from damaskcroft.forwarding._forwarder import Forwarder
from damaskcroft.forwarding._job import (
    DEADLINE,
    Delivered,
    Interrupted,
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
from damaskcroft.routing import draw_retry_after_s

__all__ = ["EntryGate"]

_MS = 1000  # In a second.
# Time after the stop signal during which an entry still admits requests that
# should finish in time, judged by recent answers of their route: the load
# balancer needs two health checks, one second apart, to stop sending. Where all
# entries stop at once it continues to send, so later a request is refused if
# its own timeout exceeds the remaining time.
_STILL_ADMITTED_S = 2.5
# Allowance for a request that takes longer than recent ones of its route, where
# the load of the machine has increased.
_DURATION_MARGIN_S = 0.3
# Time after its first request within which an entry is expected to receive the
# configuration and the targets: after a power loss, control elects a leader and
# targets announce themselves within two seconds. An entry that has received
# none by then is cut off, and another entry may serve the callers it refuses.
_FIRST_VIEW_TIMEOUT_S = 3.0
# Share of its deadline that a request waits for them: a refused caller retries
# within a third of its remaining time, and must then still be served.
_FIRST_VIEW_SHARE = 0.33
_POLL_INTERVAL_S = 0.02
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
class _Shutdown:
    """Times of the stop signal and of the last answers of an entry."""

    since: float
    last_answers_at: float

    def may_miss(self, timeout_s: float, recent_s: float) -> bool:
        """Whether a request that arrives now may not finish in time.

        Args:
            timeout_s: timeout of the request.
            recent_s: longest recent answer of its route.
        """
        now = now_s()
        needed_s = timeout_s
        if now - self.since < _STILL_ADMITTED_S:
            needed_s = min(timeout_s, recent_s + _DURATION_MARGIN_S)
        return now + needed_s > self.last_answers_at


class EntryGate(CallerHandler):
    """Handler of all callers' requests at one entry."""

    def __init__(
        self,
        wire: Wire,
        view: FleetView,
        forwarder: Forwarder,
        rng: random.Random | None = None,
    ):
        """Sets up the gate.

        Args:
            wire: encoding of headers.
            view: configuration and targets that are known to the entry.
            forwarder: receives admitted jobs.
            rng: source of randomness for traffic shares and Retry-After.
        """
        self._wire = wire
        self._view = view
        self._forwarder = forwarder
        self._rng = rng or random.Random()
        self._has_had_view = False
        # When a request first found no configuration or no targets.
        self._view_missing_since: float | None = None
        self._limits = CallerLimits()
        self._limits_version = 0
        self._answer_times = AnswerTimes()
        self._shutdown: _Shutdown | None = None

    def is_stopping(self) -> bool:
        """Whether the entry has been told to stop."""
        return self._shutdown is not None

    def stop(self, within_s: float) -> None:
        """Starts to stop the entry.

        Args:
            within_s: time until every running request gets its final answer,
                whether or not its target has answered.
        """
        now = now_s()
        self._shutdown = _Shutdown(now, now + within_s)
        self._forwarder.end_by(self._shutdown.last_answers_at)

    def limits(self) -> CallerLimits:
        """Limits for callers in the configuration in force."""
        table = self._view.route_table
        if table is not None and self._limits_version != table.version:
            self._limits = _limits_of(table.limits)
            self._limits_version = table.version
        return self._limits

    def refused(self, status: int, reason: str) -> Headers:
        """Counts and logs a refusal before reading; returns its headers."""
        metrics.REFUSALS.labels(reason, Ran.NO.value).inc()
        log_event("refused_unread", status=status, reason=reason)
        return []

    async def handle(self, request: CallerRequest, answer: Answer) -> None:
        """Answers a caller's request from a target, or refuses it."""
        call = self._wire.call(request)
        if call is None:
            await self._refuse("", Refused("malformed", Ran.NO), answer)
            return
        await self._wait_for_first_view(call)
        admitted = self._admit(call)
        if isinstance(admitted, Refused):
            await self._refuse(call.request_id, admitted, answer)
            return
        try:
            ending = await self._forwarder.forward(admitted, answer)
        except asyncio.CancelledError:
            if answer.caller_has_half_closed:
                metrics.REFUSALS.labels("caller_left", Ran.MAYBE.value).inc()
            raise
        match ending:
            case Delivered():
                took_s = now_s() - call.arrived_at
                self._answer_times.record(admitted.route.name, took_s)
                metrics.ANSWERS.labels(admitted.service).inc()
            case Interrupted(reason=reason):
                metrics.REFUSALS.labels(reason, Ran.MAYBE.value).inc()
            case Refused():
                await self._refuse(call.request_id, ending, answer, admitted)

    async def _wait_for_first_view(self, call: Call) -> None:
        """Waits for the first configuration and targets after a start.

        Where all entries start at once, as after a power loss, refused callers
        would only reach another entry that has not received them either.
        """
        if self._has_had_view:
            return
        if self._view_missing_since is None:
            self._view_missing_since = now_s()
        began_at = now_s()
        until = self._view_missing_since + _FIRST_VIEW_TIMEOUT_S
        if call.deadline_s is not None:
            share_s = call.deadline_s * _FIRST_VIEW_SHARE
            until = min(until, call.arrived_at + share_s)
        while not self._has_received_state() and now_s() < until:
            await asyncio.sleep(_POLL_INTERVAL_S)
        self._has_had_view = self._has_received_state()
        waited_s = now_s() - began_at
        if waited_s >= _POLL_INTERVAL_S:
            log_event(
                "waited_for_view",
                request=call.request_id,
                waited_s=waited_s,
                came=self._has_had_view,
            )

    def _has_received_state(self) -> bool:
        has_targets = (
            next(iter(self._view.targets.address_holders()), None) is not None
        )
        return self._view.route_table is not None and has_targets

    def _admit(self, call: Call) -> Job | Refused:
        table = self._view.route_table
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
        recent_s = self._answer_times.longest_s(route.name, timeout_s)
        if self._shutdown and self._shutdown.may_miss(timeout_s, recent_s):
            return Refused("stopping", Ran.NO)
        deadline_at = call.arrived_at + timeout_s
        if self._shutdown is not None:
            deadline_at = min(deadline_at, self._shutdown.last_answers_at)
        return Job(
            call=call,
            route=route,
            service=self._pick_service(route),
            customer=customer.name if customer else "",
            priority=_priority(route, customer),
            deadline_at=deadline_at,
            configuration=table.version,
            allowed_regions=allowed_regions(route, customer),
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
            wait_s = refused.retry_after_s
            if wait_s is None:
                wait_s = draw_retry_after_s(refused.expected_wait_s, self._rng)
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
            heard_s=self._view.last_update_age_s,
            retry_after_s=wait_s,
        )
        headers = self._wire.refusal_headers(request_id, wait_s)
        await answer.send_whole(status, headers, b"")


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
    defaults = CallerLimits()
    return CallerLimits(
        head_bytes=limits.max_header_bytes or defaults.head_bytes,
        body_bytes=limits.max_body_bytes or defaults.body_bytes,
        head_timeout_s=limits.header_timeout_ms / _MS
        or defaults.head_timeout_s,
        idle_timeout_s=limits.idle_timeout_ms / _MS or defaults.idle_timeout_s,
    )
