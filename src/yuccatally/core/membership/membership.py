"""Failure detection after SWIM, with leaving members and repair."""

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
    """Periods and limits.

    Attributes:
        period_s: Time between two ticks; each probes one member.
        probe_s: Deadline of a direct probe. A region is crossed in a few
            milliseconds and regions in about 0.1 s.
        indirect_s: Deadline of an indirect probe.
        helpers: Members asked to probe indirectly.
        suspicion_s: Least time from suspicion to death; each doubling of the
            fleet adds a tenth, because news takes longer to reach all.
        update_bytes: Greatest length of the updates in one message.
        sync_s: Least time between two syncs that this instance starts.
        quiet_s: Time without a change after which a different digest is not
            explained by news on the way.
        sync_bytes: Greatest length of the records in one sync message.
        sync_bytes_s: Average bytes per second of records in syncs.
        fan_out: Members told at once of a leaving member.
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
    """View of all members of one instance.

    Attributes:
        own: Own record.
        table: Records of all members, including the own.
        health: 0 while own probes succeed; each failure that no helper could
            explain adds 1, which lengthens suspicions, since the fault may
            be on this side.
        candidates: Addresses by name from the platform's list, for names that
            are not known to be alive.
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
        self.table.set(messages.Update(member, incarnation), 0.0)
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
        """Own record."""
        return self.table.records[self.name].update

    def own_peer_state(self) -> messages.PeerState:
        """Returns what this instance reports of itself."""
        return messages.PeerState(
            self.own,
            self.table.digest,
            self.revision,
            self.content_hash,
            self.load,
        )

    def others(self) -> list[table_module.Record]:
        """Returns all living members but this one."""
        return [
            r for r in self.table.active() if r.update.member.name != self.name
        ]

    def set_candidates(self, listed: Iterable[tuple[str, str]]) -> None:
        """Takes names and peer addresses from the platform's lagging list.

        The list only says whom to ask: it neither adds nor removes a member.
        """
        self.candidate_addresses = {
            name: address
            for name, address in listed
            if name != self.name and not self._is_active(name)
        }

    def leave(self, now: float) -> list[messages.Action]:
        """Announces the own shutdown."""
        own = self.own
        if own.leaving:
            return []
        left = messages.Update(
            own.member, own.incarnation + 1, messages.State.ALIVE, True
        )
        self.table.set(left, now)
        return self._notify_some(left, exclude=())

    def on_tick(self, now: float) -> list[messages.Action]:
        """Probes the next member and lets suspicions expire."""
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
        done = self._expire_suspicions(now)
        self.table.remove_old_tombstones(now)
        target = self._next_target()
        if target is not None:
            member = target.update.member
            done.append(self._probe(member.name, member.peers_address))
        if self.tick_count % 2 or target is None:
            done += self._reconnect()
        return done

    def on_message(
        self,
        message: messages.Probe | messages.Notify,
        now: float,
    ) -> tuple[messages.Ack, list[messages.Action]]:
        """Merges what a message says and returns the reply."""
        done = self._record_sender(message.peer_state, now)
        updates: tuple[messages.Update, ...] = message.updates
        if isinstance(message, messages.Probe):
            updates += tuple(self.table.expand(message.compact_updates))
        done += self._merge(updates, now, alive_overrides_failed=False)
        sender = message.peer_state.update.member.name
        return messages.Ack(
            self.own_peer_state(), *self._updates_for(sender)
        ), done

    def on_sync(
        self, message: messages.Sync, now: float
    ) -> tuple[messages.SyncReply, list[messages.Action]]:
        """Returns hashes of the records in buckets that differ."""
        done = self._record_sender(message.peer_state, now)
        digests = self.table.updates_in_differing_buckets(message.buckets)
        reply = messages.SyncReply(
            self.own_peer_state(), tuple(self.table.buckets), tuple(digests)
        )
        return reply, done

    def on_repair(
        self, message: messages.Repair, now: float
    ) -> tuple[messages.RepairReply, list[messages.Action]]:
        """Merges records and returns those that the sender lacks."""
        done = self._record_sender(message.peer_state, now)
        wanted = set(message.wanted)
        updates = self._take_within_credit(
            r.update for r in self.table.active() if r.update.digest in wanted
        )
        done += self._merge(message.updates, now, alive_overrides_failed=True)
        return messages.RepairReply(self.own_peer_state(), updates), done

    def on_ack(
        self, sent: messages.Send, ack: messages.Ack, sent_at: float, now: float
    ) -> list[messages.Action]:
        """Takes the reply to a probe or to news."""
        answered = ack.peer_state.update.member
        self.candidate_addresses.pop(answered.name, None)
        revived = answered.name in self.table.failed or (
            answered.name not in self.table.records
        )
        done = self._record_sender(ack.peer_state, now)
        received = (*ack.updates, *self.table.expand(ack.compact_updates))
        done += self._merge(received, now, alive_overrides_failed=False)
        if sent.name and sent.name != answered.name:
            # Another instance has taken over the address.
            return done + self._suspect(sent.name, now)
        if not isinstance(sent.message, messages.Probe):
            return done
        # In a partition half of all helpers are silent as well, so that one
        # answer is enough to clear this side.
        self.health_score = 0
        done += self._confirm(ack.peer_state.update, sent_at, now)
        if revived or (
            ack.peer_state.digest != self.table.digest
            and now - self.table.changed_at > self.timing.digest_grace_s
        ):
            done += self._start_sync(answered.name, now)
        return done

    def on_no_answer(
        self, sent: messages.Send, now: float
    ) -> list[messages.Action]:
        """Asks helpers after a direct probe that was not answered."""
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

    def on_indirect(
        self,
        target: str,
        answers: Iterable[messages.IndirectAck | None],
        sent_at: float,
        now: float,
    ) -> list[messages.Action]:
        """Decides after all helpers have answered or failed.

        Args:
            target: Member that was probed.
            answers: One for each helper; None if the helper was silent.
            sent_at: Time at which the helpers were asked.
            now: Current time.
        """
        known = list(answers)
        for answer in known:
            ack = answer.ack if answer is not None else None
            if ack is None or ack.peer_state.update.member.name != target:
                continue
            done = self._merge([ack.peer_state.update], now, False)
            return done + self._confirm(ack.peer_state.update, sent_at, now)
        if all(answer is None for answer in known):
            self.health_score = min(MAX_HEALTH_SCORE, self.health_score + 1)
        return self._suspect(target, now)

    def on_sync_reply(
        self, sent: messages.Send, reply: messages.SyncReply, now: float
    ) -> list[messages.Action]:
        """Exchanges the records that one side lacks."""
        done = self._record_sender(reply.peer_state, now)
        own = self.table.updates_in_differing_buckets(reply.buckets)
        wanted = tuple(d for d in reply.digests if d not in own)
        theirs = set(reply.digests)
        updates = self._take_within_credit(
            u
            for d, u in own.items()
            if d not in theirs and self.table.records[u.member.name].confirmed
        )
        if wanted or updates:
            message = messages.Repair(self.own_peer_state(), updates, wanted)
            timeout_s = self.timing.indirect_timeout_s
            done.append(
                messages.Send(sent.name, sent.address, message, timeout_s)
            )
        return done

    def on_repair_reply(
        self, reply: messages.RepairReply, now: float
    ) -> list[messages.Action]:
        """Merges the records that were asked for."""
        done = self._record_sender(reply.peer_state, now)
        return done + self._merge(
            reply.updates, now, alive_overrides_failed=True
        )

    def indirect_probe(self, message: messages.ProbeFor) -> messages.Send:
        """Returns the probe that another instance asked for."""
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
        held = self.table.records.get(recipient)
        if held is not None and held.state is not messages.State.ALIVE:
            # Lets the recipient refute at once.
            updates = (held.update, *updates)
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

    def _reconnect(self) -> list[messages.Action]:
        """Asks one member that may be back, or was never reached."""
        unknown = [
            *self.candidate_addresses.items(),
            *(
                (n, self.table.records[n].update.member.peers_address)
                for n in self.table.failed
            ),
        ]
        if not unknown:
            return []
        name, address = self.rng.choice(unknown)
        return [self._probe(name, address)]

    def _expire_suspicions(self, now: float) -> list[messages.Action]:
        done: list[messages.Action] = []
        for name in list(self.table.suspects):
            record = self.table.records[name]
            if record.suspicion_expires_at <= now:
                # Each instance decides by itself, so that this is no news.
                failed = _with_state(record.update, messages.State.DEAD)
                done += self._apply(failed, now, "dead", announce=False)
        return done

    def _shift_suspicions(self, elapsed_s: float, now: float) -> None:
        # After a pause of this process nothing is known of that time.
        for name in self.table.suspects:
            record = self.table.records[name]
            if record.suspected_at <= now - elapsed_s:
                record.suspicion_expires_at += elapsed_s
        for record in self.others():
            record.confirmed = False

    def _record_sender(
        self, peer_state: messages.PeerState, now: float
    ) -> list[messages.Action]:
        done = self._merge(
            [peer_state.update], now, alive_overrides_failed=False
        )
        record = self.table.records.get(peer_state.update.member.name)
        if record is None or (
            record.update.member.boot_id != peer_state.update.member.boot_id
        ):
            return done
        record.received_at = now
        record.confirmed = True
        record.load = peer_state.load
        # Replies may overtake each other; a revision never goes back.
        if peer_state.revision >= record.revision:
            record.revision = peer_state.revision
            record.content_hash = peer_state.content_hash
        return done

    def _merge(
        self,
        updates: Iterable[messages.Update],
        now: float,
        alive_overrides_failed: bool,
    ) -> list[messages.Action]:
        done: list[messages.Action] = []
        for update in updates:
            if update.member.name == self.name:
                done += self._handle_own_update(update, now)
                continue
            record = self.table.records.get(update.member.name)
            if record is None:
                if update.state is not messages.State.DEAD:
                    # What a sync brought is found by the others' syncs; to
                    # pass all of it on would fill messages for minutes.
                    done += self._apply(
                        update,
                        now,
                        "joined",
                        announce=not alive_overrides_failed,
                    )
                continue
            belief = table_module.merge_updates(
                record.update, update, alive_overrides_failed
            )
            if belief != record.update:
                announce = not alive_overrides_failed or belief.leaving
                done += self._apply(belief, now, "told", announce)
        return done

    def _apply(
        self,
        update: messages.Update,
        now: float,
        reason: str,
        announce: bool = True,
    ) -> list[messages.Action]:
        name = update.member.name
        before = self.table.records.get(name)
        left_before = before is not None and (
            before.update.leaving
            and before.update.member.boot_id == update.member.boot_id
        )
        was_suspect = name in self.table.suspects
        indirect = (
            before is not None
            and before.state is messages.State.DEAD
            and before.update.incarnation == update.incarnation
            and reason == "told"
        )
        record = self.table.set(update, now, announce)
        if indirect:
            record.confirmed = False
        if update.state is messages.State.SUSPECT and not was_suspect:
            size = math.log2(len(self.table) + 1)
            record.suspicion_expires_at = now + self.timing.suspicion_s * (
                1 + 0.1 * size
            ) * (1 + self.health_score)
        done: list[messages.Action] = [messages.MemberChanged(update, reason)]
        if update.leaving and not left_before:
            done += self._notify_some(update, exclude=(name,))
        return done

    def _handle_own_update(
        self, update: messages.Update, now: float
    ) -> list[messages.Action]:
        own = self.own
        other_life = update.member.boot_id != own.member.boot_id
        if other_life and own.leaving:
            # The next life of this name has started; it speaks for itself.
            return []
        refuted = update.state is not messages.State.ALIVE or other_life
        ahead = update.incarnation > own.incarnation
        if not (ahead or (refuted and update.incarnation == own.incarnation)):
            return []
        raised = messages.Update(
            own.member,
            update.incarnation + 1,
            messages.State.ALIVE,
            own.leaving,
        )
        self.table.set(raised, now)
        reason = "name-in-use" if other_life else "refuted"
        return [messages.MemberChanged(raised, reason)]

    def _confirm(
        self, update: messages.Update, sent_at: float, now: float
    ) -> list[messages.Action]:
        """Clears a suspicion that an answer to a later probe disproves."""
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
        """Tells some members at once; each passes it on when it is new."""
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
            self.own_peer_state(), tuple(self.table.buckets)
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
        """Returns as many records as the rate of syncs allows."""
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
