"""A server that sends bytes that are no answer until the caller closes."""

from __future__ import annotations

import asyncio
import contextlib
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

PART_BYTES = 16_384


class Place(enum.Enum):
    """Part of the response that does not end."""

    BEFORE_STATUS = enum.auto()
    HEADERS = enum.auto()
    HEADER_LINE = enum.auto()
    BODY = enum.auto()
    CHUNKED_BODY = enum.auto()
    LENGTH_BODY = enum.auto()


_STARTS = {
    Place.BEFORE_STATUS: b"",
    Place.HEADERS: b"HTTP/1.1 200 OK\r\n",
    Place.HEADER_LINE: b"HTTP/1.1 200 OK\r\nX-Endless: ",
    Place.BODY: b"HTTP/1.1 200 OK\r\n\r\n",
    Place.CHUNKED_BODY: (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    ),
    Place.LENGTH_BODY: b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % 2**60,
}
_PARTS = {
    Place.BEFORE_STATUS: b"\r\n" * (PART_BYTES // 2),
    Place.HEADERS: b"X-Endless: yes\r\n" * (PART_BYTES // 16),
    Place.HEADER_LINE: b"x" * PART_BYTES,
    Place.BODY: b"x" * PART_BYTES,
    Place.LENGTH_BODY: b"x" * PART_BYTES,
    Place.CHUNKED_BODY: b"%x\r\n%s\r\n" % (PART_BYTES, b"x" * PART_BYTES),
}


class EndlessServer:
    """Sends parts of a response without end on each connection.

    Attributes:
        place: Part of the response that does not end.
        address: Address it listens on.
        sent_bytes: Bytes sent on all connections.
        open_count: Number of open connections.
    """

    def __init__(self, place: Place) -> None:
        self.place = place
        self.address = ""
        self.sent_bytes = 0
        self.open_count = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection until the caller closes it."""
        self.open_count += 1
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(_STARTS[self.place])
            while True:
                writer.write(_PARTS[self.place])
                await writer.drain()
                self.sent_bytes += PART_BYTES
        except (OSError, asyncio.IncompleteReadError):
            pass  # the caller has closed the connection
        finally:
            self.open_count -= 1
            writer.close()


@contextlib.asynccontextmanager
async def run(place: Place) -> AsyncIterator[EndlessServer]:
    """Runs a server on a free port."""
    endless = EndlessServer(place)
    tasks: set[asyncio.Task[None]] = set()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        tasks.add(task)
        await endless.serve(reader, writer)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    endless.address = f"{host}:{port}"
    try:
        yield endless
    finally:
        server.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
