"""Closed-loop load for throughput and latency benchmarks.

Answers are not checked, and failed requests are not sent again.
"""

import asyncio
import dataclasses
import json
import time

import aiosonic

from damaskcroft.rpc import HTTP_ERRORS, make_http_client

_OK = 200


@dataclasses.dataclass(frozen=True, slots=True)
class ClosedLoopResult:
    """Measurements of a closed-loop load.

    Attributes:
        latencies_s: time to the end of the answer, per answered request.
        first_token_s: time to the first token, per answered request.
        tokens: number of streamed tokens.
        failures: number of requests not answered with status 200.
        took_s: total duration.
    """

    latencies_s: list[float]
    first_token_s: list[float]
    tokens: int
    failures: int
    took_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ClosedLoopPlan:
    """The requests of a closed-loop load.

    Attributes:
        url: base URL of an entry or of the pass-through.
        model: model of each request.
        workers: number of concurrent requests.
        seconds: duration of the load.
        tokens: number of tokens of one answer.
        stream: request streamed answers.
        once: give every request an idempotency key.
        customer: customer of each request.
        priority: value of the priority header.
        deadline_ms: deadline of each request.
    """

    url: str
    model: str
    workers: int
    seconds: float
    tokens: int = 1
    stream: bool = False
    once: bool = False
    customer: str = "bench"
    priority: str = "draft"
    deadline_ms: int = 30_000


async def run_closed_loop(plan: ClosedLoopPlan) -> ClosedLoopResult:
    """Sends requests from concurrent workers for the planned duration."""
    client = make_http_client(connections=plan.workers, connect_timeout_s=5)
    result = ClosedLoopResult([], [], 0, 0, 0.0)
    load_started_at = time.monotonic()
    counts = {"tokens": 0, "failures": 0}

    async def run_worker(number: int) -> None:
        serial = 0
        while time.monotonic() - load_started_at < plan.seconds:
            serial += 1
            name = f"{load_started_at}-{number}-{serial}"
            try:
                await _send_request(client, plan, name, result, counts)
            except HTTP_ERRORS:
                counts["failures"] += 1

    await asyncio.gather(*(run_worker(n) for n in range(plan.workers)))
    took_s = time.monotonic() - load_started_at
    await client.aclose()
    return ClosedLoopResult(
        result.latencies_s,
        result.first_token_s,
        counts["tokens"],
        counts["failures"],
        took_s,
    )


async def _send_request(
    client: aiosonic.HTTPClient,
    plan: ClosedLoopPlan,
    name: str,
    result: ClosedLoopResult,
    counts: dict[str, int],
) -> None:
    headers = {
        "Content-Type": "application/json",
        "Damask-Customer": plan.customer,
        "Damask-Priority": plan.priority,
        "Damask-Deadline-Ms": str(plan.deadline_ms),
    }
    if plan.once:
        headers["Idempotency-Key"] = name
    document = {
        "model": plan.model,
        "prompt": name,
        "max_tokens": plan.tokens,
        "stream": plan.stream,
    }
    body = json.dumps(document).encode()
    sent_at = time.monotonic()
    first_at = 0.0
    async with client.stream(
        "POST", f"{plan.url}/v1/completions", headers=headers, data=body
    ) as response:
        async for part in response.iter_bytes():
            first_at = first_at or time.monotonic()
            counts["tokens"] += part.count(b"data: {")
        if response.status_code != _OK:
            counts["failures"] += 1
            return
    result.latencies_s.append(time.monotonic() - sent_at)
    result.first_token_s.append(first_at - sent_at)
