"""Upstreams that name the rate of requests that they accept."""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import TYPE_CHECKING

import pytest

from yuccatally.peers import transport
from yuccatally.platform import engines
from yuccatally_standins import path_site

if TYPE_CHECKING:
    from yuccatally.forwarding import node

RATE = 2.0
# The operators allow one and a half times the rate and five requests in any
# four seconds, once all instances can know the limit.
WINDOW_S = 4.0
LONGEST_COUNT = 1.5 * RATE * WINDOW_S + 5


@pytest.fixture
async def site_of_three(served: path_site.Site) -> path_site.Site:
    """Adds two instances and a second upstream of the plain service."""
    await served.add_engine("d2", card="")
    for name in ("n2", "n3"):
        await served.start_instance(name)
    await path_site.until(
        lambda: all(_is_complete(i) for i in served.instances)
    )
    return served


def _is_complete(instance: node.Node) -> bool:
    service = instance.state.rules.services["model"]
    return (
        len(instance.fleet.rate_limiter.addresses) == 3
        and len(instance.state.registry.usable_of("desk")) == 2
        and len(instance.state.paths(service)) == 2
    )


def _limit(site: path_site.Site, *names: str, rate: float | None) -> None:
    for name in names:
        text = "" if rate is None else f"{rate}"
        site.engines[name].behaviour.rate_limit = text


async def _wait_for_limit(site: path_site.Site, *names: str) -> None:
    """Sends requests until all instances know the limits of upstreams."""

    def known() -> bool:
        return all(
            set(names) <= {e.name for e in i.state.limits.in_force}
            for i in site.instances
        )

    targets = [_target(name) for name in names]
    for number in range(100):
        if known():
            return
        target = targets[number % len(targets)]
        await site.send_request(target, f"learn{number}")
        await asyncio.sleep(0.02)
    pytest.fail("the limits did not become known")


def _target(name: str) -> str:
    return "/ask/x" if name.startswith("e") else "/stock/x"


async def _send_for(
    site: path_site.Site, target: str, seconds: float, interval_s: float
) -> list[int]:
    """Sends requests to all instances in turn; returns the statuses."""
    ends_at = time.monotonic() + seconds
    instances = itertools.cycle(site.instances)
    tasks = []
    while time.monotonic() < ends_at:
        request = site.send_request(
            target, f"load{len(tasks)}", at=next(instances)
        )
        tasks.append(asyncio.create_task(request))
        await asyncio.sleep(interval_s)
    return [status for status, _, _ in await asyncio.gather(*tasks)]


def _arrivals_since(site: path_site.Site, name: str, since: float) -> int:
    return sum(1 for at in site.engines[name].arrivals if at >= since)


@pytest.mark.parametrize("name", ["d1", "e1"])
async def test_all_instances_together_keep_a_named_rate(
    site_of_three: path_site.Site, name: str
) -> None:
    """Guards against an upstream that gets more requests than it named."""
    _limit(site_of_three, name, rate=RATE)
    await _wait_for_limit(site_of_three, name)
    since = time.monotonic()
    statuses = await _send_for(site_of_three, _target(name), WINDOW_S, 0.04)
    assert set(statuses) == {200}
    arrived = _arrivals_since(site_of_three, name, since)
    assert RATE <= arrived <= LONGEST_COUNT


async def test_refused_requests_and_retries_take_turns(
    site_of_three: path_site.Site,
) -> None:
    """Guards against retries that come on top of a named rate."""
    _limit(site_of_three, "d1", "d2", rate=RATE)
    await _wait_for_limit(site_of_three, "d1", "d2")
    for name in ("d1", "d2"):
        site_of_three.engines[name].behaviour.refusal_status = 503
    since = time.monotonic()
    statuses = await _send_for(site_of_three, "/stock/x", WINDOW_S, 0.04)
    assert set(statuses) == {503}
    for name in ("d1", "d2"):
        assert _arrivals_since(site_of_three, name, since) <= LONGEST_COUNT


async def test_request_without_a_turn_in_time_is_refused_at_once(
    site_of_three: path_site.Site,
) -> None:
    """Guards against requests that wait although their turn comes too late."""
    _limit(site_of_three, "d1", "d2", rate=0.25)
    await _wait_for_limit(site_of_three, "d1", "d2")
    for number in range(4):
        started_at = time.monotonic()
        status, headers, body = await site_of_three.send_request(
            "/book/x", f"late{number}"
        )
        if status != 200:
            break
    assert status == 503
    assert b"rate-limited" in body
    assert time.monotonic() - started_at < 0.3
    assert float(headers["retry-after"]) > 0
    executed = [
        e.request
        for name in ("d1", "d2")
        for e in site_of_three.engines[name].executed_requests
    ]
    assert f"late{number}" not in executed


async def test_request_waits_for_its_turn(
    site_of_three: path_site.Site,
) -> None:
    """Guards against refusals while a turn comes within the deadline."""
    _limit(site_of_three, "d1", "d2", rate=4.0)
    await _wait_for_limit(site_of_three, "d1", "d2")
    statuses = await _send_for(site_of_three, "/stock/x", 3.0, 0.15)
    assert set(statuses) == {200}


async def test_limit_ends_on_all_instances(
    site_of_three: path_site.Site,
) -> None:
    """Guards against a limit that stays after its upstream has ended it."""
    _limit(site_of_three, "d1", "d2", rate=RATE)
    await _wait_for_limit(site_of_three, "d1", "d2")
    _limit(site_of_three, "d1", "d2", rate=None)
    await _send_for(site_of_three, "/stock/x", 1.5, 0.05)
    await path_site.until(
        lambda: (
            not any(i.state.limits.in_force for i in site_of_three.instances)
        ),
        timeout_s=2.0,
    )
    since = time.monotonic()
    await _send_for(site_of_three, "/stock/x", 1.0, 0.02)
    arrived = _arrivals_since(site_of_three, "d1", since)
    assert arrived > 3 * RATE


async def test_report_without_a_limit_does_not_end_it(
    site_of_three: path_site.Site,
) -> None:
    """Guards against health checks that end a limit named to requests."""
    _limit(site_of_three, "d1", rate=RATE)
    await _wait_for_limit(site_of_three, "d1")
    _limit(site_of_three, "d1", rate=None)
    instance = site_of_three.instances[0]
    upstream = instance.state.registry.entries["d1"]
    session = instance.control.session
    await engines.is_healthy(session, upstream, "/healthz")
    assert instance.state.limits.in_force


async def test_instance_that_starts_later_learns_the_limit(
    site_of_three: path_site.Site,
) -> None:
    """Guards against a new instance that exceeds a limit named before."""
    _limit(site_of_three, "d1", rate=RATE)
    await _wait_for_limit(site_of_three, "d1")
    later = await site_of_three.start_instance("n4")
    await path_site.until(lambda: bool(later.state.limits.in_force))


async def test_instance_that_reaches_no_scheduler_sends_nothing(
    site_of_three: path_site.Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against instances that exceed a rate while they are cut off."""
    _limit(site_of_three, "d1", rate=RATE)
    await _wait_for_limit(site_of_three, "d1")
    limiters = [i.fleet.rate_limiter for i in site_of_three.instances]
    engine = next(iter(site_of_three.instances[0].state.limits.in_force))
    scheduler = limiters[0]._scheduler(engine)
    cut = next(
        i for i in site_of_three.instances if i.settings.name != scheduler
    )

    async def fail(*args: object) -> None:
        raise transport.PeerError("cut off")

    monkeypatch.setattr(cut.fleet.rate_limiter.transport, "exchange", fail)
    since = time.monotonic()
    for number in range(20):
        status, _, _ = await site_of_three.send_request(
            "/stock/x", f"cut{number}", at=cut
        )
        assert status == 200
    assert not _arrivals_since(site_of_three, "d1", since)


async def test_rate_is_kept_while_the_scheduler_is_lost(
    site_of_three: path_site.Site,
) -> None:
    """Guards against a rate that is exceeded when a scheduler is replaced."""
    _limit(site_of_three, "d1", rate=RATE)
    await _wait_for_limit(site_of_three, "d1")
    engine = next(iter(site_of_three.instances[0].state.limits.in_force))
    limiter = site_of_three.instances[0].fleet.rate_limiter
    lost = next(
        n
        for n, i in enumerate(site_of_three.instances)
        if i.settings.name == limiter._scheduler(engine)
    )
    load = asyncio.create_task(
        _send_for_others(site_of_three, lost, WINDOW_S + 1.0)
    )
    await asyncio.sleep(1.0)
    since = time.monotonic()
    site_of_three.tasks[lost].cancel()
    await load
    assert _arrivals_since(site_of_three, "d1", since) <= LONGEST_COUNT


async def _send_for_others(
    site: path_site.Site, without: int, seconds: float
) -> None:
    others = [i for n, i in enumerate(site.instances) if n != without]
    ends_at = time.monotonic() + seconds
    number = 0
    while time.monotonic() < ends_at:
        number += 1
        await site.send_request(
            "/stock/x", f"others{number}", at=others[number % len(others)]
        )
        await asyncio.sleep(0.03)
