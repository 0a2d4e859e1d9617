"""Recovery of streams from engine faults, with real processes."""

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

STREAM_COUNT = 12
MAX_TOKENS = 70
PLAN = site.SiteSpec(
    instances=1,
    engines=tuple(
        site.EngineSpec(f"{part}{n}", *layers, 4.0, {"part": part})
        for part, layers in (("a", (0, 5)), ("b", (5, 9)), ("c", (9, 12)))
        for n in (1, 2)
    ),
    pipelines={
        "p": (("part=a", 0, 5), ("part=b", 5, 9), ("part=c", 9, 12)),
    },
)
TIMEOUT_S = 30.0
LONG_ANSWER_TOKENS = 1500


@pytest.fixture(scope="module")
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[site.Site]:
    """Processes whose engines are repaired after each test."""
    started = site.Site(PLAN, tmp_path_factory.mktemp("site"))
    try:
        started.start()
        yield started
    finally:
        started.stop()


@pytest.fixture(autouse=True)
def repair_engines(deployment: site.Site) -> Iterator[None]:
    yield
    for plan in PLAN.engines:
        process = deployment.processes[plan.name]
        if process.popen.poll() is not None:
            port = int(process.address.rpartition(":")[2])
            deployment.start_engine(plan, port)
            continue
        process.send_signal(signal.SIGCONT)
        deployment.set_faults(
            plan.name, frozen=False, refuse="", slow_factor=1.0
        )
    for process in deployment.of_role("instance"):
        deployment.await_ready(process)


def kill(*names: str) -> Callable[[site.Site], None]:
    def inject_fault(deployment: site.Site) -> None:
        for name in names:
            deployment.processes[name].kill()

    return inject_fault


def stop(name: str) -> Callable[[site.Site], None]:
    return lambda s: s.processes[name].send_signal(signal.SIGSTOP)


def faults(name: str, **values: object) -> Callable[[site.Site], None]:
    return lambda s: s.set_faults(name, **values)


def combine(
    *faults_to_inject: Callable[[site.Site], None],
) -> Callable[[site.Site], None]:
    def inject_fault(deployment: site.Site) -> None:
        for fault in faults_to_inject:
            fault(deployment)

    return inject_fault


def redeclare(name: str) -> Callable[[site.Site], None]:
    def inject_fault(deployment: site.Site) -> None:
        url = f"{deployment.processes['platform'].url}/objects/engine/{name}"
        stored = site.fetch("GET", url).json()
        site.fetch("DELETE", url)
        time.sleep(0.5)
        body = {"spec": stored["spec"], "labels": stored["labels"]}
        site.fetch("PUT", url, body)

    return inject_fault


ONE_TIME_FAULTS = (
    "lose",
    "duplicate",
    "late",
    "cross",
    "shift",
    "alien",
    "lengthen",
)
MORE_ONE_TIME_FAULTS = (
    "refuse",
    "stall",
    "disconnect-before",
    "disconnect-during",
    "disconnect-after",
)


@pytest.mark.parametrize(
    "inject_fault",
    [
        pytest.param(kill("b1"), id="kill"),
        pytest.param(kill("a1", "c2"), id="kill-two"),
        pytest.param(stop("b1"), id="freeze-process"),
        pytest.param(combine(stop("a1"), kill("b2")), id="freeze-and-kill"),
        pytest.param(faults("c1", frozen=True), id="freeze-but-heartbeats"),
        pytest.param(faults("b1", once=["silence-out"]), id="silent-out"),
        pytest.param(faults("b1", once=["silence-in"]), id="silent-in"),
        pytest.param(faults("b1", refuse="fault"), id="refuse-all"),
        pytest.param(redeclare("b1"), id="leaves-configuration"),
        pytest.param(
            combine(
                faults("a1", once=[*ONE_TIME_FAULTS]),
                faults("b2", once=[*MORE_ONE_TIME_FAULTS]),
                faults("c1", once=[*ONE_TIME_FAULTS[::-1]]),
            ),
            id="wrong-replies",
        ),
    ],
)
async def test_answers_survive(
    deployment: site.Site, inject_fault: Callable[[site.Site], None]
) -> None:
    """Guards against missing, wrong or repeated tokens after a fault."""
    answers = [
        streams.StreamedAnswer(p, MAX_TOKENS)
        for p in streams.create_prompts(STREAM_COUNT, 40)
    ]
    instance = deployment.of_role("instance")[0]
    async with streams.create_session() as session:
        tasks = [
            asyncio.create_task(streams.stream_answer(session, instance, a))
            for a in answers
        ]
        async with asyncio.timeout(TIMEOUT_S):
            await streams.wait_for_tokens(answers, 8)
            await asyncio.to_thread(inject_fault, deployment)
            await asyncio.gather(*tasks)
    assert [a.error_code for a in answers if not a.is_complete] == []
    for plan in PLAN.engines:
        if deployment.processes[plan.name].popen.poll() is None:
            deployment.processes[plan.name].send_signal(signal.SIGCONT)
            deployment.set_faults(plan.name, frozen=False)
    assert streams.find_mismatches(deployment, answers) == []
    assert streams.find_leaks(deployment) == {}
    await wait_until_settled(deployment)


async def test_stream_that_cannot_be_finished_says_so(
    deployment: site.Site,
) -> None:
    """Guards against a bare close if no engine of a stage works."""
    answer = streams.StreamedAnswer("no way out", MAX_TOKENS)
    instance = deployment.of_role("instance")[0]
    before = request_totals(deployment)
    async with streams.create_session() as session:
        task = asyncio.create_task(
            streams.stream_answer(session, instance, answer)
        )
        await streams.wait_for_tokens([answer], 3)
        for name in ("b1", "b2"):
            deployment.set_faults(name, refuse="fault")
        async with asyncio.timeout(TIMEOUT_S):
            await task
    assert (answer.outcome, answer.error_code) == ("unknown", "upstream-failed")
    assert answer.is_correct_prefix
    # The instance counts a request after it has sent the last byte.
    assert (await wait_until_settled(deployment))["unknown"] == before[
        "unknown"
    ] + 1
    assert streams.find_leaks(deployment) == {}


@pytest.mark.parametrize("stream", [True, False])
async def test_vanished_caller_frees_the_engines(
    deployment: site.Site, stream: bool
) -> None:
    """Guards against engines that compute for a disconnected caller."""
    before = request_totals(deployment)
    for _ in range(6):
        send_request(deployment, stream, MAX_TOKENS * 40).close()
    after = await wait_until_settled(deployment)
    assert after["accepted"] == before["accepted"] + 6
    assert after["unknown"] + after["not_run"] == (
        before["unknown"] + before["not_run"] + 6
    )
    assert streams.find_leaks(deployment) == {}


async def test_caller_that_vanishes_while_sending_is_settled(
    deployment: site.Site,
) -> None:
    """Guards against a request that stays in flight forever."""
    before = request_totals(deployment)
    caller = send_request(deployment, True, 5, declared_length=10_000)
    await asyncio.sleep(0.1)
    caller.close()
    after = await wait_until_settled(deployment)
    assert after["not_run"] == before["not_run"] + 1


async def test_slow_caller_pauses_only_itself(deployment: site.Site) -> None:
    """Guards against unbounded buffers and callers that block others."""
    for plan in PLAN.engines:
        deployment.set_faults(plan.name, slow_factor=0.05)
    prompt = next(
        p for p in streams.create_prompts(200, 20) if has_long_answer(p)
    )
    slow_caller = send_request(
        deployment, True, LONG_ANSWER_TOKENS, prompt, receive_buffer=2048
    )
    instance = deployment.of_role("instance")[0]
    with contextlib.closing(slow_caller):
        counts = [generated_tokens(deployment)]
        while len(counts) < 4 or counts[-1] != counts[-4]:
            await asyncio.sleep(0.2)
            counts.append(generated_tokens(deployment))
        assert request_totals(deployment)["in_flight"] == 1
        answer = streams.StreamedAnswer("a caller that reads", MAX_TOKENS)
        async with streams.create_session() as session:
            async with asyncio.timeout(TIMEOUT_S):
                await streams.stream_answer(session, instance, answer)
        assert answer.is_complete
        slow_caller.settimeout(TIMEOUT_S)
        received = b""
        while b"[DONE]" not in received:
            received += slow_caller.recv(65536)
        assert received.count(b"text_completion") == LONG_ANSWER_TOKENS + 1
    await wait_until_settled(deployment)
    assert streams.find_leaks(deployment) == {}


def has_long_answer(prompt: str) -> bool:
    return (
        len(streams.StreamedAnswer(prompt, LONG_ANSWER_TOKENS).expected)
        == LONG_ANSWER_TOKENS
    )


def request_totals(deployment: site.Site) -> dict[str, int]:
    status = deployment.status(deployment.of_role("instance")[0])
    assert status["balanced"]
    return status["requests"]


async def wait_until_settled(deployment: site.Site) -> dict[str, int]:
    for _ in range(int(TIMEOUT_S / 0.05)):
        totals = request_totals(deployment)
        if not totals["in_flight"]:
            return totals
        await asyncio.sleep(0.05)
    pytest.fail(f"requests stay in flight: {totals}")


def generated_tokens(deployment: site.Site) -> int:
    return sum(
        site.fetch("GET", f"{p.url}/v1/engine").json()["tokens"]
        for p in deployment.of_role("engine")
        if p.name.startswith("c")
    )


def send_request(
    deployment: site.Site,
    stream: bool,
    max_tokens: int,
    prompt: str = "Which lots are dry?",
    declared_length: int = 0,
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
        f"Content-Length: {declared_length or len(body)}\r\n\r\n"
    )
    host, _, port = deployment.of_role("instance")[0].address.rpartition(":")
    caller = socket.socket()
    if receive_buffer:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    caller.connect((host, int(port)))
    caller.sendall((head + body).encode())
    time.sleep(0.1)
    return caller
