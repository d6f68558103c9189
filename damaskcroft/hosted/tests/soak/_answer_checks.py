"""Checks that each request gets a complete answer, unless it is excused."""

import collections
import dataclasses
import math

# Grace period of the deployment's settings: the platform kills a process this
# long after SIGTERM.
GRACE_S = 8.0
# At a stop the platform's rules excuse requests that were sent at most this
# long after SIGTERM, and that targets still execute in the last share of the
# grace period.
_MAX_SENT_AFTER_STOP_S = 3.0
_LAST_GRACE_SHARE = 1 / 6
# A request that no target began may have crossed the close of its connection if
# it ends within this time.
_MAX_CROSSING_S = 0.2
# Statuses with which an entry itself answers a request that it gives up.
_GAVE_UP_STATUSES = (502, 504)
# Statuses with which an entry denies a request that the configuration does not
# permit.
_DENIED_STATUSES = (401, 403, 404, 413, 431)


@dataclasses.dataclass(slots=True)
class Execution:
    """One execution of a request at a target.

    Attributes:
        target: name of the target.
        start: the start of the target.
        began_at: time at which the execution began, by `time.monotonic`.
        ended_at: time when the target completed the answer or noticed that its
            connection was closed.
    """

    target: str
    start: str
    began_at: float
    ended_at: float = math.inf


class AnswerChecker:
    """Decides which requests without a complete answer are violations.

    Unplanned disruptions of a request's entry and targets excuse it. Pauses of
    targets, stops, changed settings and changed configurations don't, because
    none of them is a reason to end an answer.

    Args:
        contact_s: time after its end for which a disruption still counts.
    """

    def __init__(self, contact_s):
        self._contact_s = contact_s
        self._disruptions_by_party = collections.defaultdict(list)
        self._stops_by_entry = collections.defaultdict(list)
        self._aborts_by_start = collections.defaultdict(list)

    def add_disruption(self, party, span):
        """Records an unplanned disruption.

        Args:
            party: an entry or a target; disruptions of its links count too.
            span: list of start and end; the end may be changed later.
        """
        self._disruptions_by_party[party].append(span)

    def add_stop(self, entry, at):
        """Records that SIGTERM was sent to an entry."""
        self._stops_by_entry[entry].append(at)

    def record_abort(self, start, at):
        """Records that a start of a target aborted all its answers."""
        self._aborts_by_start[start].append(at)

    def unexcused_ids(self, requests_by_id, executions_by_id):
        """Returns the ids of the requests that nothing excuses, in order.

        These are requests that a target began, and requests that no target
        began but whose callers waited and received nothing.

        Args:
            requests_by_id: requests as their callers saw them.
            executions_by_id: executions of each request.
        """
        return [
            request_id
            for request_id, request in requests_by_id.items()
            if not math.isinf(request.took_s)
            and (executions_by_id.get(request_id) or _was_held(request))
            and not self._is_excused(
                request, executions_by_id.get(request_id, [])
            )
        ]

    def find_violations(self, requests_by_id, executions_by_id):
        """Yields a line for each answer that a caller should have received.

        Args:
            requests_by_id: requests as their callers saw them.
            executions_by_id: executions of each request.
        """
        for request_id in self.unexcused_ids(requests_by_id, executions_by_id):
            request = requests_by_id[request_id]
            executions = executions_by_id.get(request_id, [])
            shortfall = _shortfall(request, executions)
            if shortfall:
                yield (
                    f"{request_id} {shortfall}: "
                    f"{_describe(request, executions)}"
                )

    def _is_excused(self, request, executions):
        return (
            request.took_s >= request.budget_s
            or any(
                self._was_aborted(request, execution)
                for execution in executions
            )
            or any(
                self._was_disrupted(request, party)
                for party in (
                    request.entry,
                    *(execution.target for execution in executions),
                )
            )
            or any(
                self._was_cut_by_grace_end(request, executions, at)
                for at in self._stops_by_entry[request.entry]
            )
        )

    def _was_aborted(self, request, execution):
        return any(
            execution.began_at <= at <= request.ended_at
            for at in self._aborts_by_start[execution.start]
        )

    def _was_disrupted(self, request, party):
        return any(
            since <= request.ended_at
            and until >= request.sent_at - self._contact_s
            for since, until in self._disruptions_by_party[party]
        )

    def _was_cut_by_grace_end(self, request, executions, stop_at):
        """Whether a target still worked when the grace period nearly ended."""
        last_share_at = stop_at + GRACE_S * (1 - _LAST_GRACE_SHARE)
        return (
            request.sent_at <= stop_at + _MAX_SENT_AFTER_STOP_S
            and last_share_at <= request.ended_at <= stop_at + GRACE_S
            and any(
                execution.began_at <= request.ended_at
                and execution.ended_at >= last_share_at
                for execution in executions
            )
        )


def _was_held(request):
    """Whether a caller waited longer than a crossing of a close explains."""
    return not request.status and request.took_s > _MAX_CROSSING_S


def _shortfall(request, executions):
    """Describes what is wrong with an answer; empty if it is complete."""
    if not request.status:
        return "got no answer"
    if not request.complete:
        return "got an incomplete answer"
    if request.status in _GAVE_UP_STATUSES:
        return "was given up with time left"
    if request.status in _DENIED_STATUSES and executions:
        return "was denied once a target had begun it"
    return ""


def _describe(request, executions):
    ran = ", ".join(
        f"{execution.start} from {execution.began_at:.3f} "
        f"to {execution.ended_at:.3f}"
        for execution in executions
    )
    return (
        f"{request.kind} to {request.entry}, status {request.status}, sent at "
        f"{request.sent_at:.3f}, ended at {request.ended_at:.3f}, "
        f"ran at {ran or 'no target'}"
    )
