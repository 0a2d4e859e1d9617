"""Fixtures of a small deployment in the platform's formats."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
import pytest

from yuccatally_standins import path_site

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


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
