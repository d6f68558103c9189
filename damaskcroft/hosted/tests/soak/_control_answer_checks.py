"""Checks that each request to control gets an answer or a refusal."""

import collections
import dataclasses
import math
import time

# A request on a new connection that ends within this time may have arrived as
# its node stopped listening. The summary counts such requests.
_MAX_CROSSING_S = 0.2
# Logged by a node that closes the connection of a request that it has read
# before the answer is complete.
_ABORTED_ANSWER_EVENT = " event=answer_broken_off "
# Refusals which guarantee that the request has not been executed.
_REFUSED_STATUSES = (408, 421, 429, 503)


@dataclasses.dataclass(slots=True)
class ControlRequest:
    """One request to a control node as its caller saw it.

    Attributes:
        operation: put, read, version, heartbeat, or leave.
        node: IP address of the control node.
        number: position of the request on its connection, from 1.
        open_since: time when its connection was opened or delivered its last
            answer, by `time.monotonic`.
        ended_before: whether the connection had been closed by the node, and
            all its bytes had been read, when the request was sent.
        status: 0 if no complete answer arrived.
        got_bytes: whether any part of an answer arrived.
        sent_at: time of sending, by `time.monotonic`.
        ended_at: time when the caller had received all that it will get;
            infinite if it stopped waiting because its own process ended.
    """

    operation: str
    node: str
    number: int = 1
    open_since: float = -math.inf
    ended_before: bool = False
    status: int = 0
    got_bytes: bool = False
    sent_at: float = dataclasses.field(default_factory=time.monotonic)
    ended_at: float = math.inf


class ControlAnswerChecker:
    """Decides which requests to control without an answer are violations.

    Stops and changed settings don't excuse a request that got neither answer
    nor refusal. A request on a kept connection must get one, because a node
    announces the close of an idle connection by a 408, which answers a request
    that crosses it. A request on a new connection must get one too, because a
    node that stops refuses connections before it accepts the last one. (A
    caller whose answer says "close" opens another connection.)

    Args:
        contact_s: time after its end for which a disruption still counts.
    """

    def __init__(self, contact_s):
        self._contact_s = contact_s
        self._disruptions_by_node = collections.defaultdict(list)
        self._stops_by_node = collections.defaultdict(list)
        self.requests = []
        self._logged_aborts = []

    def add_request(self, request):
        """Records a request that is about to be sent."""
        self.requests.append(request)

    def add_disruption(self, node, span):
        """Records an unplanned disruption.

        Args:
            node: the control node.
            span: list of start and end; the end may be changed later.
        """
        self._disruptions_by_node[node].append(span)

    def add_stop(self, node, span):
        """Records a stop.

        Args:
            node: the control node.
            span: time from SIGTERM to the end of the process; the end may be
                changed later.
        """
        self._stops_by_node[node].append(span)

    def scan_log(self, node, text):
        """Finds requests whose answers a node logged as aborted.

        Nothing excuses these.

        Args:
            node: the control node.
            text: log of the node.
        """
        self._logged_aborts += [
            f"{node} says: {line}"
            for line in text.splitlines()
            if _ABORTED_ANSWER_EVENT in line
        ]

    def find_violations(self):
        """Yields a line for each answer that a caller should have received."""
        yield from self._logged_aborts
        for request in self.requests:
            shortfall = self._shortfall(request)
            if shortfall:
                yield _describe(request, shortfall)

    def summary(self):
        """Counts requests by status, refusals, early 408s and crossings.

        An early 408 is one that was read together with the answer before it.
        Requests that crossed a stop are also counted under status 0.
        """
        counts = collections.Counter(
            request.status
            for request in self.requests
            if not math.isinf(request.ended_at)
        )
        by_status = " ".join(f"{s}:{n}" for s, n in sorted(counts.items()))
        behind = sum(
            request.status == 408 and request.ended_before
            for request in self.requests
        )
        crossed = sum(
            not request.status and self._crossed_stop(request)
            for request in self.requests
        )
        return (
            f"control {by_status} refused(503):{counts[503]} "
            f"told behind an answer:{behind} crossed a stop:{crossed}"
        )

    def _shortfall(self, request):
        """Describes a wrong or missing answer; empty if correct or excused."""
        if math.isinf(request.ended_at):
            return ""
        if request.status:
            return _status_error(request.status)
        if self._was_disrupted(request):
            return ""
        if request.got_bytes:
            return "got an incomplete answer"
        if request.ended_before:
            return "was sent on a connection that had ended without notice"
        return "got no answer"

    def _was_disrupted(self, request):
        since = request.sent_at - self._contact_s
        if request.ended_before:
            # The connection was closed before the request was sent.
            since = min(since, request.open_since)
        return any(
            begun <= request.ended_at and until >= since
            for begun, until in self._disruptions_by_node[request.node]
        )

    def _crossed_stop(self, request):
        return (
            request.number == 1
            and not request.got_bytes
            and request.ended_at - request.sent_at <= _MAX_CROSSING_S
            and any(
                begun <= request.ended_at
                and until + _MAX_CROSSING_S >= request.sent_at
                for begun, until in self._stops_by_node[request.node]
            )
        )


def _status_error(status):
    """Describes a wrong status; each request to control is valid."""
    if status == 200 or status in _REFUSED_STATUSES:
        return ""
    if status < 500:
        return "is valid and was refused as invalid"
    return "got a server error"


def _describe(request, shortfall):
    return (
        f"{request.operation} to {request.node} {shortfall}: "
        f"status {request.status}, request "
        f"{request.number} of its connection, which was open or idle since "
        f"{request.open_since:.3f}, sent at {request.sent_at:.3f}, ended at "
        f"{request.ended_at:.3f}"
    )
