"""Watches of the store, one per kind of object."""

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

# Duration of a call without changes. Each return costs another call, but when
# the connections of all instances fall silent at once, none has a newer
# revision that shows it to the others, and only this limit ends the calls.
LONG_POLL_S = 10.0
# A call that waits for changes does not show that the store is reachable again
# until a change arrives, so the first call after a failure returns after this
# time.
PROBE_TIMEOUT_S = 0.02
# Delays between calls to an unreachable store. They stay below the two seconds
# within which changes have to be in force.
RETRY_FIRST_DELAY_S = 0.15
RETRY_MAX_DELAY_S = 1.5
# A watch retries by itself if the primary watch does not connect within this
# time.
PRIMARY_WAIT_S = 5.0
# Changes within this time arrive with one call instead of one call each.
BATCH_DELAY_S = 0.05
# Expired entries may return for this long after a call has succeeded: the two
# seconds of the platform and the duration of two calls.
REJOIN_PERIOD_S = 2.2
# A peer may have a newer revision for this long before the own connection is
# treated as lost: twice the sum of the pause between two calls and a heartbeat
# interval.
MAX_LAG_S = 0.6

_log = structlog.get_logger()


@dataclasses.dataclass(frozen=True)
class Outage:
    """A period in which the store was not reachable.

    Attributes:
        started_at: Monotonic time of the first failed call, in seconds.
        rejoin_until: Time until which entries that expired may return.
    """

    started_at: float
    rejoin_until: float


class KindWatch:
    """Follows the changes of the objects of one kind.

    Attributes:
        cursor: Revision up to which changes were received.
        newest_revision: Revision of the newest change that was received.
        connected: Whether the last call succeeded.
        listed: Whether a complete list was received and changes follow it.
        first_listed_at: Monotonic time of the first complete list; None before.
        down_since: Start of the current outage; None without one.
        last_outage: The last outage that has ended.
        awaited_revision: Revision that a peer has and this watch does not;
            0 for none.
        behind_since: Time at which a peer first reported that revision.
        on_behind: Called when the revision did not arrive in time.
        logged_error: Last failure that was logged; empty while connected.
        pending_call: The call that waits for changes; None without one.
        primary: The watch that reconnects to an unreachable store on behalf of
            this one.
        connected_event: Set while the watch is connected.
        enabled: Cleared while another instance provides the changes.
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
        on_restored: Callable[[int], None] = lambda revision: None,
    ) -> None:
        """Creates a watch.

        Args:
            store: The platform's store.
            kind: Kind of the objects.
            on_list: Called with a complete list and the outage in which entries
                may have expired.
            on_change: Called with each change and the same outage.
            rng: Source of jitter.
            batch_delay_s: Pause between two calls, in seconds.
            on_connected: Called with whether the store is reachable, when that
                changes.
            on_restored: Called with the revision of the first list after the
                store was restored from a copy, before the list is applied.
        """
        self.store = store
        self.kind = kind
        self.on_list = on_list
        self.on_change = on_change
        self.rng = rng
        self.batch_delay_s = batch_delay_s
        self.on_connected = on_connected
        self.on_restored = on_restored
        self.cursor = 0
        self.newest_revision = 0
        self.connected = False
        self.listed = False
        self.first_listed_at: float | None = None
        self.down_since: float | None = None
        self.last_outage: Outage | None = None
        self.awaited_revision = 0
        self.behind_since = 0.0
        self.on_behind: Callable[[], None] = lambda: None
        self.logged_error = ""
        self.pending_call: asyncio.Task[client.Listing] | None = None
        self.primary: KindWatch | None = None
        self.connected_event = asyncio.Event()
        self.enabled = asyncio.Event()
        self.enabled.set()

    async def run(self) -> None:
        """Watches until cancelled."""
        retry = backoff.Backoff(RETRY_FIRST_DELAY_S, RETRY_MAX_DELAY_S)
        while True:
            await self.enabled.wait()
            try:
                if not self.listed:
                    await self._list()
                    has_answer = True
                else:
                    has_answer = await self._watch()
                if has_answer and self.enabled.is_set():
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

    def compare_with_peer(self, peer_revision: int) -> None:
        """Reports that a peer has had a newer revision for too long.

        A connection can stop responding without being closed. Peers that follow
        this instance are as old as it is: only the revision itself shows that
        this watch works, and no other peer does.

        Args:
            peer_revision: Revision of the newest change that a peer received.
        """
        if self.cursor >= self.awaited_revision:
            self.awaited_revision = 0
        if not self.connected or peer_revision <= self.cursor:
            return
        now = time.monotonic()
        if not self.awaited_revision:
            self.awaited_revision, self.behind_since = peer_revision, now
        elif now - self.behind_since > MAX_LAG_S:
            self.awaited_revision = 0
            self.on_behind()

    def reconnect(self, reason: str) -> None:
        """Treats the connection as lost, and requests a complete list.

        Until the list arrives, peers with the store provide the changes.
        """
        if self.connected:
            _log.warning("store_lost", kind=self.kind, error=reason)
            self.connected = False
            self.connected_event.clear()
            self.on_connected(False)
        self.restart(reason)

    def restart(self, reason: str) -> None:
        """Cancels the pending call and requests a complete list again."""
        if self.pending_call is None:
            return
        _log.info("watch_restarted", kind=self.kind, reason=reason)
        self.listed = False
        self.pending_call.cancel()

    def restart_before(self, epoch: int) -> None:
        """Restarts the watch if it waits for changes of an earlier epoch.

        A restored store may have the revision of the watch already. It then
        responds only to the next change.
        """
        if client.epoch_of(self.cursor) < epoch:
            self.restart("the store was restored")

    def pause(self) -> None:
        """Stops calls until ``resume``; peers provide the changes meanwhile."""
        if not self.enabled.is_set():
            return
        _log.info("watch_paused", kind=self.kind, revision=self.cursor)
        self.enabled.clear()
        self.connected = self.listed = False
        if self.pending_call is not None:
            self.pending_call.cancel()

    def resume(self) -> None:
        """Resumes with a complete list after ``pause``."""
        if not self.enabled.is_set():
            _log.info("watch_resumed", kind=self.kind)
            self.enabled.set()

    def mark_superseded(self, revision: int) -> None:
        """Records that a newer list was applied from another source.

        Changes before that revision must not be applied any more, so the next
        call requests a complete list.
        """
        self.cursor = max(self.cursor, revision)
        self.listed = False

    async def _wait_for_primary(self) -> None:
        """Waits until the primary watch is connected, or for a limited time.

        One watch that retries is enough; retries of the others would only add
        calls.
        """
        if self.primary is None:
            return
        try:
            async with asyncio.timeout(PRIMARY_WAIT_S):
                await self.primary.connected_event.wait()
        except TimeoutError:
            pass  # the primary watch may fail for a reason of its own

    @property
    def outage(self) -> Outage | None:
        """Outage whose expired entries may still return; None without one."""
        outage = self.last_outage
        if outage is None or time.monotonic() >= outage.rejoin_until:
            return None
        return outage

    async def _list(self) -> None:
        listing = await self.store.list_objects(self.kind)
        if listing.revision < self.cursor:
            raise client.StoreError(
                f"{self.kind}: the list is at revision {listing.revision}, "
                f"behind {self.cursor}"
            )
        self._end_outage()
        if self.cursor and client.is_later_epoch(listing.revision, self.cursor):
            self._begin_epoch(listing.revision)
        self.cursor = listing.revision
        self.listed = True
        if self.first_listed_at is None:
            self.first_listed_at = time.monotonic()
        self.on_list(listing.items, self.outage)
        self._update_newest_revision(listing)

    async def _watch(self) -> bool:
        """Waits for changes; returns whether the store has answered."""
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
            return False
        listing = pending_call.result()
        self._end_outage()
        if listing.revision < self.cursor:
            return True
        self.cursor = listing.revision
        for item in listing.items:
            self.on_change(item, self.outage)
        self._update_newest_revision(listing)
        return True

    def _update_newest_revision(self, listing: client.Listing) -> None:
        revisions = (i.revision for i in listing.items)
        self.newest_revision = max(self.newest_revision, *revisions, 0)

    def _begin_epoch(self, revision: int) -> None:
        """Lets entries return that are missing in the restored store.

        Their owners write them again within the same time as after an outage.
        """
        now = time.monotonic()
        self.last_outage = Outage(now, now + REJOIN_PERIOD_S)
        self.on_restored(revision)

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
        self.logged_error = ""
        self.connected_event.set()

    def _record_failure(self, error: client.StoreError) -> None:
        if self.connected:
            _log.warning("store_lost", kind=self.kind, error=str(error))
            self.on_connected(False)
        elif str(error) != self.logged_error:
            _log.info("watch_delayed", kind=self.kind, error=str(error))
        self.logged_error = str(error)
        self.connected = False
        self.connected_event.clear()
        if self.cursor and self.down_since is None:
            self.down_since = time.monotonic()
        if isinstance(error, client.ReadTimeoutError):
            # Changes may have been lost with the watch that timed out.
            self.listed = False
