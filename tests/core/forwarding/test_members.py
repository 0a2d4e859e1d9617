"""What instances believe of each other through relays."""

from __future__ import annotations

import random

import pytest

from yuccatally.core.forwarding import members

PLACES = ("a", "b", "c")


def _member(
    name: str,
    place: str = "a",
    store_connected: bool = True,
    leaving: bool = False,
    born_ms: int = 1,
) -> members.Member:
    contact = members.Contact(
        name, born_ms, place, "r", f"{name}:1", f"{name}:2", leaving
    )
    return members.Member(contact, store_connected)


class _Node:
    """An instance with its views, without any transport."""

    def __init__(self, name: str, place: str) -> None:
        self.own = _member(name, place)
        self.member_table = members.MemberTable(name, place)

    def partners(self, now: float) -> list[str]:
        relay = self.member_table.choose_relay(self.own, now)
        found = [relay] if relay else []
        if relay is None or self.member_table.followers:
            found += self.member_table.other_relays(self.own, now)
        return found

    def listed(self, receiver: str, now: float) -> tuple[members.Member, ...]:
        if (
            receiver in self.member_table.followers
            and receiver != self.member_table.choose_relay(self.own, now)
        ):
            return self.member_table.all_members(self.own, now, receiver)
        return self.member_table.relayed_members(self.own, now)

    def take(self, sender: _Node, now: float) -> None:
        follows = (
            sender.member_table.choose_relay(sender.own, now)
            == self.member_table.name
        )
        listed = sender.listed(self.member_table.name, now)
        for member in (sender.own, *listed):
            self.member_table.apply_contact(member.contact, now)
        self.member_table.record_message(sender.own, follows, now)
        self.member_table.apply_list(
            sender.member_table.name, members.digest(listed), listed, now
        )


def _fleet(count: int) -> dict[str, _Node]:
    nodes = [_Node(f"n{i:03}", PLACES[i % 3]) for i in range(count)]
    for node in nodes:
        for other in nodes:
            node.member_table.apply_contact(other.own.contact, 0.0)
    return {n.member_table.name: n for n in nodes}


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
            node.member_table.expire(now)
            for partner in node.partners(now):
                started += 1
                other = nodes.get(partner)
                if other is None:
                    node.member_table.record_no_answer(partner, now)
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
        assert set(node.member_table.live_members(1.5)) == nodes.keys() - {name}


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
        assert set(node.member_table.live_members(4.8)) == nodes.keys() - {name}
    assert (
        nodes["n006"].member_table.choose_relay(nodes["n006"].own, 4.8)
        == "n003"
    )


def test_lost_instance_is_not_kept_alive_by_others() -> None:
    """Guards against two relays that confirm a dead instance to each other."""
    nodes = _fleet(9)
    _run(nodes, 0.0, 1.5)
    del nodes["n007"]
    _run(nodes, 1.5, 6.0)
    assert all(
        "n007" not in n.member_table.live_members(7.5) for n in nodes.values()
    )


def test_relay_without_the_store_is_not_chosen() -> None:
    """Guards against followers that hear of no changes."""
    found = members.MemberTable("n2", "a")
    for member in (_member("n1", store_connected=False), _member("n3")):
        found.apply_contact(member.contact, 0.0)
        found.record_message(member, False, 0.0)
    assert found.choose_relay(_member("n2"), 0.0) is None
    assert found.choose_relay(_member("n2", store_connected=False), 0.0) == "n3"


def test_leaving_relay_is_not_chosen() -> None:
    """Guards against followers of an instance that ends."""
    found = members.MemberTable("n2", "a")
    found.apply_contact(_member("n1").contact, 0.0)
    found.record_message(_member("n1", leaving=True), False, 0.0)
    found.apply_contact(_member("n1", leaving=True).contact, 0.0)
    assert found.choose_relay(_member("n2"), 0.0) is None


def test_leaving_is_not_taken_back() -> None:
    """Guards against old news of an instance that has begun to leave."""
    found = members.MemberTable("n2", "a")
    found.apply_contact(_member("n1", leaving=True).contact, 0.0)
    found.apply_contact(_member("n1").contact, 0.0)
    assert found.contacts["n1"].leaving
    found.apply_contact(_member("n1", born_ms=2).contact, 0.0)
    assert not found.contacts["n1"].leaving


def test_list_is_confirmed_by_its_digest_only() -> None:
    """Guards against a list that is taken for another one."""
    found = members.MemberTable("n2", "a")
    listed = (_member("n1"), _member("n3"))
    known = members.digest(listed)
    found.apply_list("n1", known, listed, 0.0)
    found.apply_list("n1", known, None, 1.4)
    assert set(found.live_members(2.8)) == {"n1", "n3"}
    found.apply_list("n1", known + 1, None, 2.8)
    assert found.live_members(2.95) == {}


def test_follower_is_not_told_what_only_it_reported() -> None:
    """Guards against two instances that follow each other and keep a third."""
    found = members.MemberTable("n1", "a")
    found.record_message(_member("n2"), True, 0.0)
    listed = (_member("n2"), _member("n3"))
    found.apply_list("n2", members.digest(listed), listed, 0.0)
    assert set(found.live_members(0.1)) == {"n2", "n3"}
    told = found.all_members(_member("n1"), 0.1, receiver="n2")
    assert [m.contact.name for m in told] == ["n1", "n2"]
    told = found.all_members(_member("n1"), 0.1, receiver="n4")
    assert [m.contact.name for m in told] == ["n1", "n2", "n3"]
