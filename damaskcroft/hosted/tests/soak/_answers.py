"""Which requests should have had a whole answer."""

import collections
import dataclasses
import math

# Of the deployment's settings: a process that was told to end is killed then.
GRACE_S = 8.0
# What the platform's rules excuse at a stop: requests sent until so long after
# it was asked for that targets still work on in the last part of the grace.
_SENT_UNTIL_S = 3.0
_LAST_PART = 1 / 6
# A request that no target began may cross the close of its connection.
_CROSSING_S = 0.2
# Answers that an entry makes itself if it gives a request up.
_GIVEN_UP = (502, 504)
# What an entry says of a request whose configuration has no place for it.
_DENIED = (401, 403, 404, 413, 431)


@dataclasses.dataclass(slots=True)
class Run:
    """One run of a request.

    Attributes:
        target: name of the target.
        start: the start of it.
        began_at: when, by `time.monotonic`.
        ended_at: when the target was done, or noticed that nobody listens.
    """

    target: str
    start: str
    began_at: float
    ended_at: float = math.inf


class AnswersOwed:
    """What excuses a request that ended without a whole answer.

    Pauses of targets, stops, changed settings and changed configurations don't
    excuse it: they are no reason to end an answer.

    Args:
        contact_s: a disturbance counts for so long after its end.
    """

    def __init__(self, contact_s):
        self._contact_s = contact_s
        self._spans_by_who = collections.defaultdict(list)
        self._stops_by_entry = collections.defaultdict(list)
        self._cuts_by_start = collections.defaultdict(list)

    def disturbed(self, who, span):
        """Notes a disturbance that wasn't planned.

        Args:
            who: an entry, or a target; its links count as its own.
            span: its begin and end; the end may be changed later.
        """
        self._spans_by_who[who].append(span)

    def stopping(self, entry, at):
        """Notes that an entry was asked to end."""
        self._stops_by_entry[entry].append(at)

    def cut_off(self, start, at):
        """Notes that a start of a target broke off all its answers."""
        self._cuts_by_start[start].append(at)

    def owed(self, asked_by_id, runs_by_id):
        """Ids of the requests that nothing excuses, in the order sent.

        These are requests that a target began, and those that no target began
        whose callers were held and got nothing.

        Args:
            asked_by_id: requests as their callers saw them.
            runs_by_id: the runs of each.
        """
        return [
            request_id
            for request_id, asked in asked_by_id.items()
            if not math.isinf(asked.took_s)
            and (runs_by_id.get(request_id) or _was_held(asked))
            and not self._is_excused(asked, runs_by_id.get(request_id, []))
        ]

    def breaches(self, asked_by_id, runs_by_id):
        """What callers should have had and didn't get, a line each.

        Args:
            asked_by_id: requests as their callers saw them.
            runs_by_id: the runs of each.
        """
        for request_id in self.owed(asked_by_id, runs_by_id):
            asked = asked_by_id[request_id]
            runs = runs_by_id.get(request_id, [])
            what = _shortfall(asked, runs)
            if what:
                yield f"{request_id} {what}: {_told(asked, runs)}"

    def _is_excused(self, asked, runs):
        return (
            asked.took_s >= asked.budget_s
            or any(self._was_cut_off(asked, run) for run in runs)
            or any(
                self._was_disturbed(asked, who)
                for who in (asked.entry, *(run.target for run in runs))
            )
            or any(
                self._was_late(asked, runs, at)
                for at in self._stops_by_entry[asked.entry]
            )
        )

    def _was_cut_off(self, asked, run):
        return any(
            run.began_at <= at <= asked.ended_at
            for at in self._cuts_by_start[run.start]
        )

    def _was_disturbed(self, asked, who):
        return any(
            since <= asked.ended_at and until >= asked.sent_at - self._contact_s
            for since, until in self._spans_by_who[who]
        )

    def _was_late(self, asked, runs, stop_at):
        """Whether a target was still at work when the grace was nearly over."""
        last_part_at = stop_at + GRACE_S * (1 - _LAST_PART)
        return (
            asked.sent_at <= stop_at + _SENT_UNTIL_S
            and last_part_at <= asked.ended_at <= stop_at + GRACE_S
            and any(
                run.began_at <= asked.ended_at and run.ended_at >= last_part_at
                for run in runs
            )
        )


def _was_held(asked):
    """Whether a caller without an answer waited for one."""
    return not asked.status and asked.took_s > _CROSSING_S


def _shortfall(asked, runs):
    """What is wrong with an answer; nothing if it is whole."""
    if not asked.status:
        return "got no answer"
    if not asked.complete:
        return "got half of an answer"
    if asked.status in _GIVEN_UP:
        return "was given up with time left"
    if asked.status in _DENIED and runs:
        return "was denied once a target had begun it"
    return ""


def _told(asked, runs):
    ran = ", ".join(
        f"{run.start} from {run.began_at:.3f} to {run.ended_at:.3f}"
        for run in runs
    )
    return (
        f"{asked.kind} to {asked.entry}, status {asked.status}, sent at "
        f"{asked.sent_at:.3f}, ended at {asked.ended_at:.3f}, "
        f"ran at {ran or 'no target'}"
    )
