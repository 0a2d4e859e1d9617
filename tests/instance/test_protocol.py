"""Limits of the HTTP listeners, on sockets."""

from __future__ import annotations

import asyncio
import re
from typing import TYPE_CHECKING

import pytest
import pytest_asyncio
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

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
HEAD = b"POST / HTTP/1.1\r\nHost: x\r\n"
GOOD = HEAD + b"Content-Length: 2\r\n\r\nhi"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


class Served:
    """A listener with small limits; ``events`` is what happened to it."""

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
        """Answers with the length of the body and the number of headers."""
        try:
            body = await request.body()
        except requests.ClientDisconnect:
            self.events.append("disconnected")
            raise
        return responses.Response(f"{len(body)} {len(request.headers)}")

    async def slow(self, request: requests.Request) -> responses.Response:
        """Answers late."""
        await asyncio.sleep(0.6)
        return responses.Response("late")

    async def long(self, request: requests.Request) -> responses.Response:
        """Answers with more than socket buffers hold."""

        async def parts() -> AsyncIterator[bytes]:
            try:
                for _ in range(1000):
                    yield b"x" * 65536
            finally:
                self.events.append("stream ended")

        return responses.StreamingResponse(parts())

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a connection."""
        host, _, port = self.address.rpartition(":")
        return await asyncio.open_connection(host, int(port))

    async def send(self, *pieces: bytes) -> bytes:
        """Sends pieces and returns all that comes back until the end."""
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


async def until(condition: Callable[[], object]) -> None:
    """Waits for a condition; the limit only keeps a test from hanging."""
    async with asyncio.timeout(10):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


@pytest_asyncio.fixture
async def served() -> AsyncIterator[Served]:
    """A running listener."""
    found = Served()
    task = asyncio.create_task(found.listener.serve())
    await until(lambda: found.listener.server.started)
    yield found
    found.listener.server.force_exit = True
    await found.listener.stop()
    await task


LONG = b"x" * 1500
LAST = GOOD.replace(b"Host: x", b"Host: x\r\nConnection: close")


@pytest.mark.parametrize(
    ("pieces", "statuses", "events"),
    [
        ((GOOD, LAST), [200, 200], []),
        ((GOOD + LAST,), [200, 200], []),
        ((HEAD[:10], HEAD[10:], LAST[len(HEAD) :]), [200], []),
        ((HEAD,), [408], ["headers-too-slow"]),
        ((), [], ["idle"]),
        ((GOOD, HEAD), [200, 408], ["headers-too-slow"]),
        ((HEAD + b"A: " + LONG, b""), [431], ["headers-too-long"]),
        ((HEAD + b"A: " + LONG + b"\r\n\r\n",), [431], ["headers-too-long"]),
        (
            (b"GET /" + LONG + b" HTTP/1.1\r\n\r\n",),
            [431],
            ["headers-too-long"],
        ),
        ((HEAD, b"A: b\r\n" * 300), [431], ["headers-too-long"]),
        ((b"\r\n" * 700,), [431], ["headers-too-long"]),
        ((b"\x16\x03\x01 nonsense",), [400], ["malformed"]),
        ((b"GET nowhere HTTP/1.1\r\n\r\n",), [400], ["malformed"]),
        ((HEAD + b"Content-Length: -1\r\n\r\n",), [400], ["malformed"]),
        (
            (HEAD + b"Content-Length: 9\r\n\r\n", b"x"),
            [408],
            ["body-too-slow", "disconnected"],
        ),
        (
            (CHUNKED, b"1;" + b"x" * 20_000, b""),
            [413],
            ["body-too-long", "disconnected"],
        ),
        (
            (GOOD + HEAD + b"A: " + LONG,),
            [200, 408],
            ["headers-too-slow"],
        ),
        (
            (b"GET /slow HTTP/1.1\r\n\r\n", b"nonsense\r\n\r\n"),
            [],
            ["malformed"],
        ),
    ],
)
async def test_senders_are_limited(
    served: Served,
    pieces: tuple[bytes, ...],
    statuses: list[int],
    events: list[str],
) -> None:
    """Guards against senders that take memory or connections for ever."""
    received = await served.send(*pieces)
    found = re.findall(rb"HTTP/1.1 (\d+) ", received)
    assert [int(s) for s in found] == statuses
    await until(lambda: len(served.events) >= len(events))
    assert served.events == events
    assert b"200 OK" in await served.send(LAST)


async def test_trailers_are_not_headers(served: Served) -> None:
    """Guards against trailers that grow or replace the headers."""
    body = b"2\r\nhi\r\n0\r\nHost: evil\r\nMore: x\r\n\r\n"
    reader, writer = await served.connect()
    writer.write(CHUNKED + body)
    answer = await reader.readuntil(b"2 2")
    assert answer.startswith(b"HTTP/1.1 200")
    writer.close()


async def test_reader_that_takes_nothing_is_cut_off(served: Served) -> None:
    """Guards against an answer that keeps a drain waiting for ever."""
    _, writer = await served.connect()
    writer.write(b"GET /long HTTP/1.1\r\n\r\n")
    await until(lambda: "stream ended" in served.events)
    assert served.events[0] == "reader-too-slow"
    writer.close()


async def test_connections_beyond_the_limit_are_refused(
    served: Served,
) -> None:
    """Guards against one sender that opens connections without end."""
    opened = [await served.connect() for _ in range(16)]
    assert b"503" in await served.send()
    for _, writer in opened:
        writer.close()
    await until(lambda: not served.listener.server.server_state.connections)
    assert b"200 OK" in await served.send(LAST)
