"""Reads the configuration from the platform while this instance watches."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

import structlog

from yuccatally.core.config import configuration
from yuccatally.core.config import documents
from yuccatally.store import client

if TYPE_CHECKING:
    from collections.abc import Callable

RETRY_FIRST_S = 0.1
RETRY_LAST_S = 5.0
# A platform that is behind answers at once, so that only this limits calls.
BEHIND_RETRY_S = 1.0
# Time for peers to hand over a snapshot, which costs the platform nothing.
PEERS_FIRST_S = 1.0
ROLE_CHECK_S = 0.25
# A missed event shows only in a listing. The interval grows with the listing,
# so that its bytes stay below a fifth of the control budget of 19 KB/s.
RELIST_LEAST_S = 10.0
RELIST_BYTES_S = 4_000.0
OBJECT_BYTES = 400

_log = structlog.get_logger()


class ConfigWatch:
    """Applies changes from the platform if this instance has the role.

    Attributes:
        ready: Set once any configuration is in force.
        watching: Whether this instance holds a watch.
        platform: Empty, ``down`` or ``behind``.
        cursor: Revision of the store that the watch has reached.
    """

    def __init__(
        self,
        store: client.StoreClient,
        config: configuration.Configuration,
        wait_s: float,
        on_change: Callable[[bool], None],
        has_role: Callable[[], bool] = lambda: True,
        first_wait_s: float = 0.0,
    ) -> None:
        self.store = store
        self.config = config
        self.wait_s = wait_s
        self.on_change = on_change
        self.has_role = has_role
        self.first_wait_s = first_wait_s
        self.ready = asyncio.Event()
        self.watching = False
        self.platform = ""
        self.cursor = 0
        self.relist_at = 0.0
        self.rng = random.Random()

    async def run(self) -> None:
        """Watches until cancelled; backs off while the platform is away."""
        await self._wait_for_peers()
        delay_s = RETRY_FIRST_S
        listed = False
        while True:
            if self.ready.is_set() and not self.has_role():
                self.watching = listed = False
                await asyncio.sleep(ROLE_CHECK_S)
                continue
            try:
                if not listed or time.monotonic() >= self.relist_at:
                    listed = await self._list()
                    if not listed:
                        await asyncio.sleep(self._jittered(BEHIND_RETRY_S))
                        continue
                self.watching = True
                listed = await self._watch_once()
                delay_s = RETRY_FIRST_S
            except client.CompactedError:
                listed = False
            except client.StoreError as error:
                # Changes may have been lost with a watch that fell silent.
                listed = listed and not isinstance(
                    error, client.ReadTimeoutError
                )
                if self.platform != "down":
                    _log.warning("platform_unavailable", error=str(error))
                self.platform = "down"
                await asyncio.sleep(self._jittered(delay_s))
                delay_s = min(delay_s * 2, RETRY_LAST_S)

    async def _wait_for_peers(self) -> None:
        try:
            async with asyncio.timeout(self.first_wait_s):
                await self.ready.wait()
        except TimeoutError:
            pass

    async def _list(self) -> bool:
        """Takes the whole configuration; returns False if it is too old."""
        listing = await self.store.list_objects()
        floor = max(self.cursor, self.config.revision)
        if listing.revision < floor:
            self._note_behind(listing.revision)
            return False
        snapshot = documents.snapshot_from(
            map(document_of, listing.items), listing.revision
        )
        before = (self.config.content_hash, self.ready.is_set())
        if not self.config.apply_snapshot(snapshot):
            return False
        self.platform = ""
        self.cursor = listing.revision
        size = len(listing.items) * OBJECT_BYTES
        interval_s = max(RELIST_LEAST_S, size / RELIST_BYTES_S)
        self.relist_at = time.monotonic() + self._jittered(interval_s)
        if before != (self.config.content_hash, True):
            self._changed()
        return True

    async def _watch_once(self) -> bool:
        """Waits for changes; returns whether the watch can be continued."""
        since = self.cursor
        wait_s = min(self.wait_s, max(0.1, self.relist_at - time.monotonic()))
        listing = await self.store.watch(since, wait_s)
        if listing.revision < since:
            self._note_behind(listing.revision)
            await asyncio.sleep(self._jittered(BEHIND_RETRY_S))
            return False
        self.platform = ""
        self.cursor = max(self.cursor, listing.revision)
        events = tuple(
            documents.event_from(document_of(i)) for i in listing.items
        )
        if events:
            revision = max(e.revision for e in events)
            since = min(since, self.config.revision)
            self.config.apply_delta(
                configuration.Delta(since, revision, events)
            )
            self._changed()
        return True

    def _note_behind(self, revision: int) -> None:
        if self.platform != "behind":
            _log.warning(
                "platform_behind",
                revision=revision,
                in_force=self.config.revision,
            )
        self.platform = "behind"

    def changed_by_peer(self) -> None:
        """Makes a change known that a peer has sent."""
        self._changed(from_peer=True)

    def _changed(self, from_peer: bool = False) -> None:
        self.ready.set()
        _log.info(
            "configuration_applied",
            revision=self.config.revision,
            source="peer" if from_peer else "platform",
        )
        self.on_change(from_peer)

    def _jittered(self, seconds: float) -> float:
        return seconds * self.rng.uniform(0.5, 1.0)


def document_of(stored: client.StoredObject) -> documents.Document:
    """Returns a stored object in the form that instances pass on."""
    return documents.Document(
        stored.kind,
        stored.name,
        stored.revision,
        stored.version,
        stored.deleted,
        stored.spec,
        stored.labels,
    )
