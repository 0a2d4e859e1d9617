"""Beliefs about upstreams, from their entries and from what requests see."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# A suspicion that nothing has confirmed ends after this time; an engine that
# is really gone loses its entry within three heartbeats.
SUSPICION_TTL_S = 5.0
# Removed entries that instances are told of one by one: a day's releases and
# losses of today's sites.
MAX_REMOVED_COUNT = 1024


@dataclasses.dataclass(frozen=True)
class LayerRange:
    """Layers that an engine holds; ``last`` is exclusive."""

    first: int
    last: int

    def covers(self, first: int, last: int) -> bool:
        """Returns whether a range is held."""
        return self.first <= first and last <= self.last


@dataclasses.dataclass(frozen=True)
class Upstream:
    """An upstream as it announces itself.

    Attributes:
        name: Id of the incarnation; it may be used again after a restart.
        born_ms: Time of its start, milliseconds since 1970; 0 if unknown.
        service: Service that it belongs to.
        address: ``IP:PORT``.
        data_centre: Where it stands.
        slots: Requests that it runs at once.
        draining: Whether it is leaving.
        card: Kind of its accelerator; empty for a plain service.
        model: Name of its model; empty if none is announced.
        layers: Layers that it holds; None for none.
    """

    name: str
    born_ms: int
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool
    card: str = ""
    model: str = ""
    layers: LayerRange | None = None


class Registry:
    """Upstreams that may be used.

    Attributes:
        known: Upstreams by name.
        missing: Time until which an entry that lapsed in an outage of the
            store may come back, by name.
        suspects: End of the suspicion by name and birth.
        generation: Number of the last change of entries or suspicions.
        entries_generation: Number of the last change of entries.
        changed: The same of each entry, and of those that were removed.
        oldest: Number after which ``changed`` is complete.
    """

    def __init__(self) -> None:
        self.entries: dict[str, Upstream] = {}
        self.rejoin_until: dict[str, float] = {}
        self.suspected_until: dict[tuple[str, int], float] = {}
        self.generation = 0
        self.entries_generation = 0
        # Number of the last change of each entry, the removed ones included.
        self.last_changes: dict[str, int] = {}
        self.oldest_change = 0

    def apply_entry(self, entry: Upstream) -> bool:
        """Takes in an entry; returns whether anything changed."""
        self.rejoin_until.pop(entry.name, None)
        if self.entries.get(entry.name) == entry:
            return False
        self.entries[entry.name] = entry
        self._note_change(entry.name)
        return True

    def remove(self, name: str, rejoin_until: float | None) -> None:
        """Takes in that an entry is gone.

        Args:
            name: Name of the upstream.
            rejoin_until: Monotonic time until which the entry may come back,
                because it may have lapsed only in an outage of the store;
                None if there was no outage.
        """
        if name not in self.entries:
            return
        if rejoin_until is not None and not self.entries[name].draining:
            self.rejoin_until.setdefault(name, rejoin_until)
            return
        self._drop(name)

    def replace(
        self, entries: Iterable[Upstream], rejoin_until: float | None
    ) -> None:
        """Takes in a complete list of entries; see ``remove``."""
        listed = set()
        for entry in entries:
            listed.add(entry.name)
            self.apply_entry(entry)
        for name in list(self.entries):
            if name not in listed:
                self.remove(name, rejoin_until)

    def changed_since(self, generation: int) -> list[str] | None:
        """Returns names of entries that changed or went after a number.

        None if that is not known any more.
        """
        if generation < self.oldest_change:
            return None
        found = []
        for name, number in reversed(self.last_changes.items()):
            if number <= generation:
                break
            found.append(name)
        return found

    def expire(self, now: float) -> None:
        """Drops entries that did not come back, and old suspicions."""
        for name, until in list(self.rejoin_until.items()):
            if now >= until:
                self._drop(name)
        for key, until in list(self.suspected_until.items()):
            if now >= until:
                del self.suspected_until[key]
                self.generation += 1

    def suspect(self, name: str, born_ms: int, until: float) -> bool:
        """Marks an incarnation as not to be used; returns whether it is new."""
        key = (name, born_ms)
        fresh = key not in self.suspected_until
        self.suspected_until[key] = max(
            until, self.suspected_until.get(key, 0.0)
        )
        if fresh:
            self.generation += 1
        return fresh

    def clear_suspicion(self, name: str, born_ms: int) -> None:
        """Ends a suspicion."""
        if self.suspected_until.pop((name, born_ms), None) is not None:
            self.generation += 1

    def incarnation(self, name: str, born_ms: int) -> Upstream | None:
        """Returns an upstream if it is still this incarnation."""
        found = self.entries.get(name)
        return found if found and found.born_ms == born_ms else None

    def usable(self, name: str, born_ms: int) -> Upstream | None:
        """Returns an upstream if this incarnation may get new requests."""
        found = self.incarnation(name, born_ms)
        if found is None or found.draining:
            return None
        return None if (name, born_ms) in self.suspected_until else found

    def usable_of(self, service: str) -> list[Upstream]:
        """Returns the upstreams of a service that may get new requests."""
        return [
            u
            for u in self.entries.values()
            if u.service == service
            and not u.draining
            and (u.name, u.born_ms) not in self.suspected_until
        ]

    def by_address(self, address: str) -> Upstream | None:
        """Returns the upstream with an address."""
        for found in self.entries.values():
            if found.address == address:
                return found
        return None

    def _drop(self, name: str) -> None:
        del self.entries[name]
        self.rejoin_until.pop(name, None)
        self._note_change(name)

    def _note_change(self, name: str) -> None:
        self.generation += 1
        self.entries_generation += 1
        # Kept in the order of the changes.
        self.last_changes.pop(name, None)
        self.last_changes[name] = self.entries_generation
        if len(self.last_changes) > len(self.entries) + MAX_REMOVED_COUNT:
            removed = next(
                n for n in self.last_changes if n not in self.entries
            )
            self.oldest_change = self.last_changes.pop(removed)
