"""Idle connections when the limits of a listener change."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest

from yuccatally.instance import protocol
from yuccatally.instance import servers
from yuccatally.settings import settings
from yuccatally_standins import site

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import MutableMapping
    from typing import Any

    Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

SHORT_S = 0.4
LONG_S = 1.2
# Resolution of the timers of the event loop.
TIMER_RESOLUTION_S = 0.005
REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


class Connection:
    """A connection that a client keeps."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.sent_at = self.idle_since = 0.0

    async def request(self) -> None:
        """Sends a request and reads its answer."""
        self.sent_at = time.monotonic()
        self.writer.write(REQUEST)
        head = await self.reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 ")
        assert await self.reader.readexactly(2) == b"ok"
        self.idle_since = time.monotonic()

    async def idle_times_s(self) -> tuple[float, float]:
        """Returns how long the connection was idle when it was closed.

        Returns:
            The least time and the most: the listener starts to count after the
            request was sent, and before a busy client has read the answer.
        """
        async with asyncio.timeout(5.0):
            assert await self.reader.read() == b""
        now = time.monotonic()
        self.writer.close()
        return now - self.idle_since, now - self.sent_at


async def _respond(scope: object, receive: object, send: Send) -> None:
    headers = [(b"content-length", b"2")]
    await send(
        {"type": "http.response.start", "status": 200, "headers": headers}
    )
    await send({"type": "http.response.body", "body": b"ok"})


@pytest.fixture
async def listener() -> AsyncIterator[servers.Listener]:
    """A listener of an application that answers at once."""
    created = servers.Listener(
        _respond,
        settings.ListenerSettings(f"127.0.0.1:{site.free_port()}"),
        settings.LimitsSettings(),
        1024,
        lambda _: None,
    )
    task = asyncio.create_task(created.serve())
    while not created.server.started:  # noqa: ASYNC110
        await asyncio.sleep(0.01)
    yield created
    await created.stop()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


def _set_idle_limit(listener: servers.Listener, seconds: float) -> None:
    limits = protocol.ConnectionLimits(1024, 3.0, 1024, 3.0, 3.0, 16)
    listener.apply_limits(limits, seconds)


async def _connect(listener: servers.Listener) -> Connection:
    address = listener.socket.getsockname()
    return Connection(*await asyncio.open_connection(*address))


@pytest.mark.parametrize("request_after_change", [True, False])
async def test_lowered_limit_closes_no_connection_earlier(
    listener: servers.Listener, request_after_change: bool
) -> None:
    """Guards against a close that crosses a request beside a change.

    Clients reuse a connection by the earlier limit until they know the newer.
    """
    _set_idle_limit(listener, LONG_S)
    connection = await _connect(listener)
    await connection.request()
    _set_idle_limit(listener, SHORT_S)
    if request_after_change:
        await connection.request()
    _, longest_s = await connection.idle_times_s()
    assert longest_s >= LONG_S - TIMER_RESOLUTION_S


async def test_raised_limit_counts_for_an_idle_connection(
    listener: servers.Listener,
) -> None:
    """Guards against a timer that closes by the limit before the change."""
    _set_idle_limit(listener, SHORT_S)
    connection = await _connect(listener)
    await connection.request()
    await asyncio.sleep(SHORT_S / 2)
    _set_idle_limit(listener, LONG_S)
    shortest_s, longest_s = await connection.idle_times_s()
    assert longest_s >= LONG_S - TIMER_RESOLUTION_S
    assert shortest_s < LONG_S + 0.5


async def test_limit_that_rises_and_falls_leaves_the_largest(
    listener: servers.Listener,
) -> None:
    """Guards against changes in series that forget the largest limit."""
    _set_idle_limit(listener, SHORT_S)
    connection = await _connect(listener)
    await connection.request()
    for seconds in (LONG_S, SHORT_S / 2, SHORT_S):
        _set_idle_limit(listener, seconds)
    _, longest_s = await connection.idle_times_s()
    assert longest_s >= LONG_S - TIMER_RESOLUTION_S


async def test_new_connection_has_the_lowered_limit(
    listener: servers.Listener,
) -> None:
    """Guards against a lowered limit that never takes effect."""
    _set_idle_limit(listener, LONG_S)
    _set_idle_limit(listener, SHORT_S)
    connection = await _connect(listener)
    await connection.request()
    shortest_s, longest_s = await connection.idle_times_s()
    assert longest_s >= SHORT_S - TIMER_RESOLUTION_S
    assert shortest_s < LONG_S - 0.1
