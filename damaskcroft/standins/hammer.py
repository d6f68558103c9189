"""Closed-loop load for speeds: no checking, no resending."""

import asyncio
import dataclasses
import json
import time

import aiosonic

from damaskcroft.rpc import HTTP_ERRORS, make_http_client

_OK = 200


@dataclasses.dataclass(frozen=True, slots=True)
class HammerResult:
    """What a hammering gave.

    Attributes:
        latencies_s: of every answered request.
        first_token_s: of every answered request.
        tokens: streamed tokens.
        failures: requests that were not answered with 200.
        took_s: the whole time.
    """

    latencies_s: list[float]
    first_token_s: list[float]
    tokens: int
    failures: int
    took_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class HammerPlan:
    """What is sent.

    Attributes:
        url: an entry, or the pass-through.
        model: named in each request.
        workers: requests at once.
        seconds: for how long.
        tokens: of one answer.
        stream: ask for streams.
        once: give every request an idempotency key.
        customer: who asks.
        priority: word for the priority.
        deadline_ms: of every request.
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


async def hammer(plan: HammerPlan) -> HammerResult:
    """Sends requests for as long as the plan says."""
    client = make_http_client(connections=plan.workers, connect_timeout_s=5)
    result = HammerResult([], [], 0, 0, 0.0)
    started_at = time.monotonic()
    counts = {"tokens": 0, "failures": 0}

    async def work(number: int) -> None:
        serial = 0
        while time.monotonic() - started_at < plan.seconds:
            serial += 1
            name = f"{started_at}-{number}-{serial}"
            try:
                await _ask(client, plan, name, result, counts)
            except HTTP_ERRORS:
                counts["failures"] += 1

    await asyncio.gather(*(work(n) for n in range(plan.workers)))
    took_s = time.monotonic() - started_at
    await client.aclose()
    return HammerResult(
        result.latencies_s,
        result.first_token_s,
        counts["tokens"],
        counts["failures"],
        took_s,
    )


async def _ask(
    client: aiosonic.HTTPClient,
    plan: HammerPlan,
    name: str,
    result: HammerResult,
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
        async for piece in response.iter_bytes():
            first_at = first_at or time.monotonic()
            counts["tokens"] += piece.count(b"data: {")
        if response.status_code != _OK:
            counts["failures"] += 1
            return
    result.latencies_s.append(time.monotonic() - sent_at)
    result.first_token_s.append(first_at - sent_at)
