"""Revisioned set of the objects in force on one instance."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import xxhash

from yuccatally.core import selectors

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccatally.core.config import documents
    from yuccatally.core.objects import kinds

MAX_TOMBSTONE_COUNT = 4096

Key = tuple[str, str]


@dataclasses.dataclass(frozen=True)
class Event:
    """One change of one object.

    Attributes:
        revision: Revision of the platform's store after the change.
        kind: Kind of the object.
        name: Name of the object.
        declared: New object; None if it was deleted or is blocked.
        blocked: Object as stored, if it failed the checks.
    """

    revision: int
    kind: str
    name: str
    declared: kinds.Object | None
    blocked: documents.Blocked | None = None


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """Complete set of objects at one revision.

    Attributes:
        revision: Revision of the platform's store.
        objects: All objects that passed the checks.
        blocked: All objects that failed the checks.
    """

    revision: int
    objects: tuple[kinds.Object, ...]
    blocked: tuple[documents.Blocked, ...] = ()


@dataclasses.dataclass(frozen=True)
class Delta:
    """Changes after one revision, up to another.

    Attributes:
        since: Revision before the first event. Every change after it up to
            ``revision`` is contained unless a later one replaced it.
        revision: Revision reached once all events are applied.
        events: Events in order of revision.
        deletion_floor: Objects that are not in ``events`` and that did not
            change after this revision are deleted; 0 if ``events`` contains
            all deletions.
    """

    since: int
    revision: int
    events: tuple[Event, ...]
    deletion_floor: int = 0


class Configuration:
    """Objects in force.

    Neither the revision of the set nor that of an object ever decreases. For
    each object the change with the highest revision wins, whatever the order
    in which changes arrive.

    Attributes:
        revision: Revision up to which every known change is applied.
        objects: Objects by kind and name.
        blocked: Stored objects that failed the checks of this instance; their
            previous version stays in force.
        content_hash: Hash of kind, name and revision of all objects.
        rejected_count: Number of snapshots and events that were refused
            because they were older than the state in force.
        revisions: Revision of each object, by kind and name.
        tombstones: Revision of each recorded deletion, by kind and name.
        deletion_floor: Tombstones up to this revision may be missing: an
            object that is not held and did not change later is deleted.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.objects: dict[Key, kinds.Object] = {}
        self.blocked: dict[Key, documents.Blocked] = {}
        self.content_hash = 0
        self.rejected_count = 0
        self.revisions: dict[Key, int] = {}
        self.tombstones: dict[Key, int] = {}
        self.deletion_floor = 0

    def apply_snapshot(self, snapshot: Snapshot) -> bool:
        """Applies a complete set unless it is older than the one in force.

        Args:
            snapshot: Complete set from the platform.

        Returns:
            Whether the set was applied.
        """
        if snapshot.revision < self.revision:
            self.rejected_count += 1
            return False
        is_first = not self.revisions and not self.tombstones
        listed: set[Key] = set()
        for event in _events(snapshot):
            listed.add((event.kind, event.name))
            self._apply(event)
        for kind, name in [k for k in self.revisions if k not in listed]:
            self._apply(Event(snapshot.revision, kind, name, None))
        if is_first:
            self.deletion_floor = snapshot.revision
        self.revision = snapshot.revision
        return True

    def apply_delta(self, delta: Delta) -> bool:
        """Applies events that follow the revision in force.

        Args:
            delta: Events; those already applied are skipped.

        Returns:
            False if events before the delta are missing and the caller has to
            request them.
        """
        if delta.since > self.revision:
            return False
        contained = {(e.kind, e.name) for e in delta.events}
        for event in delta.events:
            self._apply(event)
        for key, revision in list(self.revisions.items()):
            if revision <= delta.deletion_floor and key not in contained:
                self._apply(Event(delta.deletion_floor, *key, None))
        self.revision = max(self.revision, delta.revision)
        return True

    def delta_since(self, revision: int) -> Delta | None:
        """Returns the changes after a revision; None if some were discarded."""
        if revision < self.deletion_floor:
            return None
        return Delta(revision, self.revision, self._changes(revision))

    def full_delta(self) -> Delta:
        """Returns all objects and all recorded deletions."""
        return Delta(0, self.revision, self._changes(-1), self.deletion_floor)

    def snapshot(self) -> Snapshot:
        """Returns the complete set of objects in force."""
        return Snapshot(
            self.revision,
            tuple(self.objects.values()),
            tuple(self.blocked.values()),
        )

    def of_kind(self, kind: str) -> tuple[kinds.Object, ...]:
        """Returns the objects of one kind."""
        return tuple(o for o in self.objects.values() if o.kind == kind)

    def get(self, kind: str, name: str) -> kinds.Object | None:
        """Returns one object; None if it is not declared."""
        return self.objects.get((kind, name))

    def select(self, kind: str, selector: str) -> tuple[kinds.Object, ...]:
        """Returns the objects of a kind whose labels match a selector."""
        return select(self.of_kind(kind), selector)

    def _apply(self, event: Event) -> None:
        key = (event.kind, event.name)
        held = self.revisions.get(key, -1)
        known_revision = max(held, self.tombstones.get(key, -1))
        if event.revision < max(
            known_revision, self.deletion_floor if known_revision < 0 else 0
        ):
            self.rejected_count += 1
            return
        if event.revision == self.tombstones.get(key):
            return
        self.revision = max(self.revision, event.revision)
        if held >= 0:
            self.content_hash ^= _digest(key, held)
        self.tombstones.pop(key, None)
        self.blocked.pop(key, None)
        if event.blocked is not None:
            self.blocked[key] = event.blocked
        elif event.declared is not None:
            self.objects[key] = event.declared
        else:
            self.objects.pop(key, None)
            self.revisions.pop(key, None)
            self._add_tombstone(key, event.revision)
            return
        self.revisions[key] = event.revision
        self.content_hash ^= _digest(key, event.revision)

    def _add_tombstone(self, key: Key, revision: int) -> None:
        self.tombstones[key] = revision
        while len(self.tombstones) > MAX_TOMBSTONE_COUNT:
            oldest = min(self.tombstones, key=self.tombstones.__getitem__)
            dropped = self.tombstones.pop(oldest)
            self.deletion_floor = max(self.deletion_floor, dropped)

    def _changes(self, after: int) -> tuple[Event, ...]:
        events = [
            Event(r, *key, None)
            for key, r in self.tombstones.items()
            if r > after
        ]
        for key, revision in self.revisions.items():
            if revision <= after:
                continue
            blocked = self.blocked.get(key)
            declared = None if blocked else self.objects[key]
            events.append(Event(revision, *key, declared, blocked))
        return tuple(sorted(events, key=lambda e: e.revision))


def select(
    objects: Iterable[kinds.Object], selector: str
) -> tuple[kinds.Object, ...]:
    """Returns the objects whose labels match a valid selector.

    Every object also has the implicit label ``name``.
    """
    parsed = selectors.parse(selector).ok
    return tuple(
        o for o in objects if parsed.matches({**o.labels, "name": o.name})
    )


def _events(snapshot: Snapshot) -> list[Event]:
    return [Event(o.revision, o.kind, o.name, o) for o in snapshot.objects] + [
        Event(b.document.revision, b.document.kind, b.document.name, None, b)
        for b in snapshot.blocked
    ]


def _digest(key: Key, revision: int) -> int:
    text = f"{key[0]}/{key[1]}/{revision}"
    return xxhash.xxh3_64_intdigest(text.encode())
