"""The claim table, a part of the replicated state.

A claim is the right to run one non-idempotent request once. It is committed
before the request is sent anywhere, and bound to one agent process, which keeps
the outcome even if the requesting entry ends.
"""

from collections.abc import Iterable

from damaskcroft._generated import control_pb2

ClaimKey = tuple[str, str]


class ClaimTable:
    """Claims by customer and idempotency key.

    Args:
        retention_ms: how long a settled claim is kept. Within this time a
            request with its key is not run again; after it a caller must not
            resend the key.
        max_per_customer: maximum number of claims of one customer. Further
            ones are refused, so that memory stays bounded.
    """

    __slots__ = (
        "_claims_by_key",
        "_counts_by_customer",
        "_retention_ms",
        "_max_per_customer",
    )

    def __init__(self, retention_ms: int, max_per_customer: int):
        """Creates an empty table."""
        self._retention_ms = retention_ms
        self._max_per_customer = max_per_customer
        # Ordered by the last change, oldest first.
        self._claims_by_key: dict[ClaimKey, control_pb2.ClaimState] = {}
        self._counts_by_customer: dict[str, int] = {}

    def __len__(self) -> int:
        """Number of stored claims."""
        return len(self._claims_by_key)

    def find(self, customer: str, key: str) -> control_pb2.ClaimState | None:
        """Returns the claim of a key, if any."""
        return self._claims_by_key.get((customer, key))

    def claim(
        self, index: int, time_ms: int, request: control_pb2.ClaimRequest
    ) -> control_pb2.ClaimReply:
        """Grants a claim or returns the state of the earlier one for its key.

        Args:
            index: log index; becomes the run number of a granted claim.
            time_ms: log time.
            request: the claim requested by an entry.
        """
        self._expire(time_ms)
        stored = self.find(request.customer, request.key)
        if stored is None:
            count = self._counts_by_customer.get(request.customer, 0)
            if count >= self._max_per_customer:
                return control_pb2.ClaimReply(outcome=control_pb2.CLAIM_FULL)
            return self._grant(index, time_ms, request)
        if stored.body_digest != request.body_digest:
            return control_pb2.ClaimReply(outcome=control_pb2.CLAIM_OTHER_BODY)
        if self._may_run_again(stored, request):
            return self._grant(index, time_ms, request)
        return self.answer(stored)

    def settle(self, time_ms: int, request: control_pb2.SettleRequest) -> bool:
        """Records the outcome of a run.

        Returns:
            Whether the claim now has an outcome. A known outcome never
            changes, but an unknown one may become known.
        """
        stored = self.find(request.customer, request.key)
        if stored is None or stored.run_number != request.run_number:
            return False
        if stored.settled and stored.result != control_pb2.RESULT_UNKNOWN:
            return True
        stored.settled = True
        stored.result = request.result
        stored.answer.CopyFrom(request.answer)
        self._store_as_newest(stored, time_ms)
        return True

    def answer(self, stored: control_pb2.ClaimState) -> control_pb2.ClaimReply:
        """Returns the reply to a repeated claim of a key."""
        reply = control_pb2.ClaimReply(
            run_number=stored.run_number,
            agent=stored.agent,
            agent_incarnation=stored.agent_incarnation,
        )
        if not stored.settled:
            reply.outcome = control_pb2.CLAIM_IN_PROGRESS
        elif stored.result == control_pb2.RESULT_DONE:
            reply.outcome = control_pb2.CLAIM_KEPT
            reply.answer.CopyFrom(stored.answer)
        else:
            reply.outcome = control_pb2.CLAIM_UNKNOWN
        return reply

    def image(self) -> list[control_pb2.ClaimState]:
        """Returns all claims, for a snapshot."""
        return list(self._claims_by_key.values())

    def restore(self, claims: Iterable[control_pb2.ClaimState]) -> None:
        """Replaces all claims by those of a snapshot."""
        self._claims_by_key = {(c.customer, c.key): c for c in claims}
        self._counts_by_customer = {}
        for customer, _ in self._claims_by_key:
            count = self._counts_by_customer.get(customer, 0)
            self._counts_by_customer[customer] = count + 1

    def _may_run_again(
        self,
        stored: control_pb2.ClaimState,
        request: control_pb2.ClaimRequest,
    ) -> bool:
        if stored.settled:
            return stored.result == control_pb2.RESULT_NOT_RUN
        # The entry that holds the claim has proof that its run was refused, and
        # moves the claim to another agent.
        return (
            request.replaces_run != 0
            and request.replaces_run == stored.run_number
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
        self._store_as_newest(state, time_ms)
        return control_pb2.ClaimReply(
            outcome=control_pb2.CLAIM_GRANTED,
            run_number=index,
            agent=request.agent,
            agent_incarnation=request.agent_incarnation,
        )

    def _store_as_newest(
        self, state: control_pb2.ClaimState, time_ms: int
    ) -> None:
        key = (state.customer, state.key)
        state.changed_ms = time_ms
        self._claims_by_key.pop(key, None)
        self._claims_by_key[key] = state

    def _expire(self, time_ms: int) -> None:
        expiry_ms = time_ms - self._retention_ms
        while self._claims_by_key:
            key, claim = next(iter(self._claims_by_key.items()))
            if claim.changed_ms > expiry_ms:
                return
            if not claim.settled:
                # The run may still be in progress, so its claim is kept.
                self._store_as_newest(claim, time_ms)
                continue
            del self._claims_by_key[key]
            self._counts_by_customer[key[0]] -= 1
