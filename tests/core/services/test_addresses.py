"""Ejection, slow start and choice of addresses."""

from __future__ import annotations

import collections
import random

from yuccatally.core.services import addresses

ALL = ("a", "b", "c")
NONE: frozenset[str] = frozenset()


def shares(
    balancer: addresses.AddressBalancer, now: float
) -> collections.Counter[str]:
    """Returns the choices of 600 calls, all of which stay outstanding."""
    counts: collections.Counter[str] = collections.Counter()
    for _ in range(600):
        address = balancer.choose(ALL, NONE, now)
        assert address is not None
        balancer.record_start(address)
        counts[address] += 1
    for address in ALL:
        balancer.health[address].outstanding = 0
    return counts


def test_failed_address_is_avoided_and_returns_slowly() -> None:
    """Guards against overloading an address that has just recovered."""
    balancer = addresses.AddressBalancer(random.Random(1))
    balancer.record_start("a")
    balancer.record_refused("a", 0.0)
    assert shares(balancer, 0.5)["a"] == 0
    probing = shares(balancer, 1.5)["a"]
    assert 0 < probing < 60
    balancer.record_answer("a", 2.0)
    assert shares(balancer, 3.0)["a"] < 100
    assert 180 <= shares(balancer, 13.0)["a"] <= 220


def test_ejection_doubles_and_the_last_address_is_still_tried() -> None:
    """Guards against a refusal without an attempt when all addresses failed."""
    balancer = addresses.AddressBalancer(random.Random(1))
    for address, failures in (("a", 3), ("b", 1), ("c", 2)):
        for _ in range(failures):
            balancer.record_refused(address, 0.0)
    assert balancer.choose(ALL, NONE, 0.5) == "b"
    assert balancer.choose(ALL, frozenset("b"), 0.5) == "c"
    assert balancer.choose(ALL, frozenset(ALL), 0.5) is None
    assert balancer.health["a"].ejected_until == 4.0
    for _ in range(addresses.UNANSWERED_BEFORE_EJECTION_COUNT):
        assert balancer.health["b"].ejected_until == 1.0
        balancer.record_unanswered("b", 5.0)
    assert balancer.health["b"].ejected_until > 5.0
