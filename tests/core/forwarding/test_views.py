"""What instances believe of each other through relays."""

from __future__ import annotations

import random

import pytest

from yuccatally.core.forwarding import views

PLACES = ("a", "b", "c")


def _member(
    name: str,
    place: str = "a",
    store_up: bool = True,
    leaving: bool = False,
    born_ms: int = 1,
) -> views.Member:
    contact = views.Contact(
        name, born_ms, place, "r", f"{name}:1", f"{name}:2", leaving
    )
    return views.Member(contact, store_up)


class _Node:
    """An instance with its views, without any transport."""

    def __init__(self, name: str, place: str) -> None:
        self.own = _member(name, place)
        self.views = views.Views(name, place)

    def partners(self, now: float) -> list[str]:
        relay = self.views.relay(self.own, now)
        found = [relay] if relay else []
        if relay is None or self.views.followers:
            found += self.views.other_relays(self.own, now)
        return found

    def members(self, receiver: str, now: float) -> tuple[views.Member, ...]:
        if receiver in self.views.followers and receiver != self.views.relay(
            self.own, now
        ):
            return self.views.everyone(self.own, now, receiver)
        return self.views.cluster(self.own, now)

    def take(self, sender: _Node, now: float) -> None:
        follows = sender.views.relay(sender.own, now) == self.views.name
        members = sender.members(self.views.name, now)
        for member in (sender.own, *members):
            self.views.learn(member.contact, now)
        self.views.on_heard(sender.own, follows, now)
        self.views.on_list(
            sender.views.name, views.digest(members), members, now
        )


def _fleet(count: int) -> dict[str, _Node]:
    nodes = [_Node(f"n{i:03}", PLACES[i % 3]) for i in range(count)]
    for node in nodes:
        for other in nodes:
            node.views.learn(other.own.contact, 0.0)
    return {n.views.name: n for n in nodes}


def _run(
    nodes: dict[str, _Node],
    start: float,
    seconds: float,
    period_s: float = 0.15,
) -> int:
    """Exchanges for a while; returns the exchanges that were started."""
    rng = random.Random(1)
    started = 0
    steps = round(seconds / period_s)
    for step in range(steps):
        now = start + step * period_s
        for node in list(nodes.values()):
            node.views.expire(now)
            for partner in node.partners(now):
                started += 1
                other = nodes.get(partner)
                if other is None:
                    node.views.shun(partner, now)
                    continue
                other.take(node, now)
                node.take(other, now)
            if step % 7 == 0:
                other = rng.choice(list(nodes.values()))
                if other is not node:
                    other.take(node, now)
                    node.take(other, now)
    return started


@pytest.mark.parametrize("count", [8, 65, 340])
def test_everyone_is_live_everywhere(count: int) -> None:
    """Guards against a directory that names a part of the instances only."""
    nodes = _fleet(count)
    _run(nodes, 0.0, 1.5)
    for name, node in nodes.items():
        assert set(node.views.live(1.5)) == nodes.keys() - {name}


@pytest.mark.parametrize("count", [65, 340])
def test_messages_do_not_grow_with_the_fleet(count: int) -> None:
    """Guards against exchanges of an instance that grow with the others."""
    nodes = _fleet(count)
    _run(nodes, 0.0, 1.5)
    started = _run(nodes, 1.5, 1.5)
    # One a period for each follower; relays exchange with two others.
    assert started <= 10 * (count + 3)


def test_lost_relay_is_replaced() -> None:
    """Guards against a data centre that is cut off with its relay."""
    nodes = _fleet(9)
    _run(nodes, 0.0, 1.5)
    del nodes["n000"]
    _run(nodes, 1.5, 3.3)
    for name, node in nodes.items():
        assert set(node.views.live(4.8)) == nodes.keys() - {name}
    assert nodes["n006"].views.relay(nodes["n006"].own, 4.8) == "n003"


def test_lost_instance_is_not_kept_alive_by_others() -> None:
    """Guards against two relays that confirm a dead instance to each other."""
    nodes = _fleet(9)
    _run(nodes, 0.0, 1.5)
    del nodes["n007"]
    _run(nodes, 1.5, 6.0)
    assert all("n007" not in n.views.live(7.5) for n in nodes.values())


def test_relay_without_the_store_is_not_chosen() -> None:
    """Guards against followers that hear of no changes."""
    found = views.Views("n2", "a")
    for member in (_member("n1", store_up=False), _member("n3")):
        found.learn(member.contact, 0.0)
        found.on_heard(member, False, 0.0)
    assert found.relay(_member("n2"), 0.0) is None
    assert found.relay(_member("n2", store_up=False), 0.0) == "n3"


def test_leaving_relay_is_not_chosen() -> None:
    """Guards against followers of an instance that ends."""
    found = views.Views("n2", "a")
    found.learn(_member("n1").contact, 0.0)
    found.on_heard(_member("n1", leaving=True), False, 0.0)
    found.learn(_member("n1", leaving=True).contact, 0.0)
    assert found.relay(_member("n2"), 0.0) is None


def test_leaving_is_not_taken_back() -> None:
    """Guards against old news of an instance that has begun to leave."""
    found = views.Views("n2", "a")
    found.learn(_member("n1", leaving=True).contact, 0.0)
    found.learn(_member("n1").contact, 0.0)
    assert found.contacts["n1"].leaving
    found.learn(_member("n1", born_ms=2).contact, 0.0)
    assert not found.contacts["n1"].leaving


def test_list_is_confirmed_by_its_digest_only() -> None:
    """Guards against a list that is taken for another one."""
    found = views.Views("n2", "a")
    members = (_member("n1"), _member("n3"))
    known = views.digest(members)
    found.on_list("n1", known, members, 0.0)
    found.on_list("n1", known, None, 1.4)
    assert set(found.live(2.8)) == {"n1", "n3"}
    found.on_list("n1", known + 1, None, 2.8)
    assert found.live(2.95) == {}


def test_follower_is_not_told_what_only_it_reported() -> None:
    """Guards against two instances that follow each other and keep a third."""
    found = views.Views("n1", "a")
    found.on_heard(_member("n2"), True, 0.0)
    members = (_member("n2"), _member("n3"))
    found.on_list("n2", views.digest(members), members, 0.0)
    assert set(found.live(0.1)) == {"n2", "n3"}
    told = found.everyone(_member("n1"), 0.1, receiver="n2")
    assert [m.contact.name for m in told] == ["n1", "n2"]
    told = found.everyone(_member("n1"), 0.1, receiver="n4")
    assert [m.contact.name for m in told] == ["n1", "n2", "n3"]
