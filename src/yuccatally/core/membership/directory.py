"""Selection, order and lifetime of the addresses returned to callers."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from yuccatally.core import rendezvous
from yuccatally.core.membership import messages

if TYPE_CHECKING:
    from collections.abc import Iterable
    import random

    from yuccatally.core.membership import table

# A leaving instance must receive no new work after 3 s, and the update takes up
# to 1 s to reach the instance that a caller queries.
MAX_CACHE_S = 2.0
MIN_CACHE_S = 1.2
# Number of instances that serve one account; all of them in a smaller fleet.
ACCOUNT_INSTANCE_COUNT = 8
# Minimum number of addresses in other data centres, for callers that cannot
# reach the local one.
MIN_REMOTE_COUNT = 2
LOAD_MAX_AGE_S = 10.0
# Instances above this multiple of the median load are listed last; the others
# are listed in random order.
LOAD_IMBALANCE_FACTOR = 2.0


@dataclasses.dataclass(frozen=True)
class Entry:
    """An instance and its address for callers."""

    name: str
    address: str
    data_centre: str


@dataclasses.dataclass(frozen=True)
class Directory:
    """Answer to ``GET /v1/instances``.

    Attributes:
        instances: Instances in order of preference.
        keep_s: Time for which the caller may cache the list, in seconds.
    """

    instances: tuple[Entry, ...]
    keep_s: float


def eligible(
    records: Iterable[table.Record], own: str = ""
) -> list[table.Record]:
    """Returns the members that may receive new work.

    Suspected members are included when at least half of the members are
    suspected, because then the fault is more likely local.

    Args:
        records: Active members.
        own: Name of this instance, which is never excluded by a suspicion.
    """
    not_leaving = [r for r in records if not r.update.leaving]
    unsuspected = [
        r
        for r in not_leaving
        if r.state is messages.State.ALIVE or r.update.member.name == own
    ]
    return (
        unsuspected if len(unsuspected) * 2 > len(not_leaving) else not_leaving
    )


def account_instances(account: str, names: Iterable[str]) -> tuple[str, ...]:
    """Returns the instances that serve an account, by rendezvous hash.

    >>> len(account_instances("desk", [f"i{n}" for n in range(40)]))
    8
    """
    return rendezvous.ranked(account, names, ACCOUNT_INSTANCE_COUNT)


def build_directory(
    records: Iterable[table.Record],
    own: messages.Member,
    account: str,
    now: float,
    rng: random.Random,
) -> Directory:
    """Returns the addresses for a caller of this instance.

    Args:
        records: Active members, including this instance.
        own: This instance; the caller is assumed to be in its data centre.
        account: Name of the client account.
        now: Current time.
        rng: Randomises order and lifetime, so that callers neither all choose
            the same instance nor query at the same time.
    """
    candidates = eligible(records, own.name)
    local_records = [
        r for r in candidates if r.update.member.data_centre == own.data_centre
    ]
    remote_records = [
        r for r in candidates if r.update.member.data_centre != own.data_centre
    ]
    local = _account_records(local_records, account)
    if len(candidates) <= ACCOUNT_INSTANCE_COUNT:
        remote = remote_records
    else:
        count = max(MIN_REMOTE_COUNT, ACCOUNT_INSTANCE_COUNT - len(local))
        remote = _account_records(remote_records, account)[:count]
    ordered = _order_by_load(local, now, rng) + _order_by_load(remote, now, rng)
    return Directory(
        tuple(
            Entry(m.name, m.callers_address, m.data_centre)
            for m in (r.update.member for r in ordered)
        ),
        round(rng.uniform(MIN_CACHE_S, MAX_CACHE_S), 3),
    )


def _account_records(
    records: list[table.Record], account: str
) -> list[table.Record]:
    by_name = {r.update.member.name: r for r in records}
    return [by_name[name] for name in account_instances(account, by_name)]


def _order_by_load(
    records: list[table.Record], now: float, rng: random.Random
) -> list[table.Record]:
    loads = {r.update.member.name: _recent_load(r, now) for r in records}
    median = max(1.0, sorted(loads.values())[len(loads) // 2] if loads else 1)
    shuffled = rng.sample(records, len(records))
    return sorted(
        shuffled,
        key=lambda r: (
            loads[r.update.member.name] > LOAD_IMBALANCE_FACTOR * median
        ),
    )


def _recent_load(record: table.Record, now: float) -> float:
    return record.load if now - record.received_at < LOAD_MAX_AGE_S else 0.0
