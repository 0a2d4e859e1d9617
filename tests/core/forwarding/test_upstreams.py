"""Tests the registry of upstreams."""

from __future__ import annotations

import dataclasses

import pytest

from yuccatally.core.forwarding import upstreams

ENTRY = upstreams.Upstream("e", 1, "s", "10.0.0.1:1", "a", 6, False)


def _registry() -> upstreams.Registry:
    registry = upstreams.Registry()
    registry.apply_entry(ENTRY)
    return registry


def test_removed_entry_is_gone_at_once() -> None:
    """Guards against requests to an upstream that has left."""
    registry = _registry()
    registry.remove("e", None)
    assert registry.usable_of("s") == []


def test_draining_upstream_gets_nothing_new() -> None:
    """Guards against requests to an upstream that is leaving."""
    registry = _registry()
    registry.apply_entry(dataclasses.replace(ENTRY, draining=True))
    assert registry.usable_of("s") == []
    assert registry.usable("e", 1) is None


def test_entry_that_lapsed_in_an_outage_may_come_back() -> None:
    """Guards against removing all upstreams after an outage of the store."""
    registry = _registry()
    registry.replace([], rejoin_until=2.0)
    registry.expire(1.9)
    assert registry.usable_of("s") == [ENTRY]
    registry.apply_entry(ENTRY)
    registry.expire(3.0)
    assert registry.usable_of("s") == [ENTRY]


def test_entry_that_stays_missing_after_an_outage_is_gone() -> None:
    """Guards against an upstream that left during an outage."""
    registry = _registry()
    registry.replace([], rejoin_until=2.0)
    registry.expire(2.0)
    assert registry.usable_of("s") == []


def test_leaving_upstream_does_not_come_back_after_an_outage() -> None:
    """Guards against a grace period for an upstream that is leaving."""
    registry = _registry()
    registry.apply_entry(dataclasses.replace(ENTRY, draining=True))
    registry.remove("e", rejoin_until=2.0)
    assert registry.entries == {}


def test_new_incarnation_is_another_upstream() -> None:
    """Guards against layers and suspicions of a previous process."""
    registry = _registry()
    registry.suspect("e", 1, until=9.0)
    registry.apply_entry(dataclasses.replace(ENTRY, born_ms=2))
    assert registry.usable("e", 1) is None
    assert registry.usable("e", 2) is not None


def test_changes_since_a_number() -> None:
    """Guards against followers that miss an added or removed upstream."""
    registry = _registry()
    generation = registry.entries_generation
    assert registry.changed_since(generation) == []
    registry.apply_entry(dataclasses.replace(ENTRY, name="f"))
    registry.remove("e", None)
    assert set(registry.changed_since(generation)) == {"e", "f"}
    registry.apply_entry(ENTRY)
    assert set(registry.changed_since(generation)) == {"e", "f"}


def test_changes_that_are_not_kept_are_not_made_up() -> None:
    """Guards against a list of changes that omits removed entries."""
    registry = _registry()
    for number in range(upstreams.MAX_REMOVED_COUNT + 2):
        registry.apply_entry(dataclasses.replace(ENTRY, name=f"n{number}"))
        registry.remove(f"n{number}", None)
    assert registry.changed_since(1) is None
    recent_generation = registry.entries_generation - 4
    assert len(registry.changed_since(recent_generation)) == 2


def _at(revision: int, **changes: object) -> upstreams.Upstream:
    return dataclasses.replace(ENTRY, revision=revision, **changes)


def test_older_copy_does_not_end_a_drain() -> None:
    """Guards against a copy of another instance that hides the drain."""
    registry = upstreams.Registry()
    registry.apply_entry(_at(7, draining=True))
    registry.apply_entry(_at(5))
    assert registry.usable_of("s") == []


def test_older_copy_does_not_return_a_removed_entry() -> None:
    """Guards against a removed upstream that another instance still lists."""
    registry = upstreams.Registry()
    registry.apply_entry(_at(5))
    registry.remove("e", None, revision=7)
    registry.apply_entry(_at(5))
    assert registry.entries == {}


def test_copy_does_not_end_the_grace_period_of_a_missing_entry() -> None:
    """Guards against instances that confirm a missing entry to each other."""
    registry = upstreams.Registry()
    registry.apply_entry(_at(5))
    registry.replace([], rejoin_until=2.0, revision=7)
    registry.apply_entry(_at(5))
    registry.expire(2.0)
    assert registry.entries == {}


def test_later_entry_returns_after_a_removal() -> None:
    """Guards against an upstream that reaches the store again and stays out."""
    registry = upstreams.Registry()
    registry.apply_entry(_at(5))
    registry.remove("e", None, revision=7)
    registry.apply_entry(_at(8))
    assert registry.usable_of("s") == [ENTRY]
    registry.replace([], rejoin_until=2.0, revision=9)
    registry.apply_entry(_at(10))
    registry.expire(2.0)
    assert registry.usable_of("s") == [ENTRY]


def test_upstream_that_returns_is_no_longer_known_to_leave() -> None:
    """Guards against log lines on requests to an upstream that has returned."""
    registry = upstreams.Registry()
    registry.apply_entry(_at(5))
    registry.remove("e", None, revision=7)
    registry.apply_entry(_at(8))
    assert not registry.leaving


def test_statement_ends_the_grace_period_of_a_missing_entry() -> None:
    """Guards against a leaving upstream that is kept, as it might return."""
    registry = upstreams.Registry()
    registry.apply_entry(_at(5))
    registry.replace([], rejoin_until=2.0, revision=7)
    assert registry.usable_of("s") == [ENTRY]
    registry.announce_leaving("e", 1, now=0.5)
    assert registry.usable_of("s") == []


def test_memory_of_removals_is_limited() -> None:
    """Guards against memory that grows with each upstream that ever left."""
    registry = upstreams.Registry()
    for number in range(3 * upstreams.MAX_REMOVED_COUNT):
        registry.apply_entry(_at(number + 1, name=f"n{number}"))
        registry.announce_leaving(f"n{number}", 1, float(number))
        registry.remove(f"n{number}", None, revision=number + 1)
    assert len(registry.announced_at) <= upstreams.MAX_REMOVED_COUNT
    assert len(registry.leaving) <= upstreams.MAX_REMOVED_COUNT
    assert len(registry.removed_revisions) <= upstreams.MAX_REMOVED_COUNT


@pytest.mark.parametrize("departure", ["draining", "removed"])
def test_incarnation_that_left_returns_only_with_a_new_change(
    departure: str,
) -> None:
    """Guards against entries that a restored store has from its copy."""
    registry = upstreams.Registry()
    registry.apply_entry(_at(5, draining=departure == "draining"))
    if departure == "removed":
        registry.remove("e", None, revision=7)
    registry.begin_epoch(100)
    registry.apply_entry(_at(95))
    assert registry.usable_of(ENTRY.service) == []
    registry.apply_entry(_at(101))
    assert registry.usable_of(ENTRY.service)
