"""A caller's request, and the metadata of a target's answer."""

import abc
import dataclasses

from damaskcroft.http1 import CallerRequest, Head, Headers
from damaskcroft.limits import LimitHeader, Unnamed

__all__ = ["AnswerFacts", "AttemptMetadata", "Call", "TargetLoad", "Wire"]


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One request of a caller.

    Attributes:
        request_id: the caller's id of this attempt of the request.
        method: for example b"POST".
        target: path and query, forwarded unchanged.
        host: selects the route, together with the path.
        path: path without the query.
        headers: headers that are forwarded to the target.
        body: the complete body.
        key: API key of the caller; empty if it sent none.
        deadline_s: how long the caller waits; None if it is not stated.
        arrived_at: loop time at which the request was read.
        last_event_id: event after which a stream is to be resumed, or None.
        model: requested model; empty for services without models.
        prompt_tokens: length of the prompt.
        max_answer_tokens: maximum length of the answer.
        prefix_ids: ids of the parts of the prompt, shared ones first.
    """

    request_id: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: Headers
    body: bytes
    key: str
    deadline_s: float | None
    arrived_at: float
    last_event_id: int | None
    model: str
    prompt_tokens: int
    max_answer_tokens: int
    prefix_ids: tuple[str, ...]

    @property
    def shared_part_ids(self) -> tuple[str, ...]:
        """Ids of the parts of the prompt that other requests may share.

        The last part belongs to the request or its session alone.
        """
        return self.prefix_ids[:-1]


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLoad:
    """Load that a target reports in an answer.

    Attributes:
        running: number of requests that it runs.
        waiting: number of requests that wait there.
        slots: number of requests that it runs at once.
        pace: how long work takes there now; 1 as usual, 2.5 for two and a half
            times as long.
    """

    running: int
    waiting: int
    slots: int
    pace: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerFacts:
    """Metadata in the headers of a target's answer.

    Attributes:
        request_id: id of the answered request; empty if it is not stated.
        not_run: the target certifies that the request has not run.
        sealed: the target certifies status and body as its own.
        target_id: id of the target that answered; empty if it is not stated.
        load: reported load of the target, or None.
        weights_version: version of the weights that were used, or 0.
        misdirected: the request was addressed to a different target.
        rest_s: back-off, the time for which this entry is to send the target
            no request; None if none is requested.
        leaving: the target is about to end.
        limit: rate limit of the target over all senders.
    """

    request_id: str
    not_run: bool
    sealed: bool
    target_id: str
    load: TargetLoad | None
    weights_version: int
    misdirected: bool = False
    rest_s: float | None = None
    leaving: bool = False
    limit: LimitHeader = Unnamed()


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptMetadata:
    """Metadata of one attempt that is sent in addition to caller's headers.

    Attributes:
        target_id: the only target that may run the request.
        customer: customer of the request; empty on public routes.
        deadline_s: time within which the target must answer.
        priority: 0 is the most urgent, 9 the least; None if unset.
        last_event_id: event after which the stream is to be resumed, or None.
        weights_version: the only version that may run it, or 0 for any.
    """

    target_id: str
    customer: str
    deadline_s: float
    priority: int | None
    last_event_id: int | None
    weights_version: int


class Wire(abc.ABC):
    """Encoding of this metadata in the headers of callers and targets."""

    @abc.abstractmethod
    def call(self, request: CallerRequest) -> Call | None:
        """Decodes a caller's request; None if a header is malformed."""

    @abc.abstractmethod
    def target_headers(self, call: Call, passing: AttemptMetadata) -> Headers:
        """Encodes the headers of one attempt."""

    @abc.abstractmethod
    def facts(self, head: Head) -> AnswerFacts:
        """Decodes the metadata in an answer's headers."""

    @abc.abstractmethod
    def answer_headers(self, head: Head) -> Headers:
        """Selects the headers of an answer that are relayed to the caller."""

    @abc.abstractmethod
    def refusal_headers(
        self, request_id: str, retry_after_s: float | None
    ) -> Headers:
        """Encodes the headers of an answer that the entry itself gives."""
