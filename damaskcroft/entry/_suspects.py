"""Handling of suspect requests, that is, those whose targets crashed."""

import contextlib
import hashlib
import http
from collections.abc import AsyncIterator

from damaskcroft._generated import agent_pb2, quarantine_pb2
from damaskcroft.entry._calls import MAX_PREFIX_CHARACTERS, Call
from damaskcroft.entry._refusals import Ran, Refusal
from damaskcroft.membership import LeaseClient
from damaskcroft.observe import log_event, metrics
from damaskcroft.quarantine import (
    MAX_RECORDED_BODY_BYTES,
    RecentAnswers,
    RequestTraits,
    SerialCopies,
    SuspectParts,
    fingerprint,
    part_key,
)

__all__ = ["Suspects", "WatchedCall"]

_PREFIX_DIGEST_BYTES = 8


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
        self.parts = SuspectParts(self.crash_registry, self.copies)

    def watch(self, call: Call) -> "WatchedCall":
        """Returns the state to keep for a call before its first attempt."""
        return WatchedCall(self, call)


class WatchedCall:
    """A call and the number of crashes in a row known when it was sent.

    Args:
        suspects: suspect requests that the entry knows.
        call: the call.
    """

    __slots__ = (
        "_chain",
        "_chain_by_part",
        "_fingerprint",
        "_status",
        "_suspects",
        "call",
        "traits",
    )

    def __init__(self, suspects: Suspects, call: Call):
        """Starts with no crash and no answer recorded."""
        self._suspects = suspects
        self.call = call
        self.traits = _traits(call)
        self._chain = 0
        self._chain_by_part: dict[bytes, int] = {}
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
        remaining_s = self._quarantined_s()
        if not remaining_s:
            return None
        if ran is Ran.NOT_RUN:
            return Refusal("quarantined", 503, ran, remaining_s)
        return Refusal("quarantined", 502, ran)

    def _quarantined_s(self) -> float:
        """Seconds for which the call is still refused; 0 if it is not."""
        return self._suspects.crash_registry.refused_s(
            self.fingerprint, self.traits
        )

    @contextlib.asynccontextmanager
    async def one_at_a_time(self, deadline_at: float) -> AsyncIterator[None]:
        """Waits while this entry runs another copy of a suspect request.

        Waits also while another request with the same new suspect part runs.
        """
        if not self._suspects.crash_registry.has_suspects:
            yield
            return

        def is_refused() -> bool:
            return bool(self._quarantined_s())

        async with (
            self._suspects.parts.one_at_a_time(
                self.traits, deadline_at, is_refused
            ),
            self._suspects.copies.one_at_a_time(
                self.fingerprint, deadline_at, is_refused=is_refused
            ),
        ):
            yield

    def record_dispatch(self) -> None:
        """Records the number of crashes known when the call is sent."""
        if self._suspects.crash_registry.has_suspects:
            known_chain = self._suspects.crash_registry.chain(self.fingerprint)
            self._chain = max(self._chain, known_chain)
            self._chain_by_part = self._suspects.parts.chains(self.traits)

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
        lost_parts = self._suspects.parts.lost(self.traits, self._chain_by_part)
        parts = [
            quarantine_pb2.Suspect(
                fingerprint=part.key,
                chain=part.chain,
                answered=part.was_answered,
            )
            for part in lost_parts
        ]
        suspect = quarantine_pb2.Suspect(
            fingerprint=self.fingerprint,
            chain=self._chain,
            answered=self._suspects.recent_answers.contains(self.fingerprint),
            parts=range(len(parts)),
            customer=self.call.customer,
        )
        self._suspects.crash_registry.merge(
            quarantine_pb2.TargetCrash(
                start_id=failed.target_start, suspects=[suspect], parts=parts
            )
        )
        self._suspects.client.renew_now()

    def _record_answer(self, status: int) -> None:
        is_failure = status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
        if is_failure:
            return
        if len(self.call.body) <= MAX_RECORDED_BODY_BYTES:
            self._suspects.recent_answers.record(self.fingerprint)
        cleared = self._suspects.parts.record_answer(
            self.traits, self.call.request_id
        )
        registry = self._suspects.crash_registry
        if registry.has_suspects and registry.is_suspect(self.fingerprint):
            metrics.QUARANTINE.labels("cleared").inc()
            log_event(
                "suspect_cleared",
                request_id=self.call.request_id,
                fingerprint=self.fingerprint.hex(),
            )
            cleared.add(self.fingerprint)
        if cleared:
            registry.clear_all(cleared)
            self._suspects.client.renew_now()


def _traits(call: Call) -> RequestTraits:
    """What a call shares with others; a shorter prompt is all its own."""
    if len(call.prefix.decode()) < MAX_PREFIX_CHARACTERS:
        return RequestTraits(call.customer)
    digest = hashlib.blake2b(call.prefix, digest_size=_PREFIX_DIGEST_BYTES)
    key = part_key(call.pool, "", digest.hexdigest())
    return RequestTraits(call.customer, frozenset([key]))
