"""Tests the membership that instances exchange through relays."""

from __future__ import annotations

import random

import pytest

from yuccatally.core.forwarding import members

DATA_CENTRES = ("a", "b", "c")


def _member(
    name: str,
    data_centre: str = "a",
    store_connected: bool = True,
    leaving: bool = False,
    born_ms: int = 1,
) -> members.Member:
    contact = members.Contact(
        name, born_ms, data_centre, "r", f"{name}:1", f"{name}:2", leaving
    )
    return members.Member(contact, store_connected)


class _Instance:
    """An instance with its member table, without a transport."""

    def __init__(self, name: str, data_centre: str) -> None:
        self.own = _member(name, data_centre)
        self.member_table = members.MemberTable(name, data_centre)

    def exchange_partners(self, now: float) -> list[str]:
        relay = self.member_table.choose_relay(self.own, now)
        partners = [relay] if relay else []
        if relay is None or self.member_table.followers:
            partners += self.member_table.other_relays(self.own, now)
        return partners

    def members_for(
        self, receiver: str, now: float
    ) -> tuple[members.Member, ...]:
        if (
            receiver in self.member_table.followers
            and receiver != self.member_table.choose_relay(self.own, now)
        ):
            return self.member_table.all_members(self.own, now, receiver)
        return self.member_table.relayed_members(self.own, now)

    def receive(self, sender: _Instance, now: float) -> None:
        follows = (
            sender.member_table.choose_relay(sender.own, now)
            == self.member_table.name
        )
        reported_members = sender.members_for(self.member_table.name, now)
        for member in (sender.own, *reported_members):
            self.member_table.apply_contact(member.contact, now)
        self.member_table.record_message(sender.own, follows, now)
        self.member_table.apply_list(
            sender.member_table.name,
            members.digest(reported_members),
            reported_members,
            now,
        )


def _instances(count: int) -> dict[str, _Instance]:
    instances = [
        _Instance(f"n{i:03}", DATA_CENTRES[i % 3]) for i in range(count)
    ]
    for instance in instances:
        for other in instances:
            instance.member_table.apply_contact(other.own.contact, 0.0)
    return {n.member_table.name: n for n in instances}


def _run_exchanges(
    instances: dict[str, _Instance],
    start: float,
    seconds: float,
    period_s: float = 0.15,
) -> int:
    """Runs exchanges; returns the number of exchanges that were started."""
    rng = random.Random(1)
    started = 0
    steps = round(seconds / period_s)
    for step in range(steps):
        now = start + step * period_s
        for instance in list(instances.values()):
            instance.member_table.expire(now)
            for partner in instance.exchange_partners(now):
                started += 1
                other = instances.get(partner)
                if other is None:
                    instance.member_table.record_no_answer(partner, now)
                    continue
                other.receive(instance, now)
                instance.receive(other, now)
            if step % 7 == 0:
                other = rng.choice(list(instances.values()))
                if other is not instance:
                    other.receive(instance, now)
                    instance.receive(other, now)
    return started


@pytest.mark.parametrize("count", [8, 65, 340])
def test_everyone_is_live_everywhere(count: int) -> None:
    """Guards against a directory that lists only some of the instances."""
    instances = _instances(count)
    _run_exchanges(instances, 0.0, 1.5)
    for name, instance in instances.items():
        assert set(
            instance.member_table.live_members(1.5)
        ) == instances.keys() - {name}


@pytest.mark.parametrize("count", [65, 340])
def test_messages_do_not_grow_with_the_fleet(count: int) -> None:
    """Guards against exchanges that grow with the number of instances."""
    instances = _instances(count)
    _run_exchanges(instances, 0.0, 1.5)
    started = _run_exchanges(instances, 1.5, 1.5)
    # One exchange in each period for each follower; relays exchange with two
    # others.
    assert started <= 10 * (count + 3)


def test_lost_relay_is_replaced() -> None:
    """Guards against a data centre that is disconnected if its relay fails."""
    instances = _instances(9)
    _run_exchanges(instances, 0.0, 1.5)
    del instances["n000"]
    _run_exchanges(instances, 1.5, 3.3)
    for name, instance in instances.items():
        assert set(
            instance.member_table.live_members(4.8)
        ) == instances.keys() - {name}
    assert (
        instances["n006"].member_table.choose_relay(instances["n006"].own, 4.8)
        == "n003"
    )


def test_lost_instance_is_not_kept_alive_by_others() -> None:
    """Guards against relays that confirm a failed instance to each other."""
    instances = _instances(9)
    _run_exchanges(instances, 0.0, 1.5)
    del instances["n007"]
    _run_exchanges(instances, 1.5, 6.0)
    assert all(
        "n007" not in n.member_table.live_members(7.5)
        for n in instances.values()
    )


def test_relay_without_the_store_is_not_chosen() -> None:
    """Guards against followers that receive no changes of the store."""
    table = members.MemberTable("n2", "a")
    for member in (_member("n1", store_connected=False), _member("n3")):
        table.apply_contact(member.contact, 0.0)
        table.record_message(member, False, 0.0)
    assert table.choose_relay(_member("n2"), 0.0) is None
    assert table.choose_relay(_member("n2", store_connected=False), 0.0) == "n3"


def test_leaving_relay_is_not_chosen() -> None:
    """Guards against followers of an instance that is leaving."""
    table = members.MemberTable("n2", "a")
    table.apply_contact(_member("n1").contact, 0.0)
    table.record_message(_member("n1", leaving=True), False, 0.0)
    table.apply_contact(_member("n1", leaving=True).contact, 0.0)
    assert table.choose_relay(_member("n2"), 0.0) is None


def test_leaving_is_not_taken_back() -> None:
    """Guards against outdated reports about an instance that is leaving."""
    table = members.MemberTable("n2", "a")
    table.apply_contact(_member("n1", leaving=True).contact, 0.0)
    table.apply_contact(_member("n1").contact, 0.0)
    assert table.contacts["n1"].leaving
    table.apply_contact(_member("n1", born_ms=2).contact, 0.0)
    assert not table.contacts["n1"].leaving


def test_list_is_confirmed_by_its_digest_only() -> None:
    """Guards against confirming a list by the digest of another one."""
    table = members.MemberTable("n2", "a")
    reported_members = (_member("n1"), _member("n3"))
    digest = members.digest(reported_members)
    table.apply_list("n1", digest, reported_members, 0.0)
    table.apply_list("n1", digest, None, 1.4)
    assert set(table.live_members(2.8)) == {"n1", "n3"}
    table.apply_list("n1", digest + 1, None, 2.8)
    assert table.live_members(2.95) == {}


def test_follower_is_not_told_what_only_it_reported() -> None:
    """Guards against two instances that confirm a third to each other."""
    table = members.MemberTable("n1", "a")
    table.record_message(_member("n2"), True, 0.0)
    reported_members = (_member("n2"), _member("n3"))
    table.apply_list(
        "n2", members.digest(reported_members), reported_members, 0.0
    )
    assert set(table.live_members(0.1)) == {"n2", "n3"}
    reported = table.all_members(_member("n1"), 0.1, receiver="n2")
    assert [m.contact.name for m in reported] == ["n1", "n2"]
    reported = table.all_members(_member("n1"), 0.1, receiver="n4")
    assert [m.contact.name for m in reported] == ["n1", "n2", "n3"]


def _relays(instances: dict[str, _Instance], now: float) -> dict[str, str]:
    """Returns the relay that each instance has chosen."""
    return {
        name: i.member_table.choose_relay(i.own, now) or name
        for name, i in instances.items()
    }


def _set_store(instance: _Instance, connected: bool) -> None:
    instance.own = members.Member(instance.own.contact, connected)


def _count_relay_changes(
    instances: dict[str, _Instance],
    start: float,
    seconds: float,
    changes: dict[float, tuple[str, bool]],
) -> int:
    """Runs exchanges while connections to the store change.

    Args:
        instances: The instances.
        start: Time of the first exchange.
        seconds: Duration.
        changes: Instances and their connections by the time of the change.
    """
    count, steps = 0, round(seconds / 0.15)
    before = _relays(instances, start)
    pending = sorted(changes.items())
    for step in range(steps):
        now = start + step * 0.15
        while pending and pending[0][0] <= now:
            name, connected = pending.pop(0)[1]
            _set_store(instances[name], connected)
        _run_exchanges(instances, now, 0.15)
        after = _relays(instances, now)
        count += sum(before[n] != after[n] for n in instances)
        before = after
    return count


def test_loss_of_the_store_for_all_changes_few_relays() -> None:
    """Guards against instances that lose each other when the store fails.

    Load pattern: 65 instances notice within 0.3 s that the store is lost, and
    within 1.5 s that it is back. Each change of a relay counts work twice.
    """
    instances = _instances(65)
    _run_exchanges(instances, 0.0, 3.0)
    rng = random.Random(2)
    lost = {3.0 + rng.uniform(0, 0.3): (name, False) for name in instances}
    back = {6.0 + rng.uniform(0, 1.5): (name, True) for name in instances}
    changed = _count_relay_changes(instances, 3.0, 9.0, {**lost, **back})
    assert changed <= len(instances)
    assert set(_relays(instances, 12.0).values()) == {"n000", "n001", "n002"}


def test_relay_that_loses_the_store_alone_is_replaced() -> None:
    """Guards against a relay that the store rejects, and which stays."""
    instances = _instances(9)
    _run_exchanges(instances, 0.0, 3.0)
    _set_store(instances["n000"], False)
    _run_exchanges(instances, 3.0, members.STORE_SETTLE_S + 1.0)
    now = 4.0 + members.STORE_SETTLE_S
    of_first = {n: r for n, r in _relays(instances, now).items() if r != n}
    assert of_first["n000"] == of_first["n006"] == "n003"


def test_kept_live_members_equal_those_found_again() -> None:
    # Live members are kept between changes: an instance that has failed, left
    # or returned must not stay as it was before.
    rng = random.Random(3)
    kept = members.MemberTable("n0", "a")
    fresh = members.MemberTable("n0", "a")
    own = _member("n0")
    others = [f"n{i}" for i in range(1, 9)]
    now = 0.0
    for _ in range(3000):
        now += rng.expovariate(20.0)
        name = rng.choice(others)
        member = _member(
            name,
            data_centre="ab"[int(name[1:]) % 2],
            store_connected=rng.random() < 0.9,
            leaving=rng.random() < 0.02,
            born_ms=1 + int(now / 20),
        )
        listed = tuple(_member(n) for n in rng.sample(others, 2))
        step, follows = rng.randrange(6), rng.random() < 0.5
        removes = rng.random() < 0.1
        fresh.live_cache.clear()
        fresh.list_cache.clear()
        for table in (kept, fresh):
            match step:
                case 0:
                    table.apply_contact(member.contact, now)
                    table.record_message(member, follows, now)
                case 1:
                    for reported in listed:
                        table.apply_contact(reported.contact, now)
                    digest = members.digest(listed)
                    table.apply_list(name, digest, listed, now)
                case 2:
                    digest = table.reported_digest(name)
                    table.apply_list(name, digest, None, now)
                case 3:
                    table.expire(now)
                case 4 if removes:
                    table.remove(name)
                case 5:
                    table.record_no_answer(name, now)
        follower = rng.choice(("", *others))
        assert kept.live_members(now, follower) == fresh.live_members(
            now, follower
        )
        for data_centre in ("a", "b"):
            assert kept.relay_of(data_centre, own, now) == fresh.relay_of(
                data_centre, own, now
            )
        sent = kept.sent_list(own, now, follower)
        expected = (
            fresh.all_members(own, now, follower)
            if follower
            else fresh.relayed_members(own, now)
        )
        assert sent.members == expected
        assert sent.digest == members.digest(expected)


def test_relay_has_the_largest_link() -> None:
    """Guards against a relay whose small link lists and plans occupy."""
    table = members.MemberTable("n2", "a")
    own = _member("n2")
    large = members.Member(
        members.Contact("n9", 1, "a", "r", "", "", link_mbps=100.0), True
    )
    for member in (_member("n1"), large):
        table.apply_contact(member.contact, 10.0)
        table.record_message(member, follows=False, now=10.0)
    assert table.relay_of("a", own, 10.1) == "n9"
    table.record_no_answer("n9", 10.2)
    assert table.relay_of("a", own, 10.3) == "n1"
