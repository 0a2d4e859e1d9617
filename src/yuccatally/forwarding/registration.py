"""Entries of instances in the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
import structlog

from yuccatally.core.forwarding import members
from yuccatally.store import client

if TYPE_CHECKING:
    from yuccatally.forwarding import fleet

OBJECT_KIND = "instances"
# Entries are read this often while no other instance is live.
DISCOVERY_INTERVAL_S = 2.0
# Other instances learn of this one by heartbeats meanwhile.
RETRY_DELAY_S = 0.5

_log = structlog.get_logger()


class Registration:
    """Writes the entry of this instance and reads those of the others."""

    def __init__(self, peers: fleet.Fleet, store: client.StoreClient) -> None:
        self.fleet = peers
        self.store = store

    async def run(self) -> None:
        """Registers this instance and finds the others, until cancelled.

        Once one of them is live, heartbeats tell of all others.
        """
        await self.register()
        await self._discover()
        while True:
            await asyncio.sleep(
                DISCOVERY_INTERVAL_S * self.fleet.state.rng.uniform(0.8, 1.2)
            )
            if not self.fleet.live_peers():
                await self._discover()

    async def _discover(self) -> None:
        try:
            listing = await self.store.list_objects(OBJECT_KIND)
        except client.StoreError as error:
            _log.info("instances_not_listed", error=str(error))
            return
        for item in listing.items:
            self._apply_entry(item)

    async def register(self) -> None:
        """Writes this instance's entry; tries until it succeeds."""
        spec = msgspec.to_builtins(self.fleet.own_contact)
        version = 0
        while True:
            try:
                await self.store.put(
                    OBJECT_KIND,
                    self.fleet.state.settings.name,
                    {"contact": spec},
                    {},
                    version,
                )
                return
            except (client.ConflictError, client.UncertainError):
                version = await self._version()
            except client.StoreError as error:
                _log.info("registration_delayed", error=str(error))
            await asyncio.sleep(
                RETRY_DELAY_S * self.fleet.state.rng.uniform(0.5, 1.5)
            )

    def _apply_entry(self, item: client.StoredObject) -> None:
        """Takes in the entry of an instance."""
        if item.name == self.fleet.state.settings.name:
            return
        try:
            contact = msgspec.convert(item.spec["contact"], members.Contact)
        except (msgspec.MsgspecError, KeyError, TypeError) as error:
            _log.warning("entry_ignored", name=item.name, reason=str(error))
            return
        self.fleet.apply_contact(contact)

    def remove(self, name: str) -> None:
        """Deletes the entry of an instance that is gone, if this one leads."""
        if self.fleet.leader_state.is_leader:
            self.fleet.spawn(self._delete_entry(name))

    async def _delete_entry(self, name: str) -> None:
        try:
            stored = await self.store.get(OBJECT_KIND, name)
            await self.store.delete(OBJECT_KIND, name, stored.version)
        except client.StoreError as error:
            _log.info("entry_not_deleted", name=name, reason=str(error))
        else:
            _log.info("entry_deleted", name=name)

    async def _version(self) -> int:
        try:
            stored = await self.store.get(
                OBJECT_KIND, self.fleet.state.settings.name
            )
        except client.StoreError:
            return 0
        return stored.version
