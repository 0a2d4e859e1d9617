"""Other instances: who they are, what they carry and what they know."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import TYPE_CHECKING
from typing import Any

import structlog

from yuccatally.core.forwarding import dispatch
from yuccatally.core.forwarding import upstreams
from yuccatally.forwarding import catchup
from yuccatally.forwarding import watches
from yuccatally.peers import heartbeats
from yuccatally.peers import transport

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from yuccatally.core.forwarding import pipelines
    from yuccatally.forwarding import state

# With eight instances each pair meets every 0.3 s, so that load is known before
# it has grown by a tenth of what a path holds.
PERIOD_S = 0.25
FANOUT = 3
# Ten times what an exchange between data centres takes on a loaded instance.
EXCHANGE_TIMEOUT_S = 0.5
# An instance that was not heard of for this long is taken for gone: five times
# the usual time between two exchanges of a pair.
LIVE_S = 1.5
# A finding counts for this long unless requests make it again; control asks an
# engine in doubt within this time.
FINDING_S = 1.5
# Entries of instances that were silent for this long are deleted; a restart
# takes a few seconds.
FORGET_S = 20.0
# The store is looked at this often while another instance has lost it. Each
# look is a call of every instance.
CHECK_STORE_S = 3.0

_log = structlog.get_logger()


class Fleet:
    """Exchanges heartbeats with the other instances.

    Attributes:
        contacts: Known instances by name, without this one.
        heard_at: Time at which each was last heard of.
        own: Engines that requests of this instance found at fault.
        heard: The same of other instances.
        unsaved_plans: Plans of this instance that are not in the store.
        store_up: Whether the store's watch is up, by instance.
    """

    def __init__(self, node: state.State) -> None:
        self.node = node
        self.transport = transport.PeerTransport(node.settings.listen.peers)
        self.born_ms = int(time.time() * 1e3)
        self.contacts: dict[str, heartbeats.Contact] = {}
        self.heard_at: dict[str, float] = {}
        self.store_up: dict[str, bool] = {}
        self.own = _Findings()
        # Kept apart, since findings that are passed on would never end.
        self.heard = _Findings()
        self.unsaved_plans: dict[str, pipelines.Plan] = {}
        # Called with the name of an instance that is taken for gone.
        self.on_forgotten: Callable[[str], None] = lambda name: None
        # Last time that an instance said that it has the store, and the first
        # one without a break since.
        self.peer_up_at = self.peer_up_since = float("-inf")
        self.checked_at = 0.0
        # Called when another instance has lost the store and this one has not.
        self.on_peer_lost_store: Callable[[], None] = lambda: None
        self.upstream_watch: watches.KindWatch | None = None
        self.leads = False
        self.lost: dict[heartbeats.Engine, float] = {}
        self.catchup = catchup.CatchUp(
            node, self.transport, self.spawn, self.others_kept_store
        )
        self.logged_live: set[str] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    def open(self) -> None:
        """Starts to answer other instances."""
        self.transport.register(heartbeats.Heartbeat, self._on_heartbeat)
        self.catchup.open()
        self.transport.open()

    async def close(self) -> None:
        """Closes all sockets."""
        await self.transport.close()

    @property
    def me(self) -> heartbeats.Contact:
        """This instance."""
        settings = self.node.settings
        return heartbeats.Contact(
            name=settings.name,
            born_ms=self.born_ms,
            data_centre=settings.data_centre,
            region=settings.region,
            callers=settings.listen.callers,
            peers=settings.listen.peers,
            leaving=self.node.leaving,
        )

    def live(self) -> list[heartbeats.Contact]:
        """Returns instances that were heard of a short time ago."""
        now = time.monotonic()
        return [
            c
            for n, c in self.contacts.items()
            if now - self.heard_at.get(n, -LIVE_S) < LIVE_S
        ]

    def directory(self, data_centre: str, region: str) -> list[str]:
        """Returns caller addresses that take new connections, nearest only.

        Args:
            data_centre: Where the caller stands.
            region: Region of the caller.
        """
        serving = [c for c in (self.me, *self.live()) if not c.leaving]
        for near in (
            [c for c in serving if c.data_centre == data_centre],
            [c for c in serving if c.region == region],
        ):
            # One address would leave callers nothing when it fails.
            if len(near) >= 2:
                return [c.callers for c in near]
        return [c.callers for c in serving]

    def others_kept_store(self) -> bool:
        """Returns whether others have had the store for the time to rejoin.

        Upstreams have had it as well then, so that an entry that is missing
        has not merely lapsed in an outage.
        """
        now = time.monotonic()
        return (
            now - self.peer_up_at < LIVE_S
            and now - self.peer_up_since >= watches.REJOIN_S
        )

    def doubt(self, engine: upstreams.Upstream) -> None:
        """Notes an engine that a request found at fault."""
        key = heartbeats.Engine(engine.name, engine.born_ms)
        self.own.doubts[key] = time.monotonic()

    def note_refusal(self, engine: upstreams.Upstream) -> None:
        """Notes an engine that a request was refused for."""
        key = heartbeats.Engine(engine.name, engine.born_ms)
        self.own.refusers[key] = time.monotonic()

    @property
    def doubts(self) -> set[heartbeats.Engine]:
        """Engines that requests found at fault."""
        return {*self.own.doubts, *self.heard.doubts}

    @property
    def refusers(self) -> set[heartbeats.Engine]:
        """Engines that requests were refused for."""
        return {*self.own.refusers, *self.heard.refusers}

    def any_reaches_store(self) -> bool:
        """Returns whether this or another live instance has the store."""
        if self.node.watch_up:
            return True
        return any(self.store_up.get(c.name) for c in self.live())

    async def run(self) -> None:
        """Exchanges heartbeats until cancelled."""
        while True:
            self._forget()
            others = list(self.contacts.values())
            chosen = self.node.rng.sample(others, min(FANOUT, len(others)))
            addresses = [c.peers for c in chosen]
            if len(self.live()) == 0:
                addresses.extend(
                    a
                    for a in self.node.settings.seeds
                    if a != self.node.settings.listen.peers
                )
            for address in set(addresses):
                self.spawn(self._exchange(address))
            await asyncio.sleep(PERIOD_S * self.node.rng.uniform(0.8, 1.2))

    async def announce(self) -> None:
        """Tells every known instance at once, for example of leaving."""
        addresses = [c.peers for c in self.contacts.values()]
        await asyncio.gather(*(self._exchange(a) for a in addresses))

    async def _exchange(self, address: str) -> None:
        try:
            reply = await self.transport.exchange(
                address, self._heartbeat(), EXCHANGE_TIMEOUT_S
            )
        except transport.PeerError:
            return  # silence shows in ``heard_at``
        self._take(reply)

    def _heartbeat(self) -> heartbeats.Heartbeat:
        own = self.node.dispatcher.own
        in_force = self.node.rules
        held: tuple[heartbeats.Held, ...] = ()
        if self.leads:
            held = tuple(
                heartbeats.Held(name, born_ms, layers.first, layers.last)
                for (name, born_ms), layers in self.node.held.items()
                if self.node.registry.usable(name, born_ms) is not None
            )
        return heartbeats.Heartbeat(
            sender=self.me,
            rules_version=in_force.version if in_force else 0,
            store_up=self.node.watch_up,
            upstreams_revision=(
                self.upstream_watch.newest if self.upstream_watch else 0
            ),
            loads={
                n: heartbeats.Load(v.requests, v.tokens) for n, v in own.items()
            },
            doubts=tuple(self.own.doubts),
            leads=self.leads,
            lost=tuple(self.lost) if self.leads else (),
            held=held,
            plans=dict(self.unsaved_plans) if self.leads else {},
            refusers=tuple(self.own.refusers),
            others=tuple(self.live()),
        )

    def _on_heartbeat(
        self, heartbeat: heartbeats.Heartbeat
    ) -> heartbeats.Heartbeat:
        self._take(heartbeat)
        return self._heartbeat()

    def _take(self, heartbeat: heartbeats.Heartbeat) -> None:
        now = time.monotonic()
        name = heartbeat.sender.name
        if name == self.node.settings.name:
            return
        self.learn(heartbeat.sender)
        self.heard_at[name] = now
        self.store_up[name] = heartbeat.store_up
        if heartbeat.store_up:
            if now - self.peer_up_at > LIVE_S:
                self.peer_up_since = now
            self.peer_up_at = now
        elif self.node.watch_up and now - self.checked_at > CHECK_STORE_S:
            # An idle watch does not show that the store has fallen silent.
            self.checked_at = now
            self.on_peer_lost_store()
        if self.upstream_watch is not None:
            self.upstream_watch.on_peer(heartbeat.upstreams_revision)
        loads = {
            n: dispatch.Load(v.requests, v.tokens)
            for n, v in heartbeat.loads.items()
        }
        self.node.dispatcher.on_remote(name, loads, now)
        for contact in heartbeat.others:
            if contact.name != self.node.settings.name:
                self.learn(contact)
        for engine in heartbeat.doubts:
            self.heard.doubts[engine] = now
        for engine in heartbeat.refusers:
            self.heard.refusers[engine] = now
        if heartbeat.leads:
            self._take_lead(heartbeat)
        self._compare_rules(heartbeat, now)
        self.catchup.on_heartbeat(heartbeat)
        self.node.instances = 1 + len(self.contacts)

    def _take_lead(self, heartbeat: heartbeats.Heartbeat) -> None:
        for service, plan in heartbeat.plans.items():
            self.node.apply_plan(service, plan)
        until = time.monotonic() + LIVE_S
        for engine in heartbeat.lost:
            # The next holder of the lease must not plan with them either.
            self.lost[engine] = max(until, self.lost.get(engine, 0.0))
            known = self.node.registry.incarnation(engine.name, engine.born_ms)
            if known is not None:
                self.node.avoid(known, LIVE_S, "reported by control")
        for held in heartbeat.held:
            layers = upstreams.Layers(held.first, held.last)
            self.node.set_held((held.name, held.born_ms), layers)

    def _compare_rules(
        self, heartbeat: heartbeats.Heartbeat, now: float
    ) -> None:
        in_force = self.node.rules
        version = in_force.version if in_force else 0
        if heartbeat.store_up and heartbeat.rules_version <= version:
            self.node.confirmed_at = now

    def learn(self, contact: heartbeats.Contact) -> None:
        """Takes in how an instance is reached."""
        known = self.contacts.get(contact.name)
        if known is not None and known.born_ms > contact.born_ms:
            return
        if known is not None and known.born_ms == contact.born_ms:
            # Leaving is never taken back by the same process.
            if known.leaving and not contact.leaving:
                return
        elif known is None:
            self.heard_at.setdefault(contact.name, time.monotonic() - LIVE_S)
            _log.info("instance_known", name=contact.name, peers=contact.peers)
        self.contacts[contact.name] = contact

    def _forget(self) -> None:
        now = time.monotonic()
        for name, heard_at in list(self.heard_at.items()):
            if now - heard_at > FORGET_S:
                self.contacts.pop(name, None)
                self.heard_at.pop(name, None)
                self.store_up.pop(name, None)
                self.node.dispatcher.forget(name)
                self.on_forgotten(name)
        self.lost = {e: t for e, t in self.lost.items() if t > now}
        self.own.expire(now)
        self.heard.expire(now)
        self._log_live()

    def _log_live(self) -> None:
        """Logs instances that were lost or heard of again."""
        live = {c.name for c in self.live()}
        for name in sorted(self.logged_live - live):
            _log.warning("instance_lost", name=name)
        for name in sorted(live - self.logged_live):
            _log.info("instance_reached", name=name)
        self.logged_live = live

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs work in the background."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._on_work_end)

    def _on_work_end(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error("background_failed", exc_info=task.exception())


@dataclasses.dataclass
class _Findings:
    """Engines with the time at which they were found."""

    doubts: dict[heartbeats.Engine, float] = dataclasses.field(
        default_factory=dict
    )
    refusers: dict[heartbeats.Engine, float] = dataclasses.field(
        default_factory=dict
    )

    def expire(self, now: float) -> None:
        for found in (self.doubts, self.refusers):
            for engine, noted_at in list(found.items()):
                if now - noted_at >= FINDING_S:
                    del found[engine]
