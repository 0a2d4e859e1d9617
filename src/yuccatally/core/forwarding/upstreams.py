"""Registry of upstreams: their entries and suspicions about them."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

# Lifetime of a suspicion that is not renewed. The entry of an engine that has
# failed expires within three heartbeats.
SUSPICION_TTL_S = 5.0
# Removed entries that are reported to other instances one by one: as many as
# releases and failures remove in a day.
MAX_REMOVED_COUNT = 1024


@dataclasses.dataclass(frozen=True)
class LayerRange:
    """Layers that an engine has loaded; ``last`` is exclusive."""

    first: int
    last: int

    def covers(self, first: int, last: int) -> bool:
        """Returns whether the range contains another range."""
        return self.first <= first and last <= self.last


@dataclasses.dataclass(frozen=True)
class Upstream:
    """An upstream as its entry declares it.

    Attributes:
        name: Name of the upstream; a restarted process may reuse it.
        born_ms: Start time, milliseconds since 1970; 0 if unknown.
        service: Service to which it belongs.
        address: ``IP:PORT``.
        data_centre: Its data centre.
        slots: Maximum number of concurrent requests.
        draining: Whether it is leaving.
        card: Type of its accelerator; empty for a plain upstream.
        model: Name of its model; empty if none is declared.
        layers: Layers that it has loaded; None for none.
        revision: Revision of the store in which the entry last changed; 0 if
            unknown.
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
    revision: int = dataclasses.field(default=0, compare=False)


class Registry:
    """Upstreams with their entries and suspicions.

    Attributes:
        entries: Upstreams by name.
        rejoin_deadlines: Time until which an entry that expired in an outage
            of the store may return, by name.
        suspected_until: End of each suspicion, by name and start time.
        paused_until: Time until which an upstream wants no requests of this
            instance, by name and start time.
        generation: Number of the last change of entries or suspicions.
        entries_generation: Number of the last change of entries.
        last_changes: Number of the last change of each entry, including
            removed ones, in the order of the changes.
        oldest_change: Number after which ``last_changes`` is complete.
        leaving: Incarnations that are known to leave or to have left, by name
            and start time, in the order in which this became known.
        announced_at: Time at which this instance learned that an incarnation
            has itself stated that it leaves, in the order of these times. No
            entry returns it to service.
        removed_revisions: Revision of the store at which each entry was
            missing, in the order of the removals.
        restored_revision: Revision up to which entries may be those of the copy
            from which the store was restored; 0 if it never was.
        on_leaving: Called with an upstream that is newly known to leave.
        on_return: Called with an upstream that accepts requests again, although
            its incarnation was known to leave.
        on_change: Called when other upstreams may accept requests.
    """

    def __init__(self) -> None:
        self.entries: dict[str, Upstream] = {}
        self.rejoin_deadlines: dict[str, float] = {}
        self.suspected_until: dict[tuple[str, int], float] = {}
        self.paused_until: dict[tuple[str, int], float] = {}
        self.generation = 0
        self.entries_generation = 0
        self.last_changes: dict[str, int] = {}
        self.oldest_change = 0
        self.leaving: dict[tuple[str, int], None] = {}
        self.announced_at: dict[tuple[str, int], float] = {}
        self.removed_revisions: dict[str, int] = {}
        self.restored_revision = 0
        self.on_leaving: Callable[[Upstream], None] = lambda upstream: None
        self.on_return: Callable[[Upstream], None] = lambda upstream: None
        self.on_change: Callable[[], None] = lambda: None

    def apply_entry(self, entry: Upstream) -> bool:
        """Adds or updates an entry; returns whether it changed.

        Copies of other instances may be older than the entry or its removal;
        they are ignored.
        """
        if self._is_outdated(entry):
            return False
        self.rejoin_deadlines.pop(entry.name, None)
        if self._has_departed(entry):
            entry = dataclasses.replace(entry, draining=True)
        if self.entries.get(entry.name) == entry:
            return False
        self._set_entry(entry)
        return True

    def remove(
        self, name: str, rejoin_until: float | None, revision: int = 0
    ) -> None:
        """Removes an entry, after a grace period if the store had an outage.

        Args:
            name: Name of the upstream.
            rejoin_until: Monotonic time until which the entry is kept, because
                it may have expired only due to an outage of the store; None
                if there was no outage.
            revision: Revision of the store at which the entry is missing; 0 if
                unknown.
        """
        if name not in self.entries:
            return
        removed_at = max(revision, self.removed_revisions.pop(name, 0))
        self.removed_revisions[name] = removed_at
        _limit_length(self.removed_revisions)
        if rejoin_until is not None and not self.entries[name].draining:
            self.rejoin_deadlines.setdefault(name, rejoin_until)
            return
        self._remove_entry(name)

    def replace(
        self,
        entries: Iterable[Upstream],
        rejoin_until: float | None,
        revision: int = 0,
    ) -> None:
        """Replaces all entries; see ``remove`` for the arguments."""
        listed = set()
        for entry in entries:
            listed.add(entry.name)
            self.apply_entry(entry)
        for name in list(self.entries):
            if name not in listed:
                self.remove(name, rejoin_until, revision)

    def begin_epoch(self, revision: int) -> None:
        """Records that the store was restored from a copy.

        Load pattern: engines are released, and the store returns with their
        entries from before. An incarnation that left stays excluded unless its
        entry changes in the restored store.

        Args:
            revision: Revision of the store up to which entries may be those of
                the copy.
        """
        self.restored_revision = max(revision, self.restored_revision)

    def announce_leaving(self, name: str, born_ms: int, now: float) -> bool:
        """Records that an incarnation has stated that it leaves.

        Load pattern: engines are released while the store is down or rejects
        an instance. Their entries stay ready, and the engines serve for
        seconds, so that neither the store nor refusals show that they leave.

        Args:
            name: Name of the upstream.
            born_ms: Start time of the process, milliseconds since 1970.
            now: Monotonic time in seconds.

        Returns:
            Whether this was not known.
        """
        key = (name, born_ms)
        if key in self.announced_at:
            return False
        self.announced_at[key] = now
        _limit_length(self.announced_at)
        entry = self.incarnation(name, born_ms)
        if entry is not None and name in self.rejoin_deadlines:
            self._remove_entry(name)
        elif entry is not None and not entry.draining:
            self._set_entry(dataclasses.replace(entry, draining=True))
        return True

    def announced_since(self, since: float) -> list[tuple[str, int]]:
        """Returns the incarnations whose statement became known after a time.

        Args:
            since: Monotonic time in seconds.
        """
        recent = []
        for key, at in reversed(self.announced_at.items()):
            if at < since:
                break
            recent.append(key)
        return recent

    def changed_since(self, generation: int) -> list[str] | None:
        """Returns the names of entries changed or removed after a generation.

        None if the changes since then are no longer recorded.
        """
        if generation < self.oldest_change:
            return None
        names = []
        for name, number in reversed(self.last_changes.items()):
            if number <= generation:
                break
            names.append(name)
        return names

    def expire(self, now: float) -> None:
        """Removes entries that did not return, and expired suspicions."""
        for name, until in list(self.rejoin_deadlines.items()):
            if now >= until:
                self._remove_entry(name)
        for ends in (self.suspected_until, self.paused_until):
            for key, until in list(ends.items()):
                if now >= until:
                    del ends[key]
                    self.generation += 1
                    self.on_change()

    def suspect(self, name: str, born_ms: int, until: float) -> bool:
        """Suspects an incarnation; returns whether the suspicion is new."""
        return self._exclude(self.suspected_until, (name, born_ms), until)

    def pause(self, name: str, born_ms: int, until: float) -> bool:
        """Excludes an incarnation that asked for it; returns whether it is new.

        Load pattern: an engine is over its capacity and refuses the requests of
        all instances. Each further request would only be refused again.
        """
        return self._exclude(self.paused_until, (name, born_ms), until)

    def is_paused(self, upstream: Upstream) -> bool:
        """Returns whether an upstream wants no requests of this instance."""
        return (upstream.name, upstream.born_ms) in self.paused_until

    def pause_end(self, service: str) -> float | None:
        """Returns when the first paused upstream of a service accepts again.

        None if no upstream that does not leave is paused.
        """
        return min(
            (
                self.paused_until[u.name, u.born_ms]
                for u in self.entries.values()
                if u.service == service and not u.draining and self.is_paused(u)
            ),
            default=None,
        )

    def clear_suspicion(self, name: str, born_ms: int) -> None:
        """Removes a suspicion."""
        if self.suspected_until.pop((name, born_ms), None) is not None:
            self.generation += 1
            self.on_change()

    def incarnation(self, name: str, born_ms: int) -> Upstream | None:
        """Returns the upstream with a name if it is this incarnation."""
        found = self.entries.get(name)
        return found if found and found.born_ms == born_ms else None

    def has_left(self, name: str, born_ms: int) -> bool:
        """Returns whether an incarnation was removed or restarted."""
        found = self.entries.get(name)
        if found is not None:
            return found.born_ms != born_ms
        return (name, born_ms) in self.leaving

    def is_leaving(self, name: str, born_ms: int) -> bool:
        """Returns whether an incarnation is known to leave or to have left."""
        return (name, born_ms) in self.leaving

    def usable(self, name: str, born_ms: int) -> Upstream | None:
        """Returns an upstream if this incarnation accepts new requests."""
        found = self.incarnation(name, born_ms)
        return found if found and self._accepts(found) else None

    def usable_of(self, service: str) -> list[Upstream]:
        """Returns the upstreams of a service that accept new requests."""
        return [
            u
            for u in self.entries.values()
            if u.service == service and self._accepts(u)
        ]

    def by_address(self, address: str) -> Upstream | None:
        """Returns the upstream with an address."""
        for upstream in self.entries.values():
            if upstream.address == address:
                return upstream
        return None

    def _accepts(self, upstream: Upstream) -> bool:
        key = (upstream.name, upstream.born_ms)
        return not (
            upstream.draining
            or key in self.suspected_until
            or key in self.paused_until
        )

    def _exclude(
        self,
        ends: dict[tuple[str, int], float],
        key: tuple[str, int],
        until: float,
    ) -> bool:
        is_new = key not in ends
        ends[key] = max(until, ends.get(key, 0.0))
        if is_new:
            self.generation += 1
        return is_new

    def _is_outdated(self, entry: Upstream) -> bool:
        if not entry.revision:
            return False
        if entry.revision <= self.removed_revisions.get(entry.name, 0):
            return True
        current = self.entries.get(entry.name)
        return current is not None and entry.revision < current.revision

    def _has_departed(self, entry: Upstream) -> bool:
        """Returns whether its incarnation left, whatever the entry says."""
        key = (entry.name, entry.born_ms)
        may_be_copy = 0 < entry.revision <= self.restored_revision
        return key in self.announced_at or (may_be_copy and key in self.leaving)

    def _set_entry(self, entry: Upstream) -> None:
        key = (entry.name, entry.born_ms)
        if entry.draining:
            self._record_leaving(entry)
        elif key in self.leaving:
            del self.leaving[key]
            self.on_return(entry)
        self.entries[entry.name] = entry
        self._record_change(entry.name)

    def _record_leaving(self, upstream: Upstream) -> None:
        key = (upstream.name, upstream.born_ms)
        if key not in self.leaving:
            self.leaving[key] = None
            _limit_length(self.leaving)
            self.on_leaving(upstream)

    def _remove_entry(self, name: str) -> None:
        self._record_leaving(self.entries.pop(name))
        self.rejoin_deadlines.pop(name, None)
        self._record_change(name)

    def _record_change(self, name: str) -> None:
        self.generation += 1
        self.entries_generation += 1
        # Reinserted, so that the dict is in the order of the changes.
        self.last_changes.pop(name, None)
        self.last_changes[name] = self.entries_generation
        if len(self.last_changes) > len(self.entries) + MAX_REMOVED_COUNT:
            removed = next(
                n for n in self.last_changes if n not in self.entries
            )
            self.oldest_change = self.last_changes.pop(removed)
        self.on_change()


def _limit_length(records: dict[Any, Any]) -> None:
    """Removes the oldest record if there are too many."""
    if len(records) > MAX_REMOVED_COUNT:
        del records[next(iter(records))]
