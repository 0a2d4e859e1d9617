"""Engines that send bytes without end, beside sound ones."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import pytest

from yuccatally.core import held_bytes
from yuccatally.forwarding import calls
from yuccatally_standins import endless
from yuccatally_standins import path_site

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ENDLESS_COUNT = 6
REQUEST_COUNT = 24
# Small enough that the responses reach it together long before any of them
# reaches its own limit.
LIMIT_BYTES = 4 * 1024 * 1024
# A part that arrives before its response is discarded.
PART_BYTES = 1024 * 1024
# The engines send until the timeout of the route without a limit.
DEADLINE_MS = 2500


@pytest.fixture
def limit(monkeypatch: pytest.MonkeyPatch) -> held_bytes.Holdings:
    """Sets a low limit for the process."""
    lowered = held_bytes.Holdings(LIMIT_BYTES)
    monkeypatch.setattr(held_bytes, "PROCESS", lowered)
    return lowered


@pytest.fixture(
    params=[
        endless.Place.BODY,
        endless.Place.CHUNKED_BODY,
        endless.Place.LENGTH_BODY,
    ],
    ids=lambda p: p.name.lower(),
)
async def faulty(
    request: pytest.FixtureRequest, limit: held_bytes.Holdings
) -> AsyncIterator[list[endless.EndlessServer]]:
    """Engines of the plain service that send bytes without end."""
    async with contextlib.AsyncExitStack() as stack:
        yield [
            await stack.enter_async_context(endless.run(request.param))
            for _ in range(ENDLESS_COUNT)
        ]


async def test_endless_bodies_do_not_exceed_the_limit_of_the_process(
    site: path_site.Site,
    faulty: list[endless.EndlessServer],
    limit: held_bytes.Holdings,
) -> None:
    """Guards against engines that fill the memory of an instance together.

    Each response stayed below its own limit, 16 MiB, and 20 of them took a
    process to 354 MB. It ended with the requests of all clients.
    """
    sound = await site.add_engine("d1", card="")
    for number, server in enumerate(faulty):
        await site.store.set(
            "servers",
            f"x{number}",
            {**sound.entry("ready"), "address": server.address},
        )
    instance = await site.start_instance()
    await path_site.until(
        lambda: (
            len(instance.state.registry.usable_of("desk")) == ENDLESS_COUNT + 1
        )
    )
    answers = await asyncio.gather(
        *(
            site.send_request("/book/x", f"b{n}", deadline_ms=DEADLINE_MS)
            for n in range(REQUEST_COUNT)
        )
    )
    statuses = [status for status, _, _ in answers]
    assert limit.discarded_count
    assert limit.peak_bytes <= LIMIT_BYTES + PART_BYTES
    assert LIMIT_BYTES < calls.MAX_RESPONSE_BYTES
    # Requests that a sound engine has run are answered.
    assert statuses.count(200) == len(sound.executed_requests) > 0
    assert set(statuses) <= {200, 502, 503, 504}
    await path_site.until(lambda: limit.total_bytes == 0)
    await path_site.until(lambda: not any(s.open_count for s in faulty))
