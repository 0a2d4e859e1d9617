"""Streams without an event whose sound engines fall silent and go on."""

from __future__ import annotations

import asyncio
import time

import pytest

from yuccatally_standins import path_site
from yuccatally_standins import pauses

WHOLE = b"".join(b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(1, 61))

# Longer than the first search for another path.
BUSY_S = 2.0


@pytest.mark.parametrize("pause_s", pauses.PAUSES_S)
@pytest.mark.parametrize("name", pauses.SITUATIONS)
async def test_stream_without_events_outlasts_a_pause(
    served: path_site.Site, name: str, pause_s: float
) -> None:
    """Guards against requests that fail while their engine reads the prompt."""
    for engine in served.engines.values():
        engine.events = 60
        engine.delay_s = 0.1
    _prefer(served, "e1")
    tasks = [
        asyncio.create_task(served.send_request("/ask/x", f"s{n}"))
        for n in range(6)
    ]
    e1 = served.engines["e1"]
    await path_site.until(lambda: len(e1.executed_requests) == 6)
    _prefer(served, "")
    await pauses.pause(served, pauses.SITUATIONS[name], pause_s)
    answers = await asyncio.gather(*tasks)
    assert [(s, b) for s, _, b in answers] == [(200, WHOLE)] * len(tasks)
    await pauses.check_released(served)


def _prefer(site: path_site.Site, engine: str) -> None:
    """Sends requests to one engine only; to any if the name is empty."""
    dispatcher = site.instances[0].state.dispatcher
    dispatcher.avoided_until.clear()
    for name in {"e1", "e2"} - {engine}:
        if engine:
            dispatcher.avoid(f"dc-{name}-1", time.monotonic() + 5.0)


async def test_request_moves_once_another_path_has_room(
    served: path_site.Site,
) -> None:
    """Guards against waiting for an engine that never answers.

    The other engine was full when the first one fell silent.
    """
    silent, full = served.engines["e1"], served.engines["e2"]
    silent.behaviour.drops_answer = True
    full.behaviour.refusal_status = 503
    dispatcher = served.instances[0].state.dispatcher
    dispatcher.avoid("dc-e2-1", time.monotonic() + 0.5)
    request = asyncio.create_task(
        served.send_request("/ask/x", "s1", deadline_ms=4000)
    )
    await path_site.until(lambda: silent.executed_requests)
    await asyncio.sleep(BUSY_S)
    assert full.refused_count
    full.behaviour.refusal_status = 0
    status, _, _ = await request
    assert status == 200
