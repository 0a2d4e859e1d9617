"""Other instances: who they are, what they carry and what they know."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING
from typing import Any

import structlog

from yuccatally.core.forwarding import dispatch
from yuccatally.core.forwarding import members
from yuccatally.core.forwarding import suspicions
from yuccatally.forwarding import catchup
from yuccatally.forwarding import news
from yuccatally.forwarding import watches
from yuccatally.peers import heartbeats
from yuccatally.peers import transport

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from yuccatally.core.forwarding import upstreams
    from yuccatally.forwarding import state

# Load crosses two relays, so that it is known everywhere within three periods:
# some fifteen requests of today's sites, a quarter of what a path takes.
PERIOD_S = 0.15
# Relays exchange with this many other relays a period; with three data centres
# that is all of them.
RELAY_FANOUT = 4
# An exchange with any instance, which joins views that have come apart.
GOSSIP_S = 1.0
# Ten times what an exchange between data centres takes on a loaded instance.
EXCHANGE_TIMEOUT_S = 0.5
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
        member_table: What is known of the other instances.
        seen_at: Time at which each was last live.
        known_by: Digest of this instance's list that each has.
        relay: Instance that relays for this one; None if it does so itself.
        suspicions: Engines that requests found at fault, here or elsewhere.
        news: What the holder of the lease says.
    """

    def __init__(self, node: state.State) -> None:
        self.node = node
        self.transport = transport.PeerTransport(node.settings.listen.peers)
        self.born_ms = int(time.time() * 1e3)
        self.member_table = members.MemberTable(
            node.settings.name, node.settings.data_centre
        )
        self.seen_at: dict[str, float] = {}
        self.known_by: dict[str, int] = {}
        self.relay: str | None = None
        self.suspicions = suspicions.SuspicionTable()
        self.news = news.News(node)
        # Called with the name of an instance that is taken for gone.
        self.on_forgotten: Callable[[str], None] = lambda name: None
        # Last time that an instance said that it has the store, and the first
        # one without a break since.
        self.peer_up_at = self.peer_up_since = float("-inf")
        self.checked_at = 0.0
        self.gossiped_at = 0.0
        # Called when another instance has lost the store and this one has not.
        self.on_peer_lost_store: Callable[[], None] = lambda: None
        # Called each period with whether a relay tells this instance of all
        # upstreams.
        self.on_relayed: Callable[[bool], None] = lambda relayed: None
        self.upstream_watch: watches.KindWatch | None = None
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
    def me(self) -> members.Contact:
        """This instance."""
        settings = self.node.settings
        return members.Contact(
            name=settings.name,
            born_ms=self.born_ms,
            data_centre=settings.data_centre,
            region=settings.region,
            callers=settings.listen.callers,
            peers=settings.listen.peers,
            leaving=self.node.leaving,
        )

    @property
    def own(self) -> members.Member:
        """This instance as the others see it."""
        return members.Member(self.me, self.node.watch_up)

    def live(self) -> list[members.Member]:
        """Returns the other instances that are live."""
        return list(self.member_table.live_members(time.monotonic()).values())

    def directory(self, data_centre: str, region: str) -> list[str]:
        """Returns caller addresses that take new connections, nearest only.

        Args:
            data_centre: Where the caller stands.
            region: Region of the caller.
        """
        everyone = (self.me, *(m.contact for m in self.live()))
        serving = [c for c in everyone if not c.leaving]
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
            now - self.peer_up_at < members.LIVENESS_TIMEOUT_S
            and now - self.peer_up_since >= watches.REJOIN_S
        )

    def doubt(self, engine: upstreams.Upstream) -> None:
        """Notes an engine that a request found at fault."""
        self._note(suspicions.Kind.SILENT, engine)

    def note_refusal(self, engine: upstreams.Upstream) -> None:
        """Notes an engine that a request was refused for."""
        self._note(suspicions.Kind.REFUSING, engine)

    @property
    def doubts(self) -> set[suspicions.Incarnation]:
        """Engines that requests found at fault."""
        return self.suspicions.suspected(
            suspicions.Kind.SILENT, time.monotonic()
        )

    @property
    def refusers(self) -> set[suspicions.Incarnation]:
        """Engines that requests were refused for."""
        return self.suspicions.suspected(
            suspicions.Kind.REFUSING, time.monotonic()
        )

    def any_reaches_store(self) -> bool:
        """Returns whether this or another live instance has the store."""
        return self.node.watch_up or any(m.store_connected for m in self.live())

    async def run(self) -> None:
        """Exchanges heartbeats until cancelled."""
        while True:
            now = time.monotonic()
            self._forget(now)
            self._choose_relay(now)
            for name in self._partners(now):
                address = self.member_table.contacts[name].peers
                self.spawn(self._exchange(address, name))
            if not self.member_table.live_members(now):
                for address in self.node.settings.seeds:
                    if address != self.node.settings.listen.peers:
                        self.spawn(self._exchange(address))
            await asyncio.sleep(PERIOD_S * self.node.rng.uniform(0.8, 1.2))

    async def announce(self) -> None:
        """Tells the relays at once, for example of leaving."""
        now = time.monotonic()
        names = {
            *self.member_table.other_relays(self.own, now),
            *self._partners(now),
        }
        contacts = [
            self.member_table.contacts[n]
            for n in names
            if n in self.member_table.contacts
        ]
        await asyncio.gather(
            *(self._exchange(c.peers, c.name) for c in contacts)
        )

    def _choose_relay(self, now: float) -> None:
        chosen = self.member_table.choose_relay(self.own, now)
        if chosen != self.relay:
            _log.info("relay_chosen", relay=chosen or self.node.settings.name)
            self.relay = chosen
            self.node.dispatcher.retain_instances(self.member_table.followers)
        self.on_relayed(self._relay_knows(now))

    def _relay_knows(self, now: float) -> bool:
        """Returns whether a relay tells this instance of all upstreams."""
        if self.relay is None or self.relay not in self.member_table.direct:
            return False
        heard_at, member = self.member_table.direct[self.relay]
        return (
            now - heard_at < members.LIVENESS_TIMEOUT_S
            and member.store_connected
        )

    def _partners(self, now: float) -> list[str]:
        """Returns the instances to exchange with in this period."""
        found: set[str] = set()
        if self.relay is not None:
            found.add(self.relay)
        if self.relay is None or self.member_table.followers:
            others = self.member_table.other_relays(self.own, now)
            count = min(RELAY_FANOUT, len(others))
            found.update(self.node.rng.sample(others, count))
        if now - self.gossiped_at >= GOSSIP_S and self.member_table.contacts:
            self.gossiped_at = now
            found.add(self.node.rng.choice(list(self.member_table.contacts)))
        return [name for name in found if name in self.member_table.contacts]

    async def _exchange(self, address: str, name: str = "") -> None:
        try:
            reply = await self.transport.exchange(
                address, self._heartbeat(name), EXCHANGE_TIMEOUT_S
            )
        except transport.PeerError as error:
            if name and name == self.relay:
                _log.info("relay_silent", relay=name, error=str(error))
            # Of any other instance, lasting silence is logged as its loss.
            self.member_table.record_no_answer(name, time.monotonic())
            return
        self._take(reply)

    def _heartbeat(self, receiver: str) -> heartbeats.Heartbeat:
        """Returns a message for an instance; its name is empty if unknown."""
        now = time.monotonic()
        in_force = self.node.rules
        dispatcher = self.node.dispatcher
        follows = receiver == self.relay
        is_follower = receiver in self.member_table.followers and not follows
        if is_follower:
            listed = self.member_table.all_members(self.own, now, receiver)
        else:
            listed = self.member_table.relayed_members(self.own, now)
        digest = members.digest(listed)
        repeated = self.known_by.get(receiver) == digest
        return heartbeats.Heartbeat(
            sender=self.me,
            rules_version=in_force.version if in_force else 0,
            store_connected=self.node.watch_up,
            upstreams_revision=(
                self.upstream_watch.newest if self.upstream_watch else 0
            ),
            list_generation=self.node.list_generation,
            follows_receiver=follows,
            is_relay=self.relay is None,
            outstanding=_told(
                dispatcher.work_of(self.member_table.followers, now)
            ),
            outstanding_elsewhere=(
                _told(dispatcher.work_without(receiver, now))
                if is_follower
                else None
            ),
            members_digest=digest,
            member_list=None if repeated else listed,
            receiver_digest=self.member_table.reported_digest(receiver),
            engine_suspicions=self.suspicions.current(now),
            leader_state=self.news.current(now),
        )

    def _on_heartbeat(
        self, heartbeat: heartbeats.Heartbeat
    ) -> heartbeats.Heartbeat:
        self._take(heartbeat)
        return self._heartbeat(heartbeat.sender.name)

    def _take(self, heartbeat: heartbeats.Heartbeat) -> None:
        now = time.monotonic()
        name = heartbeat.sender.name
        if name == self.node.settings.name:
            return
        self._learn_all(heartbeat)
        member = members.Member(heartbeat.sender, heartbeat.store_connected)
        self.member_table.record_message(
            member, heartbeat.follows_receiver, now
        )
        self.member_table.apply_list(
            name, heartbeat.members_digest, heartbeat.member_list, now
        )
        self.known_by[name] = heartbeat.receiver_digest
        self._take_store(heartbeat, now)
        self._take_loads(heartbeat, now)
        self.suspicions.merge(heartbeat.engine_suspicions, now)
        self.news.take(heartbeat.leader_state)
        self._compare_rules(heartbeat, now)
        # The lists of other followers are as old as their last question.
        has_lists = name == self.relay or not self._relay_knows(now)
        self.catchup.on_heartbeat(heartbeat, has_lists)
        self.node.instances = 1 + len(self.member_table.contacts)

    def _take_store(self, heartbeat: heartbeats.Heartbeat, now: float) -> None:
        """Takes in what the sender sees of the store."""
        if heartbeat.store_connected:
            if now - self.peer_up_at > members.LIVENESS_TIMEOUT_S:
                self.peer_up_since = now
            self.peer_up_at = now
        elif self.node.watch_up and now - self.checked_at > CHECK_STORE_S:
            # An idle watch does not show that the store has fallen silent.
            self.checked_at = now
            self.on_peer_lost_store()
        if self.upstream_watch is not None:
            self.upstream_watch.on_peer(heartbeat.upstreams_revision)

    def _take_loads(self, heartbeat: heartbeats.Heartbeat, now: float) -> None:
        """Takes in load, each instance's from one sender only."""
        name = heartbeat.sender.name
        told: dict[str, heartbeats.OutstandingWork] | None = None
        if name == self.relay:
            told = heartbeat.outstanding_elsewhere
        elif heartbeat.follows_receiver or (
            self.relay is None and heartbeat.is_relay
        ):
            told = heartbeat.outstanding
        if told is not None:
            loads = {
                n: dispatch.OutstandingWork(v.requests, v.tokens)
                for n, v in told.items()
            }
            self.node.dispatcher.apply_remote_work(name, loads, now)

    def _compare_rules(
        self, heartbeat: heartbeats.Heartbeat, now: float
    ) -> None:
        in_force = self.node.rules
        version = in_force.version if in_force else 0
        if heartbeat.store_connected and heartbeat.rules_version <= version:
            self.node.confirmed_at = now

    def _learn_all(self, heartbeat: heartbeats.Heartbeat) -> None:
        self.learn(heartbeat.sender)
        for member in heartbeat.member_list or ():
            self.learn(member.contact)

    def learn(self, contact: members.Contact) -> None:
        """Takes in how an instance is reached."""
        now = time.monotonic()
        if self.member_table.apply_contact(contact, now):
            self.seen_at[contact.name] = now
            _log.info("instance_known", name=contact.name, peers=contact.peers)

    def _forget(self, now: float) -> None:
        """Drops instances that have been silent for long, and old findings."""
        live = self.member_table.live_members(now)
        self.seen_at.update(dict.fromkeys(live, now))
        for name, seen_at in list(self.seen_at.items()):
            if now - seen_at > FORGET_S:
                del self.seen_at[name]
                self.known_by.pop(name, None)
                self.member_table.remove(name)
                self.node.dispatcher.remove_instance(name)
                self.on_forgotten(name)
        self.member_table.expire(now)
        self.news.expire(now)
        self.suspicions.expire(now)
        self._log_live(set(live))

    def _log_live(self, live: set[str]) -> None:
        """Logs instances that were lost or heard of again."""
        for name in sorted(self.logged_live - live):
            _log.warning("instance_lost", name=name)
        for name in sorted(live - self.logged_live):
            _log.info("instance_reached", name=name)
        self.logged_live = live

    def _note(self, kind: suspicions.Kind, engine: upstreams.Upstream) -> None:
        key = suspicions.Incarnation(engine.name, engine.born_ms)
        self.suspicions.record(kind, key, time.monotonic())

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs work in the background."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._on_work_end)

    def _on_work_end(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error("background_failed", exc_info=task.exception())


def _told(
    loads: dict[str, dispatch.OutstandingWork],
) -> dict[str, heartbeats.OutstandingWork]:
    return {
        n: heartbeats.OutstandingWork(v.requests, round(v.tokens))
        for n, v in loads.items()
    }
