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

MAX_HEALTH = 2


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
    probe_s: float = 0.3
    indirect_s: float = 0.6
    helpers: int = 3
    suspicion_s: float = 2.5
    update_bytes: int = 800
    sync_s: float = 1.0
    quiet_s: float = 1.5
    sync_bytes: int = 36_000
    sync_bytes_s: float = 4_000.0
    fan_out: int = 4


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
        self.health = 0
        self.candidates: dict[str, str] = {}
        self.rotation: list[str] = []
        self.last_tick = -math.inf
        self.ticks = 0
        self.last_sync = -math.inf
        self.sync_credit = float(self.timing.sync_bytes)
        self.revision = 0
        self.content = 0
        self.load = 0

    @property
    def own(self) -> messages.Update:
        """Own record."""
        return self.table.records[self.name].update

    def standing(self) -> messages.Standing:
        """Returns what this instance reports of itself."""
        return messages.Standing(
            self.own, self.table.digest, self.revision, self.content, self.load
        )

    def others(self) -> list[table_module.Record]:
        """Returns all living members but this one."""
        return [
            r for r in self.table.living() if r.update.member.name != self.name
        ]

    def seed(self, listed: Iterable[tuple[str, str]]) -> None:
        """Takes names and peer addresses from the platform's lagging list.

        The list only says whom to ask: it neither adds nor removes a member.
        """
        self.candidates = {
            name: address
            for name, address in listed
            if name != self.name and not self._living(name)
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
        return self._spread(left, exclude=())

    def on_tick(self, now: float) -> list[messages.Action]:
        """Probes the next member and lets suspicions expire."""
        elapsed_s = now - self.last_tick
        self.last_tick = now
        self.ticks += 1
        if self.ticks > 1:
            self.sync_credit = min(
                float(self.timing.sync_bytes),
                self.sync_credit + elapsed_s * self.timing.sync_bytes_s,
            )
            if elapsed_s > 4 * self.timing.period_s:
                self._shift_suspicions(elapsed_s, now)
        done = self._expire(now)
        self.table.drop_tombstones(now)
        target = self._next_target()
        if target is not None:
            member = target.update.member
            done.append(self._probe(member.name, member.peers_address))
        if self.ticks % 2 or target is None:
            done += self._reconnect()
        return done

    def on_message(
        self,
        message: messages.Probe | messages.Notify,
        now: float,
    ) -> tuple[messages.Ack, list[messages.Action]]:
        """Merges what a message says and returns the reply."""
        done = self._hear(message.standing, now)
        updates: tuple[messages.Update, ...] = message.updates
        if isinstance(message, messages.Probe):
            updates += tuple(self.table.expand(message.news))
        done += self._merge(updates, now, believe_alive=False)
        sender = message.standing.update.member.name
        return messages.Ack(self.standing(), *self._updates(sender)), done

    def on_sync(
        self, message: messages.Sync, now: float
    ) -> tuple[messages.SyncReply, list[messages.Action]]:
        """Returns hashes of the records in buckets that differ."""
        done = self._hear(message.standing, now)
        digests = self.table.differing(message.buckets)
        reply = messages.SyncReply(
            self.standing(), tuple(self.table.buckets), tuple(digests)
        )
        return reply, done

    def on_repair(
        self, message: messages.Repair, now: float
    ) -> tuple[messages.RepairReply, list[messages.Action]]:
        """Merges records and returns those that the sender lacks."""
        done = self._hear(message.standing, now)
        wanted = set(message.wanted)
        updates = self._within_credit(
            r.update for r in self.table.living() if r.update.digest in wanted
        )
        done += self._merge(message.updates, now, believe_alive=True)
        return messages.RepairReply(self.standing(), updates), done

    def on_ack(
        self, sent: messages.Send, ack: messages.Ack, sent_at: float, now: float
    ) -> list[messages.Action]:
        """Takes the reply to a probe or to news."""
        answered = ack.standing.update.member
        self.candidates.pop(answered.name, None)
        revived = answered.name in self.table.dead or (
            answered.name not in self.table.records
        )
        done = self._hear(ack.standing, now)
        told = (*ack.updates, *self.table.expand(ack.news))
        done += self._merge(told, now, believe_alive=False)
        if sent.name and sent.name != answered.name:
            # Another instance has taken over the address.
            return done + self._suspect(sent.name, now)
        if not isinstance(sent.message, messages.Probe):
            return done
        # In a partition half of all helpers are silent as well, so that one
        # answer is enough to clear this side.
        self.health = 0
        done += self._confirm(ack.standing.update, sent_at, now)
        if revived or (
            ack.standing.digest != self.table.digest
            and now - self.table.changed_at > self.timing.quiet_s
        ):
            done += self._sync(answered.name, now)
        return done

    def on_no_answer(
        self, sent: messages.Send, now: float
    ) -> list[messages.Action]:
        """Asks helpers after a direct probe that was not answered."""
        if not isinstance(sent.message, messages.Probe):
            return []
        if not self._living(sent.name):
            return []
        helpers = [
            r.update.member
            for r in self.others()
            if r.update.member.name != sent.name
            and r.state is messages.State.ALIVE
        ]
        if not helpers:
            return self._suspect(sent.name, now)
        request = messages.ProbeFor(sent.name, sent.address, self.standing())
        count = min(self.timing.helpers, len(helpers))
        return [
            messages.Send(
                m.name,
                m.peers_address,
                request,
                self.timing.indirect_s * (1 + self.health),
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
            if ack is None or ack.standing.update.member.name != target:
                continue
            done = self._merge([ack.standing.update], now, False)
            return done + self._confirm(ack.standing.update, sent_at, now)
        if all(answer is None for answer in known):
            self.health = min(MAX_HEALTH, self.health + 1)
        return self._suspect(target, now)

    def on_sync_reply(
        self, sent: messages.Send, reply: messages.SyncReply, now: float
    ) -> list[messages.Action]:
        """Exchanges the records that one side lacks."""
        done = self._hear(reply.standing, now)
        own = self.table.differing(reply.buckets)
        wanted = tuple(d for d in reply.digests if d not in own)
        theirs = set(reply.digests)
        updates = self._within_credit(
            u
            for d, u in own.items()
            if d not in theirs and self.table.records[u.member.name].confirmed
        )
        if wanted or updates:
            message = messages.Repair(self.standing(), updates, wanted)
            timeout_s = self.timing.indirect_s
            done.append(
                messages.Send(sent.name, sent.address, message, timeout_s)
            )
        return done

    def on_repair_reply(
        self, reply: messages.RepairReply, now: float
    ) -> list[messages.Action]:
        """Merges the records that were asked for."""
        done = self._hear(reply.standing, now)
        return done + self._merge(reply.updates, now, believe_alive=True)

    def probe_for(self, message: messages.ProbeFor) -> messages.Send:
        """Returns the probe that another instance asked for."""
        return self._probe(message.target, message.address)

    def _probe(self, name: str, address: str) -> messages.Send:
        message = messages.Probe(name, self.standing(), *self._updates(name))
        timeout_s = self.timing.probe_s * (1 + self.health)
        return messages.Send(name, address, message, timeout_s)

    def _updates(
        self, recipient: str
    ) -> tuple[tuple[messages.Update, ...], tuple[messages.News, ...]]:
        updates, news = self.table.take(self.timing.update_bytes)
        held = self.table.records.get(recipient)
        if held is not None and held.state is not messages.State.ALIVE:
            # Lets the recipient refute at once.
            updates = (held.update, *updates)
        return updates, news

    def _next_target(self) -> table_module.Record | None:
        for _ in range(2):
            while self.rotation:
                name = self.rotation.pop()
                if self._living(name):
                    return self.table.records[name]
            self.rotation = [r.update.member.name for r in self.others()]
            self.rng.shuffle(self.rotation)
        return None

    def _reconnect(self) -> list[messages.Action]:
        """Asks one member that may be back, or was never reached."""
        unknown = [
            *self.candidates.items(),
            *(
                (n, self.table.records[n].update.member.peers_address)
                for n in self.table.dead
            ),
        ]
        if not unknown:
            return []
        name, address = self.rng.choice(unknown)
        return [self._probe(name, address)]

    def _expire(self, now: float) -> list[messages.Action]:
        done: list[messages.Action] = []
        for name in list(self.table.suspects):
            record = self.table.records[name]
            if record.suspect_until <= now:
                # Each instance decides by itself, so that this is no news.
                dead = _with_state(record.update, messages.State.DEAD)
                done += self._believe(dead, now, "dead", announce=False)
        return done

    def _shift_suspicions(self, elapsed_s: float, now: float) -> None:
        # After a pause of this process nothing is known of that time.
        for name in self.table.suspects:
            record = self.table.records[name]
            if record.suspected_at <= now - elapsed_s:
                record.suspect_until += elapsed_s
        for record in self.others():
            record.confirmed = False

    def _hear(
        self, standing: messages.Standing, now: float
    ) -> list[messages.Action]:
        done = self._merge([standing.update], now, believe_alive=False)
        record = self.table.records.get(standing.update.member.name)
        if record is None or (
            record.update.member.boot != standing.update.member.boot
        ):
            return done
        record.heard_at = now
        record.confirmed = True
        record.load = standing.load
        # Replies may overtake each other; a revision never goes back.
        if standing.revision >= record.revision:
            record.revision = standing.revision
            record.content = standing.content
        return done

    def _merge(
        self,
        updates: Iterable[messages.Update],
        now: float,
        believe_alive: bool,
    ) -> list[messages.Action]:
        done: list[messages.Action] = []
        for update in updates:
            if update.member.name == self.name:
                done += self._about_self(update, now)
                continue
            record = self.table.records.get(update.member.name)
            if record is None:
                if update.state is not messages.State.DEAD:
                    # What a sync brought is found by the others' syncs; to
                    # pass all of it on would fill messages for minutes.
                    done += self._believe(
                        update, now, "joined", announce=not believe_alive
                    )
                continue
            belief = table_module.merged(record.update, update, believe_alive)
            if belief != record.update:
                announce = not believe_alive or belief.leaving
                done += self._believe(belief, now, "told", announce)
        return done

    def _believe(
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
            and before.update.member.boot == update.member.boot
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
            record.suspect_until = now + self.timing.suspicion_s * (
                1 + 0.1 * size
            ) * (1 + self.health)
        done: list[messages.Action] = [messages.Changed(update, reason)]
        if update.leaving and not left_before:
            done += self._spread(update, exclude=(name,))
        return done

    def _about_self(
        self, update: messages.Update, now: float
    ) -> list[messages.Action]:
        own = self.own
        other_life = update.member.boot != own.member.boot
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
        return [messages.Changed(raised, reason)]

    def _confirm(
        self, update: messages.Update, sent_at: float, now: float
    ) -> list[messages.Action]:
        """Clears a suspicion that an answer to a later probe disproves."""
        record = self.table.records.get(update.member.name)
        if (
            record is None
            or record.state is messages.State.ALIVE
            or record.update.member.boot != update.member.boot
            or record.suspected_at > sent_at
        ):
            return []
        alive = _with_state(record.update, messages.State.ALIVE)
        return self._believe(alive, now, "answered")

    def _suspect(self, name: str, now: float) -> list[messages.Action]:
        record = self.table.records.get(name)
        if record is None or record.state is not messages.State.ALIVE:
            return []
        suspect = _with_state(record.update, messages.State.SUSPECT)
        return self._believe(suspect, now, "no-answer")

    def _spread(
        self, update: messages.Update, exclude: tuple[str, ...]
    ) -> list[messages.Action]:
        """Tells some members at once; each passes it on when it is new."""
        others = [
            r.update.member
            for r in self.others()
            if r.update.member.name not in exclude
        ]
        count = min(self.timing.fan_out, len(others))
        message = messages.Notify(self.standing(), (update,))
        return [
            messages.Send(
                m.name, m.peers_address, message, self.timing.indirect_s
            )
            for m in self.rng.sample(others, count)
        ]

    def _sync(self, name: str, now: float) -> list[messages.Action]:
        if now - self.last_sync < self.timing.sync_s or not self._living(name):
            return []
        self.last_sync = now
        member = self.table.records[name].update.member
        message = messages.Sync(self.standing(), tuple(self.table.buckets))
        return [
            messages.Send(
                name, member.peers_address, message, self.timing.indirect_s
            )
        ]

    def _within_credit(
        self, updates: Iterable[messages.Update]
    ) -> tuple[messages.Update, ...]:
        """Returns as many records as the rate of syncs allows."""
        limit = int(min(self.sync_credit, self.timing.sync_bytes))
        chosen: list[messages.Update] = []
        used = 0
        for update in updates:
            used += table_module.length_of(update)
            if used > limit:
                break
            chosen.append(update)
        self.sync_credit -= min(used, limit)
        return tuple(chosen)

    def _living(self, name: str) -> bool:
        return name in self.table.records and name not in self.table.dead


def _with_state(
    update: messages.Update, state: messages.State
) -> messages.Update:
    return messages.Update(
        update.member, update.incarnation, state, update.leaving
    )
