"""Records of all members and the rules that merge two beliefs."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

import msgspec
import xxhash

from yuccatally.core.membership import messages

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

BUCKETS = 16
QUEUE_LENGTH = 512
TRANSMISSIONS_FACTOR = 3
TOMBSTONE_KEEP_S = 300.0


@dataclasses.dataclass
class Record:
    """One member as seen from here.

    Attributes:
        update: Belief that is passed on.
        suspected_at: Time of the suspicion or of the declared death.
        suspect_until: Time at which a suspect is declared dead.
        heard_at: Time of the last message from the member itself.
        revision: Revision of its configuration when last heard.
        content: Hash of its configuration when last heard.
        load: Requests in flight when last heard.
        confirmed: Whether there is evidence of life that this instance may
            pass on. A member revived by a repair is not passed on, or two
            instances could revive a dead member in turns for ever.
    """

    update: messages.Update
    suspected_at: float = 0.0
    suspicion_expires_at: float = 0.0
    received_at: float = -math.inf
    revision: int = 0
    content_hash: int = 0
    load: int = 0
    confirmed: bool = True

    @property
    def state(self) -> messages.State:
        """Belief about the member."""
        return self.update.state


@dataclasses.dataclass
class _Queued:
    update: messages.Update | messages.CompactUpdate
    length: int
    sent: int = 0


class Table:
    """Members by name, their hashes, and the updates to pass on.

    Attributes:
        records: Everything known, including the dead.
        suspects: Names of suspects.
        dead: Names of the dead.
        digest: Hash of all records that are not dead.
        buckets: The same by bucket of names.
        changed_at: Time of the last change to ``digest``.
    """

    def __init__(self) -> None:
        self.records: dict[str, Record] = {}
        self.suspects: set[str] = set()
        self.failed: set[str] = set()
        self.digest = 0
        self.buckets = [0] * BUCKETS
        self.changed_at = -math.inf
        self.queue: dict[str, _Queued] = {}

    def __len__(self) -> int:
        """Returns the number of members that are not dead."""
        return len(self.records) - len(self.failed)

    def active(self) -> Iterator[Record]:
        """Yields the records that are not dead."""
        return (
            r
            for r in self.records.values()
            if r.state is not messages.State.DEAD
        )

    def set(
        self, update: messages.Update, now: float, announce: bool = True
    ) -> Record:
        """Stores a belief and queues it for passing on.

        A queued earlier belief is dropped in either case: after a partition it
        would spread suspicions that are known to be wrong.
        """
        name = update.member.name
        record = self.records.get(name)
        before = 0
        known = (
            record is not None
            and record.update.member.boot_id == update.member.boot_id
        )
        if record is None:
            record = self.records[name] = Record(update)
        else:
            before = _counted(record.update)
            if record.update.member.boot_id != update.member.boot_id:
                record.revision = record.content_hash = record.load = 0
            if record.update.state is not update.state:
                record.suspected_at = now
            if record.update.incarnation != update.incarnation:
                record.confirmed = True
            record.update = update
        change = before ^ _counted(update)
        if change:
            self.digest ^= change
            self.buckets[bucket_index(name)] ^= change
            self.changed_at = now
        self._update_state_sets(name, update.state)
        if announce:
            self._enqueue(update, known)
        else:
            self.queue.pop(name, None)
        return record

    def next_updates(
        self, limit_bytes: int
    ) -> tuple[tuple[messages.Update, ...], tuple[messages.CompactUpdate, ...]]:
        """Returns what to pass on, up to a length in bytes.

        The least sent come first, the newest among them; otherwise a burst of
        news would keep refutations back until suspicions run out.
        """
        repeats = TRANSMISSIONS_FACTOR * math.ceil(math.log2(len(self) + 2))
        updates: list[messages.Update] = []
        compact_updates: list[messages.CompactUpdate] = []
        waiting = list(self.queue.items())[::-1]
        waiting.sort(key=lambda item: item[1].sent)
        for name, entry in waiting:
            if entry.length > limit_bytes:
                break
            limit_bytes -= entry.length
            if isinstance(entry.update, messages.CompactUpdate):
                compact_updates.append(entry.update)
            else:
                updates.append(entry.update)
            entry.sent += 1
            if entry.sent >= repeats:
                del self.queue[name]
        return tuple(updates), tuple(compact_updates)

    def expand(
        self, compact_updates: Iterable[messages.CompactUpdate]
    ) -> Iterator[messages.Update]:
        """Yields updates for news on lives that are known here.

        A sync brings the others.
        """
        for received in compact_updates:
            record = self.records.get(received.name)
            if (
                record is None
                or record.update.member.boot_id != received.boot_id
            ):
                continue
            yield messages.Update(
                record.update.member,
                received.incarnation,
                received.state,
                received.leaving,
            )

    def _enqueue(self, update: messages.Update, known: bool) -> None:
        member = update.member
        waiting = self.queue.pop(member.name, None)
        if waiting is not None and isinstance(waiting.update, messages.Update):
            # Others may not know this life yet.
            known = False
        if len(self.queue) >= QUEUE_LENGTH:
            # A sync repairs what is dropped here.
            del self.queue[next(iter(self.queue))]
        received: messages.Update | messages.CompactUpdate = update
        if known:
            received = messages.CompactUpdate(
                member.name,
                member.boot_id,
                update.incarnation,
                update.state,
                update.leaving,
            )
        self.queue[member.name] = _Queued(received, encoded_length(received))

    def updates_in_differing_buckets(
        self, buckets: Iterable[int]
    ) -> dict[int, messages.Update]:
        """Returns living records by hash in buckets whose hashes differ."""
        pairs = zip(self.buckets, buckets, strict=False)
        indices = {i for i, (own, other) in enumerate(pairs) if own != other}
        return {
            r.update.digest: r.update
            for r in self.active()
            if bucket_index(r.update.member.name) in indices
        }

    def remove_old_tombstones(self, now: float) -> None:
        """Forgets members that have been dead for long."""
        for name in list(self.failed):
            if now - self.records[name].suspected_at > TOMBSTONE_KEEP_S:
                del self.records[name]
                self.failed.discard(name)

    def _update_state_sets(self, name: str, state: messages.State) -> None:
        self.suspects.discard(name)
        self.failed.discard(name)
        if state is messages.State.SUSPECT:
            self.suspects.add(name)
        elif state is messages.State.DEAD:
            self.failed.add(name)


def merge_updates(
    held: messages.Update,
    received: messages.Update,
    alive_overrides_failed: bool,
) -> messages.Update:
    """Returns the belief after an update from another instance.

    Nobody is declared dead on an indirect report: a reported death starts a
    suspicion, which the member can refute. ``leaving`` is never taken back
    within a life.

    Args:
        held: Belief so far.
        received: Belief of another instance.
        alive_overrides_failed: Whether an equally old ``ALIVE`` overrides a
            death.
            This holds for repairs: after a partition, whoever still believes
            a member alive has reached it or someone who has.
    """
    same_life = held.member.boot_id == received.member.boot_id
    if not same_life:
        newer = (received.incarnation, received.member.boot_id) > (
            held.incarnation,
            held.member.boot_id,
        )
        return received if newer else held
    leaving = held.leaving or received.leaving
    if received.incarnation > held.incarnation:
        state = min(received.state, messages.State.SUSPECT)
        if held.state is messages.State.DEAD:
            state = received.state
        return messages.Update(
            received.member, received.incarnation, state, leaving
        )
    state = held.state
    if received.incarnation == held.incarnation:
        if held.state is messages.State.ALIVE:
            state = min(received.state, messages.State.SUSPECT)
        elif (
            held.state is messages.State.DEAD
            and alive_overrides_failed
            and received.state is messages.State.ALIVE
        ):
            # A report of a suspicion is no sign of life: two instances that
            # took it for one would keep a dead member suspected for ever.
            state = messages.State.ALIVE
    return messages.Update(held.member, held.incarnation, state, leaving)


def encoded_length(update: messages.Update | messages.CompactUpdate) -> int:
    """Returns the encoded length of an update in bytes."""
    return len(msgspec.msgpack.encode(update))


def bucket_index(name: str) -> int:
    """Returns the index of a name's bucket."""
    return xxhash.xxh3_64_intdigest(name.encode()) % BUCKETS


def _counted(update: messages.Update) -> int:
    return 0 if update.state is messages.State.DEAD else update.digest
