"""Callers that stream answers and check them against the engines' records."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import time
from typing import TYPE_CHECKING

import aiohttp

from yuccatally_standins import reference
from yuccatally_standins import site

if TYPE_CHECKING:
    from collections.abc import Iterable

STREAM_TIMEOUT_S = 90.0


@dataclasses.dataclass
class StreamedAnswer:
    """What one caller saw.

    Attributes:
        prompt: What it asked.
        max_tokens: Greatest number of tokens it asked for.
        request: Request id.
        text: Text so far.
        times: Monotonic arrival time of each token, in seconds.
        outcome: Outcome of the final event; empty if there was none.
        error: Code of an error event.
    """

    prompt: str
    max_tokens: int
    request_id: str = ""
    text: str = ""
    token_times: list[float] = dataclasses.field(default_factory=list)
    outcome: str = ""
    error_code: str = ""

    @property
    def is_correct_prefix(self) -> bool:
        """Whether the text so far is a prefix of the right answer."""
        return self.expected.startswith(self.text)

    @property
    def is_complete(self) -> bool:
        """Whether the answer was given, whole and right."""
        return self.outcome == "answered" and self.text == self.expected

    @property
    def expected(self) -> str:
        """The right answer."""
        return reference.expected_text(
            site.MODEL,
            site.VERSION,
            site.LAYER_COUNT,
            self.prompt,
            self.max_tokens,
        )


async def stream_answer(
    session: aiohttp.ClientSession,
    instance: site.Process,
    answer: StreamedAnswer,
) -> StreamedAnswer:
    """Streams one answer; a broken connection leaves the outcome empty."""
    body = {
        "model": site.MODEL,
        "prompt": answer.prompt,
        "max_tokens": answer.max_tokens,
        "stream": True,
    }
    try:
        async with session.post(
            f"{instance.url}/v1/completions",
            json=body,
            headers={"Authorization": f"Bearer {site.ACCOUNT_KEY}"},
            timeout=aiohttp.ClientTimeout(total=STREAM_TIMEOUT_S),
        ) as response:
            header = response.headers["Yuccatally-Outcome"]
            outcome, _, answer.request_id = header.partition("; request=")
            if response.status != 200:
                answer.outcome = outcome
                answer.error_code = (await response.json())["error"]["code"]
                return answer
            async for line in response.content:
                _on_line(answer, line)
    except (TimeoutError, aiohttp.ClientError):
        pass
    return answer


def create_session() -> aiohttp.ClientSession:
    """Returns a client without a limit on connections."""
    return aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))


def create_prompts(count: int, length: int) -> list[str]:
    """Returns prompts of a length, in bytes, that all differ."""
    filler = "summary of the harvest, " * (length // 24 + 1)
    return [f"{n}: {filler}"[:length] for n in range(count)]


async def wait_for_tokens(
    answers: Iterable[StreamedAnswer], count: int
) -> None:
    """Waits until every answer that has not ended has some tokens."""
    for answer in answers:
        # The answers arrive in tasks of their own, which set no event.
        while len(answer.token_times) < count and not answer.outcome:  # noqa: ASYNC110
            await asyncio.sleep(0.005)


@dataclasses.dataclass(frozen=True)
class ExecutionRecord:
    """What one process of an engine computed.

    Attributes:
        plan: The engine.
        rows: Request, attempt and ranges of positions.
    """

    engine: site.EngineSpec
    rows: list[tuple[str, int, list[tuple[int, int]]]]


def fetch_execution_record(
    started: site.Site, engine: site.EngineSpec
) -> ExecutionRecord:
    """Reads what a running engine has computed since its start."""
    url = f"{started.processes[engine.name].url}/executed"
    return ExecutionRecord(engine, site.fetch("GET", url).json())


def find_mismatches(
    started: site.Site,
    answers: list[StreamedAnswer],
    kept: Iterable[ExecutionRecord] = (),
) -> list[str]:
    """Compares what callers saw with what the engines executed.

    Every attempt must have been computed as one range of positions from 0 by
    each engine, and the last attempt of a whole answer must cover its prompt
    and tokens in every layer exactly once. Without a kept record, the layers of
    an engine that was killed are not compared.

    Args:
        started: The site; its live engines are asked.
        answers: What callers saw.
        kept: Records read from engines before they were killed.

    Returns:
        One line for each difference.
    """
    found = []
    layers: dict[tuple[str, int], dict[int, int]] = {}
    live = [
        fetch_execution_record(started, engine)
        for engine in started.spec.engines
        if started.processes[engine.name].popen.poll() is None
    ]
    for record in (*live, *kept):
        engine = record.engine
        for request, attempt, ranges in record.rows:
            if len(ranges) != 1 or ranges[0][0] != 0:
                found.append(f"{engine.name} {request} {attempt}: {ranges}")
            seen = layers.setdefault((request, attempt), {})
            for layer in range(engine.first_layer, engine.last_layer):
                seen[layer] = max(seen.get(layer, 0), ranges[-1][1])
    for answer in answers:
        if not answer.is_correct_prefix:
            found.append(f"{answer.request_id}: wrong text {answer.text!r}")
        if answer.is_complete:
            found += _uncovered(answer, layers)
    return found


def find_leaked_sequences(
    started: site.Site, wait_s: float = 3.0
) -> dict[str, str]:
    """Returns sequences that engines still hold when all work has ended."""
    deadline = time.monotonic() + wait_s
    while True:
        held = {}
        for process in started.of_role("engine"):
            if process.popen.poll() is None:
                url = f"{process.url}/v1/engine"
                shown = site.fetch("GET", url).json()
                if shown["sequences"]:
                    held[process.name] = (
                        f"{shown['sequences']} held, "
                        f"{shown['unclaimed']} of them not claimed"
                    )
        if not held or time.monotonic() > deadline:
            return held
        time.sleep(0.1)


def _uncovered(
    answer: StreamedAnswer, layers: dict[tuple[str, int], dict[int, int]]
) -> list[str]:
    attempts = [a for r, a in layers if r == answer.request_id]
    if not attempts:
        return []
    tokens = len(answer.text)
    known = len(answer.prompt) + tokens
    # The last token is not fed back when the limit ends the answer.
    wanted = known - (1 if tokens == answer.max_tokens else 0)
    reached = layers[(answer.request_id, max(attempts))]
    wrong = {k: v for k, v in reached.items() if v != wanted}
    if wrong:
        return [f"{answer.request_id}: layers at {wrong}, expected {wanted}"]
    return []


def _on_line(answer: StreamedAnswer, line: bytes) -> None:
    payload = line.decode().removeprefix("data: ").strip()
    if not payload or payload == "[DONE]":
        return
    event = json.loads(payload)
    if "error" in event:
        answer.outcome = event["error"]["outcome"]
        answer.error_code = event["error"]["code"]
        return
    if "yuccatally" in event:
        answer.outcome = event["yuccatally"]["outcome"]
        return
    answer.text += event["choices"][0]["text"]
    answer.token_times.append(time.monotonic())
