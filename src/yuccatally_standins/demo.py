"""Shows a site at work: ``python -m yuccatally_standins.demo``."""

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
@click.option("--stay", is_flag=True, help="Keep the site up.")
@click.option("--program", default="", help="Program file of the instances.")
def main(stay: bool, program: str) -> None:
    """Starts a site, sends requests and checks what comes back."""
    with tempfile.TemporaryDirectory() as folder:
        started = _site(pathlib.Path(folder), program)
        try:
            started.start()
            if stay:
                _stay(started)
                return
            passed = [_report(*shown) for shown in _shows(started)]
        finally:
            started.stop()
    sys.exit(0 if all(passed) else 1)


def _site(folder: pathlib.Path, program: str) -> site.Site:
    if program:
        return site.Site(site.DEFAULT_SPEC, folder, (program,))
    return site.Site(site.DEFAULT_SPEC, folder)


def _stay(started: site.Site) -> None:
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


def _shows(started: site.Site) -> Iterator[tuple[str, bool, str]]:
    first, second, third = started.of_role("instance")[:3]
    yield _streamed(first)
    yield _whole(second)
    booking = {"lot": "maple-7"}
    made = _book(first, "loan-1", booking)
    yield "booking", made.outcome == "answered", _shown(made)
    again = _book(third, "loan-1", booking)
    url = f"{started.processes['reservations'].url}/reservations"
    count = len(site.fetch("GET", url).json())
    right = again.outcome == "answered" and count == 1
    right = right and again.json() == made.json()
    yield "same key, other instance", right, f"{_shown(again)} runs={count}"
    refused = _book(first, "", booking)
    yield "booking without key", refused.outcome == "not-run", _shown(refused)
    statuses = [started.status(p) for p in started.of_role("instance")]
    balanced = all(s["balanced"] for s in statuses)
    totals = json.dumps([s["requests"] for s in statuses])
    yield "counts balance", balanced, totals


def _streamed(instance: site.Process) -> tuple[str, bool, str]:
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
    times: list[float] = []
    ending: dict[str, Any] = {}
    with urllib.request.urlopen(request, timeout=30) as response:
        for line in response:
            payload = line.decode().removeprefix("data: ").strip()
            if not payload or payload == "[DONE]":
                continue
            event = json.loads(payload)
            if "error" in event:
                return "streamed summary", False, payload
            parts.append(event["choices"][0]["text"])
            times.append(time.monotonic() - started)
            ending = event.get("yuccatally", ending)
    expected = reference.expected_text(
        site.MODEL, site.VERSION, site.LAYER_COUNT, PROMPT, MAX_TOKENS
    )
    text = "".join(parts)
    # Tokens that arrive over a span of time were not held back to the end.
    spread_s = times[-1] - times[0]
    right = text == expected and ending.get("outcome") == "answered"
    right = right and spread_s > 0
    detail = f"outcome={ending.get('outcome')} tokens={ending.get('tokens')}"
    return "streamed summary", right, f"{detail} text={text!r}"


def _whole(instance: site.Process) -> tuple[str, bool, str]:
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
    return "whole chat answer", message == expected, _shown(answer)


def _book(
    instance: site.Process, key: str, booking: dict[str, str]
) -> site.Response:
    url = f"{instance.url}/services/reservations/reservations"
    headers = {"Idempotency-Key": key} if key else {}
    return site.fetch("POST", url, booking, site.ACCOUNT_KEY, headers)


def _shown(answer: site.Response) -> str:
    body = answer.body.decode()
    return f"status={answer.status} outcome={answer.outcome} body={body}"


def _report(name: str, right: bool, detail: str) -> bool:
    verdict = "ok" if right else "FAILED"
    click.echo(f"{verdict:6} {name}: {detail}")
    return right


if __name__ == "__main__":
    main()
