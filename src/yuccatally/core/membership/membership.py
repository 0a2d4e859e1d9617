"""SWIM failure detection, extended by graceful leave and repair."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from yuccatally.core.membership import messages
from yuccatally.core.membership import table as table_module

if TYPE_CHECKING:
    from collections.abc import Iterable
    import random

MAX_HEALTH_SCORE = 2


@dataclasses.dataclass(frozen=True)
class Timing:
    """Periods and limits of failure detection.

    Attributes:
        period_s: Time between two ticks; each tick probes one member.
        probe_timeout_s: Timeout of a direct probe. Messages take a few
            milliseconds within a region and about 0.1 s between regions.
        indirect_timeout_s: Timeout of an indirect probe.
        helper_count: Number of members asked to probe indirectly.
        suspicion_s: Minimum time from suspicion to failure. Each doubling of
            the fleet adds a tenth, because updates take longer to reach all
            instances.
        max_update_bytes: Maximum length of the updates in one message.
        min_sync_interval_s: Minimum time between two syncs that this instance
            starts.
        digest_grace_s: Time after a change during which updates still under
            way may explain a different digest.
        max_sync_bytes: Maximum length of the records in one sync message.
        sync_rate_bytes_per_s: Average rate of records in syncs.
        notify_count: Number of members notified at once of a leaving member.
    """

    period_s: float = 0.5
    probe_timeout_s: float = 0.3
    indirect_timeout_s: float = 0.6
    helper_count: int = 3
    suspicion_s: float = 2.5
    max_update_bytes: int = 800
    min_sync_interval_s: float = 1.0
    digest_grace_s: float = 1.5
    max_sync_bytes: int = 36_000
    sync_rate_bytes_per_s: float = 4_000.0
    notify_count: int = 4


class Membership:
    """Member records of one instance, and the failure detector.

    Attributes:
        own: Record of this instance.
        table: Records of all members, including this instance.
        health_score: 0 while probes succeed. Each failed probe for which no
            helper answered either adds 1, which lengthens timeouts and
            suspicions, because the fault may be local.
        candidate_addresses: Addresses by name from the platform's list, for
            names that are not active members.
    """

    def __init__(
        self,
        member: messages.Member,
        incarnation: int,
        rng: random.Random,
        timing: Timing | None = None,
    ) -> None:
        self.timing = timing or Timing()
        self.rng = rng
        self.name = member.name
        self.table = table_module.Table()
        self.table.put(messages.Update(member, incarnation), 0.0)
        self.health_score = 0
        self.candidate_addresses: dict[str, str] = {}
        self.probe_order: list[str] = []
        self.last_tick_at = -math.inf
        self.tick_count = 0
        self.last_sync_at = -math.inf
        self.sync_credit_bytes = float(self.timing.max_sync_bytes)
        self.revision = 0
        self.content_hash = 0
        self.load = 0

    @property
    def own(self) -> messages.Update:
        """Record of this instance."""
        return self.table.records[self.name].update

    def own_peer_state(self) -> messages.PeerState:
        """Returns the state that this instance reports about itself."""
        return messages.PeerState(
            self.own,
            self.table.digest,
            self.revision,
            self.content_hash,
            self.load,
        )

    def others(self) -> list[table_module.Record]:
        """Returns the records of all active members except this instance."""
        return [
            r for r in self.table.active() if r.update.member.name != self.name
        ]

    def set_candidates(self, addresses: Iterable[tuple[str, str]]) -> None:
        """Replaces the candidate addresses by those of the platform's list.

        The list lags behind, so it only provides addresses to probe; it
        neither adds nor removes a member.
        """
        self.candidate_addresses = {
            name: address
            for name, address in addresses
            if name != self.name and not self._is_active(name)
        }

    def leave(self, now: float) -> list[messages.Action]:
        """Announces the shutdown of this instance."""
        own = self.own
        if own.leaving:
            return []
        leaving_update = messages.Update(
            own.member, own.incarnation + 1, messages.State.ALIVE, True
        )
        self.table.put(leaving_update, now)
        return self._notify_some(leaving_update, exclude=())

    def on_tick(self, now: float) -> list[messages.Action]:
        """Probes the next member and expires suspicions."""
        elapsed_s = now - self.last_tick_at
        self.last_tick_at = now
        self.tick_count += 1
        if self.tick_count > 1:
            self.sync_credit_bytes = min(
                float(self.timing.max_sync_bytes),
                self.sync_credit_bytes
                + elapsed_s * self.timing.sync_rate_bytes_per_s,
            )
            if elapsed_s > 4 * self.timing.period_s:
                self._shift_suspicions(elapsed_s, now)
        actions = self._expire_suspicions(now)
        self.table.remove_old_tombstones(now)
        target = self._next_target()
        if target is not None:
            member = target.update.member
            actions.append(self._probe(member.name, member.peers_address))
        if self.tick_count % 2 or target is None:
            actions += self._probe_inactive()
        return actions

    def on_message(
        self,
        message: messages.Probe | messages.Notify,
        now: float,
    ) -> tuple[messages.Ack, list[messages.Action]]:
        """Merges the updates of a message and returns the reply."""
        actions = self._record_sender(message.peer_state, now)
        updates: tuple[messages.Update, ...] = message.updates
        if isinstance(message, messages.Probe):
            updates += tuple(self.table.expand(message.compact_updates))
        actions += self._merge(updates, now, alive_overrides_failed=False)
        sender = message.peer_state.update.member.name
        return messages.Ack(
            self.own_peer_state(), *self._updates_for(sender)
        ), actions

    def on_sync(
        self, message: messages.Sync, now: float
    ) -> tuple[messages.SyncReply, list[messages.Action]]:
        """Returns the hashes of the records in buckets that differ."""
        actions = self._record_sender(message.peer_state, now)
        digests = self.table.updates_in_differing_buckets(message.bucket_hashes)
        reply = messages.SyncReply(
            self.own_peer_state(),
            tuple(self.table.bucket_hashes),
            tuple(digests),
        )
        return reply, actions

    def on_repair(
        self, message: messages.Repair, now: float
    ) -> tuple[messages.RepairReply, list[messages.Action]]:
        """Merges the received records and returns the requested ones."""
        actions = self._record_sender(message.peer_state, now)
        requested_digests = set(message.requested_digests)
        updates = self._take_within_credit(
            r.update
            for r in self.table.active()
            if r.update.digest in requested_digests
        )
        actions += self._merge(
            message.updates, now, alive_overrides_failed=True
        )
        return messages.RepairReply(self.own_peer_state(), updates), actions

    def on_ack(
        self, sent: messages.Send, ack: messages.Ack, sent_at: float, now: float
    ) -> list[messages.Action]:
        """Handles the reply to a ``Probe`` or ``Notify``."""
        sender = ack.peer_state.update.member
        self.candidate_addresses.pop(sender.name, None)
        was_inactive = sender.name in self.table.failed or (
            sender.name not in self.table.records
        )
        actions = self._record_sender(ack.peer_state, now)
        received = (*ack.updates, *self.table.expand(ack.compact_updates))
        actions += self._merge(received, now, alive_overrides_failed=False)
        if sent.name and sent.name != sender.name:
            # Another instance uses the address now.
            return actions + self._suspect(sent.name, now)
        if not isinstance(sent.message, messages.Probe):
            return actions
        # In a partition half of the helpers do not answer either, so a single
        # answer is enough to rule out a local fault.
        self.health_score = 0
        actions += self._confirm(ack.peer_state.update, sent_at, now)
        if was_inactive or (
            ack.peer_state.digest != self.table.digest
            and now - self.table.changed_at > self.timing.digest_grace_s
        ):
            actions += self._start_sync(sender.name, now)
        return actions

    def on_probe_timeout(
        self, sent: messages.Send, now: float
    ) -> list[messages.Action]:
        """Requests indirect probes after a direct probe timed out."""
        if not isinstance(sent.message, messages.Probe):
            return []
        if not self._is_active(sent.name):
            return []
        helpers = [
            r.update.member
            for r in self.others()
            if r.update.member.name != sent.name
            and r.state is messages.State.ALIVE
        ]
        if not helpers:
            return self._suspect(sent.name, now)
        request = messages.ProbeFor(
            sent.name, sent.address, self.own_peer_state()
        )
        count = min(self.timing.helper_count, len(helpers))
        return [
            messages.Send(
                m.name,
                m.peers_address,
                request,
                self.timing.indirect_timeout_s * (1 + self.health_score),
            )
            for m in self.rng.sample(helpers, count)
        ]

    def on_indirect_results(
        self,
        target: str,
        answers: Iterable[messages.IndirectAck | None],
        sent_at: float,
        now: float,
    ) -> list[messages.Action]:
        """Clears or starts a suspicion from the results of indirect probes.

        Args:
            target: Member that was probed.
            answers: One for each helper; None if the helper did not answer.
            sent_at: Time at which the requests to the helpers were sent.
            now: Current time.
        """
        replies = list(answers)
        for answer in replies:
            ack = answer.ack if answer is not None else None
            if ack is None or ack.peer_state.update.member.name != target:
                continue
            actions = self._merge([ack.peer_state.update], now, False)
            return actions + self._confirm(ack.peer_state.update, sent_at, now)
        if all(answer is None for answer in replies):
            self.health_score = min(MAX_HEALTH_SCORE, self.health_score + 1)
        return self._suspect(target, now)

    def on_sync_reply(
        self, sent: messages.Send, reply: messages.SyncReply, now: float
    ) -> list[messages.Action]:
        """Sends the records that the peer lacks and requests missing ones."""
        actions = self._record_sender(reply.peer_state, now)
        own = self.table.updates_in_differing_buckets(reply.bucket_hashes)
        requested_digests = tuple(d for d in reply.digests if d not in own)
        peer_digests = set(reply.digests)
        updates = self._take_within_credit(
            u
            for d, u in own.items()
            if d not in peer_digests
            and self.table.records[u.member.name].confirmed
        )
        if requested_digests or updates:
            message = messages.Repair(
                self.own_peer_state(), updates, requested_digests
            )
            timeout_s = self.timing.indirect_timeout_s
            actions.append(
                messages.Send(sent.name, sent.address, message, timeout_s)
            )
        return actions

    def on_repair_reply(
        self, reply: messages.RepairReply, now: float
    ) -> list[messages.Action]:
        """Merges the requested records."""
        actions = self._record_sender(reply.peer_state, now)
        return actions + self._merge(
            reply.updates, now, alive_overrides_failed=True
        )

    def indirect_probe(self, message: messages.ProbeFor) -> messages.Send:
        """Returns the probe that another instance requested."""
        return self._probe(message.target, message.address)

    def _probe(self, name: str, address: str) -> messages.Send:
        message = messages.Probe(
            name, self.own_peer_state(), *self._updates_for(name)
        )
        timeout_s = self.timing.probe_timeout_s * (1 + self.health_score)
        return messages.Send(name, address, message, timeout_s)

    def _updates_for(
        self, recipient: str
    ) -> tuple[tuple[messages.Update, ...], tuple[messages.CompactUpdate, ...]]:
        updates, compact_updates = self.table.next_updates(
            self.timing.max_update_bytes
        )
        record = self.table.records.get(recipient)
        if record is not None and record.state is not messages.State.ALIVE:
            # Allows the recipient to refute its suspected or failed state now.
            updates = (record.update, *updates)
        return updates, compact_updates

    def _next_target(self) -> table_module.Record | None:
        for _ in range(2):
            while self.probe_order:
                name = self.probe_order.pop()
                if self._is_active(name):
                    return self.table.records[name]
            self.probe_order = [r.update.member.name for r in self.others()]
            self.rng.shuffle(self.probe_order)
        return None

    def _probe_inactive(self) -> list[messages.Action]:
        """Probes one failed member or candidate that may have become active."""
        inactive = [
            *self.candidate_addresses.items(),
            *(
                (n, self.table.records[n].update.member.peers_address)
                for n in self.table.failed
            ),
        ]
        if not inactive:
            return []
        name, address = self.rng.choice(inactive)
        return [self._probe(name, address)]

    def _expire_suspicions(self, now: float) -> list[messages.Action]:
        actions: list[messages.Action] = []
        for name in list(self.table.suspects):
            record = self.table.records[name]
            if record.suspicion_expires_at <= now:
                # Each instance expires suspicions itself, so this update is
                # not announced.
                failed = _with_state(record.update, messages.State.DEAD)
                actions += self._apply(failed, now, "dead", announce=False)
        return actions

    def _shift_suspicions(self, elapsed_s: float, now: float) -> None:
        # No messages were processed while this process was paused, so the pause
        # does not count towards suspicions, and records need confirmation.
        for name in self.table.suspects:
            record = self.table.records[name]
            if record.suspected_at <= now - elapsed_s:
                record.suspicion_expires_at += elapsed_s
        for record in self.others():
            record.confirmed = False

    def _record_sender(
        self, peer_state: messages.PeerState, now: float
    ) -> list[messages.Action]:
        actions = self._merge(
            [peer_state.update], now, alive_overrides_failed=False
        )
        record = self.table.records.get(peer_state.update.member.name)
        if record is None or (
            record.update.member.boot_id != peer_state.update.member.boot_id
        ):
            return actions
        record.received_at = now
        record.confirmed = True
        record.load = peer_state.load
        # Replies may arrive out of order; a revision never decreases.
        if peer_state.revision >= record.revision:
            record.revision = peer_state.revision
            record.content_hash = peer_state.content_hash
        return actions

    def _merge(
        self,
        updates: Iterable[messages.Update],
        now: float,
        alive_overrides_failed: bool,
    ) -> list[messages.Action]:
        actions: list[messages.Action] = []
        for update in updates:
            if update.member.name == self.name:
                actions += self._handle_own_update(update, now)
                continue
            record = self.table.records.get(update.member.name)
            if record is None:
                if update.state is not messages.State.DEAD:
                    # Other instances find the records of a sync by their own
                    # syncs; to announce them all would fill messages for
                    # minutes.
                    actions += self._apply(
                        update,
                        now,
                        "joined",
                        announce=not alive_overrides_failed,
                    )
                continue
            merged = table_module.merge_updates(
                record.update, update, alive_overrides_failed
            )
            if merged != record.update:
                announce = not alive_overrides_failed or merged.leaving
                actions += self._apply(merged, now, "told", announce)
        return actions

    def _apply(
        self,
        update: messages.Update,
        now: float,
        reason: str,
        announce: bool = True,
    ) -> list[messages.Action]:
        name = update.member.name
        previous = self.table.records.get(name)
        was_leaving = previous is not None and (
            previous.update.leaving
            and previous.update.member.boot_id == update.member.boot_id
        )
        was_suspect = name in self.table.suspects
        is_indirect_revival = (
            previous is not None
            and previous.state is messages.State.DEAD
            and previous.update.incarnation == update.incarnation
            and reason == "told"
        )
        record = self.table.put(update, now, announce)
        if is_indirect_revival:
            record.confirmed = False
        if update.state is messages.State.SUSPECT and not was_suspect:
            size = math.log2(len(self.table) + 1)
            record.suspicion_expires_at = now + self.timing.suspicion_s * (
                1 + 0.1 * size
            ) * (1 + self.health_score)
        actions: list[messages.Action] = [
            messages.MemberChanged(update, reason)
        ]
        if update.leaving and not was_leaving:
            actions += self._notify_some(update, exclude=(name,))
        return actions

    def _handle_own_update(
        self, update: messages.Update, now: float
    ) -> list[messages.Action]:
        own = self.own
        other_boot = update.member.boot_id != own.member.boot_id
        if other_boot and own.leaving:
            # A new process runs under this name and announces itself.
            return []
        must_refute = update.state is not messages.State.ALIVE or other_boot
        is_newer = update.incarnation > own.incarnation
        if not (
            is_newer or (must_refute and update.incarnation == own.incarnation)
        ):
            return []
        refutation = messages.Update(
            own.member,
            update.incarnation + 1,
            messages.State.ALIVE,
            own.leaving,
        )
        self.table.put(refutation, now)
        reason = "name-in-use" if other_boot else "refuted"
        return [messages.MemberChanged(refutation, reason)]

    def _confirm(
        self, update: messages.Update, sent_at: float, now: float
    ) -> list[messages.Action]:
        """Clears a suspicion if the answered probe was sent after it."""
        record = self.table.records.get(update.member.name)
        if (
            record is None
            or record.state is messages.State.ALIVE
            or record.update.member.boot_id != update.member.boot_id
            or record.suspected_at > sent_at
        ):
            return []
        alive = _with_state(record.update, messages.State.ALIVE)
        return self._apply(alive, now, "answered")

    def _suspect(self, name: str, now: float) -> list[messages.Action]:
        record = self.table.records.get(name)
        if record is None or record.state is not messages.State.ALIVE:
            return []
        suspect = _with_state(record.update, messages.State.SUSPECT)
        return self._apply(suspect, now, "no-answer")

    def _notify_some(
        self, update: messages.Update, exclude: tuple[str, ...]
    ) -> list[messages.Action]:
        """Notifies some members at once; each forwards a new update."""
        others = [
            r.update.member
            for r in self.others()
            if r.update.member.name not in exclude
        ]
        count = min(self.timing.notify_count, len(others))
        message = messages.Notify(self.own_peer_state(), (update,))
        return [
            messages.Send(
                m.name, m.peers_address, message, self.timing.indirect_timeout_s
            )
            for m in self.rng.sample(others, count)
        ]

    def _start_sync(self, name: str, now: float) -> list[messages.Action]:
        if (
            now - self.last_sync_at < self.timing.min_sync_interval_s
            or not self._is_active(name)
        ):
            return []
        self.last_sync_at = now
        member = self.table.records[name].update.member
        message = messages.Sync(
            self.own_peer_state(), tuple(self.table.bucket_hashes)
        )
        return [
            messages.Send(
                name,
                member.peers_address,
                message,
                self.timing.indirect_timeout_s,
            )
        ]

    def _take_within_credit(
        self, updates: Iterable[messages.Update]
    ) -> tuple[messages.Update, ...]:
        """Returns as many records as the sync rate allows."""
        limit = int(min(self.sync_credit_bytes, self.timing.max_sync_bytes))
        chosen: list[messages.Update] = []
        used = 0
        for update in updates:
            used += table_module.encoded_length(update)
            if used > limit:
                break
            chosen.append(update)
        self.sync_credit_bytes -= min(used, limit)
        return tuple(chosen)

    def _is_active(self, name: str) -> bool:
        return name in self.table.records and name not in self.table.failed


def _with_state(
    update: messages.Update, state: messages.State
) -> messages.Update:
    return messages.Update(
        update.member, update.incarnation, state, update.leaving
    )
