"""Exchanges between two transports, and with peers that misbehave."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING
from typing import ClassVar

import msgspec
import pynng
import pytest

from yuccatally.peers import transport
from yuccatally_standins import site

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class Pong(msgspec.Struct, array_like=True, frozen=True):
    """A reply."""

    text: str


class Ping(msgspec.Struct, array_like=True, frozen=True):
    """A message."""

    reply: ClassVar[type] = Pong
    text: str


@contextlib.asynccontextmanager
async def opened() -> AsyncIterator[transport.PeerTransport]:
    """A transport that listens on a free port."""
    peer = transport.PeerTransport(f"127.0.0.1:{site.free_port()}")
    peer.open()
    try:
        yield peer
    finally:
        await peer.close()


async def test_exchanges_run_side_by_side() -> None:
    """Guards against replies that reach another exchange than their own."""
    async with opened() as one, opened() as other:

        async def answer(message: Ping) -> Pong:
            await asyncio.sleep(0.01 * (5 - int(message.text)))
            return Pong(message.text * 2)

        other.register(Ping, answer)
        replies = await asyncio.gather(
            *(one.exchange(other.address, Ping(str(i)), 5) for i in range(5))
        )
        assert [r.text for r in replies] == ["00", "11", "22", "33", "44"]
        assert one.traffic.opened == 1


async def test_faults_of_a_peer_are_reported() -> None:
    """Guards against a fault of one peer that ends or blocks the sender."""
    async with opened() as one, opened() as other:

        def answer(message: Ping) -> Pong:
            return Pong("x" * (70_000 if message.text == "long" else 1 // 0))

        with pytest.raises(transport.PeerError, match="unknown message type"):
            await one.exchange(other.address, Ping("?"), 5)
        other.register(Ping, answer)
        with pytest.raises(transport.PeerError, match="ZeroDivisionError"):
            await one.exchange(other.address, Ping("zero"), 5)
        with pytest.raises(transport.PeerError, match="FrameTooLong"):
            await one.exchange(other.address, Ping("long"), 5)
        with pytest.raises(transport.FrameTooLongError):
            await one.exchange(other.address, Ping("x" * 70_000), 5)
        stranger = transport.PeerTransport("127.0.0.1:1", "another-secret-key")
        with pytest.raises(transport.PeerError, match="another key"):
            await stranger.exchange(other.address, Ping("zero"), 5)
        await stranger.close()
        nobody = f"127.0.0.1:{site.free_port()}"
        with pytest.raises(transport.UnreachableError):
            await one.exchange(nobody, Ping("?"), 0.2)


async def test_silent_connection_is_replaced() -> None:
    """Guards against a socket that stays in use after it fell silent."""
    async with opened() as one:
        address = f"127.0.0.1:{site.free_port()}"
        with (
            pynng.Rep0(listen=f"tcp://{address}"),
            pytest.raises(transport.PeerError),
        ):
            await one.exchange(address, Ping("lost"), 0.2)
        assert address not in one.outgoing
        other = transport.PeerTransport(address)
        other.register(Ping, lambda m: Pong(m.text))
        other.open()
        assert (await one.exchange(address, Ping("x"), 5)).text == "x"
        await other.close()


async def test_open_sockets_are_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against one open socket for each instance of a large fleet."""
    monkeypatch.setattr(transport, "MAX_SOCKET_COUNT", 2)
    async with contextlib.AsyncExitStack() as stack:
        one = await stack.enter_async_context(opened())
        for _ in range(2):
            for _ in range(3):
                other = await stack.enter_async_context(opened())
                other.register(Ping, lambda m: Pong(m.text))
                await one.exchange(other.address, Ping("x"), 5)
        assert len(one.outgoing) == 2
        assert one.traffic.opened == 6
