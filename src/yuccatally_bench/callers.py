"""Sends a configured open load to the instances of a deployment."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import random
import time
from typing import TYPE_CHECKING

import aiohttp
import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_CONNECTION_COUNT = 4096


@dataclasses.dataclass(frozen=True)
class AccountLoad:
    """A client account and its share of the load.

    Attributes:
        account: Name of the account; its API key is ``NAME-key``.
        urgency: Urgency class of its requests.
        share: Relative share of all requests.
        weight: Fair-queueing weight of the account.
    """

    account: str
    urgency: str
    share: float
    weight: int = 1


@dataclasses.dataclass
class RequestResult:
    """Result of one request; times are monotonic, in seconds."""

    account: str
    urgency: str
    sent_at: float = 0.0
    first_token_at: float = 0.0
    ended_at: float = 0.0
    tokens: int = 0
    outcome: str = "none"


@dataclasses.dataclass(frozen=True)
class OpenLoad:
    """An open load: arrivals do not depend on earlier requests.

    Attributes:
        account_loads: Accounts and their shares.
        requests_per_s: Mean rate over all accounts; arrivals are Poisson.
        duration_s: Time over which requests are sent.
        prompt_tokens: Tokens of each prompt.
        max_tokens: Tokens to generate.
        deadline_s: Deadline of each request.
        seed: Seed of the arrivals and prompts.
    """

    account_loads: tuple[AccountLoad, ...]
    requests_per_s: float
    duration_s: float
    prompt_tokens: int
    max_tokens: int
    deadline_s: float
    seed: int


async def send_load(
    load: OpenLoad, urls: list[str], model: str, results: list[RequestResult]
) -> None:
    """Sends the load and appends every request to ``results``."""
    rng = random.Random(load.seed)
    base_urls = itertools.cycle(urls)
    connector = aiohttp.TCPConnector(limit=MAX_CONNECTION_COUNT)
    timeout = aiohttp.ClientTimeout(total=load.deadline_s * 2)
    started_at = time.monotonic()
    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout
    ) as session:
        tasks = []
        for offset_s, account_load in _arrivals(load, rng):
            delay_s = started_at + offset_s - time.monotonic()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            result = RequestResult(account_load.account, account_load.urgency)
            results.append(result)
            body = _body(load, model, rng)
            url = f"{next(base_urls)}/v1/completions"
            tasks.append(
                asyncio.create_task(
                    send_request(session, url, result, body, load)
                )
            )
        await asyncio.gather(*tasks)


async def send_request(
    session: aiohttp.ClientSession,
    url: str,
    result: RequestResult,
    body: bytes,
    load: OpenLoad,
) -> None:
    """Sends one request and reads its stream to the end."""
    headers = {
        "Authorization": f"Bearer {result.account}-key",
        "Yuccatally-Urgency": result.urgency,
        "Yuccatally-Deadline-Ms": str(int(load.deadline_s * 1e3)),
    }
    result.sent_at = time.monotonic()
    try:
        async with session.post(url, data=body, headers=headers) as response:
            if response.status != 200:
                outcome = response.headers.get("Yuccatally-Outcome", "unknown")
                result.outcome = outcome.partition(";")[0]
            else:
                await _read_stream(response, result)
    except (TimeoutError, aiohttp.ClientError):
        result.outcome = "lost"
    result.ended_at = time.monotonic()


async def _read_stream(
    response: aiohttp.ClientResponse, result: RequestResult
) -> None:
    result.outcome = "unknown"
    async for line in response.content:
        if not line.startswith(b"data: {"):
            continue
        if b'"error"' in line:
            if b'"not-run"' in line:
                result.outcome = "not-run"
            continue
        if b'"yuccatally"' in line:
            result.outcome = "answered"
            continue
        result.tokens += 1
        if result.tokens == 1:
            result.first_token_at = time.monotonic()


def _arrivals(
    load: OpenLoad, rng: random.Random
) -> Iterator[tuple[float, AccountLoad]]:
    offset_s = 0.0
    shares = [c.share for c in load.account_loads]
    while offset_s < load.duration_s:
        yield offset_s, rng.choices(load.account_loads, shares)[0]
        offset_s += rng.expovariate(load.requests_per_s)


def _body(load: OpenLoad, model: str, rng: random.Random) -> bytes:
    prompt = [rng.randrange(32, 127) for _ in range(load.prompt_tokens)]
    return msgspec.json.encode(
        {
            "model": model,
            "prompt": prompt,
            "max_tokens": load.max_tokens,
            "stream": True,
        }
    )
