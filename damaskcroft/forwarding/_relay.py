"""Gives a target's answer to the caller: whole, or event by event."""

import dataclasses
from collections.abc import Callable

from damaskcroft.clock import now_s
from damaskcroft.forwarding._attempt import Answered, Attempt, Lost
from damaskcroft.forwarding._call import Wire
from damaskcroft.forwarding._events import EventSplitter
from damaskcroft.forwarding._hedge import Hedge
from damaskcroft.forwarding._job import (
    SERVER_ERROR,
    Ending,
    Gave,
    Job,
    Progress,
    broken_off,
)
from damaskcroft.http1 import Answer, CutShortError, Head
from damaskcroft.routing import Candidate, Slot

__all__ = ["Relay", "Sending", "why_not_instead"]

# Answers up to this size are read whole before the caller gets any of it, so
# that one that is cut short can still be asked for elsewhere.
_WHOLE_BYTES = 256 * 1024


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Sending:
    """A job on its way to one target.

    Attributes:
        job: what is sent.
        answer: where the caller's answer goes.
        progress: what became of the job so far.
        target: where it is sent.
        slot: its place there.
        made: the attempt.
        hedge: what may be tried beside it.
        sent_at: loop time at which it was sent.
    """

    job: Job
    answer: Answer
    progress: Progress
    target: Candidate
    slot: Slot
    made: Attempt
    hedge: Hedge
    sent_at: float


class Relay:
    """Passes answers on, so that a caller never gets half of two.

    Args:
        wire: how headers are written down.
        room_made: called when a target has read a prompt, and so has room for
            another one.
        first_given: told of the first of an answer, and how many seconds its
            target took.
    """

    def __init__(
        self,
        wire: Wire,
        room_made: Callable[[], None],
        first_given: Callable[[Sending, float], None],
    ):
        """See the class."""
        self._wire = wire
        self._first_given = first_given
        self._room_made = room_made

    async def give(
        self, sending: Sending, answered: Answered
    ) -> "Lost | Ending":
        """Gives one target's answer on; Lost if another may be asked."""
        head = answered.head
        streaming = sending.job.route.streaming
        success = 200 <= head.status < 300
        if success and not answered.facts.sealed:
            return Lost("unsealed")
        if success and streaming:
            return await self._give_events(sending, head)
        self._note_given(sending)
        if sending.progress.begun:
            # The caller has another target's head already.
            return Lost(f"status_{head.status}")
        return await self._give_whole(sending, head)

    async def _give_whole(
        self, sending: Sending, head: Head
    ) -> "Lost | Ending":
        answer, made = sending.answer, sending.made
        try:
            body, complete = await made.read_whole(_WHOLE_BYTES)
        except CutShortError as error:
            return made.lost(f"cut_short: {error}")
        if head.status >= SERVER_ERROR and _may_repeat(sending):
            return Lost(f"status_{head.status}")
        sending.hedge.takes_over()
        headers = self._wire.answer_headers(head)
        if complete:
            await answer.give(head.status, headers, body)
            return Gave(head.status)
        sending.progress.begun = sending.progress.is_tied = True
        await answer.begin(head.status, headers)
        await answer.part(body)
        try:
            while part := await made.read_part():
                await answer.part(part)
        except CutShortError as error:
            return broken_off(made.lost(f"cut_short: {error}"))
        await answer.end()
        return Gave(head.status)

    async def _give_events(self, sending: Sending, head: Head) -> "Lost | Gave":
        """Gives whole events on as they come."""
        answer, progress = sending.answer, sending.progress
        splitter = EventSplitter()
        try:
            while part := await sending.made.read_part():
                for event in splitter.feed(part):
                    if sending.made.given_up:
                        return sending.made.lost("stream_cut")
                    if _is_old(event.id, progress):
                        continue
                    await self._begin(sending, head)
                    # Also while the caller reads slowly: it is as good as sent.
                    if event.id is not None:
                        progress.last_event_id = event.id
                    progress.events += 1
                    await answer.part(event.data)
                    self._note_given(sending)
        except (CutShortError, ValueError) as error:
            return sending.made.lost(f"stream_cut: {error}")
        if splitter.rest:
            return Lost("stream_cut: ended within an event")
        await self._begin(sending, head)
        await answer.end()
        return Gave(head.status)

    async def _begin(self, sending: Sending, head: Head) -> None:
        sending.hedge.takes_over()
        if sending.progress.begun:
            return
        sending.progress.begun = True
        headers = self._wire.answer_headers(head)
        await sending.answer.begin(head.status, headers)

    def _note_given(self, sending: Sending) -> None:
        if sending.progress.pace.first_s is None:
            took_s = now_s() - sending.sent_at
            self._first_given(sending, took_s)
        if sending.slot.read():
            self._room_made()
        sending.progress.pace.given(now_s())


def why_not_instead(sending: Sending, answered: Answered) -> str | None:
    """Why an answer can't take the place of a silent target's; None if it may.

    The silent one may still give a better one.
    """
    status = answered.head.status
    if 200 <= status < 300:
        return None if answered.facts.sealed else "unsealed"
    if status >= SERVER_ERROR or sending.progress.begun:
        return f"status_{status}"
    return None


def _is_old(event_id: int | None, progress: Progress) -> bool:
    if event_id is None or progress.last_event_id is None:
        return False
    return event_id <= progress.last_event_id


def _may_repeat(sending: Sending) -> bool:
    """Whether a failure may still be tried elsewhere."""
    job = sending.job
    if not job.is_repeatable:
        return False
    if sending.hedge.is_running:
        return True
    return job.has_attempt_after(sending.progress)
