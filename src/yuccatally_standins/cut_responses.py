"""A server that ends its connections after some bytes of a response."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import enum
import re
import socket
import struct
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

# Time in which the caller reads what was sent; a reset discards the rest.
READ_DELAY_S = 0.01

_LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)


class Ending(enum.Enum):
    """How the server ends a connection after the bytes it sends."""

    CLOSE = enum.auto()
    RESET = enum.auto()
    # The connection stays open until the caller closes it.
    NONE = enum.auto()


@dataclasses.dataclass
class CutServer:
    """Sends the same bytes on each connection and ends it.

    Attributes:
        sent: Bytes sent in response to a request.
        ending: How the connection ends afterwards.
        later: Further bytes, sent once the caller has read ``sent``.
        earlier_response: Whole response to the first request of a connection;
            empty if that request gets ``sent``.
        late: Bytes sent after the earlier response, while no request is open.
        address: Address it listens on.
        request_count: Number of requests received.
        connection_count: Number of connections accepted.
    """

    sent: bytes
    ending: Ending
    later: bytes = b""
    earlier_response: bytes = b""
    late: bytes = b""
    address: str = ""
    request_count: int = 0
    connection_count: int = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        self.connection_count += 1
        try:
            if self.earlier_response:
                await self._read_request(reader)
                writer.write(self.earlier_response)
                if self.late:
                    await asyncio.sleep(READ_DELAY_S)
                    writer.write(self.late)
            await self._read_request(reader)
            writer.write(self.sent)
            await writer.drain()
            if self.later:
                await asyncio.sleep(READ_DELAY_S)
                writer.write(self.later)
            if self.ending is Ending.NONE:
                await reader.read()
            if self.ending is Ending.RESET:
                await asyncio.sleep(READ_DELAY_S)
                connection = writer.get_extra_info("socket")
                linger = struct.pack("ii", 1, 0)
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, linger
                )
                writer.transport.abort()
        except (OSError, asyncio.IncompleteReadError):
            pass  # the caller has closed the connection
        finally:
            writer.close()

    async def _read_request(self, reader: asyncio.StreamReader) -> None:
        """Reads a whole request: unread bytes turn a close into a reset."""
        head = await reader.readuntil(b"\r\n\r\n")
        length = _LENGTH.search(head)
        if length:
            await reader.readexactly(int(length[1]))
        self.request_count += 1


@contextlib.asynccontextmanager
async def run(
    sent: bytes,
    ending: Ending,
    later: bytes = b"",
    earlier_response: bytes = b"",
    late: bytes = b"",
) -> AsyncIterator[CutServer]:
    """Runs a server on a free port; see ``CutServer``."""
    cut = CutServer(sent, ending, later, earlier_response, late)
    tasks: set[asyncio.Task[None]] = set()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        tasks.add(asyncio.current_task())
        await cut.serve(reader, writer)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    cut.address = f"{host}:{port}"
    try:
        yield cut
    finally:
        server.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
