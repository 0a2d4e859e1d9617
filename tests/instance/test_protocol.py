"""Limits of the HTTP listeners, tested over sockets."""

from __future__ import annotations

import asyncio
import dataclasses
import re
from typing import TYPE_CHECKING

import pytest
import pytest_asyncio
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from yuccatally.instance import clients
from yuccatally.instance import servers
from yuccatally.settings import settings
from yuccatally_standins import site

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

LIMITS = settings.LimitsSettings(
    header_bytes=1024,
    header_timeout_s=0.3,
    body_timeout_s=0.3,
    write_timeout_s=0.3,
    connections=16,
)
BODY_BYTES = 2048
REQUEST_HEAD = b"POST / HTTP/1.1\r\nHost: x\r\n"
VALID_REQUEST = REQUEST_HEAD + b"Content-Length: 2\r\n\r\nhi"
CHUNKED_HEAD = REQUEST_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


class LimitedListener:
    """A listener with small limits.

    Attributes:
        events: Refusals and ends of requests, in order.
    """

    def __init__(self) -> None:
        self.events: list[str] = []
        self.address = f"127.0.0.1:{site.free_port()}"
        app = applications.Starlette(
            routes=[
                routing.Route("/", self.read, methods=["POST"]),
                routing.Route("/slow", self.slow),
                routing.Route("/long", self.long),
            ]
        )
        self.listener = servers.Listener(
            app,
            settings.ListenerSettings(self.address),
            LIMITS,
            BODY_BYTES,
            self.events.append,
        )

    async def read(self, request: requests.Request) -> responses.Response:
        """Responds with the length of the body and the number of headers."""
        try:
            body = await request.body()
        except requests.ClientDisconnect:
            self.events.append("disconnected")
            raise
        return responses.Response(f"{len(body)} {len(request.headers)}")

    async def slow(self, request: requests.Request) -> responses.Response:
        """Responds after the time limits for the request."""
        await asyncio.sleep(0.6)
        return responses.Response("late")

    async def long(self, request: requests.Request) -> responses.Response:
        """Responds with more than socket buffers can hold."""

        async def chunks() -> AsyncIterator[bytes]:
            try:
                for _ in range(1000):
                    yield b"x" * 65536
            finally:
                self.events.append("stream ended")

        return responses.StreamingResponse(chunks())

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a connection."""
        host, _, port = self.address.rpartition(":")
        return await asyncio.open_connection(host, int(port))

    async def send(self, *pieces: bytes) -> bytes:
        """Sends pieces and returns all data received until the end."""
        reader, writer = await self.connect()
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(0.02)
        received = b""
        try:
            async with asyncio.timeout(10):
                while part := await reader.read(65536):
                    received += part
        except ConnectionResetError:
            pass
        writer.close()
        return received


async def wait_until(condition: Callable[[], object]) -> None:
    """Waits for a condition; the timeout only bounds a failing test."""
    async with asyncio.timeout(10):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


@pytest_asyncio.fixture
async def listener() -> AsyncIterator[LimitedListener]:
    """A running listener."""
    running = LimitedListener()
    task = asyncio.create_task(running.listener.serve())
    await wait_until(lambda: running.listener.server.started)
    yield running
    running.listener.server.force_exit = True
    await running.listener.stop()
    await task


LONG_VALUE = b"x" * 1500
CLOSING_REQUEST = VALID_REQUEST.replace(
    b"Host: x", b"Host: x\r\nConnection: close"
)


@pytest.mark.parametrize(
    ("pieces", "statuses", "events"),
    [
        ((VALID_REQUEST, CLOSING_REQUEST), [200, 200], []),
        ((VALID_REQUEST + CLOSING_REQUEST,), [200, 200], []),
        (
            (
                REQUEST_HEAD[:10],
                REQUEST_HEAD[10:],
                CLOSING_REQUEST[len(REQUEST_HEAD) :],
            ),
            [200],
            [],
        ),
        ((REQUEST_HEAD,), [408], ["headers-too-slow"]),
        ((), [], ["idle"]),
        ((VALID_REQUEST, REQUEST_HEAD), [200, 408], ["headers-too-slow"]),
        (
            (REQUEST_HEAD + b"A: " + LONG_VALUE, b""),
            [431],
            ["headers-too-long"],
        ),
        (
            (REQUEST_HEAD + b"A: " + LONG_VALUE + b"\r\n\r\n",),
            [431],
            ["headers-too-long"],
        ),
        (
            (b"GET /" + LONG_VALUE + b" HTTP/1.1\r\n\r\n",),
            [431],
            ["headers-too-long"],
        ),
        ((REQUEST_HEAD, b"A: b\r\n" * 300), [431], ["headers-too-long"]),
        ((b"\r\n" * 700,), [431], ["headers-too-long"]),
        ((b"\x16\x03\x01 nonsense",), [400], ["malformed"]),
        ((b"GET nowhere HTTP/1.1\r\n\r\n",), [400], ["malformed"]),
        ((b"GET /\xff HTTP/1.1\r\n\r\n",), [400], ["malformed"]),
        ((REQUEST_HEAD + b"Content-Length: -1\r\n\r\n",), [400], ["malformed"]),
        (
            (REQUEST_HEAD + b"Content-Length: 9\r\n\r\n", b"x"),
            [408],
            ["body-too-slow", "disconnected"],
        ),
        (
            (CHUNKED_HEAD, b"1;" + b"x" * 20_000, b""),
            [413],
            ["body-too-long", "disconnected"],
        ),
        (
            (VALID_REQUEST + REQUEST_HEAD + b"A: " + LONG_VALUE,),
            [200, 431],
            ["headers-too-long"],
        ),
        (
            (VALID_REQUEST + REQUEST_HEAD + b"A: " + LONG_VALUE[:500],),
            [200, 408],
            ["headers-too-slow"],
        ),
        (
            (b"GET /slow HTTP/1.1\r\n\r\n", b"nonsense\r\n\r\n"),
            [200, 400],
            ["malformed"],
        ),
    ],
)
async def test_senders_are_limited(
    listener: LimitedListener,
    pieces: tuple[bytes, ...],
    statuses: list[int],
    events: list[str],
) -> None:
    """Guards against senders that occupy memory or connections forever."""
    received = await listener.send(*pieces)
    received_statuses = re.findall(rb"HTTP/1.1 (\d+) ", received)
    assert [int(s) for s in received_statuses] == statuses
    await wait_until(lambda: len(listener.events) >= len(events))
    assert listener.events == events
    assert b"200 OK" in await listener.send(CLOSING_REQUEST)


async def test_trailers_are_not_headers(listener: LimitedListener) -> None:
    """Guards against trailers that grow or replace the headers."""
    body = b"2\r\nhi\r\n0\r\nHost: evil\r\nMore: x\r\n\r\n"
    reader, writer = await listener.connect()
    writer.write(CHUNKED_HEAD + body)
    answer = await reader.readuntil(b"2 2")
    assert answer.startswith(b"HTTP/1.1 200")
    writer.close()


async def test_reader_that_takes_nothing_is_cut_off(
    listener: LimitedListener,
) -> None:
    """Guards against a response that blocks a drain forever."""
    _, writer = await listener.connect()
    writer.write(b"GET /long HTTP/1.1\r\n\r\n")
    await wait_until(lambda: "stream ended" in listener.events)
    assert listener.events[0] == "reader-too-slow"
    writer.close()


async def test_connections_beyond_the_limit_are_refused(
    listener: LimitedListener,
) -> None:
    """Guards against a sender that opens an unlimited number of connections."""
    opened = [await listener.connect() for _ in range(16)]
    assert b"503" in await listener.send()
    for _, writer in opened:
        writer.close()
    await wait_until(
        lambda: not listener.listener.server.server_state.connections
    )
    assert b"200 OK" in await listener.send(CLOSING_REQUEST)


async def test_requests_sent_ahead_are_answered_in_order(
    listener: LimitedListener,
) -> None:
    """Guards against losing requests when reading pauses and goes on.

    Together, the requests are longer than what is read ahead.
    """
    count = 2000
    bodies = [b"x" * (n % 90) for n in range(count)]
    head = REQUEST_HEAD + b"Content-Length: %d\r\n\r\n"
    reader, writer = await listener.connect()
    writer.write(b"".join(head % len(b) + b for b in bodies))
    for body in bodies:
        answer = await reader.readuntil(b"\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 200 ")
        expected = b"%d 2" % len(body)
        assert await reader.readexactly(len(expected)) == expected
    writer.close()


async def test_discarded_body_is_refused(listener: LimitedListener) -> None:
    """Guards against bodies without a limit of their sum."""
    limits = listener.listener.server.config.http.limits
    listener.listener.apply_limits(
        dataclasses.replace(limits, body_bytes=8192), 60.0
    )
    holdings = listener.listener.clients.holdings
    holdings.limit_bytes, holdings.reserved_bytes = 4000, 0
    head = REQUEST_HEAD + b"Content-Length: 8000\r\n\r\n"
    received = await listener.send(head + b"x" * 4001)
    assert received.startswith(b"HTTP/1.1 503 ")
    assert listener.events == ["too-many-bytes", "disconnected"]
    assert holdings.total_bytes == 0


async def test_requests_sent_ahead_are_dropped_without_a_cut(
    listener: LimitedListener,
) -> None:
    """Guards against ending a request that is in progress."""
    holdings = listener.listener.clients.holdings
    holdings.limit_bytes, holdings.reserved_bytes = 600, 0
    reader, writer = await listener.connect()
    writer.write(b"GET /slow HTTP/1.1\r\n\r\n" + VALID_REQUEST * 20)
    received = await reader.read()
    assert received.startswith(b"HTTP/1.1 200 ")
    assert b"connection: close" in received
    assert received.endswith(b"late")
    assert listener.events == ["too-many-bytes"]
    assert holdings.total_bytes == 0
    writer.close()


async def test_answer_that_is_being_read_keeps_its_connection(
    listener: LimitedListener,
) -> None:
    """Guards against cutting answers of clients that read them steadily."""
    reader, writer = await listener.connect()
    writer.write(VALID_REQUEST)
    await reader.readuntil(b"\r\n\r\n")
    (connection,) = listener.listener.server.server_state.connections
    connection.transport.write(bytes(16 * 1024 * 1024))
    connection.write_timer.cancel()
    begin = connection.wait(100.0)
    unsent = connection.transport.get_write_buffer_size()
    while connection.transport.get_write_buffer_size() == unsent:
        await reader.read(65536)
        await asyncio.sleep(0)
    assert begin.kind is clients.WaitKind.READING
    assert connection.wait(200.0).since == 200.0
    assert connection.wait(300.0).since == 200.0
    writer.transport.abort()
