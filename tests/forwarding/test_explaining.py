"""The three ways of docs/OPERATIONS.md from a request id to the cause."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING
from typing import Any

import pytest
import structlog

from yuccatally_standins import path_engine
from yuccatally_standins import path_site

if TYPE_CHECKING:
    from collections.abc import Iterator
    import pathlib

Lines = list[dict[str, Any]]


@pytest.fixture
def logs() -> Iterator[Lines]:
    """All log lines of the instances, as an engineer would search them."""
    with structlog.testing.capture_logs() as captured:
        yield captured


async def _lines_of(logs: Lines, request: str) -> Lines:
    """Returns the lines of a request; the last one follows its response."""

    def request_lines() -> Lines:
        return [e for e in logs if e.get("request") == request]

    await path_site.until(lambda: _with_event(request_lines(), "request"))
    return request_lines()


def _with_event(logs: Lines, event: str) -> Lines:
    return [e for e in logs if e["event"] == event]


async def test_refused_request_leads_to_what_was_missing(
    site: path_site.Site, logs: Lines
) -> None:
    """Guards against a refusal whose log does not lead to the cause."""
    engine = await site.add_engine("e1")
    instance = await site.start_instance()
    service = instance.state.rules.services["model"]
    await path_site.until(lambda: instance.state.paths(service))
    await engine.stop()
    for number in range(3):
        status, _, _ = await site.send_request("/ask/x", f"r{number}")
        assert status == 503
    await path_site.until(lambda: _with_event(logs, "engine_lost"))
    status, _, _ = await site.send_request("/ask/x", "last")
    (line,) = await _lines_of(logs, "last")
    assert (line["event"], line["status"]) == ("request", 503)
    assert (line["reason"], line["attempts"]) == ("no-path", 0)
    # The page lists these lines as the next ones to search, on any instance.
    assert _with_event(logs, "upstream_suspected")[0]["upstream"] == "e1"
    assert _with_event(logs, "engine_lost")[0]["engine"] == "e1"
    assert _with_event(logs, "engine_lost")[0]["reason"]


async def test_broken_stream_leads_to_the_engine(
    served: path_site.Site, logs: Lines
) -> None:
    """Guards against an interrupted stream logged without its path."""
    for name in ("e1", "e2"):
        served.engines[name].behaviour = path_engine.Behaviour(break_after=2)
    _, _, body = await served.send_request("/ask/x", "broken")
    assert body.endswith(b"!")
    *failed, ended = await _lines_of(logs, "broken")
    assert ended["event"] == "request"
    assert ended["outcome"] == "broken-off"
    assert (ended["attempts"], ended["events"]) == (2, 4)
    assert [e["event"] for e in failed] == ["attempt_failed"] * 2
    assert [e["next"] for e in failed] == ["SendAgain", "GiveUp"]
    planned = {
        p.name: p.stages[0].engine
        for plan in served.instances[0].state.plans.values()
        for p in plan.pipelines
    }
    assert {planned[e["upstream"]] for e in failed} == {"e1", "e2"}


async def test_booking_of_unknown_fate_leads_to_the_upstream(
    served: path_site.Site, logs: Lines
) -> None:
    """Guards against a request of unknown outcome that cannot be traced."""
    served.engines["d1"].behaviour = path_engine.Behaviour(drops_answer=True)
    status, _, _ = await served.send_request(
        "/book/x", "fate", headers={}, deadline_ms=400
    )
    assert status == 504
    failed, ended = await _lines_of(logs, "fate")
    assert (failed["upstream"], failed["next"]) == ("d1", "GiveUp")
    assert failed["failure"] == "upstream-silent"
    assert (ended["status"], ended["attempts"]) == (504, 1)
    assert [r.request for r in served.engines["d1"].executed_requests] == [
        "fate"
    ]


def test_page_names_events_that_exist(pytestconfig: pytest.Config) -> None:
    """Guards against a page that names events which do not exist."""
    root: pathlib.Path = pytestconfig.rootpath
    page = (root / "docs" / "OPERATIONS.md").read_text()
    sources = "".join(
        p.read_text() for p in (root / "src" / "yuccatally").rglob("*.py")
    )
    shown = set(re.findall(r"event=([a-z_]+)", page))
    assert shown
    assert {e for e in shown if e not in sources} == set()
