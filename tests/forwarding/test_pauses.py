"""Streams in progress at sound engines that fall silent and then go on."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from yuccatally_standins import path_site
from yuccatally_standins import pauses

if TYPE_CHECKING:
    Answer = tuple[int, dict[str, str], bytes]
    Streaming = tuple[path_site.Site, list[asyncio.Task[Answer]]]

WHOLE = b"".join(b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(1, 61))


@pytest.mark.parametrize("pause_s", pauses.PAUSES_S)
@pytest.mark.parametrize("name", pauses.SITUATIONS)
async def test_stream_with_events_outlasts_a_pause(
    streaming: Streaming, name: str, pause_s: float
) -> None:
    """Guards against streams that are cut although their engine is sound.

    The run at the paused engine was given up before another engine had given
    an event.
    """
    site, tasks = streaming
    await pauses.pause(site, pauses.SITUATIONS[name], pause_s)
    answers = await asyncio.gather(*tasks)
    assert [(s, b) for s, _, b in answers] == [(200, WHOLE)] * len(tasks)
    await pauses.check_released(site)


@pytest.mark.parametrize("pause_s", pauses.PAUSES_S)
async def test_stream_outlasts_a_pause_of_its_last_attempt(
    streaming: Streaming, pause_s: float
) -> None:
    """Guards against a stream that is cut once its attempts are spent."""
    site, tasks = streaming
    runner = site.engines["e1"].runner
    assert runner is not None
    for connection in list(runner.server.connections):
        if connection.transport is not None:
            connection.transport.abort()
    e2 = site.engines["e2"]
    await path_site.until(lambda: len(e2.paths) == 6)
    await pauses.pause(site, pauses.Situation(pauses.ALL), pause_s)
    answers = await asyncio.gather(*tasks)
    assert [(s, b) for s, _, b in answers] == [(200, WHOLE)] * len(tasks)


async def test_stream_that_may_not_resume_waits_for_its_engine(
    served: path_site.Site,
) -> None:
    """Guards against a second run of a stream that may run only once."""
    routes = pauses.long_routes()
    routes[0]["resumable"] = False
    await served.publish_configuration(2, routes=routes)
    state = served.instances[0].state
    await path_site.until(lambda: state.rules.version == 2)
    engines = [served.engines["e1"], served.engines["e2"]]
    for engine in engines:
        engine.events = 60
    task = asyncio.create_task(served.send_request("/ask/x"))
    await path_site.until(lambda: any(e.paths for e in engines))
    for engine in engines:
        engine.pause(1.5 if engine.paths else 0.0)
    status, _, body = await task
    assert (status, body) == (200, WHOLE)
    assert sum(len(e.executed_requests) for e in engines) == 1


async def test_silent_runs_end_when_another_engine_goes_on(
    streaming: Streaming,
) -> None:
    """Guards against two engines that work on one stream until its end."""
    site, tasks = streaming
    e1, e2 = site.engines["e1"], site.engines["e2"]
    e1.behaviour.stalled = True
    await path_site.until(lambda: len(e1.cancelled) == len(tasks), 2.0)
    assert len(e2.paths) == len(tasks)
    answers = await asyncio.gather(*tasks)
    assert [(s, b) for s, _, b in answers] == [(200, WHOLE)] * len(tasks)
    await pauses.check_released(site)


async def test_all_runs_end_when_the_client_leaves(
    streaming: Streaming,
) -> None:
    """Guards against engines that work on for a client that has left."""
    site, tasks = streaming
    site.engines["e2"].behaviour = pauses.SILENT
    site.engines["e1"].behaviour.stalled = True
    e2 = site.engines["e2"]
    await path_site.until(lambda: len(e2.executed_requests) == len(tasks))
    for task in tasks:
        task.cancel()
    for engine in (site.engines["e1"], e2):
        await path_site.until(
            lambda e=engine: len(e.cancelled) == len(tasks), 0.5
        )
    await pauses.check_released(site)
