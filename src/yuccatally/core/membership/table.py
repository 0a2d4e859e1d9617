"""Member records and the rules that merge updates into them."""

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

BUCKET_COUNT = 16
MAX_QUEUE_COUNT = 512
TRANSMISSIONS_FACTOR = 3
TOMBSTONE_RETENTION_S = 300.0


@dataclasses.dataclass
class Record:
    """One member as known to this instance.

    Attributes:
        update: Update that is sent to other instances.
        suspected_at: Time at which the state last changed, that is, when the
            member was suspected or declared failed.
        suspicion_expires_at: Time at which a suspected member is declared
            failed.
        received_at: Time of the last message from the member itself.
        revision: Revision of its configuration in that message.
        content_hash: Hash of its configuration in that message.
        load: Requests in flight in that message.
        confirmed: Whether this instance may send the record in a repair. False
            for a member that an indirect report revived, because two instances
            could otherwise revive a failed member in turns forever, and after
            a pause of this process until the member sends a message.
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
        """State of the member."""
        return self.update.state


@dataclasses.dataclass
class _QueuedUpdate:
    update: messages.Update | messages.CompactUpdate
    length_bytes: int
    sent_count: int = 0


class Table:
    """Members by name, their hashes, and the queue of updates to send.

    Attributes:
        records: Records by name, including those of failed members.
        suspects: Names of suspected members.
        failed: Names of failed members.
        digest: Hash of the records of all members that have not failed.
        bucket_hashes: The same hash for each bucket of names.
        changed_at: Time of the last change to ``digest``.
    """

    def __init__(self) -> None:
        self.records: dict[str, Record] = {}
        self.suspects: set[str] = set()
        self.failed: set[str] = set()
        self.digest = 0
        self.bucket_hashes = [0] * BUCKET_COUNT
        self.changed_at = -math.inf
        self.queue: dict[str, _QueuedUpdate] = {}

    def __len__(self) -> int:
        """Returns the number of members that have not failed."""
        return len(self.records) - len(self.failed)

    def active(self) -> Iterator[Record]:
        """Yields the records of members that have not failed."""
        return (
            r
            for r in self.records.values()
            if r.state is not messages.State.DEAD
        )

    def put(
        self, update: messages.Update, now: float, announce: bool = True
    ) -> Record:
        """Stores an update and queues it for other instances.

        An earlier queued update of the member is dropped even without
        ``announce``: after a partition it would spread suspicions that have
        been disproved.

        Args:
            update: New state of the member.
            now: Current time.
            announce: Whether to queue the update.
        """
        name = update.member.name
        record = self.records.get(name)
        previous_digest = 0
        is_known = (
            record is not None
            and record.update.member.boot_id == update.member.boot_id
        )
        if record is None:
            record = self.records[name] = Record(update)
        else:
            previous_digest = _active_digest(record.update)
            if record.update.member.boot_id != update.member.boot_id:
                record.revision = record.content_hash = record.load = 0
            if record.update.state is not update.state:
                record.suspected_at = now
            if record.update.incarnation != update.incarnation:
                record.confirmed = True
            record.update = update
        change = previous_digest ^ _active_digest(update)
        if change:
            self.digest ^= change
            self.bucket_hashes[bucket_index(name)] ^= change
            self.changed_at = now
        self._update_state_sets(name, update.state)
        if announce:
            self._enqueue(update, is_known)
        else:
            self.queue.pop(name, None)
        return record

    def next_updates(
        self, limit_bytes: int
    ) -> tuple[tuple[messages.Update, ...], tuple[messages.CompactUpdate, ...]]:
        """Returns the next queued updates, up to a length in bytes.

        The updates sent least often come first, the newest first among equals;
        otherwise a burst of updates would delay refutations until suspicions
        expire.
        """
        max_sent_count = TRANSMISSIONS_FACTOR * math.ceil(
            math.log2(len(self) + 2)
        )
        updates: list[messages.Update] = []
        compact_updates: list[messages.CompactUpdate] = []
        entries = list(self.queue.items())[::-1]
        entries.sort(key=lambda item: item[1].sent_count)
        for name, entry in entries:
            if entry.length_bytes > limit_bytes:
                break
            limit_bytes -= entry.length_bytes
            if isinstance(entry.update, messages.CompactUpdate):
                compact_updates.append(entry.update)
            else:
                updates.append(entry.update)
            entry.sent_count += 1
            if entry.sent_count >= max_sent_count:
                del self.queue[name]
        return tuple(updates), tuple(compact_updates)

    def expand(
        self, compact_updates: Iterable[messages.CompactUpdate]
    ) -> Iterator[messages.Update]:
        """Yields full updates for members whose ``boot_id`` is known.

        Updates of other members are ignored; a sync fetches their records.
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

    def _enqueue(self, update: messages.Update, is_known: bool) -> None:
        member = update.member
        previous = self.queue.pop(member.name, None)
        if previous is not None and isinstance(
            previous.update, messages.Update
        ):
            # Other instances may not know this boot_id yet.
            is_known = False
        if len(self.queue) >= MAX_QUEUE_COUNT:
            # A sync later transfers the update dropped here.
            del self.queue[next(iter(self.queue))]
        queued: messages.Update | messages.CompactUpdate = update
        if is_known:
            queued = messages.CompactUpdate(
                member.name,
                member.boot_id,
                update.incarnation,
                update.state,
                update.leaving,
            )
        self.queue[member.name] = _QueuedUpdate(queued, encoded_length(queued))

    def updates_in_differing_buckets(
        self, bucket_hashes: Iterable[int]
    ) -> dict[int, messages.Update]:
        """Returns updates of active members in differing buckets, by hash."""
        pairs = zip(self.bucket_hashes, bucket_hashes, strict=False)
        indices = {i for i, (own, other) in enumerate(pairs) if own != other}
        return {
            r.update.digest: r.update
            for r in self.active()
            if bucket_index(r.update.member.name) in indices
        }

    def remove_old_tombstones(self, now: float) -> None:
        """Removes members that failed before the retention period."""
        for name in list(self.failed):
            if now - self.records[name].suspected_at > TOMBSTONE_RETENTION_S:
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
    """Returns the state of a member after an update from another instance.

    A member is never declared failed on an indirect report: a reported failure
    starts a suspicion, which the member can refute. ``leaving`` is never reset
    for the same ``boot_id``.

    Args:
        held: Update held so far.
        received: Update from another instance.
        alive_overrides_failed: Whether an equally old ``ALIVE`` overrides a
            ``DEAD``. True for repairs: after a partition, an instance that
            still records a member as alive has reached it, or has an update
            from an instance that did.
    """
    same_boot = held.member.boot_id == received.member.boot_id
    if not same_boot:
        is_newer = (received.incarnation, received.member.boot_id) > (
            held.incarnation,
            held.member.boot_id,
        )
        return received if is_newer else held
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
            # A reported suspicion is not evidence of life: if it were, two
            # instances would keep a failed member suspected forever.
            state = messages.State.ALIVE
    return messages.Update(held.member, held.incarnation, state, leaving)


def encoded_length(update: messages.Update | messages.CompactUpdate) -> int:
    """Returns the encoded length of an update in bytes."""
    return len(msgspec.msgpack.encode(update))


def bucket_index(name: str) -> int:
    """Returns the index of the bucket of a name."""
    return xxhash.xxh3_64_intdigest(name.encode()) % BUCKET_COUNT


def _active_digest(update: messages.Update) -> int:
    return 0 if update.state is messages.State.DEAD else update.digest
