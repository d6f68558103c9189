"""Which requests to control should have had an answer or a refusal."""

import collections
import dataclasses
import math
import time

# A request on a new connection that ends so soon may have crossed the end of
# its node's listening; the summary tells how many.
_CROSSING_S = 0.2
# What a node logs of a request that it has read, and whose connection it ends
# before the answer is whole.
_BROKEN_OFF = " event=answer_broken_off "
# Refusals that promise that nothing has run.
_REFUSED = (408, 421, 429, 503)


@dataclasses.dataclass(slots=True)
class ControlAsked:
    """One request to a control node as its caller saw it.

    Attributes:
        what: put, read, version, heartbeat, or leave.
        node: IP number of the control node.
        number: which request of its connection, from 1.
        open_since: when its connection was opened or gave its last answer,
            by `time.monotonic`.
        ended_before: whether its connection had ended, and all that came on it
            had been read, when it was sent.
        status: 0 if the connection gave no whole answer.
        got_bytes: whether any part of an answer came.
        sent_at: when, by `time.monotonic`.
        ended_at: when the caller had all that it will get; infinite for one
            that stopped waiting because its own process ended.
    """

    what: str
    node: str
    number: int = 1
    open_since: float = -math.inf
    ended_before: bool = False
    status: int = 0
    got_bytes: bool = False
    sent_at: float = dataclasses.field(default_factory=time.monotonic)
    ended_at: float = math.inf


class ControlAnswersOwed:
    """What excuses a request to control that got neither answer nor refusal.

    Stops and changed settings don't excuse it. A request on a kept connection
    is owed a word: the end of an idle connection is told by a 408, which
    answers the request that crosses it. So is one on a new connection: a node
    that ends refuses connections before it accepts the last one. (A caller
    that an answer told to close opens another connection.)

    Args:
        contact_s: a disturbance counts for so long after its end.
    """

    def __init__(self, contact_s):
        self._contact_s = contact_s
        self._spans_by_node = collections.defaultdict(list)
        self._stops_by_node = collections.defaultdict(list)
        self.asked = []
        self._broken_off = []

    def asks(self, asked):
        """Notes a request that is about to be sent."""
        self.asked.append(asked)

    def disturbed(self, node, span):
        """Notes a disturbance that wasn't planned.

        Args:
            node: the control node.
            span: its begin and end; the end may be changed later.
        """
        self._spans_by_node[node].append(span)

    def stopping(self, node, span):
        """Notes a stop.

        Args:
            node: the control node.
            span: from when it was asked to end until its process has; the end
                may be changed later.
        """
        self._stops_by_node[node].append(span)

    def logged(self, node, text):
        """Finds requests that a node itself says it gave no answer.

        They are owed one whatever else happened.

        Args:
            node: the control node.
            text: its log.
        """
        self._broken_off += [
            f"{node} says: {line}"
            for line in text.splitlines()
            if _BROKEN_OFF in line
        ]

    def breaches(self):
        """What callers of control should have had and didn't get."""
        yield from self._broken_off
        for asked in self.asked:
            what = self._shortfall(asked)
            if what:
                yield _told(asked, what)

    def summary(self):
        """Requests by status, with the refusals, ends told early, crossings.

        An end was told early by a 408 that was read together with the answer
        before. What crossed a stop is among those without a status.
        """
        counts = collections.Counter(
            asked.status
            for asked in self.asked
            if not math.isinf(asked.ended_at)
        )
        by_status = " ".join(f"{s}:{n}" for s, n in sorted(counts.items()))
        behind = sum(
            asked.status == 408 and asked.ended_before for asked in self.asked
        )
        crossed = sum(
            not asked.status and self._crossed(asked) for asked in self.asked
        )
        return (
            f"control {by_status} refused(503):{counts[503]} "
            f"told behind an answer:{behind} crossed a stop:{crossed}"
        )

    def _shortfall(self, asked):
        """What is wrong with an answer; empty if nothing is, or excused."""
        if math.isinf(asked.ended_at):
            return ""
        if asked.status:
            return _fault_of(asked.status)
        if self._was_disturbed(asked):
            return ""
        if asked.got_bytes:
            return "got half of an answer"
        if asked.ended_before:
            return "was sent on a connection that had ended without a word"
        return "got no answer"

    def _was_disturbed(self, asked):
        since = asked.sent_at - self._contact_s
        if asked.ended_before:
            # The end of its connection is older than the request.
            since = min(since, asked.open_since)
        return any(
            begun <= asked.ended_at and until >= since
            for begun, until in self._spans_by_node[asked.node]
        )

    def _crossed(self, asked):
        return (
            asked.number == 1
            and not asked.got_bytes
            and asked.ended_at - asked.sent_at <= _CROSSING_S
            and any(
                begun <= asked.ended_at and until + _CROSSING_S >= asked.sent_at
                for begun, until in self._stops_by_node[asked.node]
            )
        )


def _fault_of(status):
    """What is wrong with a status; each request to control is valid."""
    if status == 200 or status in _REFUSED:
        return ""
    if status < 500:
        return "is valid and was refused as if it weren't"
    return "met a fault"


def _told(asked, what):
    return (
        f"{asked.what} to {asked.node} {what}: status {asked.status}, request "
        f"{asked.number} of its connection, which was open or idle since "
        f"{asked.open_since:.3f}, sent at {asked.sent_at:.3f}, ended at "
        f"{asked.ended_at:.3f}"
    )
