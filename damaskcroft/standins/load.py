"""A load of callers that check every answer against the weights."""

import asyncio
import collections
import dataclasses
import json
import random
import time
from collections.abc import Iterator
from typing import Any

from hdrh.histogram import HdrHistogram

from damaskcroft.observe import log_warning
from damaskcroft.rpc import HTTP_ERRORS, make_http_client
from damaskcroft.standins._engine import answer_tokens

_OK = 200
_MAX_MICROSECONDS = 600_000_000
_RESENDS = 60
_MAX_PAUSE_S = 1.0


@dataclasses.dataclass(slots=True)
class LoadPlan:
    """What the callers do.

    Attributes:
        model: the model they name.
        weights_by_version: content digests of versions that may answer.
        service: name of a plain service, or empty.
        customers: names of customers.
        districts: where they ask for answers from.
        workers: callers at once.
        tokens: tokens of one answer.
        deadline_ms: of every request.
        once_share: share of requests that must run at most once.
        alert_share: share of alerts among the repeatable ones.
    """

    model: str
    weights_by_version: dict[str, str]
    service: str
    customers: list[str]
    districts: list[str]
    workers: int = 16
    tokens: int = 8
    deadline_ms: int = 10_000
    once_share: float = 0.25
    alert_share: float = 0.2


class LoadCounts:
    """What became of all requests, by the callers' own count."""

    def __init__(self) -> None:
        """Starts at nothing."""
        self.asked = 0
        self.answered = 0
        self.refusals_by_reason: collections.Counter[str] = (
            collections.Counter()
        )
        self.given_up = 0
        self.wrong = 0
        self.unknown_keys: set[str] = set()
        self.answered_keys: set[str] = set()
        self.not_run_keys: set[str] = set()
        self.versions: collections.Counter[str] = collections.Counter()
        self.first_token_us_by_priority = {
            word: HdrHistogram(1, _MAX_MICROSECONDS, 3)
            for word in ("alert", "draft")
        }
        self.wrong_answers: list[str] = []


class Load:
    """Callers that resend after refusals, as callers should.

    Args:
        urls: the entries; callers turn to the next after a failure.
        plan: what they do.
        seed: of all random choices.
    """

    def __init__(self, urls: list[str], plan: LoadPlan, seed: int = 1):
        """See the class."""
        self._urls = urls
        self._plan = plan
        self._rng = random.Random(seed)
        self.counts = LoadCounts()
        self._stopping = asyncio.Event()
        self._client = make_http_client(
            connections=plan.workers * 2,
            connect_timeout_s=2,
            max_idle_ms=1000,
            checks_kept=False,
        )
        self._patience_s = plan.deadline_ms / 1000 + 5

    def stop(self) -> None:
        """Lets every caller finish what it has begun."""
        self._stopping.set()

    async def run(self) -> LoadCounts:
        """Runs all callers until `stop`."""
        async with asyncio.TaskGroup() as group:
            for number in range(self._plan.workers):
                group.create_task(self._caller(number))
        await self._client.aclose()
        return self.counts

    async def _caller(self, number: int) -> None:
        serial = 0
        while not self._stopping.is_set():
            serial += 1
            name = f"{number}-{serial}"
            if self._rng.random() >= self._plan.once_share:
                await self._ask_repeatable(name)
            elif self._plan.service and self._rng.random() < 0.5:
                await self._ask_service(name)
            else:
                await self._ask_once(name)

    async def _ask_repeatable(self, name: str) -> None:
        word = "draft"
        if self._rng.random() < self._plan.alert_share:
            word = "alert"
        document = self._completion(name, stream=self._rng.random() < 0.5)
        headers = {**self._headers(), "Damask-Priority": word}
        await self._ask("/v1/completions", document, headers, "", word)

    async def _ask_once(self, name: str) -> None:
        document = self._completion(name, stream=self._rng.random() < 0.3)
        document["key"] = f"summary-{name}"
        headers = {**self._headers(), "Idempotency-Key": document["key"]}
        await self._ask(
            "/v1/completions", document, headers, document["key"], "draft"
        )

    async def _ask_service(self, name: str) -> None:
        key = f"voucher-{name}"
        headers = {**self._headers(), "Idempotency-Key": key}
        path = f"/services/{self._plan.service}/vouchers"
        await self._ask(path, {"key": key}, headers, key, "draft")

    def _completion(self, name: str, *, stream: bool) -> dict[str, Any]:
        return {
            "model": self._plan.model,
            "prompt": f"draft {name}",
            "max_tokens": self._plan.tokens,
            "stream": stream,
        }

    def _headers(self) -> dict[str, str]:
        return {
            "Content-Type": "application/json",
            "Damask-Customer": self._rng.choice(self._plan.customers),
            "Damask-District": self._rng.choice(self._plan.districts),
            "Damask-Deadline-Ms": str(self._plan.deadline_ms),
        }

    async def _ask(
        self,
        path: str,
        document: dict[str, Any],
        headers: dict[str, str],
        key: str,
        word: str,
    ) -> None:
        self.counts.asked += 1
        body = json.dumps(document).encode()
        place = self._rng.randrange(len(self._urls))
        for attempt in range(_RESENDS):
            url = self._urls[(place + attempt) % len(self._urls)] + path
            started_at = time.monotonic()
            outcome = await self._send(url, headers, body)
            if isinstance(outcome, bytes):
                took_us = int((time.monotonic() - started_at) * 1e6)
                histogram = self.counts.first_token_us_by_priority[word]
                histogram.record_value(max(1, took_us))
                self._check(document, outcome, key)
                return
            reason, ran, pause_s = outcome
            self.counts.refusals_by_reason[reason] += 1
            if ran == "unknown" and reason == "outcome_unknown" and key:
                self.counts.unknown_keys.add(key)
                return
            await asyncio.sleep(min(pause_s, _MAX_PAUSE_S))
        self.counts.given_up += 1

    async def _send(
        self, url: str, headers: dict[str, str], body: bytes
    ) -> bytes | tuple[str, str, float]:
        """The whole answer, or reason, whether it ran, and a pause in s."""
        sent_at = time.time()
        try:
            async with asyncio.timeout(self._patience_s):
                response = await self._client.post(
                    url, headers=headers, data=body
                )
                content = await response.content()
        except ConnectionRefusedError as error:
            return f"connection_{type(error).__name__}", "unknown", 0.2
        except HTTP_ERRORS as error:
            _log_lost(url, sent_at, error)
            return f"connection_{type(error).__name__}", "unknown", 0.2
        if response.status_code == _OK and b"event: error" not in content:
            return content
        return _refusal(content)

    def _check(
        self, document: dict[str, Any], content: bytes, key: str
    ) -> None:
        self.counts.answered += 1
        if key:
            self.counts.answered_keys.add(key)
        if "prompt" not in document:
            if json.loads(content).get("key") != key:
                self._note_wrong(content)
            return
        # A copy: a test adds versions from another thread.
        for version, weights in list(self._plan.weights_by_version.items()):
            tokens = answer_tokens(document, weights, self._plan.tokens)
            if _text(content) == tokens:
                self.counts.versions[version] += 1
                return
        self._note_wrong(content)

    def _note_wrong(self, content: bytes) -> None:
        self.counts.wrong += 1
        self.counts.wrong_answers.append(content[:300].decode(errors="replace"))


def _log_lost(url: str, sent_at: float, error: BaseException) -> None:
    log_warning(
        "request_lost",
        url=url,
        sent_at=f"{sent_at:.3f}",
        after_s=time.time() - sent_at,
        reused=getattr(error, "reused_connection", None),
        notes=getattr(error, "__notes__", []),
        reason=" from ".join(repr(each) for each in _causes(error)),
    )


def _causes(error: BaseException | None) -> Iterator[BaseException]:
    """An error and what it was raised from, the last first."""
    while error is not None:
        yield error
        error = error.__cause__ or error.__context__


def _refusal(content: bytes) -> tuple[str, str, float]:
    text = content.decode(errors="replace")
    if "event: error" in text:
        text = text.rpartition("data: ")[2]
    try:
        error = json.loads(text)["error"]
        pause_s = int(error.get("retry_after_ms", "200")) / 1000
        return error["type"], error["ran"], pause_s
    except (ValueError, KeyError, TypeError):
        return "not_typed", "unknown", 0.2


def _text(content: bytes) -> list[str]:
    """The tokens of an answer, whole or streamed."""
    if not content.startswith(b"data:"):
        return json.loads(content)["choices"][0]["text"].split()
    lines = content.decode().split("\n\n")
    if "data: [DONE]" not in lines:
        return ["cut"]
    documents = [
        json.loads(line.removeprefix("data: "))
        for line in lines
        if line.startswith("data: {")
    ]
    return [d["choices"][0]["text"].strip() for d in documents]
