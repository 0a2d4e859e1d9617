"""Clients that stream answers and check them against engine records."""

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
    """A streamed answer as received by one caller.

    Attributes:
        prompt: Prompt of the request.
        max_tokens: Maximum number of tokens requested.
        request_id: ID of the request.
        text: Text received so far.
        token_times: Monotonic arrival time of each token, in seconds.
        outcome: Outcome in the final event; empty if there was none.
        error_code: Code of the error event; empty if there was none.
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
        """Whether the text so far is a prefix of the correct answer."""
        return self.expected.startswith(self.text)

    @property
    def is_complete(self) -> bool:
        """Whether the answer arrived completely and is correct."""
        return self.outcome == "answered" and self.text == self.expected

    @property
    def expected(self) -> str:
        """The correct answer."""
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
    """Streams one answer into ``answer`` and returns it.

    A broken connection leaves the outcome empty.
    """
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
                _apply_line(answer, line)
    except (TimeoutError, aiohttp.ClientError):
        pass
    return answer


def create_session() -> aiohttp.ClientSession:
    """Creates a client session without a limit on connections."""
    return aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))


def create_prompts(count: int, length: int) -> list[str]:
    """Creates different prompts, each with a length in bytes."""
    filler = "summary of the harvest, " * (length // 24 + 1)
    return [f"{n}: {filler}"[:length] for n in range(count)]


async def wait_for_tokens(
    answers: Iterable[StreamedAnswer], count: int
) -> None:
    """Waits until every unfinished answer has a number of tokens."""
    for answer in answers:
        # Other tasks receive the answers and set no event.
        while len(answer.token_times) < count and not answer.outcome:  # noqa: ASYNC110
            await asyncio.sleep(0.005)


@dataclasses.dataclass(frozen=True)
class ExecutionRecord:
    """Positions that one engine process has computed.

    Attributes:
        engine: Specification of the engine.
        rows: Request, attempt and ranges of positions.
    """

    engine: site.EngineSpec
    rows: list[tuple[str, int, list[tuple[int, int]]]]


def fetch_execution_record(
    started: site.Site, engine: site.EngineSpec
) -> ExecutionRecord:
    """Fetches the record of a running engine since its start."""
    url = f"{started.processes[engine.name].url}/executed"
    return ExecutionRecord(engine, site.fetch("GET", url).json())


def find_mismatches(
    started: site.Site,
    answers: list[StreamedAnswer],
    stopped: Iterable[ExecutionRecord] = (),
) -> list[str]:
    """Compares the answers that callers received with the engine records.

    Each engine must have computed every attempt as one range of positions from
    0, and the last attempt of a complete answer must cover its prompt and
    tokens in every layer exactly once. The layers of a killed engine are not
    compared if ``stopped`` has no record of it.

    Args:
        started: The site; records of its running engines are fetched.
        answers: Answers that callers received.
        stopped: Records fetched from engines before they were killed.

    Returns:
        One line for each mismatch.
    """
    mismatches = []
    layers: dict[tuple[str, int], dict[int, int]] = {}
    running = [
        fetch_execution_record(started, engine)
        for engine in started.spec.engines
        if started.processes[engine.name].popen.poll() is None
    ]
    for record in (*running, *stopped):
        engine = record.engine
        for request, attempt, ranges in record.rows:
            if len(ranges) != 1 or ranges[0][0] != 0:
                mismatches.append(
                    f"{engine.name} {request} {attempt}: {ranges}"
                )
            ends = layers.setdefault((request, attempt), {})
            for layer in range(engine.first_layer, engine.last_layer):
                ends[layer] = max(ends.get(layer, 0), ranges[-1][1])
    for answer in answers:
        if not answer.is_correct_prefix:
            mismatches.append(
                f"{answer.request_id}: wrong text {answer.text!r}"
            )
        if answer.is_complete:
            mismatches += _find_missing_positions(answer, layers)
    return mismatches


def find_leaks(started: site.Site, wait_s: float = 3.0) -> dict[str, str]:
    """Returns sequences that engines still hold after all work has ended.

    Args:
        started: The site.
        wait_s: Time in which engines may still release sequences, in seconds.

    Returns:
        Description of the sequences by name of the engine.
    """
    deadline = time.monotonic() + wait_s
    while True:
        leaks = {}
        for process in started.of_role("engine"):
            if process.popen.poll() is None:
                url = f"{process.url}/v1/engine"
                description = site.fetch("GET", url).json()
                if description["sequences"]:
                    leaks[process.name] = (
                        f"{description['sequences']} held, "
                        f"{description['unclaimed']} of them not claimed"
                    )
        if not leaks or time.monotonic() > deadline:
            return leaks
        time.sleep(0.1)


def _find_missing_positions(
    answer: StreamedAnswer, layers: dict[tuple[str, int], dict[int, int]]
) -> list[str]:
    attempts = [a for r, a in layers if r == answer.request_id]
    if not attempts:
        return []
    token_count = len(answer.text)
    known_count = len(answer.prompt) + token_count
    # The last token is not an input of the model if the limit ends the answer.
    expected = known_count - (1 if token_count == answer.max_tokens else 0)
    reached = layers[(answer.request_id, max(attempts))]
    wrong = {k: v for k, v in reached.items() if v != expected}
    if wrong:
        return [f"{answer.request_id}: layers at {wrong}, expected {expected}"]
    return []


def _apply_line(answer: StreamedAnswer, line: bytes) -> None:
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
