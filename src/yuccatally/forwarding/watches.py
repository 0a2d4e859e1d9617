"""Watches of the store, one for each kind of object."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import structlog

from yuccatally.core.stages import backoff
from yuccatally.store import client

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    Listed = Callable[[tuple[client.Stored, ...], bool], None]
    Changed = Callable[[client.Stored, bool], None]

WAIT_S = 15.0
RETRY_FIRST_S = 0.15
RETRY_LAST_S = 1.5
# Changes within this time come with one call instead of one call each.
GATHER_S = 0.05
# Entries may still be coming back for this long after a call has succeeded.
AFTER_OUTAGE_S = 3.0

_log = structlog.get_logger()


class KindWatch:
    """Keeps up with the objects of one kind.

    Attributes:
        cursor: Revision that has been reached.
        up: Whether the last call succeeded.
        confirmed_at: Time at which the newest state was last known.
    """

    def __init__(
        self,
        store: client.StoreClient,
        kind: str,
        on_list: Listed,
        on_change: Changed,
        rng: random.Random,
        gather_s: float = GATHER_S,
        on_up: Callable[[bool], None] = lambda up: None,
    ) -> None:
        """Creates a watch.

        Args:
            store: The platform's store.
            kind: Kind of the objects.
            on_list: Called with a complete list, and whether entries may have
                lapsed during an outage.
            on_change: Called with each change, and the same.
            rng: Source of jitter.
            gather_s: Pause between two calls, in seconds.
            on_up: Called when the store is reached again or lost.
        """
        self.store = store
        self.kind = kind
        self.on_list = on_list
        self.on_change = on_change
        self.rng = rng
        self.gather_s = gather_s
        self.notify_up = on_up
        self.cursor = 0
        self.up = False
        self.confirmed_at = 0.0
        self.outage_until = 0.0
        self.listed = False
        self.was_down = False

    async def run(self) -> None:
        """Watches until cancelled."""
        retry = backoff.Backoff(RETRY_FIRST_S, RETRY_LAST_S)
        while True:
            try:
                if not self.listed:
                    await self._list()
                else:
                    await self._watch()
                self._note_up()
                retry.failures = 0
                await asyncio.sleep(self.gather_s)
            except client.CompactedError:
                self.listed = False
            except client.StoreError as error:
                self._note_down(error)
                retry.on_closed(0.0)
                await asyncio.sleep(retry.delay(self.rng.random()))

    @property
    def after_outage(self) -> bool:
        """Whether objects may have lapsed during an outage."""
        return self.was_down or time.monotonic() < self.outage_until

    async def _list(self) -> None:
        started_at = time.monotonic()
        listing = await self.store.list_objects(self.kind)
        if listing.revision < self.cursor:
            raise client.StoreError(
                f"{self.kind}: the list is at revision {listing.revision}, "
                f"behind {self.cursor}"
            )
        self._end_outage()
        self.cursor = listing.revision
        self.listed = True
        self.confirmed_at = started_at
        self.on_list(listing.items, self.after_outage)

    async def _watch(self) -> None:
        listing = await self.store.watch(self.cursor, WAIT_S, self.kind)
        self._end_outage()
        if listing.revision < self.cursor:
            return
        self.cursor = listing.revision
        self.confirmed_at = time.monotonic()
        for item in listing.items:
            self.on_change(item, self.after_outage)

    def _end_outage(self) -> None:
        if self.was_down:
            self.outage_until = time.monotonic() + AFTER_OUTAGE_S
            self.was_down = False

    def _note_up(self) -> None:
        if not self.up:
            _log.info("store_reached", kind=self.kind, revision=self.cursor)
            self.notify_up(True)
        self.up = True

    def _note_down(self, error: client.StoreError) -> None:
        if self.up:
            _log.warning("store_lost", kind=self.kind, error=str(error))
            self.notify_up(False)
        self.up = False
        self.was_down = self.cursor > 0
        if isinstance(error, client.SilentError):
            # Changes may have been lost with the watch that fell silent.
            self.listed = False
