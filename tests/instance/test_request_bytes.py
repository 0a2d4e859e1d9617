"""Limit of the bytes of requests, tested over sockets."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
import pytest_asyncio
from starlette import requests

from yuccatally.instance import clients
from yuccatally.instance import servers
from yuccatally.settings import settings
from yuccatally_standins import site

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

LIMIT_BYTES = 256 * 1024
BODY_BYTES = 60_000
CONNECTION_COUNT = 12
LIMITS = settings.LimitsSettings(header_bytes=16 * 1024)
COMPLETE_BODY = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % (
    BODY_BYTES
) + bytes(BODY_BYTES)
CHUNKED_BODY = (
    b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"%x\r\n%s\r\n0\r\n\r\n" % (BODY_BYTES, bytes(BODY_BYTES))
)
INCOMPLETE_HEADERS = b"GET / HTTP/1.1\r\n" + b"a:\r\n" * 400


class SilentListener:
    """A listener whose application reads requests and never responds.

    Attributes:
        lengths: Lengths of the bodies that the application received in full.
        refusals: Reasons of refusals, in order.
        stopping: Ends the requests in progress.
        writers: Client sides of the connections.
    """

    def __init__(self) -> None:
        self.lengths: list[int] = []
        self.refusals: list[str] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.stopping = asyncio.Event()
        self.address = f"127.0.0.1:{site.free_port()}"
        self.clients = clients.Clients(clients.MachineLimits())
        self.listener = servers.Listener(
            self,
            settings.ListenerSettings(self.address),
            LIMITS,
            BODY_BYTES,
            self.refusals.append,
            self.clients,
        )
        self.clients.holdings.limit_bytes = LIMIT_BYTES
        self.clients.holdings.reserved_bytes = 0

    async def __call__(
        self, scope: dict, receive: object, send: object
    ) -> None:
        """Reads a request and waits."""
        request = requests.Request(scope, receive)
        try:
            self.lengths.append(len(await request.body()))
        except requests.ClientDisconnect:
            return
        await self.stopping.wait()

    async def start_request(self, data: bytes) -> asyncio.StreamReader:
        """Sends a request on a new connection."""
        host, _, port = self.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.writers.append(writer)
        writer.write(data)
        return reader


@pytest_asyncio.fixture
async def listener() -> AsyncIterator[SilentListener]:
    """A running listener with a small limit of held bytes."""
    running = SilentListener()
    task = asyncio.create_task(running.listener.serve())
    await asyncio.sleep(0)
    yield running
    for writer in running.writers:
        writer.transport.abort()
    running.stopping.set()
    await running.listener.stop()
    await task


@pytest.mark.parametrize(
    "request_data",
    [
        pytest.param(COMPLETE_BODY, id="complete-body"),
        pytest.param(CHUNKED_BODY, id="complete-chunked-body"),
        pytest.param(INCOMPLETE_HEADERS, id="incomplete-headers"),
        pytest.param(INCOMPLETE_HEADERS + b"\r\n", id="complete-headers"),
    ],
)
async def test_requests_beyond_the_limit_are_refused(
    listener: SilentListener, request_data: bytes
) -> None:
    """Guards against requests whose bytes escape the limit."""
    readers = [
        await listener.start_request(request_data)
        for _ in range(CONNECTION_COUNT)
    ]
    heads = [asyncio.create_task(r.readuntil(b"\r\n")) for r in readers]
    async with asyncio.timeout(10):
        done, waiting = await asyncio.wait(
            heads, return_when=asyncio.FIRST_COMPLETED
        )
    for head in waiting:
        head.cancel()
    assert {head.result() for head in done} == {
        b"HTTP/1.1 503 Service Unavailable\r\n"
    }
    assert set(listener.refusals) == {"too-many-bytes"}
    holdings = listener.clients.holdings
    assert LIMIT_BYTES / 4 < holdings.total_bytes <= LIMIT_BYTES
    assert holdings.peak_bytes <= LIMIT_BYTES
