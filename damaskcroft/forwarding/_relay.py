"""Relays a target's answer to the caller, whole or event by event.

An answer of which the caller has received nothing can still be requested from
another target when its connection is cut. A stream is resumed after the last
event that the caller has received.
"""

import dataclasses
from collections.abc import Callable

from damaskcroft.clock import now_s
from damaskcroft.forwarding._attempt import Answered, Attempt, Lost
from damaskcroft.forwarding._call import Wire
from damaskcroft.forwarding._events import EventSplitter
from damaskcroft.forwarding._hedge import Hedge
from damaskcroft.forwarding._job import (
    SERVER_ERROR,
    Delivered,
    Ending,
    Job,
    Progress,
    interrupted_ending,
)
from damaskcroft.http1 import Answer, CutShortError, Head
from damaskcroft.routing import Candidate, Slot

__all__ = ["Dispatch", "Relay", "why_not_substitute"]

# Answers up to this size are read whole before any part of them is sent to the
# caller, so that a truncated one can still be requested from another target.
_MAX_BUFFERED_BYTES = 256 * 1024


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Dispatch:
    """One attempt of a job at one target.

    Attributes:
        job: the job that is sent.
        answer: the answer to the caller.
        progress: state of the job across its attempts.
        target: the target that it is sent to.
        slot: the slot that it holds at the target.
        attempt: the request on its connection to the target.
        hedge: state of a hedged attempt that may run concurrently.
        sent_at: loop time at which its slot was taken.
    """

    job: Job
    answer: Answer
    progress: Progress
    target: Candidate
    slot: Slot
    attempt: Attempt
    hedge: Hedge
    sent_at: float


class Relay:
    """Relays answers, so that a caller never receives parts of two of them.

    Args:
        wire: encoding of headers.
        on_prompt_processed: called when a target has processed a prompt and
            therefore has capacity for another one.
        on_first_output: called with the first output of an answer and the
            seconds that its target took to produce it.
    """

    def __init__(
        self,
        wire: Wire,
        on_prompt_processed: Callable[[], None],
        on_first_output: Callable[[Dispatch, float], None],
    ):
        """Stores the encoding and the callbacks."""
        self._wire = wire
        self._on_first_output = on_first_output
        self._on_prompt_processed = on_prompt_processed

    async def relay(
        self, dispatch: Dispatch, answered: Answered
    ) -> "Lost | Ending":
        """Relays one target's answer; Lost if another target may be tried."""
        head = answered.head
        streaming = dispatch.job.route.streaming
        success = 200 <= head.status < 300
        if success and not answered.facts.sealed:
            return Lost("unsealed")
        if success and streaming:
            return await self._relay_events(dispatch, head)
        self._record_output(dispatch)
        if dispatch.progress.begun:
            # The caller has already received the head of another target's
            # answer.
            return Lost(f"status_{head.status}")
        return await self._relay_whole(dispatch, head)

    async def _relay_whole(
        self, dispatch: Dispatch, head: Head
    ) -> "Lost | Ending":
        answer, attempt = dispatch.answer, dispatch.attempt
        try:
            body, complete = await attempt.read_whole(_MAX_BUFFERED_BYTES)
        except CutShortError as error:
            return attempt.lost(f"cut_short: {error}")
        if attempt.abort_reason:
            # Another attempt had output while this one's end was checked.
            return attempt.lost("cut_short")
        if head.status >= SERVER_ERROR and _may_retry(dispatch):
            return Lost(f"status_{head.status}")
        dispatch.hedge.take_over()
        headers = self._wire.answer_headers(head)
        if complete:
            await answer.send_whole(head.status, headers, body)
            return Delivered(head.status, attempt.ended_by_close)
        dispatch.progress.begun = dispatch.progress.is_bound_to_target = True
        await answer.send_head(head.status, headers)
        await answer.send_part(body)
        try:
            while part := await attempt.read_part():
                await answer.send_part(part)
        except CutShortError as error:
            return interrupted_ending(attempt.lost(f"cut_short: {error}"))
        await answer.end()
        return Delivered(head.status, attempt.ended_by_close)

    async def _relay_events(
        self, dispatch: Dispatch, head: Head
    ) -> "Lost | Delivered":
        """Relays each event as soon as it is complete."""
        answer, progress = dispatch.answer, dispatch.progress
        splitter = EventSplitter()
        try:
            while part := await dispatch.attempt.read_part():
                for event in splitter.feed(part):
                    if dispatch.attempt.abort_reason:
                        return dispatch.attempt.lost("stream_cut")
                    if _is_already_sent(event.id, progress):
                        continue
                    await self._begin(dispatch, head)
                    # Counted before the write completes: with a slow caller
                    # the event is already in the buffer and will be sent.
                    if event.id is not None:
                        progress.last_event_id = event.id
                    progress.events += 1
                    await answer.send_part(event.data)
                    self._record_output(dispatch)
        except (CutShortError, ValueError) as error:
            return dispatch.attempt.lost(f"stream_cut: {error}")
        if dispatch.attempt.abort_reason:
            return dispatch.attempt.lost("stream_cut")
        if splitter.remainder:
            return dispatch.attempt.lost("stream_cut: ended within an event")
        await self._begin(dispatch, head)
        await answer.end()
        return Delivered(head.status, dispatch.attempt.ended_by_close)

    async def _begin(self, dispatch: Dispatch, head: Head) -> None:
        dispatch.hedge.take_over()
        if dispatch.progress.begun:
            return
        dispatch.progress.begun = True
        headers = self._wire.answer_headers(head)
        await dispatch.answer.send_head(head.status, headers)

    def _record_output(self, dispatch: Dispatch) -> None:
        if dispatch.progress.pace.first_s is None:
            took_s = now_s() - dispatch.sent_at
            self._on_first_output(dispatch, took_s)
        if dispatch.slot.read():
            self._on_prompt_processed()
        dispatch.progress.pace.record_output(now_s())


def why_not_substitute(dispatch: Dispatch, answered: Answered) -> str | None:
    """Why an answer can't replace a silent target's; None if it can.

    The silent target may still produce a better answer.
    """
    status = answered.head.status
    if 200 <= status < 300:
        return None if answered.facts.sealed else "unsealed"
    if status >= SERVER_ERROR or dispatch.progress.begun:
        return f"status_{status}"
    return None


def _is_already_sent(event_id: int | None, progress: Progress) -> bool:
    if event_id is None or progress.last_event_id is None:
        return False
    return event_id <= progress.last_event_id


def _may_retry(dispatch: Dispatch) -> bool:
    """Whether a failed attempt may be retried at another target."""
    job = dispatch.job
    if not job.is_repeatable:
        return False
    if dispatch.hedge.is_running:
        return True
    return job.has_attempt_after(dispatch.progress)
