"""Membership and exchange of state with the other instances."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING
from typing import Any

import structlog

from yuccatally.core.forwarding import dispatch
from yuccatally.core.forwarding import members
from yuccatally.core.forwarding import suspicions
from yuccatally.forwarding import crash_reports
from yuccatally.forwarding import leader_state
from yuccatally.forwarding import peer_sync
from yuccatally.forwarding import rate_limiting
from yuccatally.forwarding import room_sharing
from yuccatally.forwarding import watches
from yuccatally.peers import heartbeats
from yuccatally.peers import transport

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    from collections.abc import Iterable

    from yuccatally.core.forwarding import upstreams
    from yuccatally.forwarding import state

# Outstanding work passes two relays, so all instances have it within three
# intervals. About fifteen requests arrive in that time in today's deployments,
# a quarter of the capacity of a path.
HEARTBEAT_INTERVAL_S = 0.15
# Number of other relays that a relay exchanges with in each interval; with
# three data centres that is all of them.
RELAY_FANOUT_COUNT = 4
# Interval of exchanges with a random instance, which merge member tables that
# have diverged.
GOSSIP_INTERVAL_S = 1.0
# Ten times the duration of an exchange between data centres on a loaded
# instance.
EXCHANGE_TIMEOUT_S = 0.5
# Entries of instances that did not respond for this long are deleted; a restart
# takes a few seconds.
REMOVE_AFTER_S = 20.0
# Statements of leaving engines are passed on for this long after they were
# received, twice the time after which a silent relay is replaced.
LEAVING_TTL_S = 3.0
# Minimum interval between checks of the store while another instance does not
# reach it. Every instance makes a call for each check.
STORE_CHECK_INTERVAL_S = 3.0

_log = structlog.get_logger()


class Fleet:
    """Exchanges heartbeats with the other instances.

    Attributes:
        member_table: Members that this instance has received.
        last_live_at: Time at which each other instance was last live.
        acknowledged_digests: Digest of this instance's list that each other
            instance has.
        relay: Instance that relays for this one; None if this one is a relay.
        suspicions: Engines that requests found at fault, on any instance.
        leader_state: Latest state that the leader published.
        on_removed: Called with the name of an instance that was removed.
        peer_store_at: Time at which another instance last reported that it
            reaches the store.
        peer_store_since: Time of the first such report without a gap since.
        on_peer_store_loss: Called when another instance does not reach the
            store and this one does.
        store_epoch: Latest epoch of the store, from the store or a peer.
        on_store_epoch: Called with an epoch of which a peer is the first to
            tell.
        on_relay_status: Called in each interval with whether a relay provides
            this instance with all upstreams.
        rate_limiter: Reserves turns at upstreams that limit their rate.
        rooms: Asks for room on paths, and keeps the account of some.
        logged_live_names: Names of the instances last logged as live.
        crash_reports: Evidence on requests that crash engines.
    """

    def __init__(self, instance_state: state.InstanceState) -> None:
        self.state = instance_state
        self.transport = transport.PeerTransport(
            instance_state.settings.listen.peers
        )
        self.born_ms = int(time.time() * 1e3)
        self.member_table = members.MemberTable(
            instance_state.settings.name, instance_state.settings.data_centre
        )
        self.last_live_at: dict[str, float] = {}
        self.acknowledged_digests: dict[str, int] = {}
        self.relay: str | None = None
        self.suspicions = suspicions.SuspicionTable()
        self.leader_state = leader_state.LeaderStateTracker(instance_state)
        self.crash_reports = crash_reports.CrashReports(
            instance_state,
            self.leader_state,
            self.spawn,
            lambda: self._notify(self.member_table.followers),
        )
        self.on_removed: Callable[[str], None] = lambda name: None
        self.peer_store_at = self.peer_store_since = float("-inf")
        self.store_checked_at = 0.0
        self.last_gossip_at = 0.0
        self.on_peer_store_loss: Callable[[], None] = lambda: None
        self.store_epoch = 0
        self.on_store_epoch: Callable[[int], None] = lambda epoch: None
        self.on_relay_status: Callable[[bool], None] = lambda has_relay: None
        self.configuration_watch: watches.KindWatch | None = None
        self.upstream_watch: watches.KindWatch | None = None
        self.plans_watch: watches.KindWatch | None = None
        self.peer_sync = peer_sync.PeerSync(
            instance_state, self.transport, self.spawn, self.peers_kept_store
        )
        self.rooms = room_sharing.RoomSharing(
            instance_state, self.transport, self.born_ms
        )
        self.rate_limiter = rate_limiting.RateLimiter(
            instance_state, self.transport, self.rooms
        )
        self.logged_live_names: set[str] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    def open(self) -> None:
        """Starts to serve requests of other instances."""
        self.transport.register(heartbeats.Heartbeat, self._answer_heartbeat)
        self.peer_sync.open()
        self.rate_limiter.open()
        self.rooms.open()
        self.transport.open()

    async def close(self) -> None:
        """Closes all sockets."""
        await self.transport.close()

    @property
    def own_contact(self) -> members.Contact:
        """Contact of this instance."""
        settings = self.state.settings
        return members.Contact(
            name=settings.name,
            born_ms=self.born_ms,
            data_centre=settings.data_centre,
            region=settings.region,
            callers=settings.listen.callers,
            peers=settings.listen.peers,
            leaving=self.state.leaving,
            link_mbps=settings.link_mbps if settings.shares_load else 0.0,
        )

    @property
    def own_member(self) -> members.Member:
        """This instance as a member."""
        return members.Member(self.own_contact, self.state.store_connected)

    def live_peers(self) -> list[members.Member]:
        """Returns the live instances except this one."""
        return list(self.member_table.live_members(time.monotonic()).values())

    def caller_addresses(self, data_centre: str, region: str) -> list[str]:
        """Returns caller addresses of the nearest instances that do not leave.

        Args:
            data_centre: Data centre of the caller.
            region: Region of the caller.
        """
        contacts = (self.own_contact, *(m.contact for m in self.live_peers()))
        serving = [c for c in contacts if not c.leaving]
        for nearest in (
            [c for c in serving if c.data_centre == data_centre],
            [c for c in serving if c.region == region],
        ):
            # With a single address, callers would have no alternative when
            # that instance fails.
            if len(nearest) >= 2:
                return [c.callers for c in nearest]
        return [c.callers for c in serving]

    def peers_kept_store(self) -> bool:
        """Returns whether peers reached the store for the whole rejoin period.

        Upstreams reached it as well then, so a missing entry was removed and
        did not just expire during an outage.
        """
        now = time.monotonic()
        return (
            now - self.peer_store_at < members.LIVENESS_TIMEOUT_S
            and now - self.peer_store_since >= watches.REJOIN_PERIOD_S
        )

    def is_leaving(self, name: str) -> bool:
        """Returns whether another instance is shutting down."""
        contact = self.member_table.contacts.get(name)
        return contact is not None and contact.leaving

    def record_restore(self) -> None:
        """Records that the store was restored and lacks entries for a while."""
        self.peer_store_since = time.monotonic()

    def suspect(self, engine: upstreams.Upstream) -> None:
        """Records an engine that may have caused a missing response."""
        self._record_suspicion(suspicions.Kind.SILENT, engine)

    def suspect_refusing(self, engine: upstreams.Upstream) -> None:
        """Records an engine that may have caused the refusal of a request."""
        self._record_suspicion(suspicions.Kind.REFUSING, engine)

    @property
    def suspected_silent(self) -> set[suspicions.Incarnation]:
        """Engines suspected because requests got no response."""
        return self.suspicions.suspected(
            suspicions.Kind.SILENT, time.monotonic()
        )

    @property
    def suspected_refusing(self) -> set[suspicions.Incarnation]:
        """Engines suspected because requests were refused."""
        return self.suspicions.suspected(
            suspicions.Kind.REFUSING, time.monotonic()
        )

    def is_store_reachable(self) -> bool:
        """Returns whether this or another live instance reaches the store."""
        return self.state.store_connected or any(
            m.store_connected for m in self.live_peers()
        )

    async def run(self) -> None:
        """Exchanges heartbeats until cancelled."""
        while True:
            now = time.monotonic()
            self._remove_silent(now)
            self.crash_reports.update(now)
            self._choose_relay(now)
            for name in self._exchange_partners(now):
                address = self.member_table.contacts[name].peers
                self.spawn(self._exchange(address, name))
            if not self.member_table.live_members(now):
                for address in self.state.settings.seeds:
                    if address != self.state.settings.listen.peers:
                        self.spawn(self._exchange(address))
            await asyncio.sleep(
                HEARTBEAT_INTERVAL_S * self.state.rng.uniform(0.8, 1.2)
            )

    async def notify_relays(self) -> None:
        """Sends a heartbeat to the relays at once, for example when leaving."""
        await self._notify(())

    async def _notify(self, names: Iterable[str]) -> None:
        """Sends a heartbeat to the relays and to some instances at once."""
        now = time.monotonic()
        recipient_names = {
            *names,
            *self.member_table.other_relays(self.own_member, now),
            *self._exchange_partners(now),
        }
        contacts = [
            self.member_table.contacts[n]
            for n in recipient_names
            if n in self.member_table.contacts
        ]
        await asyncio.gather(
            *(self._exchange(c.peers, c.name) for c in contacts)
        )

    def _choose_relay(self, now: float) -> None:
        new_relay = self.member_table.choose_relay(self.own_member, now)
        if new_relay != self.relay:
            _log.info(
                "relay_chosen", relay=new_relay or self.state.settings.name
            )
            self.relay = new_relay
            self.state.dispatcher.retain_instances(self.member_table.followers)
        self.on_relay_status(self._relay_has_store(now))

    def _relay_has_store(self, now: float) -> bool:
        """Returns whether a live relay with the store serves this instance."""
        if self.relay is None or self.relay not in self.member_table.direct:
            return False
        received_at, member = self.member_table.direct[self.relay]
        return (
            now - received_at < members.LIVENESS_TIMEOUT_S
            and member.store_connected
        )

    def _exchange_partners(self, now: float) -> list[str]:
        """Returns the instances to exchange with in this interval."""
        partners: set[str] = set()
        if self.relay is not None:
            partners.add(self.relay)
        if self.relay is None or self.member_table.followers:
            others = self.member_table.other_relays(self.own_member, now)
            count = min(RELAY_FANOUT_COUNT, len(others))
            partners.update(self.state.rng.sample(others, count))
        if (
            now - self.last_gossip_at >= GOSSIP_INTERVAL_S
            and self.member_table.contacts
        ):
            self.last_gossip_at = now
            partners.add(
                self.state.rng.choice(list(self.member_table.contacts))
            )
        return [name for name in partners if name in self.member_table.contacts]

    async def _exchange(self, address: str, name: str = "") -> None:
        try:
            reply = await self.transport.exchange(
                address, self._heartbeat(name), EXCHANGE_TIMEOUT_S
            )
        except transport.PeerError as error:
            if name and name == self.relay:
                _log.info("relay_unreachable", relay=name, error=str(error))
            # Other instances are logged once they are no longer live.
            self.member_table.record_no_answer(name, time.monotonic())
            return
        self._apply_heartbeat(reply)

    def _heartbeat(self, receiver: str) -> heartbeats.Heartbeat:
        """Returns a heartbeat for a receiver; its name is empty if unknown."""
        now = time.monotonic()
        current_rules = self.state.rules
        dispatcher = self.state.dispatcher
        follows_receiver = receiver == self.relay
        is_follower = (
            receiver in self.member_table.followers and not follows_receiver
        )
        listed = self.member_table.sent_list(
            self.own_member, now, receiver if is_follower else ""
        )
        repeated = self.acknowledged_digests.get(receiver) == listed.digest
        return heartbeats.Heartbeat(
            sender=self.own_contact,
            rules_version=current_rules.version if current_rules else 0,
            store_connected=self.state.store_connected,
            upstreams_revision=_newest_revision(self.upstream_watch),
            list_generation=self.state.list_generation,
            follows_receiver=follows_receiver,
            is_relay=self.relay is None,
            outstanding=_encode_work(
                dispatcher.work_of(self.member_table.followers, now)
            ),
            outstanding_elsewhere=(
                _encode_work(dispatcher.work_without(receiver, now))
                if is_follower
                else None
            ),
            members_digest=listed.digest,
            member_list=None if repeated else listed.members,
            receiver_digest=self.member_table.reported_digest(receiver),
            engine_suspicions=self.suspicions.current(now),
            leader_state=self.leader_state.current_for(receiver, now),
            receiver_born_ms=self.member_table.born_ms(receiver),
            leaving=tuple(
                suspicions.Incarnation(*key)
                for key in self.state.registry.announced_since(
                    now - LEAVING_TTL_S
                )
            ),
            prompts=self.state.quarantine.evidence(now),
            limits=self.state.limits.share(now),
            store_epoch=self.store_epoch,
            configuration_revision=_newest_revision(self.configuration_watch),
            plans_revision=_newest_revision(self.plans_watch),
            covered=_encode_work(
                dispatcher.covered_of(
                    self.rooms.covered_work(), self.member_table.followers, now
                )
            ),
            covered_elsewhere=(
                _encode_work(
                    dispatcher.covered_without(
                        self.rooms.covered_work(), receiver, now
                    )
                )
                if is_follower
                else None
            ),
            paces=dispatcher.paces.share(now) if dispatcher.paces else (),
        )

    def _answer_heartbeat(
        self, heartbeat: heartbeats.Heartbeat
    ) -> heartbeats.Heartbeat:
        self._apply_heartbeat(heartbeat)
        return self._heartbeat(heartbeat.sender.name)

    def _apply_heartbeat(self, heartbeat: heartbeats.Heartbeat) -> None:
        now = time.monotonic()
        name = heartbeat.sender.name
        if name == self.state.settings.name:
            return
        self._apply_contacts(heartbeat)
        if heartbeat.receiver_born_ms > self.born_ms:
            # The time of day stepped back before this process started. Others
            # would keep the contact of the process before.
            self.born_ms = heartbeat.receiver_born_ms + 1
            _log.warning("start_time_raised", born_ms=self.born_ms)
        member = members.Member(heartbeat.sender, heartbeat.store_connected)
        self.member_table.record_message(
            member, heartbeat.follows_receiver, now
        )
        self.member_table.apply_list(
            name, heartbeat.members_digest, heartbeat.member_list, now
        )
        self.acknowledged_digests[name] = heartbeat.receiver_digest
        if heartbeat.store_epoch > self.store_epoch:
            self.on_store_epoch(heartbeat.store_epoch)
        self._apply_store_state(heartbeat, now)
        self._apply_outstanding_work(heartbeat, now)
        self.suspicions.merge(heartbeat.engine_suspicions, now)
        for engine in heartbeat.leaving:
            self.state.announce_leaving(engine.name, engine.born_ms, name)
        for limit in heartbeat.limits:
            self.state.merge_limit(limit, name)
        self.leader_state.record_known(name, heartbeat.leader_state)
        if self.state.dispatcher.paces is not None:
            self.state.dispatcher.paces.merge(heartbeat.paces, now)
        self.leader_state.apply(heartbeat.leader_state)
        if heartbeat.prompts is not None:
            self.crash_reports.merge(heartbeat.prompts, name)
        self._compare_rules(heartbeat, now)
        # Lists of other followers are as old as their last exchange with the
        # relay.
        has_lists = name == self.relay or not self._relay_has_store(now)
        self.peer_sync.apply_heartbeat(heartbeat, has_lists)
        self.state.instance_count = 1 + len(self.member_table.contacts)

    def _apply_store_state(
        self, heartbeat: heartbeats.Heartbeat, now: float
    ) -> None:
        """Applies the sender's connection to the store and its revision."""
        if heartbeat.store_connected:
            if now - self.peer_store_at > members.LIVENESS_TIMEOUT_S:
                self.peer_store_since = now
            self.peer_store_at = now
        elif (
            self.state.store_connected
            and now - self.store_checked_at > STORE_CHECK_INTERVAL_S
        ):
            # An idle watch does not detect that the store stopped responding.
            self.store_checked_at = now
            self.on_peer_store_loss()
        for watch, revision in (
            (self.configuration_watch, heartbeat.configuration_revision),
            (self.upstream_watch, heartbeat.upstreams_revision),
            (self.plans_watch, heartbeat.plans_revision),
        ):
            if watch is not None:
                watch.compare_with_peer(revision)

    def _apply_outstanding_work(
        self, heartbeat: heartbeats.Heartbeat, now: float
    ) -> None:
        """Applies outstanding work; each instance's from one sender only."""
        name = heartbeat.sender.name
        reported: dict[str, heartbeats.OutstandingWork] | None = None
        covered: dict[str, heartbeats.OutstandingWork] = {}
        if name == self.relay:
            reported = heartbeat.outstanding_elsewhere
            covered = heartbeat.covered_elsewhere or {}
        elif heartbeat.follows_receiver or (
            self.relay is None and heartbeat.is_relay
        ):
            reported = heartbeat.outstanding
            covered = heartbeat.covered
        if reported is not None:
            invalid = self.state.dispatcher.apply_remote_work(
                name, reported, now, covered
            )
            for path in invalid:
                _log.warning("outstanding_work_ignored", sender=name, path=path)

    def _compare_rules(
        self, heartbeat: heartbeats.Heartbeat, now: float
    ) -> None:
        current_rules = self.state.rules
        version = current_rules.version if current_rules else 0
        if heartbeat.store_connected and heartbeat.rules_version <= version:
            self.state.confirmed_at = now

    def _apply_contacts(self, heartbeat: heartbeats.Heartbeat) -> None:
        self.apply_contact(heartbeat.sender)
        for member in heartbeat.member_list or ():
            self.apply_contact(member.contact)

    def apply_contact(self, contact: members.Contact) -> None:
        """Records or updates the contact of an instance."""
        now = time.monotonic()
        if self.member_table.apply_contact(contact, now):
            self.last_live_at[contact.name] = now
            _log.info(
                "instance_discovered", name=contact.name, peers=contact.peers
            )

    def _remove_silent(self, now: float) -> None:
        """Removes instances that are not live for long, and expired records."""
        live = self.member_table.live_members(now)
        self.last_live_at.update(dict.fromkeys(live, now))
        for name, last_live_at in list(self.last_live_at.items()):
            if now - last_live_at > REMOVE_AFTER_S:
                del self.last_live_at[name]
                self.acknowledged_digests.pop(name, None)
                self.leader_state.record_known(name, None)
                self.member_table.remove(name)
                self.state.dispatcher.remove_instance(name)
                self.on_removed(name)
        self.member_table.expire(now)
        self.leader_state.expire(now)
        self.suspicions.expire(now)
        self._log_liveness_changes(set(live))
        self._update_rate_limiter(live)

    def _update_rate_limiter(self, live: dict[str, members.Member]) -> None:
        staying = [
            c for c in self.member_table.contacts.values() if not c.leaving
        ]
        live_contacts = (
            self.own_contact,
            *(m.contact for m in live.values()),
        )
        self.rate_limiter.update_instances(live_contacts, 1 + len(staying))
        if self.state.settings.shares_load:
            self.rooms.update_instances(live_contacts, 1 + len(staying))
        if self.state.dispatcher.paces is not None:
            self.state.observe_upstreams()
            self.state.dispatcher.paces.set_instances(
                self.own_contact.name, (c.name for c in staying)
            )

    def _log_liveness_changes(self, live: set[str]) -> None:
        """Logs instances that became live or are no longer live."""
        for name in sorted(self.logged_live_names - live):
            _log.warning("instance_lost", name=name)
        for name in sorted(live - self.logged_live_names):
            _log.info("instance_reached", name=name)
        self.logged_live_names = live

    def _record_suspicion(
        self, kind: suspicions.Kind, engine: upstreams.Upstream
    ) -> None:
        key = suspicions.Incarnation(engine.name, engine.born_ms)
        self.suspicions.record(kind, key, time.monotonic())

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine in the background and logs its failure."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._handle_task_end)

    def _handle_task_end(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error("background_failed", exc_info=task.exception())


def _newest_revision(watch: watches.KindWatch | None) -> int:
    return watch.newest_revision if watch is not None else 0


def _encode_work(
    work: dict[str, dispatch.OutstandingWork],
) -> dict[str, heartbeats.OutstandingWork]:
    return {
        n: heartbeats.OutstandingWork(v.requests, round(v.tokens))
        for n, v in work.items()
    }
