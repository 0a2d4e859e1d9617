"""Upstreams that refuse requests and say how long they want none."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import pytest

from yuccatally_standins import path_engine
from yuccatally_standins import path_site

if TYPE_CHECKING:
    from yuccatally.forwarding import node

WAIT_S = 3.0


def _refuse(
    site: path_site.Site, *names: str, retry_after: str = f"{WAIT_S}"
) -> None:
    for name in names:
        site.engines[name].behaviour = path_engine.Behaviour(
            refusal_status=503, retry_after=retry_after
        )


async def _send_until_refused(
    site: path_site.Site, target: str, name: str
) -> None:
    for number in range(50):
        if site.engines[name].refused_count:
            return
        await site.send_request(target, f"until{number}")
    pytest.fail(f"no request reached {name}")


@pytest.fixture
async def doubled(served: path_site.Site) -> path_site.Site:
    """Adds a second upstream of the plain service."""
    await served.add_engine("d2", card="")
    registry = served.instances[0].state.registry
    await path_site.until(lambda: "d2" in registry.entries)
    return served


@pytest.mark.parametrize(
    ("target", "name"), [("/ask/x", "e1"), ("/stock/x", "d1")]
)
async def test_upstream_gets_nothing_for_as_long_as_it_asks(
    doubled: path_site.Site, target: str, name: str
) -> None:
    """Guards against requests to an upstream that asked for a pause."""
    _refuse(doubled, name)
    await _send_until_refused(doubled, target, name)
    refused_at = time.monotonic()
    engine = doubled.engines[name]
    number = 0
    # Paths are avoided for a second after any refusal.
    while time.monotonic() - refused_at < WAIT_S - 0.5:
        number += 1
        status, _, _ = await doubled.send_request(target, f"during{number}")
        assert status == 200
    assert engine.refused_count == 1


async def test_upstream_is_in_use_again_afterwards(
    doubled: path_site.Site,
) -> None:
    """Guards against a pause that does not end."""
    _refuse(doubled, "d1", retry_after="0.5")
    await _send_until_refused(doubled, "/stock/x", "d1")
    engine = doubled.engines["d1"]
    engine.behaviour = path_engine.Behaviour()
    registry = doubled.instances[0].state.registry
    await path_site.until(
        lambda: len(registry.usable_of("desk")) == 2, timeout_s=3.0
    )
    for number in range(20):
        await doubled.send_request("/stock/x", f"later{number}")
    assert engine.executed_requests


async def test_client_is_told_when_the_first_upstream_accepts_again(
    served: path_site.Site,
) -> None:
    """Guards against clients that return before any upstream accepts."""
    _refuse(served, "d1")
    status, _, _ = await served.send_request("/stock/x")
    assert status == 503
    status, headers, _ = await served.send_request(
        "/stock/x", "again", deadline_ms=60_000
    )
    assert status == 503
    # Clients ignore more than a third of the route's timeout.
    longest_s = path_site.CALL_TIMEOUT_MS / 3e3
    assert float(headers["retry-after"]) == pytest.approx(longest_s, abs=0.05)
    assert served.engines["d1"].refused_count == 1


async def test_pause_holds_for_one_instance_only(
    doubled: path_site.Site,
) -> None:
    """Guards against an upstream without any work after one refusal."""
    other = await doubled.start_instance("n2")
    await path_site.until(
        lambda: len(other.state.registry.usable_of("desk")) == 2
    )
    _refuse(doubled, "d1")
    await _send_until_refused(doubled, "/stock/x", "d1")
    doubled.engines["d1"].behaviour = path_engine.Behaviour()
    for number in range(20):
        await doubled.send_request("/stock/x", f"other{number}", at=other)
    assert doubled.engines["d1"].executed_requests


async def test_pause_is_no_failure(doubled: path_site.Site) -> None:
    """Guards against a repair of the pipeline of an engine that is busy."""
    instance: node.Node = doubled.instances[0]
    plan = instance.state.plans["model"]
    # Its health check fails as well, as that of an engine that leaves.
    doubled.engines["e1"].behaviour = path_engine.Behaviour(
        leaving=True, retry_after="1.5"
    )
    await _send_until_refused(doubled, "/ask/x", "e1")
    await doubled.send_request("/ask/x", "then")
    assert not instance.fleet.suspected_refusing
    assert instance.state.plans["model"] == plan


@pytest.mark.parametrize("value", ["soon", "-1", "nan", "inf", "1e400", ""])
async def test_invalid_pause_is_ignored(
    doubled: path_site.Site, value: str
) -> None:
    """Guards against a header that excludes an upstream for good."""
    _refuse(doubled, "d1", retry_after=value)
    await _send_until_refused(doubled, "/stock/x", "d1")
    registry = doubled.instances[0].state.registry
    assert len(registry.usable_of("desk")) == 2
