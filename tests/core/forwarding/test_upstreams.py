"""Tests the registry of upstreams."""

from __future__ import annotations

import dataclasses

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
