"""Demonstrates a site: ``python -m yuccatally_standins.demo``."""

from __future__ import annotations

import json
import pathlib
import signal
import sys
import tempfile
import threading
import time
from typing import TYPE_CHECKING
from typing import Any
import urllib.request

import click

from yuccatally_standins import reference
from yuccatally_standins import site

if TYPE_CHECKING:
    from collections.abc import Iterator

PROMPT = "Summarise the decay notes of jar 14."
MAX_TOKENS = 48


@click.command()
@click.option("--stay", is_flag=True, help="Keep the site running.")
@click.option("--program", default="", help="Program file of the instances.")
def main(stay: bool, program: str) -> None:
    """Starts a site, sends requests and checks the responses."""
    with tempfile.TemporaryDirectory() as folder:
        started = _create_site(pathlib.Path(folder), program)
        try:
            started.start()
            if stay:
                _serve_until_signal(started)
                return
            passed = [_report(*check) for check in _run_checks(started)]
        finally:
            started.stop()
    sys.exit(0 if all(passed) else 1)


def _create_site(folder: pathlib.Path, program: str) -> site.Site:
    if program:
        return site.Site(site.DEFAULT_SPEC, folder, (program,))
    return site.Site(site.DEFAULT_SPEC, folder)


def _serve_until_signal(started: site.Site) -> None:
    for process in started.processes.values():
        operators = process.addresses.get("operators")
        suffix = f" operators={operators}" if operators else ""
        click.echo(
            f"role={process.role} address={process.address} "
            f"pid={process.popen.pid} name={process.name}{suffix}"
        )
    for name, value in site.command_environment(started).items():
        click.echo(f"export {name}={value}")
    stopped = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: stopped.set())
    stopped.wait()


def _run_checks(started: site.Site) -> Iterator[tuple[str, bool, str]]:
    first, second, third = started.of_role("instance")[:3]
    yield _check_stream(first)
    yield _check_chat(second)
    booking = {"lot": "maple-7"}
    created = _book(first, "loan-1", booking)
    yield "booking", created.outcome == "answered", _describe(created)
    repeated = _book(third, "loan-1", booking)
    url = f"{started.processes['reservations'].url}/reservations"
    count = len(site.fetch("GET", url).json())
    is_same = repeated.outcome == "answered" and count == 1
    is_same = is_same and repeated.json() == created.json()
    yield (
        "same key, other instance",
        is_same,
        f"{_describe(repeated)} runs={count}",
    )
    refused = _book(first, "", booking)
    yield (
        "booking without key",
        refused.outcome == "not-run",
        _describe(refused),
    )
    statuses = [started.status(p) for p in started.of_role("instance")]
    balanced = all(s["balanced"] for s in statuses)
    totals = json.dumps([s["requests"] for s in statuses])
    yield "counts balance", balanced, totals


def _check_stream(instance: site.Process) -> tuple[str, bool, str]:
    body = {
        "model": site.MODEL,
        "prompt": PROMPT,
        "max_tokens": MAX_TOKENS,
        "stream": True,
    }
    request = urllib.request.Request(
        f"{instance.url}/v1/completions",
        data=json.dumps(body).encode(),
        headers={"Authorization": f"Bearer {site.ACCOUNT_KEY}"},
    )
    started = time.monotonic()
    parts: list[str] = []
    token_times: list[float] = []
    final: dict[str, Any] = {}
    with urllib.request.urlopen(request, timeout=30) as response:
        for line in response:
            payload = line.decode().removeprefix("data: ").strip()
            if not payload or payload == "[DONE]":
                continue
            event = json.loads(payload)
            if "error" in event:
                return "streamed summary", False, payload
            parts.append(event["choices"][0]["text"])
            token_times.append(time.monotonic() - started)
            final = event.get("yuccatally", final)
    expected = reference.expected_text(
        site.MODEL, site.VERSION, site.LAYER_COUNT, PROMPT, MAX_TOKENS
    )
    text = "".join(parts)
    # A span above zero shows that tokens were not buffered until the end.
    span_s = token_times[-1] - token_times[0]
    passed = text == expected and final.get("outcome") == "answered"
    passed = passed and span_s > 0
    detail = f"outcome={final.get('outcome')} tokens={final.get('tokens')}"
    return "streamed summary", passed, f"{detail} text={text!r}"


def _check_chat(instance: site.Process) -> tuple[str, bool, str]:
    body = {
        "model": site.MODEL,
        "messages": [{"role": "user", "content": PROMPT}],
        "max_tokens": MAX_TOKENS,
    }
    url = f"{instance.url}/v1/chat/completions"
    answer = site.fetch("POST", url, body, site.ACCOUNT_KEY)
    expected = reference.expected_text(
        site.MODEL,
        site.VERSION,
        site.LAYER_COUNT,
        f"user: {PROMPT}\nassistant: ",
        MAX_TOKENS,
    )
    message = answer.json()["choices"][0]["message"]["content"]
    return "whole chat answer", message == expected, _describe(answer)


def _book(
    instance: site.Process, key: str, booking: dict[str, str]
) -> site.Response:
    url = f"{instance.url}/services/reservations/reservations"
    headers = {"Idempotency-Key": key} if key else {}
    return site.fetch("POST", url, booking, site.ACCOUNT_KEY, headers)


def _describe(answer: site.Response) -> str:
    body = answer.body.decode()
    return f"status={answer.status} outcome={answer.outcome} body={body}"


def _report(name: str, passed: bool, detail: str) -> bool:
    verdict = "ok" if passed else "FAILED"
    click.echo(f"{verdict:6} {name}: {detail}")
    return passed


if __name__ == "__main__":
    main()
