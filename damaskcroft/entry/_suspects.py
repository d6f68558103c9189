"""What an entry does about calls that may crash their targets."""

import contextlib

from damaskcroft._generated import agent_pb2, quarantine_pb2
from damaskcroft.entry._calls import Call
from damaskcroft.entry._refusals import Ran, Refusal
from damaskcroft.membership import LeaseClient
from damaskcroft.observe import log_event, metrics
from damaskcroft.quarantine import Copies, fingerprint

__all__ = ["Suspects"]


class Suspects:
    """Calls that targets crashed under, as control and this entry know them.

    Args:
        client: tells the leader what this entry finds out.
    """

    def __init__(self, client: LeaseClient):
        """See the class."""
        self._client = client
        self._book = client.roster.crashes
        self._copies = Copies(self._book)

    def refusal(self, call: Call, ran: Ran) -> Refusal | None:
        """How a quarantined call ends; None for any other.

        Args:
            call: the call.
            ran: whether an attempt of it may have run.
        """
        if not self._book.has_suspects:
            return None
        left_s = self._book.quarantined_s(_fingerprint(call))
        if not left_s:
            return None
        if ran is Ran.NOT_RUN:
            return Refusal("quarantined", 503, ran, left_s)
        return Refusal("quarantined", 502, ran)

    def one_at_a_time(
        self, call: Call, deadline_at: float
    ) -> contextlib.AbstractAsyncContextManager[None]:
        """Waits while a copy of a suspect is under way here."""
        if not self._book.has_suspects:
            return contextlib.nullcontext()
        return self._copies.one_at_a_time(_fingerprint(call), deadline_at)

    def note(self, call: Call, event: agent_pb2.RunEvent) -> None:
        """Takes what an agent tells of a call's end."""
        match event.WhichOneof("kind"):
            case "failed":
                self._note_failed(call, event.failed)
            case "whole" | "end":
                self._note_answered(call)

    def _note_failed(self, call: Call, failed: agent_pb2.RunFailed) -> None:
        if failed.reason != agent_pb2.FAILED_TARGET_CRASHED:
            return
        suspect = _fingerprint(call)
        log_event(
            "request_lost_with_target",
            request_id=call.request_id,
            target=failed.target_start,
            fingerprint=suspect.hex(),
        )
        self._book.take(
            quarantine_pb2.TargetCrash(
                start_id=failed.target_start, suspects=[suspect]
            )
        )
        self._client.report_soon()

    def _note_answered(self, call: Call) -> None:
        if not self._book.has_suspects:
            return
        suspect = _fingerprint(call)
        if not self._book.clear(suspect):
            return
        metrics.QUARANTINE.labels("cleared").inc()
        log_event(
            "suspect_cleared",
            request_id=call.request_id,
            fingerprint=suspect.hex(),
        )
        self._client.report_soon()


def _fingerprint(call: Call) -> bytes:
    return fingerprint(
        call.customer,
        call.pool,
        call.method.encode(),
        call.path.encode(),
        call.body,
    )
