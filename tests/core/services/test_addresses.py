"""Health of addresses."""

from __future__ import annotations

import collections
import random

from yuccatally.core.services import addresses

ALL = ("a", "b", "c")
NONE: frozenset[str] = frozenset()


def shares(
    found: addresses.AddressBalancer, now: float
) -> collections.Counter[str]:
    """Counts 600 choices, each of which stays outstanding."""
    counts: collections.Counter[str] = collections.Counter()
    for _ in range(600):
        address = found.choose(ALL, NONE, now)
        assert address is not None
        found.record_start(address)
        counts[address] += 1
    for address in ALL:
        found.health[address].outstanding = 0
    return counts


def test_failed_address_is_avoided_and_returns_slowly() -> None:
    """Guards against a herd on an address that has just come back."""
    found = addresses.AddressBalancer(random.Random(1))
    found.record_start("a")
    found.record_refused("a", 0.0)
    assert shares(found, 0.5)["a"] == 0
    probing = shares(found, 1.5)["a"]
    assert 0 < probing < 60
    found.record_answer("a", 2.0)
    assert shares(found, 3.0)["a"] < 100
    assert 180 <= shares(found, 13.0)["a"] <= 220


def test_ejection_doubles_and_the_last_address_is_still_tried() -> None:
    """Guards against a refusal without a try when all addresses failed."""
    found = addresses.AddressBalancer(random.Random(1))
    for address, failures in (("a", 3), ("b", 1), ("c", 2)):
        for _ in range(failures):
            found.record_refused(address, 0.0)
    assert found.choose(ALL, NONE, 0.5) == "b"
    assert found.choose(ALL, frozenset("b"), 0.5) == "c"
    assert found.choose(ALL, frozenset(ALL), 0.5) is None
    assert found.health["a"].ejected_until == 4.0
    for _ in range(addresses.UNCERTAIN_BEFORE_EJECTION):
        assert found.health["b"].ejected_until == 1.0
        found.record_unanswered("b", 5.0)
    assert found.health["b"].ejected_until > 5.0
