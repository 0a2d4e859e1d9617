"""Pauses of sound engines on paths of several engines."""

from __future__ import annotations

import asyncio
import time

import pytest

from yuccatally_standins import path_site
from yuccatally_standins import pauses

WHOLE = b"".join(b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(1, 61))


@pytest.mark.parametrize("pause_s", pauses.PAUSES_S)
@pytest.mark.parametrize("paused", ["north-1", "north-2", "both"])
@pytest.mark.parametrize("others", ["idle", "full"])
async def test_stream_outlasts_a_pause_of_engines_of_its_path(
    site: path_site.Site, paused: str, others: str, pause_s: float
) -> None:
    """Guards against streams that end as engines of one path pause."""
    changed = path_site.configuration(2)
    changed["services"][1]["engine"]["layers"] = 8
    await site.publish_configuration(**changed)
    for data_centre in ("north", "south"):
        for number in (1, 2):
            await site.add_engine(
                f"{data_centre}-{number}", data_centre=data_centre, events=60
            )
    instance = await site.start_instance()
    service = instance.state.rules.services["model"]
    await path_site.until(lambda: len(instance.state.paths(service)) == 2)
    path = next(
        p
        for p in instance.state.paths(service)
        if p.hops[0].data_centre == "north"
    )
    other = next(p for p in instance.state.paths(service) if p is not path)
    instance.state.dispatcher.avoid(other.name, time.monotonic() + 5.0)
    tasks = [
        asyncio.create_task(site.send_request("/ask/x", f"s{n}"))
        for n in range(6)
    ]
    first = site.engines[path.hops[0].name]
    await path_site.until(lambda: len(first.paths) == 6)
    instance.state.dispatcher.avoided_until.clear()
    if others == "full":
        for hop in other.hops:
            site.engines[hop.name].behaviour = pauses.FULL
    for engine in site.engines.values():
        if engine.data_centre == "north" and paused in (engine.name, "both"):
            engine.pause(pause_s)
    answers = await asyncio.gather(*tasks)
    assert [(s, b) for s, _, b in answers] == [(200, WHOLE)] * len(tasks)
    await pauses.check_released(site)
