"""The revisioned set of objects in force on one instance."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from yuccatally.core import selectors

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccatally.core.objects import kinds

EVENT_LOG_LENGTH = 4096


@dataclasses.dataclass(frozen=True)
class Event:
    """One change of one object.

    Attributes:
        revision: Revision of the store after the change.
        kind: Kind of the object.
        name: Name of the object.
        declared: The new object; None if it was deleted.
    """

    revision: int
    kind: str
    name: str
    declared: kinds.Object | None


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """The complete set of objects at one revision."""

    revision: int
    objects: tuple[kinds.Object, ...]


@dataclasses.dataclass(frozen=True)
class Delta:
    """Consecutive events after one revision, up to another.

    Attributes:
        since: Revision the events follow.
        revision: Revision reached once all events are applied.
        events: Events in order of revision.
    """

    since: int
    revision: int
    events: tuple[Event, ...]


class Configuration:
    """Objects in force; its revision only ever grows.

    Attributes:
        revision: Revision of the last applied change.
        objects: Objects by kind and name.
        rejected: Snapshots, deltas and events that were refused because they
            were older than what is in force, counted.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.objects: dict[tuple[str, str], kinds.Object] = {}
        self.rejected = 0
        self.log: collections.deque[Event] = collections.deque(
            maxlen=EVENT_LOG_LENGTH
        )
        self.log_start = 0

    def apply_snapshot(self, snapshot: Snapshot) -> bool:
        """Replaces all objects unless the snapshot is older.

        Args:
            snapshot: Complete set, from the platform or a peer.

        Returns:
            Whether it is now in force.
        """
        if snapshot.revision < self.revision:
            self.rejected += 1
            return False
        if snapshot.revision > self.revision:
            self.log.clear()
            self.log_start = snapshot.revision
        self.revision = snapshot.revision
        self.objects = {(o.kind, o.name): o for o in snapshot.objects}
        return True

    def apply_delta(self, delta: Delta) -> bool:
        """Applies events that continue what is in force.

        Args:
            delta: Events; those already applied are passed over.

        Returns:
            False if events between the own revision and the delta are missing,
            so that the caller has to ask for a snapshot.
        """
        if delta.since > self.revision:
            return False
        for event in delta.events:
            self._apply(event)
        self.revision = max(self.revision, delta.revision)
        return True

    def delta_since(self, revision: int) -> Delta | None:
        """Returns the events after a revision, None if they are not kept."""
        if revision < self.log_start:
            return None
        events = tuple(e for e in self.log if e.revision > revision)
        return Delta(revision, self.revision, events)

    def snapshot(self) -> Snapshot:
        """Returns the complete set in force."""
        return Snapshot(self.revision, tuple(self.objects.values()))

    def of_kind(self, kind: str) -> tuple[kinds.Object, ...]:
        """Returns the objects of one kind."""
        return tuple(o for o in self.objects.values() if o.kind == kind)

    def get(self, kind: str, name: str) -> kinds.Object | None:
        """Returns one object, None if it is not declared."""
        return self.objects.get((kind, name))

    def select(self, kind: str, selector: str) -> tuple[kinds.Object, ...]:
        """Returns the objects of a kind whose labels match a selector."""
        return select(self.of_kind(kind), selector)

    def _apply(self, event: Event) -> None:
        if event.revision <= self.revision:
            self.rejected += 1
            return
        if len(self.log) == self.log.maxlen:
            self.log_start = self.log[0].revision
        self.log.append(event)
        self.revision = event.revision
        key = (event.kind, event.name)
        if event.declared is None:
            self.objects.pop(key, None)
        else:
            self.objects[key] = event.declared


def select(
    objects: Iterable[kinds.Object], selector: str
) -> tuple[kinds.Object, ...]:
    """Returns the objects whose labels match a selector that was checked.

    Every object also has the implicit label ``name``.
    """
    parsed = selectors.parse(selector).ok
    return tuple(
        o for o in objects if parsed.matches({**o.labels, "name": o.name})
    )
