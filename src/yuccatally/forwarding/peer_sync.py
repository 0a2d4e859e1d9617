"""Synchronization from peers while the store is not reachable."""

from __future__ import annotations

import dataclasses
import time
from typing import TYPE_CHECKING
import zlib

import msgspec
import structlog

from yuccatally.core.forwarding import upstream_sync
from yuccatally.forwarding import watches
from yuccatally.peers import heartbeats
from yuccatally.peers import transport
from yuccatally.platform import documents
from yuccatally.store import client

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    from typing import Any

    from yuccatally.core.forwarding import members
    from yuccatally.forwarding import state

    Spawn = Callable[[Coroutine[Any, Any, None]], None]

# A configuration of hundreds of routes compresses to about ten kilobytes.
PULL_TIMEOUT_S = 1.0
# Maximum decompressed size of a configuration from a peer; the store limits
# values to 1 MB.
MAX_RULES_BYTES = 16 * 1024 * 1024
# Minimum interval between two pulls. Upstreams that leave may be used for two
# more seconds. There is no pull without a change, and during a release an entry
# changes every second.
UPSTREAMS_PULL_INTERVAL_S = 0.2
# An entry has about 170 bytes, and a message may have 64 KB.
PAGE_ENTRY_COUNT = 250

_log = structlog.get_logger()


@dataclasses.dataclass(frozen=True)
class SyncedVersion:
    """Version of the lists that were applied from another instance.

    Attributes:
        born_ms: Start time of the instance in Unix milliseconds.
        generation: Generation of its upstreams.
        plans_generation: Generation of its plans.
    """

    born_ms: int
    generation: int
    plans_generation: int

    @property
    def list_generation(self) -> int:
        """Generation of both lists; see ``InstanceState.list_generation``."""
        return self.generation + self.plans_generation


_NOT_SYNCED = SyncedVersion(0, 0, 0)


class PeerSync:
    """Pulls configurations and upstreams from peers and serves such pulls.

    Attributes:
        upstream_watch: Watch of the upstreams, which pulls replace while it is
            not connected.
        applied_revision: Store revision of the list that was applied last.
        synced_versions: Version that was applied last, by name of the instance.
        pulled_at: Time of the last pull of upstreams.
        is_pulling_rules: Whether a pull of the configuration is under way.
        on_restored: Called with the revision of the first list of a peer after
            the store was restored, before the list is applied.
    """

    def __init__(
        self,
        instance_state: state.InstanceState,
        peers: transport.PeerTransport,
        spawn: Spawn,
        peers_kept_store: Callable[[], bool],
    ) -> None:
        """Creates the client and the server side.

        Args:
            instance_state: Shared state.
            peers: Connections to other instances.
            spawn: Runs a coroutine in the background.
            peers_kept_store: Returns whether peers reached the store for long
                enough that entries they do not have were removed and did not
                just expire during an outage.
        """
        self.state = instance_state
        self.transport = peers
        self.spawn = spawn
        self.peers_kept_store = peers_kept_store
        self.upstream_watch: watches.KindWatch | None = None
        self.applied_revision = 0
        self.synced_versions: dict[str, SyncedVersion] = {}
        self.pulled_at = 0.0
        self.is_pulling_rules = False
        self.on_restored: Callable[[int], None] = lambda revision: None

    def open(self) -> None:
        """Starts to serve pulls of other instances."""
        self.transport.register(heartbeats.RulesPull, self._answer_rules_pull)
        self.transport.register(
            heartbeats.UpstreamsPull, self._answer_upstreams_pull
        )

    def apply_heartbeat(
        self, heartbeat: heartbeats.Heartbeat, has_lists: bool
    ) -> None:
        """Pulls from the sender what it has and this instance does not.

        Args:
            heartbeat: Heartbeat of another instance.
            has_lists: Whether upstreams may be pulled from the sender.
        """
        current_rules = self.state.rules
        version = current_rules.version if current_rules else 0
        if heartbeat.rules_version > version and not self.is_pulling_rules:
            self.is_pulling_rules = True
            self.spawn(self._pull_rules(heartbeat.sender.peers, version))
        watch = self.upstream_watch
        if watch is None or not has_lists:
            return
        if watch.connected:
            self.synced_versions.clear()
        synced = self.synced_versions.get(heartbeat.sender.name, _NOT_SYNCED)
        if (
            synced.born_ms == heartbeat.sender.born_ms
            and synced.list_generation == heartbeat.list_generation
        ):
            return
        now = time.monotonic()
        if upstream_sync.should_pull(
            upstream_sync.SyncState(
                watch.connected, bool(self._known_revision(watch))
            ),
            upstream_sync.SyncState(
                heartbeat.store_connected, bool(heartbeat.upstreams_revision)
            ),
            now - self.pulled_at,
            UPSTREAMS_PULL_INTERVAL_S,
        ):
            self.pulled_at = now
            self.spawn(self._pull_upstreams(heartbeat.sender, watch))

    async def _pull_rules(self, address: str, known_version: int) -> None:
        try:
            reply = await self.transport.exchange(
                address, heartbeats.RulesPull(known_version), PULL_TIMEOUT_S
            )
            if reply.version <= known_version:
                return
            raw = zlib.decompressobj().decompress(reply.spec, MAX_RULES_BYTES)
            spec = msgspec.Raw(raw)
            self.state.apply_rules(documents.decode_rules(spec), spec, "peer")
        except (
            transport.PeerError,
            documents.FormatError,
            zlib.error,
        ) as error:
            _log.warning("configuration_pull_failed", error=str(error))
        finally:
            self.is_pulling_rules = False

    def _answer_rules_pull(
        self, pull: heartbeats.RulesPull
    ) -> heartbeats.RulesReply:
        current_rules = self.state.rules
        if current_rules is None or current_rules.version <= pull.known_version:
            return heartbeats.RulesReply(0, b"")
        raw = msgspec.json.encode(self.state.rules_spec)
        return heartbeats.RulesReply(current_rules.version, zlib.compress(raw))

    async def _pull_upstreams(
        self, sender: members.Contact, watch: watches.KindWatch
    ) -> None:
        """Pulls the upstreams of another instance and applies them if newer."""
        synced = self.synced_versions.get(sender.name, _NOT_SYNCED)
        if synced.born_ms != sender.born_ms or watch.connected:
            synced = _NOT_SYNCED
        try:
            pages = await self._pull_pages(sender, synced)
        except transport.PeerError as error:
            _log.info(
                "upstreams_pull_failed", peer=sender.name, error=str(error)
            )
            return
        if (
            not pages
            or watch.connected
            or pages[0].store_revision < self._known_revision(watch)
        ):
            return
        self._apply_pages(sender, pages, watch)

    async def _pull_pages(
        self, sender: members.Contact, synced: SyncedVersion
    ) -> list[heartbeats.UpstreamsPage]:
        """Returns the changes since the synced version, or the whole list.

        The result is empty if the list changed between two pages; the next
        heartbeat starts another pull.
        """
        first = await self._pull_page(
            sender,
            heartbeats.UpstreamsPull(
                synced.generation,
                known_plans_generation=synced.plans_generation,
            ),
        )
        pages = [first]
        while pages[-1].has_more:
            after = pages[-1].entries[-1].name
            page = await self._pull_page(
                sender, heartbeats.UpstreamsPull(0, after)
            )
            if page.generation != first.generation:
                return []
            pages.append(page)
        return pages

    def _apply_pages(
        self,
        sender: members.Contact,
        pages: list[heartbeats.UpstreamsPage],
        watch: watches.KindWatch,
    ) -> None:
        first = pages[0]
        known_revision = self._known_revision(watch)
        if known_revision and client.is_later_epoch(
            first.store_revision, known_revision
        ):
            self.on_restored(first.store_revision)
        self.applied_revision = first.store_revision
        # Versions of other instances may be older than the list applied now.
        self.synced_versions = {
            sender.name: SyncedVersion(
                sender.born_ms, first.generation, first.plans_generation
            )
        }
        watch.mark_superseded(first.store_revision)
        rejoin_until = None
        if not self.peers_kept_store():
            rejoin_until = time.monotonic() + watches.REJOIN_PERIOD_S
        registry = self.state.registry
        entries = [e for page in pages for e in page.entries]
        if first.changes_only:
            for entry in entries:
                registry.apply_entry(entry)
            for name in first.removed:
                registry.remove(name, rejoin_until, first.store_revision)
        else:
            registry.replace(entries, rejoin_until, first.store_revision)
        for service, plan in first.plans.items():
            self.state.apply_plan(service, plan)
        _log.info(
            "upstreams_from_peer",
            peer=sender.name,
            upstreams=len(entries),
            removed=len(first.removed),
            changes_only=first.changes_only,
            revision=first.store_revision,
        )

    async def _pull_page(
        self, sender: members.Contact, pull: heartbeats.UpstreamsPull
    ) -> heartbeats.UpstreamsPage:
        return await self.transport.exchange(sender.peers, pull, PULL_TIMEOUT_S)

    def _answer_upstreams_pull(
        self, pull: heartbeats.UpstreamsPull
    ) -> heartbeats.UpstreamsPage:
        registry = self.state.registry
        watch = self.upstream_watch
        changed = (
            registry.changed_since(pull.known_generation)
            if pull.known_generation
            else None
        )
        is_complete = changed is None or len(changed) > PAGE_ENTRY_COUNT
        if is_complete:
            remaining_names = sorted(
                n for n in registry.entries if n > pull.after
            )
            names = remaining_names[:PAGE_ENTRY_COUNT]
            has_more = len(remaining_names) > len(names)
        else:
            names, has_more = changed, False
        plans = {}
        if (
            not pull.after
            and pull.known_plans_generation != self.state.plans_generation
        ):
            plans = dict(self.state.plans)
        return heartbeats.UpstreamsPage(
            self._known_revision(watch) if watch else 0,
            registry.entries_generation,
            tuple(registry.entries[n] for n in names if n in registry.entries),
            has_more,
            plans,
            changes_only=not is_complete,
            removed=tuple(n for n in names if n not in registry.entries),
            plans_generation=self.state.plans_generation,
        )

    def _known_revision(self, watch: watches.KindWatch) -> int:
        """Returns the store revision of the local upstreams; 0 for none."""
        own = watch.cursor if watch.first_listed_at is not None else 0
        return max(own, self.applied_revision)
