"""What instances that cannot reach the store learn from the others."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
import zlib

import msgspec
import structlog

from yuccatally.core.forwarding import catchup
from yuccatally.forwarding import watches
from yuccatally.peers import heartbeats
from yuccatally.peers import transport
from yuccatally.platform import documents

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    from typing import Any

    from yuccatally.core.forwarding import upstreams
    from yuccatally.forwarding import state

    Spawn = Callable[[Coroutine[Any, Any, None]], None]

# A configuration of hundreds of routes compresses to some ten kilobytes.
PULL_TIMEOUT_S = 1.0
# Decompressed size up to which a configuration of a peer is taken; the store
# holds values up to 1 MB.
RULES_LIMIT_BYTES = 16 * 1024 * 1024
# Upstreams that leave may be used for two seconds; the answer has 14 bytes
# while nothing has changed.
UPSTREAMS_EVERY_S = 0.5
# An entry has some 170 bytes, and a message may have 64 KB.
PAGE_ENTRIES = 250

_log = structlog.get_logger()


class CatchUp:
    """Asks other instances for configurations and upstreams, and answers them.

    Attributes:
        upstream_watch: The watch that this stands in for while it is down.
        reached: Revision of the store of the newest list that was taken over.
        known: Last list of each instance, by name: birth of the instance and
            number of the last change in the list.
    """

    def __init__(
        self,
        node: state.State,
        peers: transport.PeerTransport,
        spawn: Spawn,
        others_kept_store: Callable[[], bool],
    ) -> None:
        """Creates both sides.

        Args:
            node: Shared state.
            peers: Connections to other instances.
            spawn: Runs work in the background.
            others_kept_store: Returns whether an entry that others miss has
                not merely lapsed in an outage.
        """
        self.node = node
        self.transport = peers
        self.spawn = spawn
        self.others_kept_store = others_kept_store
        self.upstream_watch: watches.KindWatch | None = None
        self.reached = 0
        self.known: dict[str, tuple[int, int]] = {}
        self.asked_at = 0.0
        self.pulling = False

    def open(self) -> None:
        """Starts to answer other instances."""
        self.transport.register(heartbeats.RulesPull, self._on_rules_pull)
        self.transport.register(heartbeats.UpstreamsPull, self._on_pull)

    def on_heartbeat(self, heartbeat: heartbeats.Heartbeat) -> None:
        """Asks the sender for what it knows and this instance does not."""
        in_force = self.node.rules
        version = in_force.version if in_force else 0
        if heartbeat.rules_version > version and not self.pulling:
            self.pulling = True
            self.spawn(self._pull_rules(heartbeat.sender.peers, version))
        watch = self.upstream_watch
        if watch is None:
            return
        if watch.up:
            self.known.clear()
        now = time.monotonic()
        if catchup.should_ask(
            catchup.Reach(watch.up, bool(self._reached(watch))),
            catchup.Reach(
                heartbeat.store_up, bool(heartbeat.upstreams_revision)
            ),
            now - self.asked_at,
            UPSTREAMS_EVERY_S,
        ):
            self.asked_at = now
            self.spawn(self._pull_upstreams(heartbeat.sender, watch))

    async def _pull_rules(self, address: str, known: int) -> None:
        try:
            reply = await self.transport.exchange(
                address, heartbeats.RulesPull(known), PULL_TIMEOUT_S
            )
            if reply.version <= known:
                return
            raw = zlib.decompressobj().decompress(reply.spec, RULES_LIMIT_BYTES)
            spec = msgspec.json.decode(raw)
            self.node.apply_rules(documents.rules_from(spec), spec, "peer")
        except (
            transport.PeerError,
            documents.FormatError,
            msgspec.MsgspecError,
            zlib.error,
        ) as error:
            _log.warning("configuration_pull_failed", error=str(error))
        finally:
            self.pulling = False

    def _on_rules_pull(
        self, pull: heartbeats.RulesPull
    ) -> heartbeats.RulesReply:
        in_force = self.node.rules
        if in_force is None or in_force.version <= pull.known:
            return heartbeats.RulesReply(0, b"")
        raw = msgspec.json.encode(self.node.rules_spec)
        return heartbeats.RulesReply(in_force.version, zlib.compress(raw))

    async def _pull_upstreams(
        self, sender: heartbeats.Contact, watch: watches.KindWatch
    ) -> None:
        """Takes over the list of another instance unless it is older."""
        born_ms, generation = self.known.get(sender.name, (0, 0))
        if born_ms != sender.born_ms:
            generation = 0
        entries: list[upstreams.Upstream] = []
        try:
            page = await self._page(sender, generation, "")
            if page.generation == generation:
                return
            entries.extend(page.entries)
            first = page
            while page.more:
                page = await self._page(sender, 0, entries[-1].name)
                if page.generation != first.generation:
                    return  # changed meanwhile; the next heartbeat asks again
                entries.extend(page.entries)
        except transport.PeerError as error:
            _log.info(
                "upstreams_pull_failed", peer=sender.name, error=str(error)
            )
            return
        if watch.up or first.reached < self._reached(watch):
            return
        self.reached = first.reached
        self.known[sender.name] = (sender.born_ms, first.generation)
        watch.supersede(first.reached)
        rejoin_until = None
        if not self.others_kept_store():
            rejoin_until = time.monotonic() + watches.REJOIN_S
        self.node.registry.replace(entries, rejoin_until)
        for service, plan in first.plans.items():
            self.node.apply_plan(service, plan)
        _log.info(
            "upstreams_from_peer",
            peer=sender.name,
            upstreams=len(entries),
            revision=first.reached,
        )

    async def _page(
        self, sender: heartbeats.Contact, known: int, after: str
    ) -> heartbeats.UpstreamsPage:
        return await self.transport.exchange(
            sender.peers, heartbeats.UpstreamsPull(known, after), PULL_TIMEOUT_S
        )

    def _on_pull(
        self, pull: heartbeats.UpstreamsPull
    ) -> heartbeats.UpstreamsPage:
        registry = self.node.registry
        watch = self.upstream_watch
        reached = self._reached(watch) if watch else 0
        if pull.known == registry.entries_generation:
            return heartbeats.UpstreamsPage(reached, pull.known)
        left = sorted(n for n in registry.known if n > pull.after)
        names = left[:PAGE_ENTRIES]
        return heartbeats.UpstreamsPage(
            reached,
            registry.entries_generation,
            tuple(registry.known[n] for n in names),
            len(left) > len(names),
            {} if pull.after else dict(self.node.plans),
        )

    def _reached(self, watch: watches.KindWatch) -> int:
        """Returns the revision up to which upstreams are known; 0 for none."""
        own = watch.cursor if watch.listed_at is not None else 0
        return max(own, self.reached)
