"""Requests at an instance that leaves."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import TYPE_CHECKING
from typing import Any

import pytest

from yuccatally.core.forwarding import draining
from yuccatally.core.forwarding import statements
from yuccatally.forwarding import node
from yuccatally_standins import path_engine
from yuccatally_standins import path_site

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

LIMIT_MS = 10_000
REQUEST = (
    b"POST %s HTTP/1.1\r\nHost: site.example\r\nApi-Key: key-1\r\n"
    b"Yuccatally-Attempt-Id: raw\r\nYuccatally-Deadline-Ms: 1000\r\n"
    b"Content-Length: 1\r\n\r\np"
)


@pytest.fixture
async def leaving(served: path_site.Site) -> path_site.Site:
    """Sets routes with long timeouts and a grace of five seconds."""
    routes = path_site.configuration(2)["routes"]
    for route in routes:
        route["timeoutMs"] = LIMIT_MS
    await served.publish_configuration(2, routes=routes)
    instance = served.instances[0]
    bounds = dataclasses.replace(instance.settings.bounds, grace_s=5.0)
    instance.reload(dataclasses.replace(instance.settings, bounds=bounds))
    await path_site.until(lambda: instance.state.rules.version == 2)
    return served


async def _connect(
    site: path_site.Site,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    address = site.instances[0].settings.listen.callers
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


@pytest.fixture
async def connection(
    leaving: path_site.Site,
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """A connection of a client that keeps it open."""
    reader, writer = await _connect(leaving)
    yield reader, writer
    writer.close()


def _executed(site: path_site.Site) -> set[str]:
    return {
        r.request for e in site.engines.values() for r in e.executed_requests
    }


async def _read_head(reader: asyncio.StreamReader) -> bytes:
    async with asyncio.timeout(10.0):
        return (await reader.readuntil(b"\r\n\r\n")).lower()


async def test_stream_is_accepted_by_its_expected_duration(
    leaving: path_site.Site,
) -> None:
    """Guards against streams that all are refused for their long deadlines."""
    await leaving.send_request("/ask/x", "first", deadline_ms=LIMIT_MS)
    leaving.instances[0].start_drain()
    status, headers, _ = await leaving.send_request(
        "/ask/x", "late", deadline_ms=LIMIT_MS
    )
    assert (status, headers["connection"]) == (200, "close")


async def test_stream_that_would_be_cut_is_refused(
    leaving: path_site.Site,
) -> None:
    """Guards against streams that are accepted and cut some seconds later."""
    instance = leaving.instances[0]
    for _ in range(draining.PACE_COUNT):
        instance.application.paces.record("ask", 0, 6.0)
    instance.start_drain()
    status, headers, _ = await leaving.send_request(
        "/ask/x", "late", deadline_ms=LIMIT_MS
    )
    assert (status, headers["retry-after"]) == (503, "0")
    assert "late" not in _executed(leaving)


async def test_booking_that_waits_for_its_turn_is_refused(
    leaving: path_site.Site,
) -> None:
    """Guards against a booking that is first sent in the middle of a drain.

    Its turn at the upstream comes after the drain has started.
    """
    instance = leaving.instances[0]
    leaving.engines["d1"].behaviour.rate_limit = "1"
    upstream = instance.state.registry.entries["d1"]
    instance.state.apply_statement(upstream, statements.Limit(1.0))
    tasks = [
        asyncio.create_task(
            leaving.send_request("/book/x", f"waits{n}", deadline_ms=LIMIT_MS)
        )
        for n in range(4)
    ]
    await path_site.until(lambda: instance.state.in_flight >= 1)
    await asyncio.sleep(0.1)
    waiting = [t for t in tasks if not t.done()]
    assert waiting
    started_at = time.monotonic()
    instance.start_drain()
    answers = await asyncio.gather(*waiting)
    assert time.monotonic() - started_at < 0.3
    assert {(s, h["retry-after"]) for s, h, _ in answers} == {(503, "0")}


async def test_failure_to_announce_ends_no_drain(
    leaving: path_site.Site,
) -> None:
    """Guards against an instance that ends at once if it cannot announce it."""
    instance = leaving.instances[0]

    async def fail() -> None:
        raise RuntimeError("broken")

    instance.fleet.notify_relays = fail
    instance.start_drain()
    await asyncio.sleep(0.2)
    status, _, _ = await leaving.send_request("/book/x", "late")
    assert status == 200


async def test_request_that_just_ends_does_not_end_a_drain(
    leaving: path_site.Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a drain that fails and cuts all requests in flight.

    The time limit of a request that is being ended cannot be changed.
    """
    instance = leaving.instances[0]
    ending = asyncio.Event()
    end_failed = instance.application._end_failed

    async def fail(*args: object) -> None:
        raise RuntimeError("broken")

    async def end_late(*args: Any) -> None:
        ending.set()
        await asyncio.sleep(0.5)
        await end_failed(*args)

    with monkeypatch.context() as changed:
        changed.setattr(instance.application.calls, "run", fail)
        changed.setattr(instance.application, "_end_failed", end_late)
        task = asyncio.create_task(leaving.send_request("/book/x", "failed"))
        await ending.wait()
        instance.start_drain()
        await asyncio.sleep(0.1)
    assert not leaving.tasks[0].done()
    status, _, _ = await leaving.send_request("/book/x", "late")
    assert status == 200
    assert (await task)[0] == 500


async def test_kept_connection_is_closed_with_an_answer(
    leaving: path_site.Site,
    connection: tuple[asyncio.StreamReader, asyncio.StreamWriter],
) -> None:
    """Guards against kept connections that are closed while clients use them.

    A client uses its connection when it was idle for most of the time in which
    it may hold the address.
    """
    reader, writer = connection
    writer.write(REQUEST % b"/book/x")
    assert b"connection: close" not in await _read_head(reader)
    await reader.readexactly(len(b"done raw"))
    leaving.instances[0].start_drain()
    await asyncio.sleep(2.2)
    writer.write(REQUEST % b"/book/x")
    head = await _read_head(reader)
    assert head.startswith(b"http/1.1 200 ")
    assert b"connection: close" in head


async def test_first_request_of_a_new_connection_is_answered(
    leaving: path_site.Site,
) -> None:
    """Guards against a connection just accepted whose request is cut.

    The listeners stop once the instance refuses requests and is idle.
    """
    leaving.instances[0].start_drain()
    await asyncio.sleep(draining.ACCEPT_PERIOD_S - 0.1)
    reader, writer = await _connect(leaving)
    await asyncio.sleep(0.1 + node.DRAIN_POLL_S)
    writer.write(REQUEST % b"/book/x")
    head = await _read_head(reader)
    assert head.startswith(b"http/1.1 503 ")
    assert b"connection: close" in head
    writer.close()


async def test_answer_to_a_slow_reader_is_sent_whole(
    leaving: path_site.Site,
    connection: tuple[asyncio.StreamReader, asyncio.StreamWriter],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an answer that is cut because the process has ended.

    The request was no longer in flight while its answer waited in a buffer.
    """
    reader, writer = connection
    body = b"x" * 8_000_000

    async def send_long(
        self: path_engine.PathEngine, request: object, _: bytes
    ) -> object:
        return self._create_response(request, 200, body)

    monkeypatch.setattr(path_engine.PathEngine, "_send_plain", send_long)
    instance = leaving.instances[0]
    writer.write(REQUEST % b"/book/x")
    await path_site.until(
        lambda: "raw" in _executed(leaving) and not instance.state.in_flight
    )
    instance.start_drain()
    await asyncio.sleep(draining.ACCEPT_PERIOD_S + 0.5)
    assert not leaving.tasks[0].done()
    await _read_head(reader)
    async with asyncio.timeout(5.0):
        assert await reader.readexactly(len(body)) == body
    async with asyncio.timeout(1.0):
        await leaving.tasks[0]
