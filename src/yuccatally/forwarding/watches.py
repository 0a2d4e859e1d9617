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

    OnList = Callable[[tuple[client.StoredObject, ...], "Outage | None"], None]
    OnChange = Callable[[client.StoredObject, "Outage | None"], None]

# Each return is a call; a watch that falls silent is found by other signs.
LONG_POLL_S = 10.0
# A call that waits for changes does not show that the store is back before one
# comes, so that the first one after a failure returns after this time.
PROBE_TIMEOUT_S = 0.02
# A lost store is looked for again within the two seconds in which changes have
# to be in force.
RETRY_FIRST_DELAY_S = 0.15
RETRY_MAX_DELAY_S = 1.5
# A watch tries by itself after this time without the first one.
PRIMARY_WAIT_S = 5.0
# Changes within this time come with one call instead of one call each.
BATCH_DELAY_S = 0.05
# Entries may still be coming back for this long after a call has succeeded:
# the platform's two seconds and the time of two calls.
REJOIN_PERIOD_S = 2.2
# A peer may be ahead for this long before the own watch is taken for silent:
# the pause between two calls and the time of a heartbeat, twice.
MAX_LAG_S = 0.6

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
        on_list: OnList,
        on_change: OnChange,
        rng: random.Random,
        batch_delay_s: float = BATCH_DELAY_S,
        on_connected: Callable[[bool], None] = lambda connected: None,
    ) -> None:
        """Creates a watch.

        Args:
            store: The platform's store.
            kind: Kind of the objects.
            on_list: Called with a complete list, and the outage in which
                entries may have lapsed.
            on_change: Called with each change, and the same.
            rng: Source of jitter.
            batch_delay_s: Pause between two calls, in seconds.
            on_connected: Called when the store is reached again or lost.
        """
        self.store = store
        self.kind = kind
        self.on_list = on_list
        self.on_change = on_change
        self.rng = rng
        self.batch_delay_s = batch_delay_s
        self.on_connected = on_connected
        self.cursor = 0
        self.newest_revision = 0
        self.connected = False
        self.listed = False
        # Monotonic time of the first complete list.
        self.first_listed_at: float | None = None
        self.down_since: float | None = None
        self.last_outage: Outage | None = None
        self.behind_since: float | None = None
        self.pending_call: asyncio.Task[client.Listing] | None = None
        # The watch that looks for a lost store on behalf of this one.
        self.primary: KindWatch | None = None
        self.connected_event = asyncio.Event()
        # Cleared while another instance tells of the changes.
        self.enabled = asyncio.Event()
        self.enabled.set()

    async def run(self) -> None:
        """Watches until cancelled."""
        retry = backoff.Backoff(RETRY_FIRST_DELAY_S, RETRY_MAX_DELAY_S)
        while True:
            await self.enabled.wait()
            try:
                if self.listed:
                    await self._watch()
                else:
                    await self._list()
                if self.enabled.is_set():
                    self._record_success()
                retry.failures = 0
                await asyncio.sleep(self.batch_delay_s)
            except client.CompactedError:
                self.listed = False
            except client.StoreError as error:
                self._record_failure(error)
                retry.on_closed(0.0)
                await asyncio.sleep(retry.delay(self.rng.random()))
                await self._wait_for_primary()

    def compare_with_peer(self, newest_revision: int) -> None:
        """Takes in the newest change that another instance has seen.

        A connection can go silent without an end. The watch on it is given up
        when others have seen a change for a while that it did not report.
        """
        if newest_revision <= self.newest_revision:
            self.behind_since = None
            return
        now = time.monotonic()
        if self.behind_since is None:
            self.behind_since = now
        elif now - self.behind_since > MAX_LAG_S:
            self.behind_since = None
            self.restart("peer is ahead")

    def restart(self, reason: str) -> None:
        """Gives up a call that waits, and lists again."""
        if self.pending_call is None:
            return
        _log.info("watch_restarted", kind=self.kind, reason=reason)
        self.listed = False
        self.pending_call.cancel()

    def pause(self) -> None:
        """Makes no calls until ``resume``; others tell of the changes."""
        if not self.enabled.is_set():
            return
        _log.info("watch_paused", kind=self.kind, revision=self.cursor)
        self.enabled.clear()
        self.connected = self.listed = False
        if self.pending_call is not None:
            self.pending_call.cancel()

    def resume(self) -> None:
        """Lists all objects and watches again."""
        if not self.enabled.is_set():
            _log.info("watch_resumed", kind=self.kind)
            self.enabled.set()

    def mark_superseded(self, revision: int) -> None:
        """Takes in that a newer list came from elsewhere while this was down.

        Changes from before it are not wanted any more, so the next call is
        for a complete list.
        """
        self.cursor = max(self.cursor, revision)
        self.listed = False

    async def _wait_for_primary(self) -> None:
        """Waits while the store is away for the watch that looks for it.

        One watch that tries is enough; each call of the others would count.
        """
        if self.primary is None:
            return
        try:
            async with asyncio.timeout(PRIMARY_WAIT_S):
                await self.primary.connected_event.wait()
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
        if self.first_listed_at is None:
            self.first_listed_at = time.monotonic()
        self.on_list(listing.items, self.outage)
        self._update_newest_revision(listing)

    async def _watch(self) -> None:
        self.pending_call = asyncio.create_task(
            self.store.watch(
                self.cursor,
                LONG_POLL_S if self.connected else PROBE_TIMEOUT_S,
                self.kind,
            )
        )
        try:
            await asyncio.wait((self.pending_call,))
        finally:
            pending_call, self.pending_call = self.pending_call, None
            pending_call.cancel()
        if pending_call.cancelled():
            return
        listing = pending_call.result()
        self._end_outage()
        if listing.revision < self.cursor:
            return
        self.cursor = listing.revision
        for item in listing.items:
            self.on_change(item, self.outage)
        self._update_newest_revision(listing)

    def _update_newest_revision(self, listing: client.Listing) -> None:
        revisions = (i.revision for i in listing.items)
        self.newest_revision = max(self.newest_revision, *revisions, 0)

    def _end_outage(self) -> None:
        if self.down_since is not None:
            now = time.monotonic()
            self.last_outage = Outage(self.down_since, now + REJOIN_PERIOD_S)
            self.down_since = None

    def _record_success(self) -> None:
        if not self.connected:
            _log.info("store_reached", kind=self.kind, revision=self.cursor)
            self.on_connected(True)
        self.connected = True
        self.connected_event.set()

    def _record_failure(self, error: client.StoreError) -> None:
        if self.connected:
            _log.warning("store_lost", kind=self.kind, error=str(error))
            self.on_connected(False)
        self.connected = False
        self.connected_event.clear()
        if self.cursor and self.down_since is None:
            self.down_since = time.monotonic()
        if isinstance(error, client.ReadTimeoutError):
            # Changes may have been lost with the watch that fell silent.
            self.listed = False
