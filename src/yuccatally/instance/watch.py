"""Reads the configuration from the platform if this instance is a watcher."""

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

RETRY_MIN_S = 0.1
RETRY_MAX_S = 5.0
# A platform with an older revision answers at once, so only this delay limits
# the rate of calls.
BEHIND_RETRY_S = 1.0
# Time for peers to send a snapshot, which saves a listing of the platform.
PEER_SNAPSHOT_WAIT_S = 1.0
ROLE_CHECK_INTERVAL_S = 0.25
# Only a listing reveals a missed event. The interval grows with the size of the
# listing, which limits relisting to about a fifth of the control budget of
# 19 KB/s.
RELIST_MIN_INTERVAL_S = 10.0
RELIST_BYTES_PER_S = 4_000.0
ESTIMATED_OBJECT_BYTES = 400

_log = structlog.get_logger()


class ConfigWatch:
    """Applies changes from the platform if this instance is a watcher.

    Attributes:
        ready: Set once a configuration is in force.
        watching: Whether this instance watches the platform now.
        platform_problem: ``down``, ``behind`` (the platform returned an older
            revision) or empty.
        cursor: Revision up to which changes of the platform were received.
    """

    def __init__(
        self,
        store: client.StoreClient,
        config: configuration.Configuration,
        wait_s: float,
        on_change: Callable[[bool], None],
        is_watcher: Callable[[], bool] = lambda: True,
        peer_wait_s: float = 0.0,
    ) -> None:
        self.store = store
        self.config = config
        self.wait_s = wait_s
        self.on_change = on_change
        self.is_watcher = is_watcher
        self.peer_wait_s = peer_wait_s
        self.ready = asyncio.Event()
        self.watching = False
        self.platform_problem = ""
        self.cursor = 0
        self.relist_at = 0.0
        self.rng = random.Random()

    async def run(self) -> None:
        """Watches until cancelled; backs off if the platform is unavailable."""
        await self._wait_for_peers()
        delay_s = RETRY_MIN_S
        listed = False
        while True:
            if self.ready.is_set() and not self.is_watcher():
                self.watching = listed = False
                await asyncio.sleep(ROLE_CHECK_INTERVAL_S)
                continue
            try:
                if not listed or time.monotonic() >= self.relist_at:
                    listed = await self._list_configuration()
                    if not listed:
                        await asyncio.sleep(self._jittered(BEHIND_RETRY_S))
                        continue
                self.watching = True
                listed = await self._watch_once()
                delay_s = RETRY_MIN_S
            except client.CompactedError:
                listed = False
            except client.StoreError as error:
                # Events may have been missed on a watch that timed out.
                listed = listed and not isinstance(
                    error, client.ReadTimeoutError
                )
                if self.platform_problem != "down":
                    _log.warning("platform_unavailable", error=str(error))
                self.platform_problem = "down"
                await asyncio.sleep(self._jittered(delay_s))
                delay_s = min(delay_s * 2, RETRY_MAX_S)

    async def _wait_for_peers(self) -> None:
        try:
            async with asyncio.timeout(self.peer_wait_s):
                await self.ready.wait()
        except TimeoutError:
            pass

    async def _list_configuration(self) -> bool:
        """Lists the whole configuration; returns False if it is outdated."""
        listing = await self.store.list_objects()
        min_revision = max(self.cursor, self.config.revision)
        if listing.revision < min_revision:
            self._record_behind(listing.revision)
            return False
        snapshot = documents.snapshot_from(
            map(to_document, listing.items), listing.revision
        )
        previous = (self.config.content_hash, self.ready.is_set())
        if not self.config.apply_snapshot(snapshot):
            return False
        self.platform_problem = ""
        self.cursor = listing.revision
        size_bytes = len(listing.items) * ESTIMATED_OBJECT_BYTES
        interval_s = max(RELIST_MIN_INTERVAL_S, size_bytes / RELIST_BYTES_PER_S)
        self.relist_at = time.monotonic() + self._jittered(interval_s)
        if previous != (self.config.content_hash, True):
            self._notify_change()
        return True

    async def _watch_once(self) -> bool:
        """Waits for events; returns whether the watch can be continued."""
        since = self.cursor
        wait_s = min(self.wait_s, max(0.1, self.relist_at - time.monotonic()))
        listing = await self.store.watch(since, wait_s)
        if listing.revision < since:
            self._record_behind(listing.revision)
            await asyncio.sleep(self._jittered(BEHIND_RETRY_S))
            return False
        self.platform_problem = ""
        self.cursor = max(self.cursor, listing.revision)
        events = tuple(
            documents.event_from(to_document(i)) for i in listing.items
        )
        if events:
            revision = max(e.revision for e in events)
            since = min(since, self.config.revision)
            self.config.apply_delta(
                configuration.Delta(since, revision, events)
            )
            self._notify_change()
        return True

    def _record_behind(self, revision: int) -> None:
        if self.platform_problem != "behind":
            _log.warning(
                "platform_behind",
                revision=revision,
                in_force=self.config.revision,
            )
        self.platform_problem = "behind"

    def notify_peer_change(self) -> None:
        """Notifies the instance of a configuration change from a peer."""
        self._notify_change(from_peer=True)

    def _notify_change(self, from_peer: bool = False) -> None:
        self.ready.set()
        _log.info(
            "configuration_applied",
            revision=self.config.revision,
            source="peer" if from_peer else "platform",
        )
        self.on_change(from_peer)

    def _jittered(self, seconds: float) -> float:
        return seconds * self.rng.uniform(0.5, 1.0)


def to_document(stored: client.StoredObject) -> documents.Document:
    """Converts a stored object to the form that instances exchange."""
    return documents.Document(
        stored.kind,
        stored.name,
        stored.revision,
        stored.version,
        stored.deleted,
        stored.spec,
        stored.labels,
    )
