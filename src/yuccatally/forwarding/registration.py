"""Registration and discovery of instances through the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

import msgspec
import structlog

from yuccatally.core.forwarding import members  # noqa: TC001
from yuccatally.core.objects import content
from yuccatally.store import client

if TYPE_CHECKING:
    from yuccatally.forwarding import fleet

OBJECT_KIND = "instances"
# Interval at which entries are read while no other instance is live.
DISCOVERY_INTERVAL_S = 2.0
# Until the entry is written, other instances discover this one by heartbeats.
RETRY_DELAY_S = 0.5
# Time over which all instances check their entries in a restored store. Until
# then instances discover each other by heartbeats.
RESTORE_SPREAD_S = 2.0

_log = structlog.get_logger()


class _Entry(msgspec.Struct):
    """Content of the object of an instance."""

    contact: members.Contact


class Registration:
    """Writes the entry of this instance and reads those of other instances."""

    def __init__(self, peers: fleet.Fleet, store: client.StoreClient) -> None:
        self.fleet = peers
        self.store = store

    async def run(self) -> None:
        """Registers this instance and discovers others, until cancelled.

        Once another instance is live, heartbeats provide the contacts of all
        others.
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
            _log.info("instance_list_failed", error=str(error))
            return
        for item in listing.items:
            self._apply_entry(item)

    async def register(self) -> None:
        """Writes the entry of this instance; retries until it succeeds."""
        spec = self._spec()
        version = 0
        while True:
            try:
                await self.store.put(
                    OBJECT_KIND,
                    self.fleet.state.settings.name,
                    spec,
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

    def handle_restore(self) -> None:
        """Writes the entry again if the restored store lacks it."""
        self.fleet.spawn(self._restore_entry())

    async def _restore_entry(self) -> None:
        await asyncio.sleep(self.fleet.state.rng.uniform(0, RESTORE_SPREAD_S))
        name = self.fleet.state.settings.name
        try:
            stored = await self.store.get(OBJECT_KIND, name)
        except client.StoreError as error:
            _log.info("entry_missing", name=name, reason=str(error))
        else:
            try:
                entry = content.decode(stored.spec, _Entry)
            except content.DECODE_ERRORS as error:
                _log.warning("entry_ignored", name=name, reason=str(error))
            else:
                if entry.contact == self.fleet.own_contact:
                    return
        await self.register()

    def _spec(self) -> dict[str, Any]:
        return msgspec.to_builtins(_Entry(self.fleet.own_contact))

    def _apply_entry(self, item: client.StoredObject) -> None:
        """Applies the entry of another instance."""
        if item.name == self.fleet.state.settings.name:
            return
        try:
            entry = content.decode(item.spec, _Entry)
        except content.DECODE_ERRORS as error:
            _log.warning("entry_ignored", name=item.name, reason=str(error))
            return
        self.fleet.apply_contact(entry.contact)

    def remove(self, name: str) -> None:
        """Deletes the entry of a removed instance if this one leads."""
        if self.fleet.leader_state.is_leader:
            self.fleet.spawn(self._delete_entry(name))

    async def _delete_entry(self, name: str) -> None:
        try:
            stored = await self.store.get(OBJECT_KIND, name)
            await self.store.delete(OBJECT_KIND, name, stored.version)
        except client.StoreError as error:
            _log.info("entry_delete_failed", name=name, reason=str(error))
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
