"""Tests requests for room between instances, without sockets."""

from __future__ import annotations

import asyncio
import math
import time
from typing import Any

from yuccatally.core import rendezvous
from yuccatally.core.forwarding import dispatch
from yuccatally.core.forwarding import instance_settings
from yuccatally.core.forwarding import members
from yuccatally.forwarding import room_sharing
from yuccatally.forwarding import state
from yuccatally.peers import heartbeats
from yuccatally.peers import transport

SLOTS = 8
PATH = dispatch.Path("p1", (), ((0, 1),), 0.01, 0.0, 1e6, SLOTS, "a")


class _Network:
    """Delivers messages at once; instances that are down do not answer."""

    def __init__(self) -> None:
        self.handlers: dict[str, Any] = {}
        self.down: set[str] = set()

    def connect(self, name: str) -> _Transport:
        return _Transport(self, name)


class _Transport:
    def __init__(self, network: _Network, name: str) -> None:
        self.network = network
        self.name = name

    def register(self, message_type: type, handler: Any) -> None:
        self.network.handlers[self.name] = handler

    async def exchange(
        self, address: str, message: Any, timeout_s: float
    ) -> Any:
        await asyncio.sleep(0)
        if address in self.network.down:
            raise transport.PeerError("down")
        return self.network.handlers[address](message)


def _instances(
    network: _Network, count: int, shares_load: bool = True
) -> list[room_sharing.RoomSharing]:
    contacts = [
        members.Contact(f"n{n}", 1, "a", "r", "", f"n{n}") for n in range(count)
    ]
    instances = []
    for contact in contacts:
        settings = instance_settings.InstanceSettings(
            name=contact.name,
            data_centre="a",
            region="r",
            regions={},
            listen=instance_settings.ListenAddresses("", "", contact.peers, ""),
            seeds=(),
            store="",
            bounds=instance_settings.Bounds(),
            shares_load=shares_load,
        )
        instance_state = state.InstanceState(settings)
        instance_state.instance_count = count
        sharing = room_sharing.RoomSharing(
            instance_state, network.connect(contact.name), 1
        )
        sharing.open()
        sharing.update_instances(contacts, count)
        instances.append(sharing)
    return instances


async def _start(sharing: room_sharing.RoomSharing) -> bool:
    if not await sharing.reserve(PATH, 10.0):
        return False
    sharing.state.dispatcher.record_start(PATH.name, 10.0, 0.0)
    return True


def test_instances_that_start_at_once_fill_a_path_once() -> None:
    # Load pattern: no instance has heard of the work of the others yet.
    async def run() -> list[bool]:
        instances = _instances(_Network(), 35)
        return await asyncio.gather(*(_start(i) for i in instances))

    assert sum(asyncio.run(run())) == SLOTS


async def _start_held(sharing: room_sharing.RoomSharing) -> bool:
    """Starts a request for which the queue has held room before it asks."""
    dispatcher = sharing.state.dispatcher
    dispatcher.record_start(PATH.name, 10.0, 0.0)
    granted = await sharing.reserve(PATH, 10.0, is_held=True)
    dispatcher.record_end(PATH.name, 10.0)
    if granted:
        dispatcher.record_start(PATH.name, 10.0, 0.0)
    return granted


def test_request_that_holds_room_is_counted_once() -> None:
    """Guards against paths that are taken for full when half of them is used.

    The queue holds room from the choice until the request is sent.
    """

    async def run() -> list[bool]:
        instances = _instances(_Network(), 35)
        return [await _start_held(i) for i in instances for _ in range(2)]

    assert sum(asyncio.run(run())) == SLOTS


def test_without_the_setting_each_instance_decides() -> None:
    async def run() -> list[bool]:
        instances = _instances(_Network(), 35, shares_load=False)
        return await asyncio.gather(*(_start(i) for i in instances))

    assert all(asyncio.run(run()))


def test_room_is_free_again_once_its_end_is_reported() -> None:
    async def run() -> bool:
        instances = _instances(_Network(), 35)
        tasks = [asyncio.create_task(i.run()) for i in instances]
        started = [i for i in instances if await _start(i)]
        waiting = [i for i in instances if i not in started]
        assert not await _start(waiting[0])
        started[0].state.dispatcher.record_end(PATH.name, 10.0)
        async with asyncio.timeout(5.0):
            while not await _start(waiting[1]):  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        for task in tasks:
            task.cancel()
        return True

    assert asyncio.run(run())


def test_without_the_keeper_no_instance_exceeds_its_part() -> None:
    async def run() -> int:
        network = _Network()
        instances = _instances(network, 4)
        network.down = {f"n{n}" for n in range(4)}
        elsewhere = {PATH.name: dispatch.OutstandingWork(5, 50.0)}
        for sharing in instances:
            sharing.state.dispatcher.apply_remote_work(
                "other", elsewhere, time.monotonic()
            )
        keeper = rendezvous.ranked(PATH.name, instances[0].addresses, 1)[0]
        others = [i for i in instances if i.state.settings.name != keeper]
        started = [await _start(i) for i in others for _ in range(SLOTS)]
        return sum(started)

    assert asyncio.run(run()) == 3 * SLOTS // 4


def test_an_instance_that_is_cut_off_uses_its_part() -> None:
    async def run() -> int:
        sharing = _instances(_Network(), 4)[0]
        own = members.Contact("n0", 1, "a", "r", "", "n0")
        sharing.update_instances([own], 4)
        return sum([await _start(sharing) for _ in range(SLOTS)])

    assert asyncio.run(run()) == SLOTS // 4


def test_a_statement_with_invalid_figures_is_not_recorded() -> None:
    network = _Network()

    async def run() -> None:
        (sharing,) = _instances(network, 1)
        for held, room_tokens in ((math.nan, 1.0), (-1.0, 1.0), (1.0, -1.0)):
            reply = network.handlers["n0"](
                heartbeats.RoomRequest(
                    "x", 1, 1, PATH.name, 1, held, 1.0, SLOTS, room_tokens
                )
            )
            assert not reply.granted
        assert not sharing.ledger.reports

    asyncio.run(run())
