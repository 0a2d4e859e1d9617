"""Streams whose path contains a failed engine behind the first one."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import TYPE_CHECKING

import pytest

from yuccatally_standins import path_engine
from yuccatally_standins import path_site

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

EVENTS = 60
WHOLE = b"".join(
    b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(1, EVENTS + 1)
)


@pytest.fixture
async def staged(site: path_site.Site) -> path_site.Site:
    """Adds a pipeline of two engines in each of three data centres.

    The route is not resumable, so streams cannot resume on another pipeline.
    """
    changed = path_site.configuration(2)
    changed["routes"][0]["resumable"] = False
    changed["services"][1]["engine"]["layers"] = 8
    await site.publish_configuration(**changed)
    for data_centre in ("north", "south", "west"):
        for number in (1, 2):
            await site.add_engine(
                f"{data_centre}-{number}",
                data_centre=data_centre,
                events=EVENTS,
            )
    instance = await site.start_instance()
    service = instance.state.rules.services["model"]
    await path_site.until(lambda: len(instance.state.paths(service)) == 3)
    return site


@pytest.fixture
async def running(
    staged: path_site.Site,
) -> AsyncIterator[tuple[path_site.Site, asyncio.Task[tuple]]]:
    """A stream that is in progress on the pipeline in ``north``."""
    # The choice among paths is random; these are avoided for a moment.
    for name in ("south-1", "west-1"):
        staged.instances[0].state.dispatcher.avoid(name, time.monotonic() + 0.3)
    task = asyncio.create_task(staged.send_request("/ask/x"))
    await path_site.until(lambda: _first(staged).paths)
    yield staged, task
    task.cancel()


def _first(site: path_site.Site) -> path_engine.PathEngine:
    """Returns the first engine of the pipeline in ``north``."""
    return next(
        e
        for e in site.engines.values()
        if e.data_centre == "north" and e.held_layers == (0, 4)
    )


def _second(site: path_site.Site, data_centre: str) -> path_engine.PathEngine:
    return next(
        e
        for e in site.engines.values()
        if e.data_centre == data_centre and e.held_layers == (4, 8)
    )


async def test_stream_goes_on_around_a_lost_engine(
    running: tuple[path_site.Site, asyncio.Task[tuple]],
) -> None:
    """Guards against a stream that ends although only a later engine fails."""
    site, task = running
    _second(site, "north").behaviour.stalled = True
    status, _, body = await task
    assert (status, body) == (200, WHOLE)
    assert sum(len(e.executed_requests) for e in site.engines.values()) == 1
    (path,) = _first(site).rerouted_paths
    used = [p.partition("=")[0] for p in path.split(",")]
    assert used[0] == _first(site).address
    assert used[1] in {_second(site, h).address for h in ("south", "west")}


async def test_engine_that_lacks_its_part_is_passed_over(
    running: tuple[path_site.Site, asyncio.Task[tuple]],
) -> None:
    """Guards against an outdated entry that ends a stream.

    Entries of engines are seconds old; the engine chosen first has restarted
    and does not hold its layers.
    """
    site, task = running
    lost = _second(site, "north")
    restarted = [_second(site, h) for h in ("south", "west")]
    # Either may be the first choice; only one still holds its layers.
    restarted[0].held_layers = None
    lost.behaviour.stalled = True
    status, _, body = await task
    assert (status, body) == (200, WHOLE)
    assert restarted[1].address in _first(site).rerouted_paths[0]


async def test_rerouting_draws_on_the_retry_budget(
    running: tuple[path_site.Site, asyncio.Task[tuple]],
) -> None:
    """Guards against a failure that multiplies the work of all engines."""
    site, task = running
    instance = site.instances[0]
    bounds = dataclasses.replace(
        instance.settings.bounds, retry_share=0.0, retry_reserve=0.0
    )
    instance.reload(dataclasses.replace(instance.settings, bounds=bounds))
    lost = _second(site, "north")
    lost.behaviour.stalled = True
    await path_site.until(
        lambda: instance.state.retry_budget("model").refused_count
    )
    assert not _first(site).rerouted_paths
    lost.behaviour.stalled = False
    status, _, body = await task
    assert (status, body) == (200, WHOLE)
