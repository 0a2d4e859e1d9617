"""Tests of exchanges between transports, including faulty peers."""

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
    """Reply to ``Ping``."""

    text: str


class Ping(msgspec.Struct, array_like=True, frozen=True):
    """Message of the tests."""

    reply: ClassVar[type] = Pong
    text: str


@contextlib.asynccontextmanager
async def opened() -> AsyncIterator[transport.PeerTransport]:
    """Opens a transport that listens on a free port."""
    peer = transport.PeerTransport(f"127.0.0.1:{site.free_port()}")
    peer.open()
    try:
        yield peer
    finally:
        await peer.close()


async def test_exchanges_run_side_by_side() -> None:
    """Guards against delivering a reply to the wrong exchange."""
    async with opened() as sender, opened() as receiver:

        async def handle(message: Ping) -> Pong:
            await asyncio.sleep(0.01 * (5 - int(message.text)))
            return Pong(message.text * 2)

        receiver.register(Ping, handle)
        replies = await asyncio.gather(
            *(
                sender.exchange(receiver.address, Ping(str(i)), 5)
                for i in range(5)
            )
        )
        assert [r.text for r in replies] == ["00", "11", "22", "33", "44"]
        assert sender.traffic.opened == 1


async def test_faults_of_a_peer_are_reported() -> None:
    """Guards against a faulty peer that ends or blocks the sender."""
    async with opened() as sender, opened() as receiver:

        def handle(message: Ping) -> Pong:
            return Pong("x" * (70_000 if message.text == "long" else 1 // 0))

        with pytest.raises(transport.PeerError, match="unknown message type"):
            await sender.exchange(receiver.address, Ping("?"), 5)
        receiver.register(Ping, handle)
        with pytest.raises(transport.PeerError, match="ZeroDivisionError"):
            await sender.exchange(receiver.address, Ping("zero"), 5)
        with pytest.raises(transport.PeerError, match="FrameTooLong"):
            await sender.exchange(receiver.address, Ping("long"), 5)
        with pytest.raises(transport.FrameTooLongError):
            await sender.exchange(receiver.address, Ping("x" * 70_000), 5)
        foreign_sender = transport.PeerTransport(
            "127.0.0.1:1", "another-secret-key"
        )
        with pytest.raises(transport.PeerError, match="another key"):
            await foreign_sender.exchange(receiver.address, Ping("zero"), 5)
        await foreign_sender.close()
        unused_address = f"127.0.0.1:{site.free_port()}"
        with pytest.raises(transport.UnreachableError):
            await sender.exchange(unused_address, Ping("?"), 0.2)


async def test_silent_connection_is_replaced() -> None:
    """Guards against reusing a connection that does not answer any more."""
    async with opened() as sender:
        address = f"127.0.0.1:{site.free_port()}"
        with (
            pynng.Rep0(listen=f"tcp://{address}"),
            pytest.raises(transport.PeerError),
        ):
            await sender.exchange(address, Ping("lost"), 0.2)
        assert address not in sender.outgoing
        receiver = transport.PeerTransport(address)
        receiver.register(Ping, lambda m: Pong(m.text))
        receiver.open()
        assert (await sender.exchange(address, Ping("x"), 5)).text == "x"
        await receiver.close()


async def test_open_sockets_are_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a number of open sockets that grows with the fleet."""
    monkeypatch.setattr(transport, "MAX_SOCKET_COUNT", 2)
    async with contextlib.AsyncExitStack() as stack:
        sender = await stack.enter_async_context(opened())
        for _ in range(2):
            for _ in range(3):
                receiver = await stack.enter_async_context(opened())
                receiver.register(Ping, lambda m: Pong(m.text))
                await sender.exchange(receiver.address, Ping("x"), 5)
        assert len(sender.outgoing) == 2
        assert sender.traffic.opened == 6
