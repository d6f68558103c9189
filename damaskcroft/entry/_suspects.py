"""Handling of suspect requests, that is, those whose targets crashed."""

import contextlib
import http

from damaskcroft._generated import agent_pb2, quarantine_pb2
from damaskcroft.entry._calls import Call
from damaskcroft.entry._refusals import Ran, Refusal
from damaskcroft.membership import LeaseClient
from damaskcroft.observe import log_event, metrics
from damaskcroft.quarantine import (
    MAX_RECORDED_BODY_BYTES,
    RecentAnswers,
    SerialCopies,
    fingerprint,
)

__all__ = ["Suspects", "WatchedCall"]


class Suspects:
    """Suspect requests known to control and to this entry.

    Args:
        client: reports the findings of this entry to the leader.
    """

    def __init__(self, client: LeaseClient):
        """Takes the client; its roster holds the crash registry."""
        self.client = client
        self.crash_registry = client.roster.crashes
        self.copies = SerialCopies(self.crash_registry)
        self.recent_answers = RecentAnswers()

    def watch(self, call: Call) -> "WatchedCall":
        """Returns the state to keep for a call before its first attempt."""
        return WatchedCall(self, call)


class WatchedCall:
    """A call and the number of crashes in a row known when it was sent.

    Args:
        suspects: suspect requests that the entry knows.
        call: the call.
    """

    __slots__ = ("_chain", "_fingerprint", "_status", "_suspects", "call")

    def __init__(self, suspects: Suspects, call: Call):
        """Starts with no crash and no answer recorded."""
        self._suspects = suspects
        self.call = call
        self._chain = 0
        # Status of the answer that has begun.
        self._status = 0
        self._fingerprint: bytes | None = None

    @property
    def fingerprint(self) -> bytes:
        """Digest shared by all copies of the call; computed on first use."""
        if self._fingerprint is None:
            self._fingerprint = fingerprint(
                self.call.customer,
                self.call.pool,
                self.call.method.encode(),
                self.call.path.encode(),
                self.call.body,
            )
        return self._fingerprint

    def quarantine_refusal(self, ran: Ran) -> Refusal | None:
        """Returns the refusal if the call is quarantined, or None.

        Args:
            ran: whether an attempt of the call may have run.
        """
        if not self._suspects.crash_registry.has_suspects:
            return None
        remaining_s = self._suspects.crash_registry.quarantined_s(
            self.fingerprint
        )
        if not remaining_s:
            return None
        if ran is Ran.NOT_RUN:
            return Refusal("quarantined", 503, ran, remaining_s)
        return Refusal("quarantined", 502, ran)

    def one_at_a_time(
        self, deadline_at: float
    ) -> contextlib.AbstractAsyncContextManager[None]:
        """Waits while this entry runs another copy of a suspect request."""
        if not self._suspects.crash_registry.has_suspects:
            return contextlib.nullcontext()
        return self._suspects.copies.one_at_a_time(
            self.fingerprint, deadline_at
        )

    def record_dispatch(self) -> None:
        """Records the number of crashes known when the call is sent."""
        if self._suspects.crash_registry.has_suspects:
            known_chain = self._suspects.crash_registry.chain(self.fingerprint)
            self._chain = max(self._chain, known_chain)

    def record_event(self, event: agent_pb2.RunEvent) -> None:
        """Records how an attempt ends, from an event of the agent."""
        match event.WhichOneof("kind"):
            case "failed":
                self._record_crash(event.failed)
            case "head":
                self._status = event.head.status
            case "whole":
                self._record_answer(event.whole.head.status)
            case "end":
                self._record_answer(self._status)

    def _record_crash(self, failed: agent_pb2.RunFailed) -> None:
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
            answered=self._suspects.recent_answers.contains(self.fingerprint),
        )
        self._suspects.crash_registry.merge(
            quarantine_pb2.TargetCrash(
                start_id=failed.target_start, suspects=[suspect]
            )
        )
        self._suspects.client.renew_now()

    def _record_answer(self, status: int) -> None:
        is_failure = status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
        if is_failure:
            return
        if len(self.call.body) <= MAX_RECORDED_BODY_BYTES:
            self._suspects.recent_answers.record(self.fingerprint)
        if not self._suspects.crash_registry.has_suspects:
            return
        if not self._suspects.crash_registry.clear(self.fingerprint):
            return
        metrics.QUARANTINE.labels("cleared").inc()
        log_event(
            "suspect_cleared",
            request_id=self.call.request_id,
            fingerprint=self.fingerprint.hex(),
        )
        self._suspects.client.renew_now()
