"""Callers that send a declared load to the instances of a site."""

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

CONNECT_LIMIT = 4096


@dataclasses.dataclass(frozen=True)
class Caller:
    """A client account with its part of the load.

    Attributes:
        account: Name of the account; its key is derived from it.
        urgency: Class of its requests.
        part: Part of all requests.
        weight: Weight of the account.
    """

    account: str
    urgency: str
    part: float
    weight: int = 1


@dataclasses.dataclass
class Ask:
    """One request and what became of it.

    Times are seconds on the monotonic clock.
    """

    account: str
    urgency: str
    sent: float = 0.0
    first: float = 0.0
    ended: float = 0.0
    tokens: int = 0
    outcome: str = "none"


@dataclasses.dataclass(frozen=True)
class Load:
    """An open load: requests are sent whatever became of earlier ones.

    Attributes:
        callers: Accounts.
        requests_per_s: Mean rate of all accounts; arrivals are random.
        seconds: How long requests are sent.
        prompt_tokens: Tokens of each prompt.
        max_tokens: Tokens to generate.
        deadline_s: Deadline that callers state.
        seed: Seed of the arrivals and prompts.
    """

    callers: tuple[Caller, ...]
    requests_per_s: float
    seconds: float
    prompt_tokens: int
    max_tokens: int
    deadline_s: float
    seed: int


async def run(load: Load, urls: list[str], model: str, asks: list[Ask]) -> None:
    """Sends the load and appends every request to ``asks``."""
    chance = random.Random(load.seed)
    addresses = itertools.cycle(urls)
    connector = aiohttp.TCPConnector(limit=CONNECT_LIMIT)
    timeout = aiohttp.ClientTimeout(total=load.deadline_s * 2)
    started = time.monotonic()
    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout
    ) as session:
        tasks = []
        for offset, caller in _arrivals(load, chance):
            delay_s = started + offset - time.monotonic()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            ask = Ask(caller.account, caller.urgency)
            asks.append(ask)
            body = _body(load, model, chance)
            url = f"{next(addresses)}/v1/completions"
            tasks.append(
                asyncio.create_task(send(session, url, ask, body, load))
            )
        await asyncio.gather(*tasks)


async def send(
    session: aiohttp.ClientSession,
    url: str,
    ask: Ask,
    body: bytes,
    load: Load,
) -> None:
    """Sends one request and follows its stream to the end."""
    headers = {
        "Authorization": f"Bearer {ask.account}-key",
        "Yuccatally-Urgency": ask.urgency,
        "Yuccatally-Deadline-Ms": str(int(load.deadline_s * 1e3)),
    }
    ask.sent = time.monotonic()
    try:
        async with session.post(url, data=body, headers=headers) as answer:
            if answer.status != 200:
                named = answer.headers.get("Yuccatally-Outcome", "unknown")
                ask.outcome = named.partition(";")[0]
            else:
                await _follow(answer, ask)
    except (TimeoutError, aiohttp.ClientError):
        ask.outcome = "lost"
    ask.ended = time.monotonic()


async def _follow(answer: aiohttp.ClientResponse, ask: Ask) -> None:
    ask.outcome = "unknown"
    async for line in answer.content:
        if not line.startswith(b"data: {"):
            continue
        if b'"error"' in line:
            if b'"not-run"' in line:
                ask.outcome = "not-run"
            continue
        if b'"yuccatally"' in line:
            ask.outcome = "answered"
            continue
        ask.tokens += 1
        if ask.tokens == 1:
            ask.first = time.monotonic()


def _arrivals(
    load: Load, chance: random.Random
) -> Iterator[tuple[float, Caller]]:
    offset = 0.0
    parts = [c.part for c in load.callers]
    while offset < load.seconds:
        yield offset, chance.choices(load.callers, parts)[0]
        offset += chance.expovariate(load.requests_per_s)


def _body(load: Load, model: str, chance: random.Random) -> bytes:
    prompt = [chance.randrange(32, 127) for _ in range(load.prompt_tokens)]
    return msgspec.json.encode(
        {
            "model": model,
            "prompt": prompt,
            "max_tokens": load.max_tokens,
            "stream": True,
        }
    )
