"""Prompts that crash the engines that begin to answer them."""

from __future__ import annotations

import asyncio
import itertools

import pytest

from yuccatally_standins import path_site

FATAL = "dead01"
# Shared by the requests with the fatal part and by sound ones.
CALLER = "ca11e4"
ENGINE_COUNT = 9
# Half of the time that instances may take to agree.
SETTLE_S = 1.5
_numbers = itertools.count()


@pytest.fixture
async def fragile(site: path_site.Site) -> path_site.Site:
    """Adds engines that each serve alone and crash under one part.

    Two instances serve requests.
    """
    for number in range(ENGINE_COUNT):
        engine = await site.add_engine(f"e{number}", data_centre=f"dc{number}")
        engine.behaviour.fatal_part = FATAL
    for name in ("n1", "n2"):
        started = await site.start_instance(name)
        service = started.state.rules.services["model"]
        await path_site.until(
            lambda s=started, m=service: len(s.state.paths(m)) == ENGINE_COUNT
        )
    return site


async def _send(site: path_site.Site, *parts: str, instance: int = 0) -> int:
    """Sends a request with shared parts and one of its own."""
    number = next(_numbers)
    prompt = ",".join(f"{p}:10" for p in (*parts, f"{number:x}"))
    status, _, _ = await site.send_request(
        "/ask/x",
        f"q{number}",
        headers={"Yuccatally-Prefix-Hash": prompt},
        at=site.instances[instance],
        sent_body=prompt.encode(),
    )
    return status


def _crashed_count(site: path_site.Site) -> int:
    return sum(e.has_crashed for e in site.engines.values())


async def test_fatal_prompts_stop_reaching_engines(
    fragile: path_site.Site,
) -> None:
    """Guards against requests of one kind that crash engine after engine.

    Each instance sees one of them in turn; requests of the same caller are
    served all the while.
    """
    for instance in (0, 1):
        assert await _send(fragile, CALLER, instance=instance) == 200
    for number in range(4):
        await _send(fragile, CALLER, FATAL, instance=number % 2)
        await asyncio.sleep(0.4)
        assert await _send(fragile, CALLER, instance=number % 2) == 200
    await asyncio.sleep(SETTLE_S)
    crashed = _crashed_count(fragile)
    assert crashed <= 4
    for number in range(6):
        status = await _send(fragile, CALLER, FATAL, instance=number % 2)
        assert status == 503
        assert await _send(fragile, CALLER, instance=number % 2) == 200
    assert _crashed_count(fragile) == crashed


async def test_request_that_may_have_crashed_its_engine_is_not_repeated(
    fragile: path_site.Site,
) -> None:
    """Guards against attempts that multiply the crashes of one request."""
    status = await _send(fragile, CALLER, FATAL)
    assert status == 502
    assert _crashed_count(fragile) == 1
