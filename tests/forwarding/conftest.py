"""Fixtures of a small deployment in the platform's formats."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import aiohttp
import pytest

from yuccatally_standins import path_site

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    Answer = tuple[int, dict[str, str], bytes]

# At one event in five milliseconds, long enough to start a pause within.
LONG_EVENTS = 60


@pytest.fixture
async def site() -> AsyncIterator[path_site.Site]:
    """A deployment with a store and a configuration only."""
    async with (
        path_site.run_store() as (store, address),
        aiohttp.ClientSession() as session,
    ):
        created = path_site.Site(store, address, session)
        await created.publish_configuration(1)
        yield created
        await created.stop()


@pytest.fixture
async def served(site: path_site.Site) -> path_site.Site:
    """Adds two pipelines of one engine each, a service and an instance."""
    for name in ("e1", "e2"):
        await site.add_engine(name, data_centre=f"dc-{name}")
    await site.add_engine("d1", card="")
    instance = await site.start_instance()
    service = instance.state.rules.services["model"]
    await path_site.until(lambda: len(instance.state.paths(service)) == 2)
    return site


@pytest.fixture
async def sharing(site: path_site.Site) -> path_site.Site:
    """Adds a pipeline of one engine, a service and an instance.

    The instance queues requests that find no room.
    """
    await site.add_engine("e1", data_centre="dc-e1")
    await site.add_engine("d1", card="")
    instance = await site.start_instance(shares_load=True)
    service = instance.state.rules.services["model"]
    await path_site.until(lambda: len(instance.state.paths(service)) == 1)
    return site


@pytest.fixture
async def streaming(
    served: path_site.Site,
) -> AsyncIterator[tuple[path_site.Site, list[asyncio.Task[Answer]]]]:
    """Six streams in progress on the pipeline of ``e1``."""
    for engine in served.engines.values():
        engine.events = LONG_EVENTS
    dispatcher = served.instances[0].state.dispatcher
    dispatcher.avoid("dc-e2-1", time.monotonic() + 5.0)
    tasks = [
        asyncio.create_task(served.send_request("/ask/x", f"s{n}"))
        for n in range(6)
    ]
    await path_site.until(lambda: len(served.engines["e1"].paths) == 6)
    dispatcher.avoided_until.clear()
    yield served, tasks
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
