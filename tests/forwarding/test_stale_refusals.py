"""Upstreams that write an earlier refusal once more on a kept connection."""

from __future__ import annotations

import asyncio

import pytest

from yuccatally_standins import path_engine
from yuccatally_standins import path_site

TARGETS = [("/ask/x", "e"), ("/stock/x", "d"), ("/book/x", "d")]


@pytest.fixture
async def doubled(served: path_site.Site) -> path_site.Site:
    """Adds a second upstream of the plain service."""
    await served.add_engine("d2", card="")
    registry = served.instances[0].state.registry
    await path_site.until(lambda: "d2" in registry.entries)
    return served


def _engines(site: path_site.Site, prefix: str) -> list[path_engine.PathEngine]:
    return [e for n, e in site.engines.items() if n.startswith(prefix)]


def _runs(engines: list[path_engine.PathEngine], attempt: str) -> int:
    return sum(
        r.request == attempt for e in engines for r in e.executed_requests
    )


async def _have_refused(
    site: path_site.Site, target: str, engines: list[path_engine.PathEngine]
) -> None:
    """Sends requests until all engines have refused one."""
    for engine in engines:
        engine.behaviour.refusal_status = 503
    number = 0
    while not all(e.refused_count for e in engines):
        number += 1
        await site.send_request(target, f"refused{number}")
    await asyncio.sleep(2 * path_engine.REPEAT_DELAY_S)
    for engine in engines:
        engine.behaviour.refusal_status = 0


@pytest.mark.parametrize("when", ["idle", "next"])
@pytest.mark.parametrize(("target", "prefix"), TARGETS)
async def test_refusal_of_another_request_is_no_answer(
    doubled: path_site.Site, target: str, prefix: str, when: str
) -> None:
    """Guards against "not run" for a request that an upstream has run."""
    engines = _engines(doubled, prefix)
    for engine in engines:
        engine.behaviour.repeats_refusal = when
    await _have_refused(doubled, target, engines)
    await asyncio.sleep(1.2)  # paths are avoided for a second after a refusal
    for number in range(6):
        attempt = f"a{number}"
        status, _, _ = await doubled.send_request(target, attempt)
        if status in (408, 421, 429, 503):
            assert _runs(engines, attempt) == 0
        if target.startswith("/book/"):
            assert _runs(engines, attempt) <= 1
        if when == "idle":
            assert status == 200


async def test_copy_of_a_refusal_that_fits_a_later_request_is_not_read(
    doubled: path_site.Site,
) -> None:
    """Guards against "not run" for an id that was refused before and then run.

    The copy arrives while the connection is kept.
    """
    engines = _engines(doubled, "e")
    for engine in engines:
        engine.behaviour.refusal_status = 503
        engine.behaviour.repeats_refusal = "idle"
    status, _, _ = await doubled.send_request("/ask/x", "same")
    assert status == 503
    await asyncio.sleep(2 * path_engine.REPEAT_DELAY_S)
    for engine in engines:
        engine.behaviour.refusal_status = 0
    await asyncio.sleep(1.2)  # as above
    status, _, _ = await doubled.send_request("/ask/x", "same")
    assert status == 200
    assert _runs(engines, "same") == 1


async def test_stream_that_returns_to_a_path_gets_its_own_answer(
    served: path_site.Site,
) -> None:
    """Guards against a copy of the refusal that the same stream got before.

    One engine refuses it, the other breaks off, and the first serves it then.
    """
    refusing, breaking = _engines(served, "e")
    refusing.behaviour.repeats_refusal = "next"
    breaking.behaviour.break_after = 1
    served_by_refusing = 0
    for number in range(12):
        refusing.behaviour.refusal_status = 503
        breaking.behaviour.refusal_status = 0
        refused_before = refusing.refused_count
        runs_before = len(breaking.executed_requests)
        request = asyncio.create_task(
            served.send_request("/ask/x", f"a{number}")
        )
        while not request.done():
            if refusing.refused_count > refused_before:
                refusing.behaviour.refusal_status = 0
            if len(breaking.executed_requests) > runs_before:
                breaking.behaviour.refusal_status = 503
            await asyncio.sleep(0.001)
        _, _, body = await request
        runs = _runs([refusing], f"a{number}")
        assert runs <= 1
        if runs:
            served_by_refusing += 1
            assert not body.endswith(b"!")
    assert served_by_refusing
