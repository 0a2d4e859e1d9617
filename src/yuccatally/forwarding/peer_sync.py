"""What instances that cannot reach the store learn from the others."""

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

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    from typing import Any

    from yuccatally.core.forwarding import members
    from yuccatally.forwarding import state

    Spawn = Callable[[Coroutine[Any, Any, None]], None]

# A configuration of hundreds of routes compresses to some ten kilobytes.
PULL_TIMEOUT_S = 1.0
# Decompressed size up to which a configuration of a peer is taken; the store
# holds values up to 1 MB.
MAX_RULES_BYTES = 16 * 1024 * 1024
# Upstreams that leave may be used for two seconds. Nothing is asked while
# nothing has changed; a release changes an entry every second.
UPSTREAMS_PULL_INTERVAL_S = 0.2
# An entry has some 170 bytes, and a message may have 64 KB.
PAGE_ENTRY_COUNT = 250

_log = structlog.get_logger()


@dataclasses.dataclass(frozen=True)
class SyncedVersion:
    """What was taken over from another instance.

    Attributes:
        born_ms: Birth of the instance.
        generation: Number of the last change of its upstreams.
        plans_generation: The same of its plans.
    """

    born_ms: int
    generation: int
    plans_generation: int

    @property
    def list_generation(self) -> int:
        """Number of the last change of either; see ``State``."""
        return self.generation + self.plans_generation


_NOT_SYNCED = SyncedVersion(0, 0, 0)


class PeerSync:
    """Asks other instances for configurations and upstreams, and answers them.

    Attributes:
        upstream_watch: The watch that this stands in for while it is down.
        reached: Revision of the store of the newest list that was taken over.
        known: What was taken over last, by name of the instance.
    """

    def __init__(
        self,
        instance_state: state.InstanceState,
        peers: transport.PeerTransport,
        spawn: Spawn,
        peers_kept_store: Callable[[], bool],
    ) -> None:
        """Creates both sides.

        Args:
            instance_state: Shared state.
            peers: Connections to other instances.
            spawn: Runs work in the background.
            peers_kept_store: Returns whether an entry that others miss has
                not merely lapsed in an outage.
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

    def open(self) -> None:
        """Starts to answer other instances."""
        self.transport.register(heartbeats.RulesPull, self._answer_rules_pull)
        self.transport.register(
            heartbeats.UpstreamsPull, self._answer_upstreams_pull
        )

    def apply_heartbeat(
        self, heartbeat: heartbeats.Heartbeat, has_lists: bool
    ) -> None:
        """Asks the sender for what it knows and this instance does not.

        Args:
            heartbeat: Message of another instance.
            has_lists: Whether upstreams are to be asked for there.
        """
        in_force = self.state.rules
        version = in_force.version if in_force else 0
        if heartbeat.rules_version > version and not self.is_pulling_rules:
            self.is_pulling_rules = True
            self.spawn(self._pull_rules(heartbeat.sender.peers, version))
        watch = self.upstream_watch
        if watch is None or not has_lists:
            return
        if watch.connected:
            self.synced_versions.clear()
        synced_versions = self.synced_versions.get(
            heartbeat.sender.name, _NOT_SYNCED
        )
        if (
            synced_versions.born_ms == heartbeat.sender.born_ms
            and synced_versions.list_generation == heartbeat.list_generation
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

    async def _pull_rules(self, address: str, synced_versions: int) -> None:
        try:
            reply = await self.transport.exchange(
                address, heartbeats.RulesPull(synced_versions), PULL_TIMEOUT_S
            )
            if reply.version <= synced_versions:
                return
            raw = zlib.decompressobj().decompress(reply.spec, MAX_RULES_BYTES)
            spec = msgspec.json.decode(raw)
            self.state.apply_rules(documents.decode_rules(spec), spec, "peer")
        except (
            transport.PeerError,
            documents.FormatError,
            msgspec.MsgspecError,
            zlib.error,
        ) as error:
            _log.warning("configuration_pull_failed", error=str(error))
        finally:
            self.is_pulling_rules = False

    def _answer_rules_pull(
        self, pull: heartbeats.RulesPull
    ) -> heartbeats.RulesReply:
        in_force = self.state.rules
        if in_force is None or in_force.version <= pull.known_version:
            return heartbeats.RulesReply(0, b"")
        raw = msgspec.json.encode(self.state.rules_spec)
        return heartbeats.RulesReply(in_force.version, zlib.compress(raw))

    async def _pull_upstreams(
        self, sender: members.Contact, watch: watches.KindWatch
    ) -> None:
        """Takes over what another instance knows unless it is older."""
        synced_versions = self.synced_versions.get(sender.name, _NOT_SYNCED)
        if synced_versions.born_ms != sender.born_ms or watch.connected:
            synced_versions = _NOT_SYNCED
        try:
            pages = await self._pages(sender, synced_versions)
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
        self._apply(sender, pages, watch)

    async def _pages(
        self, sender: members.Contact, synced_versions: SyncedVersion
    ) -> list[heartbeats.UpstreamsPage]:
        """Returns the changes since what is known, or the whole list.

        Nothing is returned if it changed between two pages; the next heartbeat
        asks again.
        """
        first = await self._page(
            sender,
            heartbeats.UpstreamsPull(
                synced_versions.generation,
                known_plans_generation=synced_versions.plans_generation,
            ),
        )
        pages = [first]
        while pages[-1].has_more:
            after = pages[-1].entries[-1].name
            page = await self._page(sender, heartbeats.UpstreamsPull(0, after))
            if page.generation != first.generation:
                return []
            pages.append(page)
        return pages

    def _apply(
        self,
        sender: members.Contact,
        pages: list[heartbeats.UpstreamsPage],
        watch: watches.KindWatch,
    ) -> None:
        first = pages[0]
        self.applied_revision = first.store_revision
        # What others told before may be older than what is in force now.
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
                registry.remove(name, rejoin_until)
        else:
            registry.replace(entries, rejoin_until)
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

    async def _page(
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
        complete = changed is None or len(changed) > PAGE_ENTRY_COUNT
        if complete:
            left = sorted(n for n in registry.entries if n > pull.after)
            names = left[:PAGE_ENTRY_COUNT]
            more = len(left) > len(names)
        else:
            names, more = changed, False
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
            more,
            plans,
            changes_only=not complete,
            removed=tuple(n for n in names if n not in registry.entries),
            plans_generation=self.state.plans_generation,
        )

    def _known_revision(self, watch: watches.KindWatch) -> int:
        """Returns the revision up to which upstreams are known; 0 for none."""
        own = watch.cursor if watch.first_listed_at is not None else 0
        return max(own, self.applied_revision)
