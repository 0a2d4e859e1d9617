"""Tests that logs have one line per event, no secrets and no callers' texts."""

from __future__ import annotations

import io
import json
import logging
import re
from typing import TYPE_CHECKING

import pytest
import structlog

from yuccatally.telemetry import logs
from yuccatally_standins import site

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

LINE = re.compile(
    r"timestamp=\S+ level=\w+ instance=[\w-]+ event=\w+"
    r'( [\w.]+(=([^\s"]+|"([^"\\]|\\.)*")?)?)*'
)
SECRETS = ("zebra-prompt", "zebra-answer", "zebra-key", "zebra-booking")


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> Iterator[Callable[[], list[str]]]:
    """Configures logging and returns a function that returns the lines."""
    stream = io.StringIO()
    monkeypatch.setattr("sys.stderr", stream)
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    logs.configure("i1", "debug")
    yield lambda: stream.getvalue().splitlines()
    structlog.contextvars.clear_contextvars()
    root.handlers[:], root.level = handlers, level


def test_every_event_is_one_line_of_pairs(
    lines: Callable[[], list[str]],
) -> None:
    """Guards against values that inject a log line or a key=value pair."""
    log = structlog.get_logger()
    values = ['a b="c"', "x\ny=z", "\x1b[31m", "\u2028", "", "ü", None, 1.5]
    for value in values:
        log.info("tried", request="r1", value=value)
    try:
        raise ValueError("first\nsecond")
    except ValueError:
        log.exception("failed")
        logging.getLogger("library").exception("also\nfailed")
    logged = lines()
    assert len(logged) == len(values) + 2
    for line in logged:
        assert LINE.fullmatch(line), line


def test_secret_names_and_bytes_are_redacted(
    lines: Callable[[], list[str]],
) -> None:
    """Guards against logging secrets or callers' texts under known keys."""
    log = structlog.get_logger()
    for name in sorted(logs.REDACTED_KEYS):
        log.info("tried", **{name: "zebra-key"})
    log.info("tried", raw=b"zebra-key", long="x" * 10_000)
    text = "\n".join(lines())
    assert "zebra" not in text
    assert text.count(logs.REDACTED) == len(logs.REDACTED_KEYS) + 1
    assert len(text) < 6_000


def test_site_logs_no_secret_and_no_text_of_callers(
    start_site: Callable[..., site.Site],
) -> None:
    """Guards against keys, prompts and bodies in logs and in spans."""
    running_site = start_site()
    process = running_site.of_role("instance")[0]
    completions = f"{process.url}/v1/completions"
    bodies = [
        {"model": site.MODEL, "prompt": "zebra-prompt", "max_tokens": 3},
        {"model": "zebra-prompt", "prompt": "zebra-prompt", "n": "zebra"},
        {"model": site.MODEL, "prompt": ["zebra-prompt", {}]},
    ]
    for body in bodies:
        site.fetch("POST", completions, body, site.ACCOUNT_KEY)
        site.fetch("POST", completions, body, "zebra-key")
    booking = f"{process.url}/services/reservations/reservations"
    headers = {"Idempotency-Key": "zebra-booking"}
    for lot in ("zebra-answer", "other"):
        site.fetch(
            "POST", booking, {"lot": lot}, site.ACCOUNT_KEY, headers=headers
        )
    running_site.processes["fast-a"].kill()
    running_site.processes["reservations"].kill()
    site.fetch("POST", completions, bodies[0], site.ACCOUNT_KEY)
    headers = {"Idempotency-Key": "zebra-booking-2"}
    site.fetch("POST", booking, {"lot": "x"}, site.ACCOUNT_KEY, headers=headers)
    operators = f"http://{process.addresses['operators']}/operator"
    change = {"object": "engine/fast-b", "set": {"note": "x"}}
    site.fetch("POST", f"{operators}/labels", change, site.OPERATORS_KEY)
    site.fetch("POST", f"{operators}/labels", {"zebra-prompt": 1}, "zebra-key")
    text = running_site.folder.joinpath("i1.log").read_text()
    events = re.findall(r" event=(\w+)", text)
    assert {"request_ended", "engine_disconnected", "operator_write"} <= {
        *events
    }
    for secret in (*SECRETS, site.ACCOUNT_KEY, site.OPERATORS_KEY):
        assert secret not in text
    for line in text.splitlines():
        assert LINE.fullmatch(line), line
    status = site.fetch("GET", f"{operators}/spans", key=site.OPERATORS_KEY)
    spans = json.dumps(status.json())
    assert not any(secret in spans for secret in SECRETS)
