"""Clients that send much, or leave what they receive unread."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import socket
import struct
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Small buffers, so that unread answers stay in the process that is tested.
RECEIVE_BUFFER_BYTES = 4096
SEND_BUFFER_BYTES = 65_536
# A peer that accepts nothing for this time does not read any more.
STALL_S = 3.0
CONNECT_TIMEOUT_S = 10.0
_RESET_AT_CLOSE = struct.pack("ii", 1, 0)


@dataclasses.dataclass
class Member:
    """A connection of a crowd.

    Attributes:
        socket: The connection, which is never read.
        sent_bytes: Number of bytes that the system has accepted.
        is_closed: Whether the peer has closed it.
    """

    socket: socket.socket
    sent_bytes: int = 0
    is_closed: bool = False


class Crowd:
    """Connections to one port of the loopback interface.

    Attributes:
        port: The port.
        members: Connections that were opened.
        refused_count: Connections that could not be opened.
    """

    def __init__(self, port: int) -> None:
        self.port = port
        self.members: list[Member] = []
        self.refused_count = 0

    async def open(self, count: int) -> None:
        """Opens connections."""
        loop = asyncio.get_running_loop()
        for _ in range(count):
            opened = socket.socket()
            opened.setblocking(False)
            opened.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            opened.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
            )
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await loop.sock_connect(opened, ("127.0.0.1", self.port))
            except (OSError, TimeoutError):
                opened.close()
                self.refused_count += 1
                continue
            self.members.append(Member(opened))

    async def send(self, blocks: Iterable[bytes]) -> None:
        """Sends the same blocks on all connections at once.

        Each connection ends its part when all was sent, the peer has closed
        it or the peer has accepted nothing for a while.
        """
        blocks = list(blocks)
        await asyncio.gather(*(_send(m, blocks) for m in self.members))

    def half_close(self) -> None:
        """Ends the sending direction of all connections."""
        for member in self.members:
            with contextlib.suppress(OSError):
                member.socket.shutdown(socket.SHUT_WR)

    def reset(self) -> None:
        """Resets all connections."""
        for member in self.members:
            member.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE
            )
            member.socket.close()
        self.members.clear()

    def close(self) -> None:
        """Closes all connections."""
        for member in self.members:
            member.socket.close()


async def _send(member: Member, blocks: list[bytes]) -> None:
    loop = asyncio.get_running_loop()
    for block in blocks:
        rest = memoryview(block)
        while rest:
            try:
                sent = member.socket.send(rest)
            except BlockingIOError:
                if not await _wait_writable(loop, member.socket):
                    return
            except OSError:
                member.is_closed = True
                return
            else:
                member.sent_bytes += sent
                rest = rest[sent:]
        await asyncio.sleep(0)


async def _wait_writable(
    loop: asyncio.AbstractEventLoop, connection: socket.socket
) -> bool:
    """Returns whether a connection accepts bytes before it has stalled."""
    writable = asyncio.Event()
    loop.add_writer(connection, writable.set)
    try:
        async with asyncio.timeout(STALL_S):
            await writable.wait()
    except TimeoutError:
        return False
    finally:
        loop.remove_writer(connection)
    return True
