"""Limits, urgency classes and deadlines with separate processes."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from yuccatally_standins import site

if TYPE_CHECKING:
    from collections.abc import Callable

REQUESTS_PER_S = 5.0
PLAN = site.SiteSpec(
    instances=2,
    engines=(
        site.EngineSpec("front", 0, 8, 1.0, {"part": "front"}),
        site.EngineSpec("back", 8, 12, 1.0, {"part": "back"}),
    ),
    pipelines={"p": (("part=front", 0, 8), ("part=back", 8, 12))},
    accounts={"small": {"requests_per_s": REQUESTS_PER_S, "urgency": "normal"}},
)
BODY = {"model": site.MODEL, "prompt": "Lots?", "max_tokens": 2}


def send_request(
    started: site.Site, number: int, key: str, **headers: str
) -> site.Response:
    process = started.of_role("instance")[number]
    url = f"{process.url}/v1/completions"
    prefixed_headers = {
        f"Yuccatally-{k.replace('_', '-')}": v for k, v in headers.items()
    }
    return site.fetch("POST", url, BODY, key, prefixed_headers)


def test_admission_over_two_instances(
    start_site: Callable[[site.SiteSpec], site.Site],
) -> None:
    """Guards against limits applied per instance, and false refusals."""
    started = start_site(PLAN)
    for headers in (
        {"Urgency": "asap"},
        {"Deadline_Ms": "soon"},
        {"Deadline_Ms": "0"},
    ):
        refused = send_request(started, 0, site.ACCOUNT_KEY, **headers)
        assert (refused.status, refused.outcome) == (400, "not-run")
    batch_response = send_request(
        started, 0, site.ACCOUNT_KEY, Urgency="batch", Deadline_Ms="20000"
    )
    assert batch_response.outcome == "answered"
    # The limit applies once the instances have discovered each other and
    # joined.
    deadline = time.monotonic() + 20
    while send_request(started, 0, "small-key").status == 429:
        assert time.monotonic() < deadline
        time.sleep(0.1)
    started_at = time.monotonic()
    responses = [send_request(started, i % 2, "small-key") for i in range(60)]
    elapsed_s = time.monotonic() - started_at
    refused_limits = [a for a in responses if a.status == 429]
    assert {a.outcome for a in refused_limits} == {"not-run"}
    assert all(int(a.headers["retry-after"]) >= 1 for a in refused_limits)
    answered = [a for a in responses if a.outcome == "answered"]
    assert len(answered) + len(refused_limits) == len(responses)
    assert 1 <= len(answered) <= REQUESTS_PER_S * (elapsed_s + 1) + 2
    status = [started.status(p) for p in started.of_role("instance")]
    assert all(s["balanced"] for s in status)


def test_deadline_that_cannot_be_met(
    start_site: Callable[[site.SiteSpec], site.Site],
) -> None:
    """Guards against engine steps for requests that miss their deadline."""
    started = start_site(PLAN)
    for _ in range(3):
        response = send_request(
            started, 0, site.ACCOUNT_KEY, Deadline_Ms="9000"
        )
        assert response.outcome == "answered"
    before = site.fetch(
        "GET", f"{started.processes['front'].url}/v1/engine"
    ).json()["steps"]
    refused = send_request(started, 0, site.ACCOUNT_KEY, Deadline_Ms="1")
    assert (refused.status, refused.outcome) == (503, "not-run")
    assert "retry-after" in refused.headers
    after = site.fetch(
        "GET", f"{started.processes['front'].url}/v1/engine"
    ).json()["steps"]
    assert after == before
