"""Load generator whose callers check every answer against the weights."""

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
_MAX_ATTEMPTS = 60
_MAX_PAUSE_S = 1.0


@dataclasses.dataclass(slots=True)
class LoadPlan:
    """Parameters of the load.

    Attributes:
        model: model of each completion request.
        weights_by_version: content digests of versions that may answer.
        service: name of a plain service, or empty.
        customers: names of customers, drawn at random.
        districts: preferred districts, drawn at random.
        workers: number of concurrent callers.
        tokens: tokens of one answer.
        deadline_ms: deadline of every request.
        once_share: share of requests that must run at most once.
        alert_share: share of alerts among the repeatable requests.
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
    """Outcomes of all requests, as the callers counted them."""

    def __init__(self) -> None:
        """Starts with all counts at zero."""
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
            priority: HdrHistogram(1, _MAX_MICROSECONDS, 3)
            for priority in ("alert", "draft")
        }
        self.wrong_answers: list[str] = []


class Load:
    """Callers that send a request again after a refusal or a lost connection.

    Args:
        urls: base URLs of the entries; a caller tries the next after a failure.
        plan: parameters of the load.
        seed: seed of all random choices.
    """

    def __init__(self, urls: list[str], plan: LoadPlan, seed: int = 1):
        """Creates the client; `run` starts the callers."""
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
        self._timeout_s = plan.deadline_ms / 1000 + 5

    def stop(self) -> None:
        """Stops new requests; requests in progress are completed."""
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
                await self._send_repeatable(name)
            elif self._plan.service and self._rng.random() < 0.5:
                await self._call_service(name)
            else:
                await self._send_once(name)

    async def _send_repeatable(self, name: str) -> None:
        priority = "draft"
        if self._rng.random() < self._plan.alert_share:
            priority = "alert"
        document = self._completion(name, stream=self._rng.random() < 0.5)
        headers = {**self._headers(), "Damask-Priority": priority}
        await self._send_until_answered(
            "/v1/completions", document, headers, "", priority
        )

    async def _send_once(self, name: str) -> None:
        document = self._completion(name, stream=self._rng.random() < 0.3)
        document["key"] = f"summary-{name}"
        headers = {**self._headers(), "Idempotency-Key": document["key"]}
        await self._send_until_answered(
            "/v1/completions", document, headers, document["key"], "draft"
        )

    async def _call_service(self, name: str) -> None:
        key = f"voucher-{name}"
        headers = {**self._headers(), "Idempotency-Key": key}
        path = f"/services/{self._plan.service}/vouchers"
        await self._send_until_answered(
            path, {"key": key}, headers, key, "draft"
        )

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

    async def _send_until_answered(
        self,
        path: str,
        document: dict[str, Any],
        headers: dict[str, str],
        key: str,
        priority: str,
    ) -> None:
        self.counts.asked += 1
        body = json.dumps(document).encode()
        first_url_index = self._rng.randrange(len(self._urls))
        for attempt in range(_MAX_ATTEMPTS):
            url = (
                self._urls[(first_url_index + attempt) % len(self._urls)] + path
            )
            started_at = time.monotonic()
            outcome = await self._send_attempt(url, headers, body)
            if isinstance(outcome, bytes):
                took_us = int((time.monotonic() - started_at) * 1e6)
                histogram = self.counts.first_token_us_by_priority[priority]
                histogram.record_value(max(1, took_us))
                self._check_answer(document, outcome, key)
                return
            reason, ran, pause_s = outcome
            self.counts.refusals_by_reason[reason] += 1
            if ran == "unknown" and reason == "outcome_unknown" and key:
                self.counts.unknown_keys.add(key)
                return
            await asyncio.sleep(min(pause_s, _MAX_PAUSE_S))
        self.counts.given_up += 1

    async def _send_attempt(
        self, url: str, headers: dict[str, str], body: bytes
    ) -> bytes | tuple[str, str, float]:
        """Returns the answer, or a reason, whether it ran and a pause in s."""
        sent_at = time.time()
        try:
            async with asyncio.timeout(self._timeout_s):
                response = await self._client.post(
                    url, headers=headers, data=body
                )
                content = await response.content()
        except ConnectionRefusedError as error:
            return f"connection_{type(error).__name__}", "unknown", 0.2
        except HTTP_ERRORS as error:
            _log_lost_request(url, sent_at, error)
            return f"connection_{type(error).__name__}", "unknown", 0.2
        if response.status_code == _OK and b"event: error" not in content:
            return content
        return _parse_refusal(content)

    def _check_answer(
        self, document: dict[str, Any], content: bytes, key: str
    ) -> None:
        self.counts.answered += 1
        if key:
            self.counts.answered_keys.add(key)
        if "prompt" not in document:
            if json.loads(content).get("key") != key:
                self._record_wrong_answer(content)
            return
        # Iterates over a copy because tests add versions from another thread.
        for version, weights in list(self._plan.weights_by_version.items()):
            tokens = answer_tokens(document, weights, self._plan.tokens)
            if _parse_tokens(content) == tokens:
                self.counts.versions[version] += 1
                return
        self._record_wrong_answer(content)

    def _record_wrong_answer(self, content: bytes) -> None:
        self.counts.wrong += 1
        self.counts.wrong_answers.append(content[:300].decode(errors="replace"))


def _log_lost_request(url: str, sent_at: float, error: BaseException) -> None:
    log_warning(
        "request_lost",
        url=url,
        sent_at=f"{sent_at:.3f}",
        after_s=time.time() - sent_at,
        reused=getattr(error, "reused_connection", None),
        notes=getattr(error, "__notes__", []),
        reason=" from ".join(repr(cause) for cause in _cause_chain(error)),
    )


def _cause_chain(error: BaseException | None) -> Iterator[BaseException]:
    """Yields an error and its causes, the most recent first."""
    while error is not None:
        yield error
        error = error.__cause__ or error.__context__


def _parse_refusal(content: bytes) -> tuple[str, str, float]:
    text = content.decode(errors="replace")
    if "event: error" in text:
        text = text.rpartition("data: ")[2]
    try:
        error = json.loads(text)["error"]
        pause_s = int(error.get("retry_after_ms", "200")) / 1000
        return error["type"], error["ran"], pause_s
    except (ValueError, KeyError, TypeError):
        return "not_typed", "unknown", 0.2


def _parse_tokens(content: bytes) -> list[str]:
    """Returns the tokens of a plain or streamed answer."""
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
