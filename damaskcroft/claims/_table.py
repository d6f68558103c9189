"""The claim table: one part of the replicated state.

A claim is the right to run one non-idempotent request once. It is committed
before the request is sent anywhere, and bound to one agent process, which
keeps the outcome even when the entry that asked is gone.
"""

from collections.abc import Iterable

from damaskcroft._generated import control_pb2

ClaimKey = tuple[str, str]


class ClaimTable:
    """Claims by customer and idempotency key.

    Args:
        kept_ms: how long a settled claim is kept. Within this time a key
            never runs again; a caller must not resend a key after it.
        per_customer: most claims of one customer; above it new ones are
            refused, so that memory stays bounded.
    """

    __slots__ = (
        "_claims_by_key",
        "_counts_by_customer",
        "_kept_ms",
        "_per_customer",
    )

    def __init__(self, kept_ms: int, per_customer: int):
        """Creates an empty table."""
        self._kept_ms = kept_ms
        self._per_customer = per_customer
        # In order of the last change, so that the oldest stand first.
        self._claims_by_key: dict[ClaimKey, control_pb2.ClaimState] = {}
        self._counts_by_customer: dict[str, int] = {}

    def __len__(self) -> int:
        """How many claims are held."""
        return len(self._claims_by_key)

    def find(self, customer: str, key: str) -> control_pb2.ClaimState | None:
        """The claim of a key, if any."""
        return self._claims_by_key.get((customer, key))

    def claim(
        self, index: int, time_ms: int, request: control_pb2.ClaimRequest
    ) -> control_pb2.ClaimReply:
        """Grants a claim or tells what became of the earlier one.

        Args:
            index: log index; the run number if the claim is granted.
            time_ms: log time.
            request: who wants to run what.
        """
        self._expire(time_ms)
        held = self.find(request.customer, request.key)
        if held is None:
            count = self._counts_by_customer.get(request.customer, 0)
            if count >= self._per_customer:
                return control_pb2.ClaimReply(outcome=control_pb2.CLAIM_FULL)
            return self._grant(index, time_ms, request)
        if held.body_digest != request.body_digest:
            return control_pb2.ClaimReply(outcome=control_pb2.CLAIM_OTHER_BODY)
        if self._may_run_again(held, request):
            return self._grant(index, time_ms, request)
        return self.answer(held)

    def settle(self, time_ms: int, request: control_pb2.SettleRequest) -> bool:
        """Records the outcome of a run.

        Returns:
            Whether the claim now holds an outcome. A settled outcome never
            changes, but an unknown one may become known.
        """
        held = self.find(request.customer, request.key)
        if held is None or held.run_number != request.run_number:
            return False
        if held.settled and held.result != control_pb2.RESULT_UNKNOWN:
            return True
        held.settled = True
        held.result = request.result
        held.answer.CopyFrom(request.answer)
        self._touch(held, time_ms)
        return True

    def answer(self, held: control_pb2.ClaimState) -> control_pb2.ClaimReply:
        """What a second arrival of a claimed key is told."""
        reply = control_pb2.ClaimReply(
            run_number=held.run_number,
            agent=held.agent,
            agent_incarnation=held.agent_incarnation,
        )
        if not held.settled:
            reply.outcome = control_pb2.CLAIM_IN_PROGRESS
        elif held.result == control_pb2.RESULT_DONE:
            reply.outcome = control_pb2.CLAIM_KEPT
            reply.answer.CopyFrom(held.answer)
        else:
            reply.outcome = control_pb2.CLAIM_UNKNOWN
        return reply

    def image(self) -> list[control_pb2.ClaimState]:
        """All claims, for a snapshot."""
        return list(self._claims_by_key.values())

    def restore(self, claims: Iterable[control_pb2.ClaimState]) -> None:
        """Replaces the content by a snapshot's."""
        self._claims_by_key = {(c.customer, c.key): c for c in claims}
        self._counts_by_customer = {}
        for customer, _ in self._claims_by_key:
            count = self._counts_by_customer.get(customer, 0)
            self._counts_by_customer[customer] = count + 1

    def _may_run_again(
        self,
        held: control_pb2.ClaimState,
        request: control_pb2.ClaimRequest,
    ) -> bool:
        if held.settled:
            return held.result == control_pb2.RESULT_NOT_RUN
        # The entry that holds the claim has a certificate that its run was
        # refused, and moves the claim to another agent.
        return (
            request.replaces_run != 0
            and request.replaces_run == held.run_number
        )

    def _grant(
        self, index: int, time_ms: int, request: control_pb2.ClaimRequest
    ) -> control_pb2.ClaimReply:
        state = control_pb2.ClaimState(
            customer=request.customer,
            key=request.key,
            body_digest=request.body_digest,
            run_number=index,
            agent=request.agent,
            agent_incarnation=request.agent_incarnation,
        )
        key = (request.customer, request.key)
        if key not in self._claims_by_key:
            count = self._counts_by_customer.get(request.customer, 0)
            self._counts_by_customer[request.customer] = count + 1
        self._touch(state, time_ms)
        return control_pb2.ClaimReply(
            outcome=control_pb2.CLAIM_GRANTED,
            run_number=index,
            agent=request.agent,
            agent_incarnation=request.agent_incarnation,
        )

    def _touch(self, state: control_pb2.ClaimState, time_ms: int) -> None:
        key = (state.customer, state.key)
        state.changed_ms = time_ms
        self._claims_by_key.pop(key, None)
        self._claims_by_key[key] = state

    def _expire(self, time_ms: int) -> None:
        oldest_ms = time_ms - self._kept_ms
        while self._claims_by_key:
            key, claim = next(iter(self._claims_by_key.items()))
            if claim.changed_ms > oldest_ms:
                return
            if not claim.settled:
                # Never forgotten while it may still be running.
                self._touch(claim, time_ms)
                continue
            del self._claims_by_key[key]
            self._counts_by_customer[key[0]] -= 1
