"""Watches of the store, one for each kind of object."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import TYPE_CHECKING

import structlog

from yuccatally.core.stages import backoff
from yuccatally.store import client

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    Listed = Callable[[tuple[client.StoredObject, ...], "Outage | None"], None]
    Changed = Callable[[client.StoredObject, "Outage | None"], None]

# Each return is a call; a watch that falls silent is found by other signs.
WAIT_S = 10.0
# A call that waits for changes does not show that the store is back before one
# comes, so that the first one after a failure returns after this time.
PROBE_S = 0.02
# A lost store is looked for again within the two seconds in which changes have
# to be in force.
RETRY_FIRST_S = 0.15
RETRY_LAST_S = 1.5
# A watch tries by itself after this time without the first one.
FIRST_WAIT_S = 5.0
# Changes within this time come with one call instead of one call each.
GATHER_S = 0.05
# Entries may still be coming back for this long after a call has succeeded:
# the platform's two seconds and the time of two calls.
REJOIN_S = 2.2
# A peer may be ahead for this long before the own watch is taken for silent:
# the pause between two calls and the time of a heartbeat, twice.
BEHIND_S = 0.6

_log = structlog.get_logger()


@dataclasses.dataclass(frozen=True)
class Outage:
    """A time in which the store was not reached.

    Attributes:
        started_at: Monotonic time of the first failed call, in seconds.
        rejoin_until: Time until which entries that lapsed may come back.
    """

    started_at: float
    rejoin_until: float


class KindWatch:
    """Keeps up with the objects of one kind.

    Attributes:
        cursor: Revision that has been reached.
        newest: Revision of the newest change that was seen.
        up: Whether the last call succeeded.
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
            on_list: Called with a complete list, and the outage in which
                entries may have lapsed.
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
        self.newest = 0
        self.up = False
        self.listed = False
        # Monotonic time of the first complete list.
        self.listed_at: float | None = None
        self.down_since: float | None = None
        self.last_outage: Outage | None = None
        self.behind_since: float | None = None
        self.waiting: asyncio.Task[client.Listing] | None = None
        # The watch that looks for a lost store on behalf of this one.
        self.first: KindWatch | None = None
        self.reached = asyncio.Event()
        # Cleared while another instance tells of the changes.
        self.wanted = asyncio.Event()
        self.wanted.set()

    async def run(self) -> None:
        """Watches until cancelled."""
        retry = backoff.Backoff(RETRY_FIRST_S, RETRY_LAST_S)
        while True:
            await self.wanted.wait()
            try:
                if self.listed:
                    await self._watch()
                else:
                    await self._list()
                if self.wanted.is_set():
                    self._note_up()
                retry.failures = 0
                await asyncio.sleep(self.gather_s)
            except client.CompactedError:
                self.listed = False
            except client.StoreError as error:
                self._note_down(error)
                retry.on_closed(0.0)
                await asyncio.sleep(retry.delay(self.rng.random()))
                await self._wait_for_first()

    def on_peer(self, newest: int) -> None:
        """Takes in the newest change that another instance has seen.

        A connection can go silent without an end. The watch on it is given up
        when others have seen a change for a while that it did not report.
        """
        if newest <= self.newest:
            self.behind_since = None
            return
        now = time.monotonic()
        if self.behind_since is None:
            self.behind_since = now
        elif now - self.behind_since > BEHIND_S:
            self.behind_since = None
            self.restart("peer is ahead")

    def restart(self, reason: str) -> None:
        """Gives up a call that waits, and lists again."""
        if self.waiting is None:
            return
        _log.info("watch_restarted", kind=self.kind, reason=reason)
        self.listed = False
        self.waiting.cancel()

    def pause(self) -> None:
        """Makes no calls until ``resume``; others tell of the changes."""
        if not self.wanted.is_set():
            return
        _log.info("watch_paused", kind=self.kind, revision=self.cursor)
        self.wanted.clear()
        self.up = self.listed = False
        if self.waiting is not None:
            self.waiting.cancel()

    def resume(self) -> None:
        """Lists all objects and watches again."""
        if not self.wanted.is_set():
            _log.info("watch_resumed", kind=self.kind)
            self.wanted.set()

    def supersede(self, revision: int) -> None:
        """Takes in that a newer list came from elsewhere while this was down.

        Changes from before it are not wanted any more, so the next call is
        for a complete list.
        """
        self.cursor = max(self.cursor, revision)
        self.listed = False

    async def _wait_for_first(self) -> None:
        """Waits while the store is away for the watch that looks for it.

        One watch that tries is enough; each call of the others would count.
        """
        if self.first is None:
            return
        try:
            async with asyncio.timeout(FIRST_WAIT_S):
                await self.first.reached.wait()
        except TimeoutError:
            pass  # the first watch may fail for a reason of its own

    @property
    def outage(self) -> Outage | None:
        """Outage whose lapsed entries may still come back."""
        found = self.last_outage
        if found is None or time.monotonic() >= found.rejoin_until:
            return None
        return found

    async def _list(self) -> None:
        listing = await self.store.list_objects(self.kind)
        if listing.revision < self.cursor:
            raise client.StoreError(
                f"{self.kind}: the list is at revision {listing.revision}, "
                f"behind {self.cursor}"
            )
        self._end_outage()
        self.cursor = listing.revision
        self.listed = True
        if self.listed_at is None:
            self.listed_at = time.monotonic()
        self.on_list(listing.items, self.outage)
        self._note_newest(listing)

    async def _watch(self) -> None:
        self.waiting = asyncio.create_task(
            self.store.watch(
                self.cursor, WAIT_S if self.up else PROBE_S, self.kind
            )
        )
        try:
            await asyncio.wait((self.waiting,))
        finally:
            waiting, self.waiting = self.waiting, None
            waiting.cancel()
        if waiting.cancelled():
            return
        listing = waiting.result()
        self._end_outage()
        if listing.revision < self.cursor:
            return
        self.cursor = listing.revision
        for item in listing.items:
            self.on_change(item, self.outage)
        self._note_newest(listing)

    def _note_newest(self, listing: client.Listing) -> None:
        revisions = (i.revision for i in listing.items)
        self.newest = max(self.newest, *revisions, 0)

    def _end_outage(self) -> None:
        if self.down_since is not None:
            now = time.monotonic()
            self.last_outage = Outage(self.down_since, now + REJOIN_S)
            self.down_since = None

    def _note_up(self) -> None:
        if not self.up:
            _log.info("store_reached", kind=self.kind, revision=self.cursor)
            self.notify_up(True)
        self.up = True
        self.reached.set()

    def _note_down(self, error: client.StoreError) -> None:
        if self.up:
            _log.warning("store_lost", kind=self.kind, error=str(error))
            self.notify_up(False)
        self.up = False
        self.reached.clear()
        if self.cursor and self.down_since is None:
            self.down_since = time.monotonic()
        if isinstance(error, client.ReadTimeoutError):
            # Changes may have been lost with the watch that fell silent.
            self.listed = False
