"""What an entry does about calls that may crash their targets."""

import contextlib
import http

from damaskcroft._generated import agent_pb2, quarantine_pb2
from damaskcroft.entry._calls import Call
from damaskcroft.entry._refusals import Ran, Refusal
from damaskcroft.membership import LeaseClient
from damaskcroft.observe import log_event, metrics
from damaskcroft.quarantine import (
    MOST_NOTED_BYTES,
    Copies,
    RecentAnswers,
    fingerprint,
)

__all__ = ["Suspects", "WatchedCall"]


class Suspects:
    """Calls that targets crashed under, as control and this entry know them.

    Args:
        client: tells the leader what this entry finds out.
    """

    def __init__(self, client: LeaseClient):
        """See the class."""
        self.client = client
        self.book = client.roster.crashes
        self.copies = Copies(self.book)
        self.recent_answers = RecentAnswers()

    def watched(self, call: Call) -> "WatchedCall":
        """A call whose attempts are about to begin."""
        return WatchedCall(self, call)


class WatchedCall:
    """One call, and how many crashes in a row were known when it was sent.

    Args:
        suspects: what the entry knows.
        call: the call.
    """

    __slots__ = ("_chain", "_fingerprint", "_status", "_suspects", "call")

    def __init__(self, suspects: Suspects, call: Call):
        """See the class."""
        self._suspects = suspects
        self.call = call
        self._chain = 0
        # Of the answer that has begun.
        self._status = 0
        self._fingerprint: bytes | None = None

    @property
    def fingerprint(self) -> bytes:
        """What the call has in common with its copies; hashes the body once."""
        if self._fingerprint is None:
            self._fingerprint = fingerprint(
                self.call.customer,
                self.call.pool,
                self.call.method.encode(),
                self.call.path.encode(),
                self.call.body,
            )
        return self._fingerprint

    def refusal(self, ran: Ran) -> Refusal | None:
        """How the call ends if it is quarantined; None if it isn't.

        Args:
            ran: whether an attempt of it may have run.
        """
        if not self._suspects.book.has_suspects:
            return None
        left_s = self._suspects.book.quarantined_s(self.fingerprint)
        if not left_s:
            return None
        if ran is Ran.NOT_RUN:
            return Refusal("quarantined", 503, ran, left_s)
        return Refusal("quarantined", 502, ran)

    def one_at_a_time(
        self, deadline_at: float
    ) -> contextlib.AbstractAsyncContextManager[None]:
        """Waits while a copy of a suspect is under way here."""
        if not self._suspects.book.has_suspects:
            return contextlib.nullcontext()
        return self._suspects.copies.one_at_a_time(
            self.fingerprint, deadline_at
        )

    def sending(self) -> None:
        """Takes note of what is known when the call is sent."""
        if self._suspects.book.has_suspects:
            known = self._suspects.book.chain(self.fingerprint)
            self._chain = max(self._chain, known)

    def note(self, event: agent_pb2.RunEvent) -> None:
        """Takes what an agent tells of an attempt's end."""
        match event.WhichOneof("kind"):
            case "failed":
                self._note_failed(event.failed)
            case "head":
                self._status = event.head.status
            case "whole":
                self._note_answered(event.whole.head.status)
            case "end":
                self._note_answered(self._status)

    def _note_failed(self, failed: agent_pb2.RunFailed) -> None:
        if failed.reason != agent_pb2.FAILED_TARGET_CRASHED:
            return
        self._chain += 1
        log_event(
            "request_lost_with_target",
            request_id=self.call.request_id,
            target=failed.target_start,
            fingerprint=self.fingerprint.hex(),
        )
        suspect = quarantine_pb2.Suspect(
            fingerprint=self.fingerprint,
            chain=self._chain,
            answered=self._suspects.recent_answers.has(self.fingerprint),
        )
        self._suspects.book.take(
            quarantine_pb2.TargetCrash(
                start_id=failed.target_start, suspects=[suspect]
            )
        )
        self._suspects.client.report_soon()

    def _note_answered(self, status: int) -> None:
        is_failure = status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
        if is_failure:
            return
        if len(self.call.body) <= MOST_NOTED_BYTES:
            self._suspects.recent_answers.note(self.fingerprint)
        if not self._suspects.book.has_suspects:
            return
        if not self._suspects.book.clear(self.fingerprint):
            return
        metrics.QUARANTINE.labels("cleared").inc()
        log_event(
            "suspect_cleared",
            request_id=self.call.request_id,
            fingerprint=self.fingerprint.hex(),
        )
        self._suspects.client.report_soon()
