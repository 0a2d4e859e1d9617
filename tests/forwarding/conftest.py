"""Fixtures of a small site in the platform's formats."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
import pytest

from yuccatally_standins import path_site

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


@pytest.fixture
async def site() -> AsyncIterator[path_site.Site]:
    """A site with a store and a configuration, and nothing else yet."""
    async with (
        path_site.running_store() as (store, address),
        aiohttp.ClientSession() as session,
    ):
        found = path_site.Site(store, address, session)
        await found.configure(1)
        yield found
        await found.stop()


@pytest.fixture
async def served(site: path_site.Site) -> path_site.Site:
    """The site with two pipelines of one engine each, a desk, an instance."""
    for name in ("e1", "e2"):
        await site.add_engine(name, data_centre=f"dc-{name}")
    await site.add_engine("d1", card="")
    started = await site.start_node()
    service = started.state.rules.services["model"]
    await path_site.until(lambda: len(started.state.paths(service)) == 2)
    return site
