"""Requests that wait for room on a path."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest

from yuccatally.core.forwarding import dispatch
from yuccatally.forwarding import waiting
from yuccatally_standins import path_site

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from yuccatally.forwarding import state

    Answer = tuple[int, dict[str, str], bytes]

PATH = "dc-e1-1"
TOKENS = 1e9


@pytest.fixture
async def full(sharing: path_site.Site) -> AsyncIterator[path_site.Site]:
    """A site whose only path is full; requests may wait for long."""
    changed = path_site.configuration(2)
    for route in changed["routes"]:
        route["sloMs"] = 20_000
        route["timeoutMs"] = 20_000
    await sharing.publish_configuration(**changed)
    instance_state = _state(sharing)
    await path_site.until(lambda: instance_state.rules.version == 2)
    queue = instance_state.waiting.queue("model")
    queue.throughput.work_per_s = 100.0
    instance_state.dispatcher.record_start(PATH, TOKENS, time.monotonic())
    yield sharing


def _state(site: path_site.Site) -> state.InstanceState:
    return site.instances[0].state


def _free(site: path_site.Site) -> None:
    _state(site).dispatcher.record_end(PATH, TOKENS)


def _executed(site: path_site.Site) -> list[str]:
    return [r.request for r in site.engines["e1"].executed_requests]


async def _send(
    site: path_site.Site, request: str, deadline_ms: int = 10_000
) -> asyncio.Task[Answer]:
    """Sends a request that waits."""
    waiters = _state(site).waiting.waiters
    count = len(waiters)
    task = asyncio.create_task(
        site.send_request("/ask/x", request, deadline_ms=deadline_ms)
    )
    await path_site.until(lambda: len(waiters) > count)
    return task


async def test_freed_room_starts_the_request_that_waits(
    full: path_site.Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a wait that only the next poll ends."""
    monkeypatch.setattr(waiting, "TICK_INTERVAL_S", 3600.0)
    task = await _send(full, "first")
    _free(full)
    status, _, _ = await task
    assert (status, _executed(full)) == (200, ["first"])


async def test_requests_start_in_order_and_none_overtakes(
    full: path_site.Site,
) -> None:
    """Guards against a new request that takes the room of one that waits."""
    service = _state(full).rules.services["model"]
    slots = _state(full).paths(service)[0].slots
    for _ in range(slots - 1):
        _state(full).dispatcher.record_start(PATH, 0.0, time.monotonic())
    tasks = [await _send(full, f"r{n}") for n in range(3)]
    _free(full)
    tasks.append(
        asyncio.create_task(
            full.send_request("/ask/x", "new", deadline_ms=10_000)
        )
    )
    answers = await asyncio.gather(*tasks)
    assert [status for status, _, _ in answers] == [200] * 4
    assert _executed(full) == ["r0", "r1", "r2", "new"]


async def test_as_many_start_as_there_is_room_for(
    full: path_site.Site,
) -> None:
    """Guards against all waiting requests being sent to one free slot."""
    engine = full.engines["e1"]
    engine.delay_s = 0.3
    service = _state(full).rules.services["model"]
    slots = _state(full).paths(service)[0].slots
    for _ in range(slots - 1):
        _state(full).dispatcher.record_start(PATH, 0.0, time.monotonic())
    tasks = [await _send(full, f"r{n}") for n in range(3)]
    _free(full)
    await path_site.until(lambda: _executed(full))
    await asyncio.sleep(0.1)
    assert _executed(full) == ["r0"]
    await asyncio.gather(*tasks)
    assert _state(full).dispatcher.own_work[PATH].requests == slots - 1


async def test_work_of_other_instances_that_ends_frees_room(
    full: path_site.Site,
) -> None:
    """Guards against room that only own requests give back."""
    dispatcher = _state(full).dispatcher
    work = {PATH: dispatch.OutstandingWork(1, TOKENS)}
    dispatcher.apply_remote_work("other", work, time.monotonic())
    _free(full)
    task = await _send(full, "first")
    dispatcher.apply_remote_work("other", {}, time.monotonic())
    status, _, _ = await task
    assert status == 200


async def test_client_that_leaves_while_waiting_is_not_served(
    full: path_site.Site,
) -> None:
    """Guards against requests that are sent after their client has left."""
    gone = await _send(full, "gone")
    there = await _send(full, "there")
    gone.cancel()
    await path_site.until(lambda: len(_state(full).waiting.waiters) == 1)
    _free(full)
    await there
    assert _executed(full) == ["there"]
    assert not _state(full).dispatcher.own_work


async def test_waiting_request_is_refused_by_its_deadline(
    full: path_site.Site,
) -> None:
    """Guards against requests that wait beyond the time of their client."""
    started_at = asyncio.get_running_loop().time()
    task = await _send(full, "late", deadline_ms=400)
    status, headers, _ = await task
    assert (status, _executed(full)) == (503, [])
    assert "retry-after" in headers
    assert asyncio.get_running_loop().time() - started_at < 2.0
    assert not _state(full).waiting.demand()


async def test_waiting_request_ends_with_a_planned_stop(
    full: path_site.Site,
) -> None:
    """Guards against a wait that outlasts the process."""
    task = await _send(full, "waits", deadline_ms=15_000)
    full.instances[0].start_drain()
    status, headers, _ = await task
    assert (status, headers["retry-after"]) == (503, "0")
    assert _executed(full) == []


async def test_quarantine_ends_the_wait(full: path_site.Site) -> None:
    """Guards against fatal requests that are sent after they were found."""
    task = await _send(full, "fatal")
    waiter = next(iter(_state(full).waiting.waiters.values()))
    mark = waiter.marks[-1]
    _state(full).waiting.withdraw(mark, "request-quarantined", 6.0)
    status, headers, body = await task
    assert (status, headers["retry-after"]) == (503, "6")
    assert b"request-quarantined" in body
    _free(full)
    await asyncio.sleep(0.05)
    assert _executed(full) == []


async def test_demand_is_what_waits(full: path_site.Site) -> None:
    """Guards against room that is divided without regard to who waits."""
    task = await _send(full, "first")
    demand = _state(full).waiting.demand()
    assert demand["model"].requests == 1
    assert demand["model"].tokens > 0
    _free(full)
    await task
    assert _state(full).waiting.demand() == {}


async def test_request_larger_than_any_path_is_refused_at_once(
    full: path_site.Site,
) -> None:
    """Guards against a request that no freed room can ever hold."""
    headers = {"Yuccatally-Token-Count": "900000,10"}
    status, _, body = await full.send_request("/ask/x", headers=headers)
    assert (status, b"full" in body) == (503, True)


async def test_call_waits_for_a_slot(sharing: path_site.Site) -> None:
    """Guards against calls that queue at an upstream beyond its slots."""
    dispatcher = _state(sharing).dispatcher
    for _ in range(12):
        dispatcher.record_start("d1", 0.0, time.monotonic())
    _state(sharing).waiting.queue("desk").throughput.work_per_s = 100.0
    waiters = _state(sharing).waiting.waiters
    task = asyncio.create_task(sharing.send_request("/book/x", "call"))
    await path_site.until(lambda: waiters)
    assert not sharing.engines["d1"].executed_requests
    dispatcher.record_end("d1", 0.0)
    status, _, _ = await task
    assert status == 200


async def test_refusal_and_wait_are_in_the_log_and_the_metrics(
    full: path_site.Site, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against refusals that operators cannot explain."""
    task = await _send(full, "waits", deadline_ms=400)
    text = full.instances[0].metrics_text()
    assert 'yuccatally_waiting_requests{label="model 1"} 1' in text
    assert 'yuccatally_longest_wait_seconds{label="model 1"}' in text
    await task
    text = full.instances[0].metrics_text()
    assert "yuccatally_waiting_requests{" not in text
    refused = 'yuccatally_waiting_refused_total{label="model full"} 1'
    assert refused in text
