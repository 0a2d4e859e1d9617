"""Keeps the configuration of one instance up to date."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from yuccatally.core.config import configuration
from yuccatally.core.objects import kinds
from yuccatally.store import client

if TYPE_CHECKING:
    from collections.abc import Callable

RETRY_FIRST_S = 0.1
RETRY_LAST_S = 5.0

_log = structlog.get_logger()


class ConfigWatch:
    """Reads objects from the platform and applies changes as they come."""

    def __init__(
        self,
        store: client.StoreClient,
        config: configuration.Configuration,
        wait_s: float,
        on_change: Callable[[], None],
    ) -> None:
        self.store = store
        self.config = config
        self.wait_s = wait_s
        self.on_change = on_change
        self.ready = asyncio.Event()

    async def run(self) -> None:
        """Watches until cancelled; backs off while the platform is away."""
        delay_s = RETRY_FIRST_S
        need_listing = True
        while True:
            try:
                if need_listing:
                    await self._list()
                    need_listing = False
                need_listing = not await self._watch_once()
                delay_s = RETRY_FIRST_S
            except client.CompactedError:
                need_listing = True
            except client.StoreError as error:
                _log.warning("platform_unavailable", error=str(error))
                await asyncio.sleep(delay_s)
                delay_s = min(delay_s * 2, RETRY_LAST_S)

    async def _list(self) -> None:
        listing = await self.store.list_objects()
        objects = tuple(o for o in map(decode, listing.items) if o is not None)
        snapshot = configuration.Snapshot(listing.revision, objects)
        if not self.config.apply_snapshot(snapshot):
            _log.warning("stale_listing_refused", revision=listing.revision)
            return
        self._changed()

    async def _watch_once(self) -> bool:
        since = self.config.revision
        listing = await self.store.watch(since, self.wait_s)
        events = tuple(map(event_from, listing.items))
        delta = configuration.Delta(since, listing.revision, events)
        applied = self.config.apply_delta(delta)
        if events:
            self._changed()
        return applied

    def _changed(self) -> None:
        self.ready.set()
        _log.info("configuration_applied", revision=self.config.revision)
        self.on_change()


def decode(stored: client.Stored) -> kinds.Object | None:
    """Returns the object, None if it does not pass the checks."""
    raw = {
        "kind": stored.kind,
        "name": stored.name,
        "spec": stored.spec,
        "labels": stored.labels,
        "version": stored.version,
        "revision": stored.revision,
    }
    decoded = kinds.decode(raw)
    if decoded.is_error():
        _log.error("object_rejected", error=str(decoded.error))
        return None
    return decoded.ok


def event_from(stored: client.Stored) -> configuration.Event:
    """Returns the change that a stored object stands for."""
    declared = None if stored.deleted else decode(stored)
    return configuration.Event(
        stored.revision, stored.kind, stored.name, declared
    )
