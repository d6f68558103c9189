"""A caller's request, and what a target's answer says beside its body."""

import abc
import dataclasses

from damaskcroft.http1 import CallerRequest, Head, Headers
from damaskcroft.limits import LimitWord, Unnamed

__all__ = ["AnswerFacts", "Call", "Passing", "TargetLoad", "Wire"]


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One request of a caller.

    Attributes:
        request_id: the caller's id for this attempt of it.
        method: for example b"POST".
        target: path and query, passed on as they came.
        host: names the route together with the path.
        path: without the query.
        headers: those that go on to the target.
        body: the whole body.
        key: who the caller says it is; empty for none.
        deadline_s: how long the caller waits; None if it doesn't say.
        arrived_at: loop time at which it was read.
        last_event_id: event after which a stream should go on, or None.
        model: which model should answer; empty for plain services.
        prompt_tokens: length of the prompt.
        max_answer_tokens: most tokens to answer with.
        prefix_ids: parts that the prompt is made of, the shared ones first.
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


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLoad:
    """What a target says of its own load in an answer."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerFacts:
    """What the headers of a target's answer say.

    Attributes:
        request_id: whose answer it is; empty if it doesn't say.
        not_run: the target certifies that the request has not run.
        sealed: the target vouches for status and body.
        target_id: which target answered; empty if it doesn't say.
        load: its load, or None.
        weights_version: version of the weights that answer, or 0.
        misdirected: the target is another one than the request is for.
        rest_s: how long the target wants no request of this entry; None if
            it doesn't ask for that.
        leaving: the target is about to end.
        limit: how many requests a second it takes from all senders.
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
    limit: LimitWord = Unnamed()


@dataclasses.dataclass(frozen=True, slots=True)
class Passing:
    """What one attempt tells its target beyond the caller's headers.

    Attributes:
        target_id: the only target that may run it.
        customer: whose request it is; empty on public routes.
        deadline_s: how long the target may work.
        priority: 0 is the most urgent, 9 the least; None for none.
        last_event_id: event after which the stream should go on, or None.
        weights_version: the only version that may run it, or 0 for any.
    """

    target_id: str
    customer: str
    deadline_s: float
    priority: int | None
    last_event_id: int | None
    weights_version: int


class Wire(abc.ABC):
    """How callers and targets write all this down."""

    @abc.abstractmethod
    def call(self, request: CallerRequest) -> Call | None:
        """Decodes a caller's request; None if a header makes no sense."""

    @abc.abstractmethod
    def target_headers(self, call: Call, passing: Passing) -> Headers:
        """The headers of one attempt."""

    @abc.abstractmethod
    def facts(self, head: Head) -> AnswerFacts:
        """Decodes what an answer's headers say."""

    @abc.abstractmethod
    def answer_headers(self, head: Head) -> Headers:
        """An answer's headers as they go on to the caller."""

    @abc.abstractmethod
    def refusal_headers(
        self, request_id: str, retry_after_s: float | None
    ) -> Headers:
        """Headers of an answer of our own."""
