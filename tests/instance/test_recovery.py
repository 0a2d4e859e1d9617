"""Recovery of streams with real processes."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
import time
from typing import TYPE_CHECKING

import pytest

from yuccatally_standins import site
from yuccatally_standins import streams

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

STREAMS = 12
TOKENS = 70
PLAN = site.Plan(
    instances=1,
    engines=tuple(
        site.EnginePlan(f"{part}{n}", *layers, 4.0, {"part": part})
        for part, layers in (("a", (0, 5)), ("b", (5, 9)), ("c", (9, 12)))
        for n in (1, 2)
    ),
    pipelines={
        "p": (("part=a", 0, 5), ("part=b", 5, 9), ("part=c", 9, 12)),
    },
)
LAST_WAIT_S = 30.0
LONG = 1500


@pytest.fixture(scope="module")
def running(tmp_path_factory: pytest.TempPathFactory) -> Iterator[site.Site]:
    """A site whose engines are repaired after each test."""
    started = site.Site(PLAN, tmp_path_factory.mktemp("site"))
    try:
        started.start()
        yield started
    finally:
        started.stop()


@pytest.fixture(autouse=True)
def repaired(running: site.Site) -> Iterator[None]:
    yield
    for plan in PLAN.engines:
        process = running.processes[plan.name]
        if process.popen.poll() is not None:
            port = int(process.address.rpartition(":")[2])
            running.start_engine(plan, port)
            continue
        process.send(signal.SIGCONT)
        running.set_faults(plan.name, frozen=False, refuse="", slow_factor=1.0)
    for process in running.of_role("instance"):
        running.await_ready(process)


def kill(*names: str) -> Callable[[site.Site], None]:
    def act(running: site.Site) -> None:
        for name in names:
            running.processes[name].kill()

    return act


def stop(name: str) -> Callable[[site.Site], None]:
    return lambda s: s.processes[name].send(signal.SIGSTOP)


def faults(name: str, **values: object) -> Callable[[site.Site], None]:
    return lambda s: s.set_faults(name, **values)


def every(*parts: Callable[[site.Site], None]) -> Callable[[site.Site], None]:
    def act(running: site.Site) -> None:
        for part in parts:
            part(running)

    return act


def undeclare(name: str) -> Callable[[site.Site], None]:
    def act(running: site.Site) -> None:
        url = f"{running.processes['platform'].url}/objects/engine/{name}"
        stored = site.fetch("GET", url).json()
        site.fetch("DELETE", url)
        time.sleep(0.5)
        body = {"spec": stored["spec"], "labels": stored["labels"]}
        site.fetch("PUT", url, body)

    return act


ONCE = ("lose", "duplicate", "late", "cross", "shift", "alien", "lengthen")
MORE_ONCE = (
    "refuse",
    "stall",
    "disconnect-before",
    "disconnect-during",
    "disconnect-after",
)


@pytest.mark.parametrize(
    "act",
    [
        pytest.param(kill("b1"), id="kill"),
        pytest.param(kill("a1", "c2"), id="kill-two"),
        pytest.param(stop("b1"), id="freeze-process"),
        pytest.param(every(stop("a1"), kill("b2")), id="freeze-and-kill"),
        pytest.param(faults("c1", frozen=True), id="freeze-but-heartbeats"),
        pytest.param(faults("b1", once=["silence-out"]), id="silent-out"),
        pytest.param(faults("b1", once=["silence-in"]), id="silent-in"),
        pytest.param(faults("b1", refuse="fault"), id="refuse-all"),
        pytest.param(undeclare("b1"), id="leaves-configuration"),
        pytest.param(
            every(
                faults("a1", once=[*ONCE]),
                faults("b2", once=[*MORE_ONCE]),
                faults("c1", once=[*ONCE[::-1]]),
            ),
            id="wrong-replies",
        ),
    ],
)
async def test_answers_survive(
    running: site.Site, act: Callable[[site.Site], None]
) -> None:
    """Guards against lost, wrong or doubled tokens after a fault."""
    answers = [streams.Answer(p, TOKENS) for p in streams.prompts(STREAMS, 40)]
    node = running.of_role("instance")[0]
    async with streams.session() as session:
        tasks = [
            asyncio.create_task(streams.ask(session, node, a)) for a in answers
        ]
        async with asyncio.timeout(LAST_WAIT_S):
            await streams.until_tokens(answers, 8)
            await asyncio.to_thread(act, running)
            await asyncio.gather(*tasks)
    assert [a.error for a in answers if not a.whole] == []
    for plan in PLAN.engines:
        if running.processes[plan.name].popen.poll() is None:
            running.processes[plan.name].send(signal.SIGCONT)
            running.set_faults(plan.name, frozen=False)
    assert streams.disagreements(running, answers) == []
    assert streams.leaked(running) == {}
    await settled(running)


async def test_stream_that_cannot_be_finished_says_so(
    running: site.Site,
) -> None:
    """Guards against a bare close when no engine of a stage works."""
    answer = streams.Answer("no way out", TOKENS)
    node = running.of_role("instance")[0]
    before = balanced(running)
    async with streams.session() as session:
        task = asyncio.create_task(streams.ask(session, node, answer))
        await streams.until_tokens([answer], 3)
        for name in ("b1", "b2"):
            running.set_faults(name, refuse="fault")
        async with asyncio.timeout(LAST_WAIT_S):
            await task
    assert (answer.outcome, answer.error) == ("unknown", "upstream-failed")
    assert answer.right
    # The instance counts a request after it has sent the last byte.
    assert (await settled(running))["unknown"] == before["unknown"] + 1
    assert streams.leaked(running) == {}


@pytest.mark.parametrize("stream", [True, False])
async def test_vanished_caller_frees_the_engines(
    running: site.Site, stream: bool
) -> None:
    """Guards against engines that compute for nobody."""
    before = balanced(running)
    for _ in range(6):
        send_request(running, stream, TOKENS * 40).close()
    now = await settled(running)
    assert now["accepted"] == before["accepted"] + 6
    assert now["unknown"] + now["not_run"] == (
        before["unknown"] + before["not_run"] + 6
    )
    assert streams.leaked(running) == {}


async def test_caller_that_vanishes_while_sending_is_settled(
    running: site.Site,
) -> None:
    """Guards against a request that stays in flight for ever."""
    before = balanced(running)
    caller = send_request(running, True, 5, declared=10_000)
    await asyncio.sleep(0.1)
    caller.close()
    now = await settled(running)
    assert now["not_run"] == before["not_run"] + 1


async def test_slow_caller_pauses_only_itself(running: site.Site) -> None:
    """Guards against unbounded buffers and callers that block others."""
    for plan in PLAN.engines:
        running.set_faults(plan.name, slow_factor=0.05)
    prompt = next(p for p in streams.prompts(200, 20) if long_answer(p))
    slow = send_request(running, True, LONG, prompt, receive_buffer=2048)
    node = running.of_role("instance")[0]
    with contextlib.closing(slow):
        counts = [tokens(running)]
        while len(counts) < 4 or counts[-1] != counts[-4]:
            await asyncio.sleep(0.2)
            counts.append(tokens(running))
        assert balanced(running)["in_flight"] == 1
        answer = streams.Answer("a caller that reads", TOKENS)
        async with streams.session() as session:
            async with asyncio.timeout(LAST_WAIT_S):
                await streams.ask(session, node, answer)
        assert answer.whole
        slow.settimeout(LAST_WAIT_S)
        received = b""
        while b"[DONE]" not in received:
            received += slow.recv(65536)
        assert received.count(b"text_completion") == LONG + 1
    await settled(running)
    assert streams.leaked(running) == {}


def long_answer(prompt: str) -> bool:
    return len(streams.Answer(prompt, LONG).expected) == LONG


def balanced(running: site.Site) -> dict[str, int]:
    status = running.status(running.of_role("instance")[0])
    assert status["balanced"]
    return status["requests"]


async def settled(running: site.Site) -> dict[str, int]:
    for _ in range(int(LAST_WAIT_S / 0.05)):
        now = balanced(running)
        if not now["in_flight"]:
            return now
        await asyncio.sleep(0.05)
    pytest.fail(f"requests stay in flight: {now}")


def tokens(running: site.Site) -> int:
    return sum(
        site.fetch("GET", f"{p.url}/v1/engine").json()["tokens"]
        for p in running.of_role("engine")
        if p.name.startswith("c")
    )


def send_request(
    running: site.Site,
    stream: bool,
    max_tokens: int,
    prompt: str = "Which lots are dry?",
    declared: int = 0,
    receive_buffer: int = 0,
) -> socket.socket:
    """Sends a request without reading the answer."""
    body = (
        f'{{"model":"{site.MODEL}","prompt":"{prompt}",'
        f'"max_tokens":{max_tokens},"stream":{str(stream).lower()}}}'
    )
    head = (
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: Bearer {site.ACCOUNT_KEY}\r\n"
        f"Content-Length: {declared or len(body)}\r\n\r\n"
    )
    host, _, port = running.of_role("instance")[0].address.rpartition(":")
    caller = socket.socket()
    if receive_buffer:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    caller.connect((host, int(port)))
    caller.sendall((head + body).encode())
    time.sleep(0.1)
    return caller
